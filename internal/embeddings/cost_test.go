package embeddings

import (
	"bytes"
	"compress/gzip"
	"runtime"
	"strings"
	"testing"
)

// compressed returns a body compressed by gzip.
func compressed(t *testing.T, body string) string {
	t.Helper()
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write([]byte(body)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// A small encoded body that is large once it is decoded was decoded and read in one go, for up to some hundred
// milliseconds. The requests of all other clients waited for that.
func TestEncodedBodyIsDecodedInTurns(t *testing.T) {
	const size = 4 << 20
	limits := testLimits
	limits.MaxBody = 2 * size
	for ending, want := range map[string]string{
		`]}`: "begin\nadded, whole: true\n",
		`}`:  "rejected: The body is not valid JSON.\n",
	} {
		var out bytes.Buffer
		r := NewRequest(Embeddings, "gzip", limits, recordingHandler{&out}, nil)
		var turns []func()
		r.afterOtherEvents = func(f func()) { turns = append(turns, f) }
		body := compressed(t, `{"model":"m","input":["a"`+strings.Repeat(" ", size)+ending)
		if problem := r.Data([]byte(body)); problem != nil {
			t.Fatal(problem)
		}
		if problem := r.End(); problem != nil {
			t.Fatal(problem)
		}
		count, most := 0, r.decoder.decodedBytes
		for ; len(turns) > 0; count++ {
			before := r.decoder.decodedBytes
			next := turns[0]
			turns = turns[1:]
			next()
			most = max(most, r.decoder.decodedBytes-before)
		}
		if got := out.String(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
		if most > maxDecodedPerTurn+decodeBufferSize || count < size/(maxDecodedPerTurn+decodeBufferSize) {
			t.Errorf("%d bytes were decoded at once, in %d turns", most, count)
		}
	}
}

// All tokens of an input were parsed before they were counted, which took memory of a hundred bytes for each and more
// time than everything else about the call.
func TestInputWithTooManyTokensIsNotReadWhole(t *testing.T) {
	const tokens, maxBytes = 60000, 1 << 20
	limits := testLimits
	limits.MaxInputTokens, limits.MaxBody = 8192, 1<<20
	body := `{"model":"m","input":[[` + strings.Repeat("1,", tokens-1) + `1]]}`
	r := NewRequest(Embeddings, "", limits, recordingHandler{&bytes.Buffer{}}, nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	problem := feed(r, body, len(body))
	runtime.ReadMemStats(&after)
	if problem == nil || problem.Code != "input_too_long" || !strings.Contains(problem.Message, "60000") {
		t.Errorf("%v", problem)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxBytes {
		t.Errorf("%d bytes of memory were allocated", allocated)
	}
}
