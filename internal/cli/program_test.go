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

// binary is the path of the program, which TestMain builds for tests that run it as a process.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRunTests(m))
}

func buildAndRunTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "plumspindle-test")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "plumspindle")
	if out, err := exec.Command("go", "build", "-o", binary, "plumspindle/cmd/plumspindle").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		return 1
	}
	return m.Run()
}

// waitUntil polls until a condition holds, for example one on another process. It fails the test after timeout.
func waitUntil(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := pollUntil(ctx, time.Millisecond, condition); err != nil {
		t.Fatalf("%s: not met within %v", what, timeout)
	}
}

// startUp runs the up command until the test ends, and then checks that the command ends gracefully.
func startUp(t *testing.T) scenarios.Ready {
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
	var ready scenarios.Ready
	waitUntil(t, 20*time.Second, "ready file", func() bool {
		content, err := os.ReadFile(file)
		return err == nil && json.Unmarshal(content, &ready) == nil && ready.Key != ""
	})
	return ready
}

func newClient(ready scenarios.Ready, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(ready.API+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, MaxCompletionTokens: openai.Int(20),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("You review."), openai.UserMessage("Is it good?")}}
}

// TestOfficialClientChatsStreamsEmbedsAndGetsTypedErrors checks that the official OpenAI client library can chat with
// and without streaming, list models and embed, and that it receives errors of the right type.
func TestOfficialClientChatsStreamsEmbedsAndGetsTypedErrors(t *testing.T) {
	ready := startUp(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := newClient(ready, ready.Key)
	t.Run("unstreamed answer", func(t *testing.T) { checkUnstreamedAnswer(ctx, t, client) })
	t.Run("streamed answer", func(t *testing.T) { checkStreamedAnswer(ctx, t, client) })
	t.Run("models", func(t *testing.T) { checkModels(ctx, t, client) })
	t.Run("embeddings", func(t *testing.T) { checkEmbeddings(ctx, t, client) })
	t.Run("errors", func(t *testing.T) { checkTypedErrors(ctx, t, client, newClient(ready, "sk-wrong")) })
}

func checkUnstreamedAnswer(ctx context.Context, t *testing.T, client openai.Client) {
	answer, err := client.Chat.Completions.New(ctx, chatParams("review-post"))
	if err != nil {
		t.Fatal(err)
	}
	choice := answer.Choices[0]
	if choice.Message.Content == "" || choice.FinishReason != "stop" || answer.Usage.CompletionTokens == 0 ||
		answer.Model != "review-post" || !strings.HasPrefix(answer.ID, "chatcmpl-") {
		t.Errorf("answer: %s", answer.RawJSON())
	}
}

func checkStreamedAnswer(ctx context.Context, t *testing.T, client openai.Client) {
	params := chatParams("review-post")
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	accumulated := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !accumulated.AddChunk(stream.Current()) {
			t.Error("the accumulator rejected a chunk")
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	message := accumulated.Choices[0].Message
	if message.Content == "" || message.Role != "assistant" || accumulated.Usage.TotalTokens == 0 {
		t.Errorf("streamed answer: %+v", accumulated.ChatCompletion)
	}
}

func checkModels(ctx context.Context, t *testing.T, client openai.Client) {
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 5 {
		t.Errorf("models: %v, %v", models, err)
	}
	if model, err := client.Models.Get(ctx, "explain"); err != nil || model.ID != "explain" {
		t.Errorf("model: %v, %v", model, err)
	}
}

func checkEmbeddings(ctx context.Context, t *testing.T, client openai.Client) {
	const inputs, distinct, dimensions = 300, 100, 32
	for _, format := range []openai.EmbeddingNewParamsEncodingFormat{"",
		openai.EmbeddingNewParamsEncodingFormatFloat, openai.EmbeddingNewParamsEncodingFormatBase64} {
		texts := make([]string, inputs)
		for i := range texts {
			texts[i] = fmt.Sprintf("note %d", i%distinct)
		}
		got, err := client.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "embed", EncodingFormat: format,
			Dimensions: openai.Int(dimensions), Input: openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: texts}})
		if err != nil || len(got.Data) != inputs || got.Model != "embed" || got.Usage.TotalTokens == 0 {
			t.Fatalf("embeddings, format %q: %v", format, err)
		}
		for i, vector := range got.Data {
			same := fmt.Sprint(vector.Embedding) == fmt.Sprint(got.Data[i%distinct].Embedding)
			if vector.Index != int64(i) || format != "base64" && (len(vector.Embedding) != dimensions || !same) {
				t.Fatalf("embedding %d, format %q: index %d, %d numbers", i, format, vector.Index, len(vector.Embedding))
			}
		}
	}
	_, err := client.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "embed",
		Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("")}})
	if err == nil || !strings.Contains(err.Error(), "input[0]") {
		t.Errorf("empty input: %v", err)
	}
}

