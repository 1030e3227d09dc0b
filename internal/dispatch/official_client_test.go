package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// The official client library repeats some errors by itself. With its settings as they come, through every break, a
// side-effecting generation is never written a second time, unless the first writer has said that it did not run it.
func TestOfficialClientNeverRepeatsADecode(t *testing.T) {
	proofs := map[string]bool{"full": true, "draining": true, "state lost": true}
	for _, b := range decodeFailures {
		for _, stream := range []bool{false, true} {
			t.Run(b.name, func(t *testing.T) {
				t.Parallel()
				r := newSocketHarness(t, "prefill west", "decode west", "decode west")
				first, done := true, 0
				r.remote.Do(func() {
					for _, h := range r.endpoints[1:] {
						h.serve = func(l *fakeConn) {
							if first {
								first = false
								b.serve(l)
								return
							}
							done++
							answerDecode(l)
						}
					}
				})
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				client := openai.NewClient(option.WithBaseURL("http://"+r.addr+"/v1/"), option.WithAPIKey(key))
				ask := openai.ChatCompletionNewParams{Model: "review-post", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("why?")}}
				var text string
				var err error
				if stream {
					s := client.Chat.Completions.NewStreaming(ctx, ask)
					for s.Next() {
						if c := s.Current().Choices; len(c) > 0 {
							text += c[0].Delta.Content
						}
					}
					err = s.Err()
				} else {
					var a *openai.ChatCompletion
					if a, err = client.Chat.Completions.New(ctx, ask); err == nil {
						text = a.Choices[0].Message.Content
					}
				}
				r.remote.Do(func() {
					if done > 0 && !proofs[b.name] || done > 1 {
						t.Errorf("stream %v: written again %d times; the client has %q, %v", stream, done, text, err)
					}
				})
				if err == nil && text != completeText {
					t.Errorf("stream %v: no error, and %q", stream, text)
				}
				if want := b.sideEffect == "streamed"; (err == nil) != want {
					t.Errorf("stream %v: want success %v, got %v", stream, want, err)
				}
				if err != nil && strings.Contains(err.Error(), key) {
					t.Error("the key is in the error")
				}
			})
		}
	}
}
