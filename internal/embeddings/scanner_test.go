package embeddings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"plumspindle/internal/frontend"
)

// scan returns all that a scanner hands over of a body that arrives in pieces, and its problem.
func scan(body []byte, cuts []int) (values []string, problem *frontend.Problem) {
	s := scanner{lists: []string{"input"}, maxValue: 1 << 20}
	s.member = func(name string, raw []byte) *frontend.Problem {
		values = append(values, fmt.Sprintf("%s=%s", name, raw))
		return nil
	}
	s.element = func(name string, raw []byte) *frontend.Problem {
		values = append(values, fmt.Sprintf("%s+%s", name, raw))
		return nil
	}
	begin := 0
	for _, cut := range append(cuts, len(body)) {
		cut = min(max(cut, begin), len(body))
		if problem := s.feed(bytes.Clone(body[begin:cut])); problem != nil {
			return values, problem
		}
		begin = cut
	}
	return values, s.close()
}

// checkCutsDoNotMatter fails the test where a body is read otherwise in pieces than in one, and returns the problem.
func checkCutsDoNotMatter(t rapid.TB, body []byte, cuts []int) *frontend.Problem {
	t.Helper()
	whole, wholeProblem := scan(body, nil)
	pieces, piecesProblem := scan(body, cuts)
	if !slices.Equal(whole, pieces) || (wholeProblem == nil) != (piecesProblem == nil) {
		t.Fatalf("%q cut at %v: %q (%v), in one: %q (%v)", body, cuts, pieces, piecesProblem, whole, wholeProblem)
	}
	return wholeProblem
}

// drawValue draws a JSON value.
func drawValue(t *rapid.T, depth int) any {
	text := rapid.SampledFrom([]string{"a", "", `q"uo`, "back\\slash", "é\u2063", "line\nend", "]}", "{", ",:"})
	switch kind := rapid.IntRange(0, 6).Draw(t, "kind"); {
	case kind == 0:
		return rapid.IntRange(-9, 1<<40).Draw(t, "number")
	case kind == 1:
		return nil
	case kind == 2:
		return rapid.Bool().Draw(t, "boolean")
	case kind == 3 && depth < 3:
		var list []any
		for range rapid.IntRange(0, 3).Draw(t, "length") {
			list = append(list, drawValue(t, depth+1))
		}
		return list
	case kind == 4 && depth < 3:
		return map[string]any{text.Draw(t, "key"): drawValue(t, depth+1)}
	}
	return text.Draw(t, "string")
}

// drawBody draws an object, spoiled in one place every fourth time.
func drawBody(t *rapid.T) []byte {
	var members []string
	names := []string{"input", "model", "x"}
	for _, name := range names[:rapid.IntRange(0, 3).Draw(t, "members")] {
		value, err := json.Marshal(drawValue(t, 0))
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, fmt.Sprintf("%q : %s", name, value))
	}
	body := []byte(" {" + strings.Join(members, " ,\n") + "} ")
	if rapid.IntRange(0, 3).Draw(t, "spoil") == 0 {
		at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		body[at] = rapid.SampledFrom([]byte(`{}[],:"\x0 `)).Draw(t, "with")
	}
	return body
}

// TestScannerAgreesWithEncodingJSON: a body is read alike however it is cut, and what package encoding/json refuses is
// refused.
func TestScannerAgreesWithEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := drawBody(t)
		var cuts []int
		for i := range body {
			if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
				cuts = append(cuts, i)
			}
		}
		problem := checkCutsDoNotMatter(t, body, cuts)
		if problem != nil && problem.Code == "duplicate_parameter" {
			return
		}
		var members map[string]json.RawMessage
		if err := json.Unmarshal(body, &members); (err == nil) != (problem == nil) {
			t.Fatalf("%q: %v, package encoding/json: %v", body, problem, err)
		}
	})
}

func FuzzScanner(f *testing.F) {
	f.Add([]byte(`{"model":"m","input":["a",[1,2],{"x":"]"}]}`), 3)
	f.Fuzz(func(t *testing.T, body []byte, cut int) {
		_ = checkCutsDoNotMatter(t, body, []int{cut})
	})
}

// FuzzReadPart: whatever an endpoint responds, nothing crashes, and what is taken is complete.
func FuzzReadPart(f *testing.F) {
	f.Add([]byte(`{"data":[{"index":0,"embedding":[1,2]},{"index":1,"embedding":"AAAAAAAAAAA="}]}`))
	f.Add([]byte(`{"data":[{"index":1e400,"embedding":[1e60,2]}]}`))
	request := &Request{}
	f.Fuzz(func(t *testing.T, body []byte) {
		result, err := request.ReadPart(body, 2, 2)
		if err != nil {
			return
		}
		for _, vector := range result.Vectors {
			if len(vector) != 2*bytesPerDimension {
				t.Fatalf("%q: a vector of %d bytes", body, len(vector))
			}
		}
	})
}