func checkTypedErrors(ctx context.Context, t *testing.T, client, unauthorised openai.Client) {
	params := chatParams("abacus")
	_, err := client.Chat.Completions.New(ctx, params)
	var typed *openai.Error
	if !errors.As(err, &typed) || typed.StatusCode != 404 || typed.Code != "model_not_found" || typed.Param != "model" {
		t.Errorf("unknown model: %v", err)
	}
	_, err = unauthorised.Chat.Completions.New(ctx, params)
	if !errors.As(err, &typed) || typed.StatusCode != 401 || typed.Code != "invalid_api_key" {
		t.Errorf("wrong key: %v", err)
	}
}

// TestFiveThousandClientsAtOnceAreAllAnswered lets thousands of clients connect at once. Each must be answered, and so
// must a client that connects after them.
func TestFiveThousandClientsAtOnceAreAllAnswered(t *testing.T) {
	ready := startUp(t)
	address := strings.TrimPrefix(ready.API, "http://")
	const clients = 5000
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for range clients {
		wg.Go(func() {
			status, err := statusOfCall(address, ready.Key)
			if err != nil {
				status = err.Error()
			}
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
	}
	wg.Wait()
	if statuses["200"] != clients {
		t.Errorf("statuses: %v", statuses)
	}
	response, err := http.Get(ready.API + "/v1/models")
	if err != nil {
		t.Fatalf("after the burst: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != 401 {
		t.Errorf("after the burst: %v", response)
	}
}

// statusOfCall lists the models over a new connection and returns the status of the response.
func statusOfCall(address, key string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, 20*time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		return "", err
	}
	// The error is ignored, because after a failed write the read below fails too.
	_, _ = fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\n"+
		"Authorization: Bearer %s\r\nConnection: close\r\n\r\n", key)
	const statusAt, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	var head [statusEnd]byte
	if _, err := conn.Read(head[:]); err != nil {
		return "", err
	}
	return string(head[statusAt:]), nil
}

// TestScenarioOverSocketsPassesAudit checks that a short scenario over sockets, with a dispatcher killed, an endpoint
// crashed and another drained, passes its audit, and that a second audit of its record passes too. A scenario that does
// not exist must be an error.
func TestScenarioOverSocketsPassesAudit(t *testing.T) {
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
	out, err = exec.Command(binary, "day", filepath.Join(dir, "none")).CombinedOutput()
	if err == nil || bytes.Contains(out, []byte("panic")) {
		t.Errorf("scenario that does not exist: %v\n%s", err, out)
	}
}

// TestBadArgumentsFailWithMessage checks that commands with bad arguments fail with a message and don't panic.
func TestBadArgumentsFailWithMessage(t *testing.T) {
	for _, args := range [][]string{
		{"serve"},
		{"up", "--listen", "0.0.0.0:0"},
		{"check", "no-such-file"},
		{"day", "quiet", "--dispatchers", "0"},
		{"audit", "."},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			out, err := exec.Command(binary, args...).CombinedOutput()
			if err == nil || len(out) == 0 || bytes.Contains(out, []byte("panic")) {
				t.Errorf("%v: %v\n%s", args, err, out)
			}
		})
	}
}
