package launch

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// testPlatform is a prefill endpoint, a decode endpoint and two discovery agents over real sockets.
type testPlatform struct {
	agents        [2]string
	subscriptions [2]atomic.Int32 // number opened at each agent
	known         string          // the entries of the endpoint list
	slowArrived   atomic.Bool     // the request "slow" has arrived at its decode endpoint
	finishSlow    chan struct{}   // closed to let the decode endpoint answer the request "slow"
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	platform := &testPlatform{finishSlow: make(chan struct{})}
	prefill := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, `{"cached_tokens":0}`)
	})
	decode := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Req-Id") == "slow" {
			platform.slowArrived.Store(true)
			<-platform.finishSlow
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"choices\":[]}\n\ndata: [DONE]\n\n")
	})
	for i := range platform.agents {
		platform.agents[i] = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
			platform.subscriptions[i].Add(1)
			sendHeartbeats(w, r)
		})
	}
	platform.known = entry("s-1", prefill, "prefill") + "," + entry("s-2", decode, "decode")
	return platform
}

func entry(id, address, kind string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"west","kind":%q,"cell":0,"state":"SERVING","weight":1,"started_ms":0}`,
		id, address, kind)
}

// sendHeartbeats serves a subscription on which nothing but heartbeats is sent.
func sendHeartbeats(w http.ResponseWriter, r *http.Request) {
	heartbeat := time.NewTicker(50 * time.Millisecond)
	defer heartbeat.Stop()
	for {
		_, _ = io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
		select {
		case <-heartbeat.C:
		case <-r.Context().Done():
			return
		}
	}
}

// TestServesReloadsAndShutsDown runs a dispatcher over real sockets. It checks that the dispatcher serves, applies a
// new configuration, keeps the old one if the new one is invalid, and shuts down gracefully while a request is in
// flight.
func TestServesReloadsAndShutsDown(t *testing.T) {
	platform := newTestPlatform(t)
	listen := freeAddress(t)
	file := newConfigFile(t, configText(listen, platform.agents[0], platform.known))
	ended := startRun(zerolog.Nop(), file)
	eventually(t, "readiness", func() bool {
		response, err := http.Get("http://" + listen + "/up")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	const stream = "data: {\"choices\":[]}\n\ndata: [DONE]\n\n"
	if status, body := post(listen, "first"); status != http.StatusOK || body != stream {
		t.Fatalf("answered %d %q", status, body)
	}
	file.write(t, "nonsense")
	raise(t, syscall.SIGHUP)
	file.write(t, configText(listen, platform.agents[1], ""))
	raise(t, syscall.SIGHUP)
	eventually(t, "the second agent's subscription", func() bool { return platform.subscriptions[1].Load() > 0 })
	if status, _ := post(listen, "second"); status != http.StatusOK {
		t.Errorf("after the new configuration: answered %d", status)
	}
	slow := make(chan int, 1)
	go func() {
		status, _ := post(listen, "slow")
		slow <- status
	}()
	eventually(t, "the slow request at its decode endpoint", platform.slowArrived.Load)
	raise(t, syscall.SIGTERM)
	if status, _ := post(listen, "third"); status != http.StatusOK {
		t.Errorf("just after SIGTERM: answered %d", status)
	}
	// Neither a second signal nor a new configuration changes a shutdown that has begun.
	raise(t, syscall.SIGTERM)
	file.write(t, "nonsense")
	raise(t, syscall.SIGHUP)
	close(platform.finishSlow)
	if status := <-slow; status != http.StatusOK {
		t.Errorf("the open request was answered %d", status)
	}
	awaitEnd(t, ended)
}

// TestShutdownBeforeListening checks that a process that receives SIGTERM while it waits for discovery ends without
// listening.
func TestShutdownBeforeListening(t *testing.T) {
	silent := listenTCP(t)
	subscriptions := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := silent.Accept()
			if err != nil {
				return
			}
			subscriptions <- conn
		}
	}()
	inUse := listenTCP(t) // the configured address: listening there would end Run with an error
	file := newConfigFile(t, configText(inUse.Addr().String(), silent.Addr().String(), ""))
	shuttingDown := make(chan bool, 1)
	ended := startRun(logHook(func(message string) {
		if message == "shutting down" {
			shuttingDown <- true
		}
	}), file)
	agent := <-subscriptions
	t.Cleanup(func() { _ = agent.Close() })
	raise(t, syscall.SIGTERM)
	<-shuttingDown
	// Now discovery responds. Without the shutdown, the process would listen after this.
	response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
	if _, err := io.WriteString(agent, response); err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, ended)
}

// TestListensOnceAddressIsFree checks that a dispatcher whose address is still in use by a previous process listens
// once the address is free.
func TestListensOnceAddressIsFree(t *testing.T) {
	inUse := listenTCP(t)
	file := newConfigFile(t, configText(inUse.Addr().String(), "127.0.0.1:1", ""))
	serving := make(chan bool, 1)
	ended := startRun(logHook(func(message string) {
		switch message {
		case "listen failed":
			_ = inUse.Close()
		case "serving":
			serving <- true
		}
	}), file)
	select {
	case <-serving:
	case err := <-ended:
		t.Fatalf("Run ended with %v", err)
	case <-time.After(waitTimeout):
		t.Fatal("the dispatcher does not listen")
	}
	raise(t, syscall.SIGTERM)
	awaitEnd(t, ended)
}

func TestAddressThatStaysInUseEndsRun(t *testing.T) {
	inUse := listenTCP(t)
	file := newConfigFile(t, configText(inUse.Addr().String(), "127.0.0.1:1", ""))
	if err := Run(zerolog.Nop(), file.environment); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("Run ended with %v", err)
	}
}
