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

// scan returns what a scanner passes on of a body that is cut into pieces at the given offsets, and the problem.
func scan(body []byte, cuts []int) (values []string, problem *frontend.Problem) {
	s := scanner{streamedArrays: []string{"input"}, maxValueBytes: 1 << 20}
	s.onMember = func(name string, raw []byte) *frontend.Problem {
		values = append(values, fmt.Sprintf("%s=%s", name, raw))
		return nil
	}
	s.onElement = func(name string, raw []byte) *frontend.Problem {
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

// checkCutsDoNotMatter fails the test if a body that arrives in pieces is scanned differently from the whole body. It
// returns the problem of the whole body.
func checkCutsDoNotMatter(t rapid.TB, body []byte, cuts []int) *frontend.Problem {
	t.Helper()
	whole, wholeProblem := scan(body, nil)
	pieces, piecesProblem := scan(body, cuts)
	if !slices.Equal(whole, pieces) || (wholeProblem == nil) != (piecesProblem == nil) {
		t.Fatalf("%q cut at %v: %q (%v), whole: %q (%v)", body, cuts, pieces, piecesProblem, whole, wholeProblem)
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

// drawBody draws a JSON object. It corrupts one byte of the object if a number drawn from 0 to 3 is 0.
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
	if rapid.IntRange(0, 3).Draw(t, "corrupt") == 0 {
		at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		body[at] = rapid.SampledFrom([]byte(`{}[],:"\x0 `)).Draw(t, "with")
	}
	return body
}

// TestScannerAgreesWithEncodingJSON checks that a body is scanned in the same way however it is cut into pieces, and
// that the scanner rejects exactly those bodies that package encoding/json rejects, and bodies with duplicate members.
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
			t.Fatalf("%q: scanner %v, package encoding/json %v", body, problem, err)
		}
	})
}

// FuzzScanner checks that a body is scanned in the same way whole and cut into two pieces.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(`{"model":"m","input":["a",[1,2],{"x":"]"}]}`), 3)
	f.Fuzz(func(t *testing.T, body []byte, cut int) {
		_ = checkCutsDoNotMatter(t, body, []int{cut})
	})
}

// FuzzReadPart checks that ReadPart does not panic on any response, and that an accepted response has vectors of the
// right size only.
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
				t.Fatalf("%q: vector of %d bytes", body, len(vector))
			}
		}
	})
}
