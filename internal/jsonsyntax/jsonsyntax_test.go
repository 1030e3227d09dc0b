package jsonsyntax

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// texts are valid ones, then invalid ones.
var texts = []string{
	`{}`, `[]`, ` { } `, "\t[\r\n]\n", `{"a":1}`, `{"a":[{}, []], "b": {"c":null}}`, `[1,2.5,-0,-0.1e+10,1E5,0]`,
	`"a\"\\\/\b\f\n\r\tA"`, `true`, `false`, `null`, `0`, `"é` + "\xff" + `"`,

	``, ` `, `{`, `[`, `}`, `]`, `{]`, `[}`, `[1,]`, `[,1]`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{,}`, `{a:1}`, `{"a" 1}`,
	`{:1}`, `{"a":1 "b":2}`, `[1 2]`, `{1:2}`, `[:]`, `1 2`, `{} {}`, `[]]`, `[[[]]`, `{"a":{"b":[}}`,
	`01`, `-`, `+1`, `.5`, `1.`, `1e`, `1e+`, `-a`, `tru`, `truex`, `nul`, `fals`, `'a'`, "\ufeff{}", "[\v]",
	`"a`, `"\x"`, `"\u12g4"`, `"\u123`, `"\`, "\"\n\"", "\"\x00\"",
}

// maxStandardDepth is the nesting beyond which encoding/json rejects valid texts.
const maxStandardDepth = 10000

func compareWithStandard(t *testing.T, text []byte) {
	t.Helper()
	if bytes.Count(text, []byte{'['})+bytes.Count(text, []byte{'{'}) > maxStandardDepth {
		return
	}
	if got, want := Valid(text), json.Valid(text); got != want {
		t.Errorf("%q: %v, encoding/json says %v", text, got, want)
	}
}

func TestValidAgreesWithTheStandardLibrary(t *testing.T) {
	for _, text := range texts {
		compareWithStandard(t, []byte(text))
		compareWithStandard(t, []byte(`{"x":[`+text+`],"y":`+text+`}`))
	}
}

func FuzzValidAgreesWithTheStandardLibrary(f *testing.F) {
	for _, text := range texts {
		f.Add([]byte(text))
	}
	f.Fuzz(compareWithStandard)
}

func TestValidAcceptsAnyDepth(t *testing.T) {
	const depth = 200_001 // several words of nesting, and not a multiple of a word
	opening, closing := strings.Repeat(`{"a":[`, depth), strings.Repeat(`]}`, depth)
	if !Valid([]byte(opening + closing)) {
		t.Error("a complete text is invalid")
	}
	for name, text := range map[string]string{
		"not closed":                opening,
		"closed too often":          opening + closing + "]",
		"closed in the wrong order": opening + closing[1:],
	} {
		if Valid([]byte(text)) {
			t.Errorf("a text that is %s is valid", name)
		}
	}
}
