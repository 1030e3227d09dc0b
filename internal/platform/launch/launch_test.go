package launch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const usualSettings = `{"group_size": 1, "tick": 4000000, "zone": 0, "localities": ["west"], "host_types": ["prefill", "decode"],
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 140000], "let_go_by": 500000000},
"limits": {"send_cap": 6, "may_cancel": true, "connect_timeout": 250000000, "conn_idle": 30000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [{"name": "explain", "aim": 1000000000, "deadline": 4000000000, "repeat": "read_like", "points": 2.0}]}`

func config(listen, discovery, known string) string {
	return fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
"known":{"version":41,"full":true,"servers":[%s]},"settings":%s}`, listen, discovery, known, usualSettings)
}

func none(string) string { return "" }

func TestBadStart(t *testing.T) {
	good := config("127.0.0.1:7070", "127.0.0.1:8500", "")
	for name, c := range map[string]struct{ text, says string }{
		"not JSON":         {good[:len(good)-1], "not a JSON object"},
		"no listen":        {strings.Replace(good, `"listen"`, `"listens"`, 1), "listen: missing, and the variable BALANCER_LISTEN is not set"},
		"no port":          {strings.Replace(good, "127.0.0.1:7070", "127.0.0.1", 1), "listen: address 127.0.0.1: missing port"},
		"port 0":           {strings.Replace(good, "127.0.0.1:8500", "127.0.0.1:0", 1), `discovery: "127.0.0.1:0" names no port`},
		"negative limit":   {strings.Replace(good, `"sockets":256`, `"sockets":-1`, 1), "limits: below zero"},
		"no settings":      {strings.Replace(good, `"settings"`, `"setting"`, 1), "settings: missing"},
		"unknown duty":     {strings.Replace(good, `"read", "write"`, `"read", "wrote"`, 1), `settings: duty_by_kind 1: unknown duty "wrote"`},
		"settings no JSON": {strings.Replace(good, `"settings":{`, `"settings":"x","s":{`, 1), "settings: the start settings are not a JSON object"},
	} {
		if _, err := Parse([]byte(c.text), none); err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, c.says)
		}
	}
	if _, err := Read(none); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("without the variable: %v", err)
	}
	if _, err := Read(func(string) string { return filepath.Join(t.TempDir(), "none.json") }); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Errorf("without the file: %v", err)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	os.WriteFile(path, []byte(config(taken.Addr().String(), "127.0.0.1:1", "")), 0o600)
	err = Run(zerolog.Nop(), func(string) string { return path })
	if err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("on an address in use: %v", err)
	}
}

// TestServes runs a dispatcher over real sockets: it serves, follows a new configuration, keeps the old one where the new can't be
// read, and ends in good order with a request still open.
func TestServes(t *testing.T) {
	hold := make(chan struct{})
	var held atomic.Bool
	serve := func(answer http.HandlerFunc) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: answer}
		go s.Serve(ln)
		t.Cleanup(func() { s.Close() })
		return ln.Addr().String()
	}
	reader := serve(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(202)
		io.WriteString(w, `{"cached_tokens":0}`)
	})
	writer := serve(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Req-Id") == "slow" {
			held.Store(true)
			<-hold
		}
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "data: {\"choices\":[]}\n\ndata: [DONE]\n\n")
	})
	var watched [2]atomic.Int32
	agent := func(i int) string {
		return serve(func(w http.ResponseWriter, r *http.Request) {
			watched[i].Add(1)
			for r.Context().Err() == nil {
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
				select {
				case <-time.After(50 * time.Millisecond):
				case <-r.Context().Done():
				}
			}
		})
	}
	agents := []string{agent(0), agent(1)}
	spare, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := spare.Addr().String()
	spare.Close()
	entry := func(id, addr, kind string) string {
		return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"west","kind":%q,"cell":0,"state":"SERVING","weight":1,"started_ms":0}`, id, addr, kind)
	}
	known := entry("s-1", reader, "prefill") + "," + entry("s-2", writer, "decode")
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(config(listen, agents[0], known))
	ended := make(chan error, 1)
	go func() { ended <- Run(zerolog.Nop(), func(string) string { return path }) }()
	// wait polls what real sockets and signals take their time for.
	wait := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !holds(); {
			if time.Now().After(end) {
				t.Fatalf("not in 10 s: %s", what)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	ask := func(id string) (int, string) {
		req, _ := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(`{"stream":true}`))
		for name, value := range map[string]string{"Req-Id": id, "Req-Kind": "explain", "Req-Deadline": "4000m", "Req-Key": "k"} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	wait("readiness", func() bool {
		resp, err := http.Get("http://" + listen + "/up")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == 200
	})
	if status, body := ask("first"); status != 200 || body != "data: {\"choices\":[]}\n\ndata: [DONE]\n\n" {
		t.Fatalf("answered %d %q", status, body)
	}
	hup := func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	write("nonsense")
	hup()
	write(config(listen, agents[1], ""))
	hup()
	wait("the second agent's watch", func() bool { return watched[1].Load() > 0 })
	if status, _ := ask("second"); status != 200 {
		t.Errorf("after the new configuration: answered %d", status)
	}
	slow := make(chan int, 1)
	go func() { status, _ := ask("slow"); slow <- status }()
	wait("the slow one at its writer", held.Load)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if status, _ := ask("third"); status != 200 {
		t.Errorf("just after SIGTERM: answered %d", status)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM) // neither a second one nor a new configuration changes what was begun
	write("nonsense")
	hup()
	close(hold)
	if status := <-slow; status != 200 {
		t.Errorf("the open one was answered %d", status)
	}
	awaitEnd(t, ended)
}

// awaitEnd waits for a process to end in good order.
func awaitEnd(t *testing.T, ended chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it did not end")
	}
}

// TestLeavesBeforeItListens: a process that is told to end while it still waits for discovery ends, and never listens.
func TestLeavesBeforeItListens(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	asked := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := silent.Accept()
			if err != nil {
				return
			}
			asked <- c
		}
	}()
	taken, err := net.Listen("tcp", "127.0.0.1:0") // where it would listen: it would end with an error
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config(taken.Addr().String(), silent.Addr().String(), "")), 0o600); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	leaving := make(chan bool, 1)
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, text string) {
		if strings.HasPrefix(text, "leaving") {
			leaving <- true
		}
	}))
	go func() { ended <- Run(log, func(string) string { return path }) }()
	agent := <-asked
	defer agent.Close()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-leaving
	// Now discovery speaks, which would have it listen.
	if _, err := io.WriteString(agent, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"); err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, ended)
}

func FuzzConfig(f *testing.F) {
	f.Add(config("127.0.0.1:7070", "127.0.0.1:8500", ""))
	f.Fuzz(func(t *testing.T, text string) {
		if b, err := Parse([]byte(text), none); (b == nil) == (err == nil) {
			t.Errorf("%v, %v", b, err)
		}
	})
}
