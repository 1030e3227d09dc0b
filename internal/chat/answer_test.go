package chat

import (
	"runtime"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
)

// For each delta of a tool call's arguments, all arguments so far were copied, so that the work grew with the square of
// their size. The requests of all other clients waited for that.
func TestToolCallIsCollectedInLinearTime(t *testing.T) {
	const deltas, maxBytesEach = 20000, 2 << 10
	event := []byte(`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"0123456789"}}]}}]}`)
	a := &Answer{ID: "id", Model: "m", Request: &Request{}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range deltas {
		a.AppendEvent(nil, event)
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / deltas; each > maxBytesEach {
		t.Errorf("%d bytes of memory were allocated for each delta", each)
	}
	arguments := gjson.GetBytes(a.Object(), "choices.0.message.tool_calls.0.function.arguments").String()
	if arguments != strings.Repeat("0123456789", deltas) {
		t.Errorf("%d bytes of arguments", len(arguments))
	}
}
