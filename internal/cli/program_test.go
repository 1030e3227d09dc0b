package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"plumspindle/internal/testbed/scenarios"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "plumspindle-test")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "plumspindle")
	if out, err := exec.Command("go", "build", "-o", binary, "plumspindle/cmd/plumspindle").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// up runs the whole path and ends it in good order.
func up(t *testing.T) scenarios.Ready {
	t.Helper()
	file := filepath.Join(t.TempDir(), "ready")
	var out bytes.Buffer
	cmd := exec.Command(binary, "up", "--listen", "127.0.0.1:0", "--ready-file", file, "--seed", "3")
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("up ended with %v\n%s", err, out.String())
		}
	})
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		var r scenarios.Ready
		if b, err := os.ReadFile(file); err == nil && json.Unmarshal(b, &r) == nil && r.Key != "" {
			return r
		}
		time.Sleep(5 * time.Millisecond) // waits for another process, which has nothing else to be heard by
	}
	t.Fatalf("not ready: %s", out.String())
	return scenarios.Ready{}
}

// The official client library chats, streams and gets typed errors.
func TestOfficialClient(t *testing.T) {
	r := up(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := openai.NewClient(option.WithBaseURL(r.API+"/v1/"), option.WithAPIKey(r.Key), option.WithMaxRetries(0))
	ask := openai.ChatCompletionNewParams{Model: "review-post", MaxCompletionTokens: openai.Int(20),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("You review."), openai.UserMessage("Is it good?")}}
	whole, err := client.Chat.Completions.New(ctx, ask)
	if err != nil {
		t.Fatal(err)
	}
	if whole.Choices[0].Message.Content == "" || whole.Choices[0].FinishReason != "stop" || whole.Usage.CompletionTokens == 0 ||
		whole.Model != "review-post" || !strings.HasPrefix(whole.ID, "chatcmpl-") {
		t.Errorf("whole answer: %s", whole.RawJSON())
	}
	ask.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, ask)
	sum := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !sum.AddChunk(stream.Current()) {
			t.Error("a chunk that does not fit")
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if sum.Choices[0].Message.Content == "" || sum.Choices[0].Message.Role != "assistant" || sum.Usage.TotalTokens == 0 {
		t.Errorf("streamed answer: %+v", sum.ChatCompletion)
	}
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 5 {
		t.Errorf("models: %v, %v", models, err)
	}
	if one, err := client.Models.Get(ctx, "explain"); err != nil || one.ID != "explain" {
		t.Errorf("model: %v, %v", one, err)
	}
	for _, format := range []openai.EmbeddingNewParamsEncodingFormat{"", openai.EmbeddingNewParamsEncodingFormatFloat, openai.EmbeddingNewParamsEncodingFormatBase64} {
		texts := make([]string, 300)
		for i := range texts {
			texts[i] = fmt.Sprintf("note %d", i%100)
		}
		got, err := client.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "embed", EncodingFormat: format, Dimensions: openai.Int(32),
			Input: openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: texts}})
		if err != nil || len(got.Data) != 300 || got.Model != "embed" || got.Usage.TotalTokens == 0 {
			t.Fatalf("embeddings, format %q: %v", format, err)
		}
		for i, e := range got.Data {
			if e.Index != int64(i) || format != "base64" && (len(e.Embedding) != 32 || fmt.Sprint(e.Embedding) != fmt.Sprint(got.Data[i%100].Embedding)) {
				t.Fatalf("embedding %d, format %q: index %d, %d numbers", i, format, e.Index, len(e.Embedding))
			}
		}
	}
	if _, err := client.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "embed", Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("")}}); err == nil ||
		!strings.Contains(err.Error(), "input[0]") {
		t.Errorf("an empty input: %v", err)
	}
	ask.Model, ask.StreamOptions = "abacus", openai.ChatCompletionStreamOptionsParam{}
	_, err = client.Chat.Completions.New(ctx, ask)
	var typed *openai.Error
	if !errors.As(err, &typed) || typed.StatusCode != 404 || typed.Code != "model_not_found" || typed.Param != "model" {
		t.Errorf("unknown model: %v", err)
	}
	other := openai.NewClient(option.WithBaseURL(r.API+"/v1/"), option.WithAPIKey("sk-wrong"), option.WithMaxRetries(0))
	if _, err = other.Chat.Completions.New(ctx, ask); !errors.As(err, &typed) || typed.StatusCode != 401 || typed.Code != "invalid_api_key" {
		t.Errorf("wrong key: %v", err)
	}
}

// Thousands of clients connect at once; each is answered, and so is one that comes after them.
func TestFiveThousandClientsAtOnce(t *testing.T) {
	r := up(t)
	addr := strings.TrimPrefix(r.API, "http://")
	const n = 5000
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status := "none"
			c, err := net.DialTimeout("tcp", addr, 20*time.Second)
			if err == nil {
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(30 * time.Second))
				fmt.Fprintf(c, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", r.Key)
				var b [12]byte
				if _, err = c.Read(b[:]); err == nil {
					status = string(b[9:])
				}
			}
			if err != nil {
				status = err.Error()
			}
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	if statuses["200"] != n {
		t.Errorf("answers: %v", statuses)
	}
	if res, err := http.Get(r.API + "/v1/models"); err != nil || res.StatusCode != 401 {
		t.Errorf("afterwards: %v, %v", res, err)
	}
}

// A short day over sockets, with a dispatcher killed and a host crashed; then the record is judged again, as it is and
// doctored.
func TestDayOverSocketsAndAudit(t *testing.T) {
	dir := t.TempDir()
	script := filepath.Join(dir, "short.textproto")
	text := `name: "short" seconds: 5 rate: 25
troubles { at_ms: 1500 kind: "balancer_crash" share: 0.4 for_ms: 800 }
troubles { at_ms: 2000 kind: "crash" share: 0.2 for_ms: 1000 }
troubles { at_ms: 3000 kind: "drain" share: 0.1 for_ms: 800 }`
	if err := os.WriteFile(script, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	record := filepath.Join(dir, "record")
	out, err := exec.Command(binary, "day", script, "--dispatchers", "2", "--record", record).CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if out, err := exec.Command(binary, "audit", record).CombinedOutput(); err != nil {
		t.Errorf("audit: %v\n%s", err, out)
	}
	if out, err := exec.Command(binary, "day", filepath.Join(dir, "none")).CombinedOutput(); err == nil || bytes.Contains(out, []byte("panic")) {
		t.Errorf("a day that does not exist: %v\n%s", err, out)
	}
}

// Bad calls name what is wrong and do nothing.
func TestBadCalls(t *testing.T) {
	for _, args := range [][]string{{"serve"}, {"up", "--listen", "0.0.0.0:0"}, {"check", "no-such-file"}, {"day", "quiet", "--dispatchers", "0"}, {"audit", "."}} {
		out, err := exec.Command(binary, args...).CombinedOutput()
		if err == nil || len(out) == 0 || bytes.Contains(out, []byte("panic")) {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
}
