package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// The official client library retries some errors by itself. Whatever the failure, a side-effecting request from the
// library in its default settings is decoded a second time only if the first endpoint reported that it did not run the
// request.
func TestOfficialClientNeverRepeatsADecode(t *testing.T) {
	for _, failure := range decodeFailures {
		for _, stream := range []bool{false, true} {
			t.Run(failure.name, func(t *testing.T) {
				t.Parallel()
				testOfficialClient(t, failure, stream)
			})
		}
	}
}

func testOfficialClient(t *testing.T, failure decodeFailure, stream bool) {
	t.Helper()
	r := newSocketHarness(t, "prefill west", "decode west", "decode west")
	first, repeated := true, 0
	r.remote.Do(func() {
		for _, endpoint := range r.endpoints[1:] {
			endpoint.serve = func(c *fakeConn) {
				if first {
					first = false
					failure.serve(c)
					return
				}
				repeated++
				answerDecode(c)
			}
		}
	})
	text, err := askWithOfficialClient(r.addr, stream)
	r.remote.Do(func() {
		if repeated > 0 && !failure.provesNotRun() || repeated > 1 {
			t.Errorf("stream %v: decoded %d more times; the client got %q, %v", stream, repeated, text, err)
		}
	})
	if err == nil && text != completeText {
		t.Errorf("stream %v: no error, but the text %q", stream, text)
	}
	if want := failure.sideEffecting == "streamed"; (err == nil) != want {
		t.Errorf("stream %v: want success %v, got the error %v", stream, want, err)
	}
	if err != nil && strings.Contains(err.Error(), apiKey) {
		t.Error("the error contains the API key")
	}
}

// askWithOfficialClient asks for a chat completion with the official client library in its default settings.
func askWithOfficialClient(addr string, stream bool) (text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := openai.NewClient(option.WithBaseURL("http://"+addr+"/v1/"), option.WithAPIKey(apiKey))
	params := openai.ChatCompletionNewParams{
		Model:    "review-post",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("why?")},
	}
	if !stream {
		completion, err := client.Chat.Completions.New(ctx, params)
		if err != nil {
			return "", err
		}
		return completion.Choices[0].Message.Content, nil
	}
	events := client.Chat.Completions.NewStreaming(ctx, params)
	for events.Next() {
		if choices := events.Current().Choices; len(choices) > 0 {
			text += choices[0].Delta.Content
		}
	}
	return text, events.Err()
}
