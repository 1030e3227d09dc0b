package embeddings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"plumspindle/internal/frontend"
)

// heard is all that a scanner tells of a body that comes in pieces.
func heard(body []byte, cuts []int) (events []string, problem *frontend.Problem) {
	s := scanner{lists: []string{"input"}, most: 1 << 20}
	s.member = func(name string, raw []byte) *frontend.Problem {
		events = append(events, fmt.Sprintf("%s=%s", name, raw))
		return nil
	}
	s.element = func(name string, raw []byte) *frontend.Problem {
		events = append(events, fmt.Sprintf("%s+%s", name, raw))
		return nil
	}
	at := 0
	for _, c := range append(cuts, len(body)) {
		c = min(max(c, at), len(body))
		if p := s.feed(bytes.Clone(body[at:c])); p != nil {
			return events, p
		}
		at = c
	}
	return events, s.close()
}

// A body is read alike however it is cut, and as the standard reader reads it: what that refuses is refused, and each member and
// element is told as it stands.
func TestScannerAgainstTheStandardReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"a", "", `q"uo`, "back\\slash", "é\u2063", "line\nend", "]}", "{", ",:"})
		var value func(depth int) any
		value = func(depth int) any {
			switch n := rapid.IntRange(0, 6).Draw(t, "kind"); {
			case n == 0:
				return rapid.IntRange(-9, 1<<40).Draw(t, "n")
			case n == 1:
				return nil
			case n == 2:
				return rapid.Bool().Draw(t, "b")
			case n == 3 && depth < 3:
				var l []any
				for range rapid.IntRange(0, 3).Draw(t, "len") {
					l = append(l, value(depth+1))
				}
				return l
			case n == 4 && depth < 3:
				return map[string]any{text.Draw(t, "k"): value(depth + 1)}
			}
			return text.Draw(t, "s")
		}
		var members []string
		names := []string{"input", "model", "x"}
		for _, name := range names[:rapid.IntRange(0, 3).Draw(t, "members")] {
			b, _ := json.Marshal(value(0))
			members = append(members, fmt.Sprintf("%q : %s", name, b))
		}
		body := []byte(" {" + strings.Join(members, " ,\n") + "} ")
		if rapid.IntRange(0, 3).Draw(t, "spoil") == 0 {
			at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
			body[at] = rapid.SampledFrom([]byte(`{}[],:"\x0 `)).Draw(t, "with")
		}
		var cuts []int
		for i := range body {
			if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
				cuts = append(cuts, i)
			}
		}
		whole, p1 := heard(body, nil)
		parts, p2 := heard(body, cuts)
		if fmt.Sprint(whole) != fmt.Sprint(parts) || (p1 == nil) != (p2 == nil) {
			t.Fatalf("%q cut at %v: %q (%v), whole %q (%v)", body, cuts, parts, p2, whole, p1)
		}
		var m map[string]json.RawMessage
		if err := json.Unmarshal(body, &m); (err == nil) != (p1 == nil) && (p1 == nil || p1.Code != "duplicate_parameter") {
			t.Fatalf("%q: %v, the standard reader: %v", body, p1, err)
		}
	})
}

func FuzzScanner(f *testing.F) {
	f.Add([]byte(`{"model":"m","input":["a",[1,2],{"x":"]"}]}`), 3)
	f.Fuzz(func(t *testing.T, body []byte, cut int) {
		whole, p1 := heard(body, nil)
		parts, p2 := heard(body, []int{cut})
		if fmt.Sprint(whole) != fmt.Sprint(parts) || (p1 == nil) != (p2 == nil) {
			t.Fatalf("%q cut at %d: %q (%v), whole %q (%v)", body, cut, parts, p2, whole, p1)
		}
	})
}

// FuzzReadPart: whatever a host answers, no crash, and what is taken is whole.
func FuzzReadPart(f *testing.F) {
	f.Add([]byte(`{"data":[{"index":0,"embedding":[1,2]},{"index":1,"embedding":"AAAAAAAAAAA="}]}`))
	f.Add([]byte(`{"data":[{"index":1e400,"embedding":[1e60,2]}]}`))
	a := &Request{}
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := a.ReadPart(body, 2, 2)
		for _, v := range r.Vectors {
			if err == nil && len(v) != 8 {
				t.Fatalf("%q: a vector of %d bytes", body, len(v))
			}
		}
	})
}
