package chat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"plumspindle/internal/testbed/golden"
)

// bodies are bodies of client requests, each with a name for its particular property.
var bodies = []struct{ name, body string }{
	{"plain", `{"model":"m","messages":[{"role":"user","content":"Hello"}]}`},
	{"system and user", `{"model":"m","messages":[{"role":"system","content":"Be brief."},{"role":"user",` +
		`"content":"Hello"}]}`},
	{"developer and parts", `{"model":"m","messages":[{"role":"developer","content":[{"type":"text","text":"Be "},` +
		`{"type":"text","text":"brief."}]},{"role":"user","content":"Hello"}]}`},
	{"a shared text", `{"model":"m","messages":[{"role":"system","content":"public text"},{"role":"user",` +
		`"content":"Hello"}]}`},
	{"two leading messages", `{"model":"m","messages":[{"role":"system","content":"a"},{"role":"developer",` +
		`"content":"b"},{"role":"user","content":"c"},{"role":"system","content":"d"}]}`},
	{"a longer conversation", `{"model":"m","messages":[{"role":"user","content":"Hello"},{"role":"assistant",` +
		`"content":"Yes?"},{"role":"user","content":"What?"}]}`},
	{"tool calls", `{"model":"m","messages":[{"role":"user","content":"Hello"},{"role":"assistant",` +
		`"tool_calls":[{"id":"c","type":"function","function":{"name":"f","arguments":"{}"}}]},{"role":"tool",` +
		`"content":"1"}]}`},
	{"a refusal", `{"model":"m","messages":[{"role":"assistant","content":[{"type":"refusal","refusal":"No."}]}]}`},
	{"a cache key", `{"model":"m","prompt_cache_key":"k","messages":[{"role":"user","content":"Hello"}]}`},
	{"stream with usage", `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":7,` +
		`"temperature":0.5,"messages":[{"role":"user","content":"Hello"}]}`},
	{"both limits", `{"model":"m","max_completion_tokens":5,"max_tokens":7,"messages":[{"role":"user",` +
		`"content":"Hello"}]}`},
	{"nulls", `{"model":"m","stream":null,"max_tokens":null,"n":null,"audio":null,"messages":[{"role":"user",` +
		`"content":"Hello"}]}`},
	{"escapes", `{"m\u006fdel":"m\u0041","messages":[{"role":"user","content":"\u00e9\n\ud83d\ude00"}],"x":{"y":[1, 2]}}`},
	{"not JSON", `{"model":`},
	{"not an object", `[1]`},
	{"given twice", `{"model":"m","model":"n","messages":[]}`},
	{"no model", `{"messages":[{"role":"user","content":"Hello"}]}`},
	{"empty model", `{"model":"","messages":[{"role":"user","content":"Hello"}]}`},
	{"null model", `{"model":null}`},
	{"null messages", `{"model":"m","messages":null}`},
	{"no messages", `{"model":"m"}`},
	{"empty messages", `{"model":"m","messages":[]}`},
	{"messages of a wrong type", `{"model":"m","messages":"Hello"}`},
	{"model of a wrong type", `{"model":1}`},
	{"cache key of a wrong type", `{"model":"m","prompt_cache_key":1}`},
	{"stream of a wrong type", `{"model":"m","stream":"yes"}`},
	{"stream options of a wrong type", `{"model":"m","stream_options":true}`},
	{"stream options without a stream", `{"model":"m","stream_options":{},"messages":[]}`},
	{"limit of a wrong type", `{"model":"m","max_tokens":1.5}`},
	{"limit too small", `{"model":"m","max_completion_tokens":0}`},
	{"two answers", `{"model":"m","n":2}`},
	{"one answer", `{"model":"m","n":1,"messages":[{"role":"user","content":"Hello"}]}`},
	{"text modality", `{"model":"m","modalities":["text"],"messages":[{"role":"user","content":"Hello"}]}`},
	{"audio modality", `{"model":"m","modalities":["text","audio"]}`},
	{"audio", `{"model":"m","audio":{}}`},
	{"transfer parameters", `{"model":"m","kv_transfer_params":{}}`},
	{"salt", `{"model":"m","cache_salt":"x"}`},
	{"unknown role", `{"model":"m","messages":[{"role":"user","content":"Hello"},{"role":"nobody","content":"Hello"}]}`},
	{"message that is no object", `{"model":"m","messages":["Hello"]}`},
	{"image part", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},` +
		`{"type":"image_url"}]}]}`},
	{"content of a wrong type", `{"model":"m","messages":[{"role":"user","content":1}]}`},
	{"no content", `{"model":"m","messages":[{"role":"user"}]}`},
	{"null content", `{"model":"m","messages":[{"role":"user","content":null}]}`},
	{"assistant without content", `{"model":"m","messages":[{"role":"assistant"}]}`},
}

// publicDigest is the SHA-256 digest of "public text" in hex.
const publicDigest = "331c5bf69585b750aa7bdc8b8d961fe8ef42f97801c45081af027a75e4bd956c"

// TestParseRequest compares the parsed request or the problem for each body with a golden file.
func TestParseRequest(t *testing.T) {
	var out bytes.Buffer
	digests := map[string]bool{}
	for _, c := range bodies {
		request, problem := ParseRequest([]byte(c.body), "space", func(digest string) bool {
			digests[digest] = true
			return digest == publicDigest
		})
		fmt.Fprintf(&out, "== %s\n", c.name)
		if problem != nil {
			fmt.Fprintf(&out, "%d %s\n", problem.Status, problem.Body())
			continue
		}
		fields, err := json.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n%s\n", fields, request.Passthrough)
	}
	golden.Compare(t, out.Bytes())
	if !digests[publicDigest] {
		t.Errorf("isPublic was called for the digests %v, want the public text's among them", digests)
	}
}

// events are the event streams of decode endpoints.
var events = []struct {
	name   string
	events []string
}{
	{"nothing", nil},
	{"text", []string{
		`{"choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}`,
		`{"choices":[{"index":0,"delta":{"content":"Hel"}}]}`,
		`{"choices":[{"index":0,"delta":{"content":"lo \"you\" <b>"},"logprobs":{"content":[]}}]}`,
		`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}`,
	}},
	{"no role and no usage", []string{
		`{"choices":[{"delta":{"content":"a"}}]}`,
		`{"choices":[{"delta":{"content":"b"},"finish_reason":"length"}],"usage":null}`,
	}},
	{"no delta", []string{`{"choices":[{"finish_reason":"stop"}]}`, `{"choices":[{}]}`}},
	{"empty delta", []string{`{"choices":[{"delta":{}}]}`}},
	{"refusal", []string{`{"choices":[{"delta":{"refusal":"No"}}]}`, `{"choices":[{"delta":{"refusal":"."},` +
		`"finish_reason":"stop"}]}`}},
	{"tool calls", []string{
		`{"choices":[{"delta":{"tool_calls":[{"index":1,"id":"b","function":{"name":"g","arguments":"{"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"a","function":{"name":"f"}},{"index":1,` +
			`"function":{"arguments":"}"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":128,"id":"c"},{"index":-1,"id":"d"}]},"finish_reason":"tool_calls"}]}`,
	}},
	{"text and tool calls", []string{`{"choices":[{"delta":{"content":"x","tool_calls":[{"index":0,"id":"a"}]}}]}`}},
}

