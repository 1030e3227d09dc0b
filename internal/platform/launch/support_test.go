package launch

import (
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// waitTimeout is how long tests wait for effects of sockets, signals and processes.
const waitTimeout = 10 * time.Second

// listenTCP listens on a loopback address until the test ends.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener := listenTCP(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// serveHTTP serves a handler until the test ends, and returns its address.
func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener := listenTCP(t)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// configFile is a configuration file that a test may overwrite.
type configFile struct{ path string }

func newConfigFile(t *testing.T, text string) *configFile {
	t.Helper()
	file := &configFile{path: filepath.Join(t.TempDir(), "config.json")}
	file.write(t, text)
	return file
}

func (f *configFile) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// environment replaces os.Getenv, and returns the file's path for each variable.
func (f *configFile) environment(string) string { return f.path }

// startRun calls Run on a new goroutine, and returns the channel that receives its result.
func startRun(log zerolog.Logger, file *configFile) chan error {
	ended := make(chan error, 1)
	go func() { ended <- Run(log, file.environment) }()
	return ended
}

// awaitEnd waits for Run to return without an error.
func awaitEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("Run ended with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("Run did not return")
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	deadline := time.After(waitTimeout)
	for !holds() {
		select {
		case <-poll.C:
		case <-deadline:
			t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
		}
	}
}

// raise sends a signal to this process, whose handler Run has installed.
func raise(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// logHook returns a logger that calls f with each message.
func logHook(f func(message string)) zerolog.Logger {
	hook := func(_ *zerolog.Event, _ zerolog.Level, message string) { f(message) }
	return zerolog.New(io.Discard).Hook(zerolog.HookFunc(hook))
}

// post sends a request to the dispatcher, and returns the response's status and body. On an error it returns status 0
// and the error's text.
func post(address, id string) (status int, body string) {
	request, err := http.NewRequest("POST", "http://"+address+"/v1/chat/completions", strings.NewReader(`{"stream":true}`))
	if err != nil {
		return 0, err.Error()
	}
	for name, value := range map[string]string{
		"Req-Id": id, "Req-Kind": "explain", "Req-Deadline": "4000m", "Req-Key": "k",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}