// TestAnswer compares the answers that clients are sent for each event stream, as one object and streamed, with a
// golden file.
func TestAnswer(t *testing.T) {
	requests := []*Request{
		{Model: "m", PromptTokens: 5},
		{Model: "m", PromptTokens: 5, Stream: true},
		{Model: "m", PromptTokens: 5, Stream: true, IncludeUsage: true},
	}
	var out bytes.Buffer
	for _, c := range events {
		for _, request := range requests {
			a := &Answer{ID: "id", Model: `m"`, Created: 77, Request: request}
			fmt.Fprintf(&out, "== %s, streamed: %t, with usage: %t\n", c.name, a.Streaming(), request.IncludeUsage)
			for _, event := range c.events {
				if !IsChunk([]byte(event)) {
					t.Errorf("%s: event is not a chunk: %s", c.name, event)
				}
				out.Write(a.AppendEvent(nil, []byte(event)))
			}
			if a.Streaming() {
				out.Write(a.AppendEnd(nil))
			} else {
				fmt.Fprintf(&out, "%s\n", a.Object())
			}
			fmt.Fprintf(&out, "%d tokens, finish reason %q, unstarted: %t\n", a.CompletionTokens, a.FinishReason, a.Unstarted())
		}
	}
	golden.Compare(t, out.Bytes())
}

func TestIsChunkNeedsAListOfChoices(t *testing.T) {
	for event, want := range map[string]bool{
		`{"choices":[]}`:          true,
		`{"choices":[{}],"id":1}`: true,
		`{"choices":{}}`:          false,
		`{"choices":[]`:           false,
		`[DONE]`:                  false,
		``:                        false,
	} {
		if got := IsChunk([]byte(event)); got != want {
			t.Errorf("IsChunk(%q) = %t, want %t", event, got, want)
		}
	}
}
