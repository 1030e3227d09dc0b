package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	notes        = 12
	resetOneIn   = 3                     // the first decode of one request in so many is reset under way
	resetAfter   = 50 * time.Millisecond // after the request has begun at its decode endpoint
	repeatWindow = 5 * time.Second       // of the product build-note, in deployment.textproto
	tenantKey    = "key-of-the-case"
)

// marks are the header fields by which a decode endpoint knows a repeat: those that a client or the dispatcher may use
// to name one request. A repeat is known if any of them has a value that was seen before.
var marks = []string{"Idempotency-Key", "X-Client-Request-Id", "X-Request-Id"}

// fleet is the stand-in of a group of endpoints that drops repeats: they share what they remember.
type fleet struct {
	run *run

	mu         sync.Mutex
	remembered map[string]time.Time // by mark
	effects    map[string]int       // by request: how often its effect was applied
	decodes    map[string]int       // by request: how many decode attempts have arrived
}

// markedRepeat resets the connection under decodes of a deduplicated product that have begun, and counts how often each
// request's effect is applied by endpoints that drop the repeats that they can know.
func markedRepeat(r *run) (broken []string, err error) {
	f := &fleet{run: r, remembered: map[string]time.Time{}, effects: map[string]int{}, decodes: map[string]int{}}
	list, err := f.listen("prefill", "prefill", "decode", "decode")
	if err != nil {
		return nil, err
	}
	roster, err := r.start("roster", "roster", list, "--listen", "127.0.0.1:0", "--ready-file", r.path("roster.ready"))
	if err != nil {
		return nil, err
	}
	discovery, err := r.awaitReady(roster, "roster.ready")
	if err != nil {
		return nil, err
	}
	dispatcher, err := r.start("serve", "serve", "--deployment", filepath.Join(r.repository, "review", "2",
		"deployment.textproto"), "--listen", "127.0.0.1:0", "--roster", discovery, "--name", "d1", "--state-dir",
		r.path("intents"), "--ready-file", r.path("serve.ready"))
	if err != nil {
		return nil, err
	}
	api, err := r.awaitReady(dispatcher, "serve.ready")
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second) // until the dispatcher has the endpoint list
	answered := 0
	for n := range notes {
		id := fmt.Sprintf("note-%d-%d", time.Now().UnixNano(), n)
		request := post{address: api, path: "/v1/chat/completions", key: tenantKey,
			fields: []string{"Idempotency-Key", id}, body: chatBody("build-note", 20, 20, id)}
		a := request.do(15 * time.Second)
		r.note("client: %s with Idempotency-Key %s: %v", id, id, a)
		if a.final == streamed {
			answered++
		}
	}
	if dispatcher.crashed() {
		return nil, fmt.Errorf("the dispatcher ended by itself: %s", dispatcher.crashText())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, count := range f.effects {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("%s, which a client sent once, was applied %d times", id, count))
		}
	}
	r.note("%d requests, %d applied at least once, %d answered in full", notes, len(f.effects), answered)
	if len(f.effects) < notes/2 {
		return broken, fmt.Errorf("only %d requests reached a decode endpoint", len(f.effects))
	}
	return broken, nil
}

// listen starts endpoints of the given kinds and writes the list that discovery serves.
func (f *fleet) listen(kinds ...string) (path string, err error) {
	var hosts []map[string]any
	for i, kind := range kinds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		name := fmt.Sprintf("%s %d", kind, i+1)
		go func() {
			_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				f.serve(name, kind, w, request)
			}))
		}()
		hosts = append(hosts, map[string]any{"id": i + 1, "addr": listener.Addr().String(), "zone": "west", "kind": kind,
			"cell": 0, "condition": "ready"})
	}
	list, err := json.Marshal(map[string]any{"hosts": hosts})
	if err != nil {
		return "", err
	}
	return f.run.write("list.json", string(list))
}

// serve answers one request to an endpoint.
func (f *fleet) serve(name, kind string, w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var decoded struct {
		Messages []struct{ Content string }
	}
	if request.URL.Path != "/v1/chat/completions" || json.Unmarshal(body, &decoded) != nil || len(decoded.Messages) == 0 {
		w.WriteHeader(http.StatusOK) // the release of a state
		return
	}
	id, _, _ := strings.Cut(decoded.Messages[0].Content, " ")
	if kind == "prefill" {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"object":"chat.completion","choices":[],"usage":{"prompt_tokens":30,"completion_tokens":1,`+
			`"total_tokens":31},"kv_transfer_params":{"remote_addr":"%s","remote_request_id":"%s"}}`,
			request.Host, request.Header.Get("X-Request-Id"))
		return
	}
	repeat, broken := f.decode(name, id, request.Header)
	if broken {
		time.Sleep(resetAfter)
		f.run.note("%s: the connection is reset under %s", name, id)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"noted%v\"},\"finish_reason\":null}]}\n\n", repeat)
	fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

// decode applies the effect of a request unless it is known as a repeat. It reports whether it was, and whether the
// connection is to be reset.
func (f *fleet) decode(name, id string, head http.Header) (repeat, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var values []string
	for _, mark := range marks {
		value := head.Get(mark)
		if value == "" {
			continue
		}
		values = append(values, mark+" "+value)
		if at, seen := f.remembered[mark+" "+value]; seen && time.Since(at) <= repeatWindow {
			repeat = true
		}
		f.remembered[mark+" "+value] = time.Now()
	}
	if !repeat {
		f.effects[id]++
	}
	f.decodes[id]++
	f.run.note("%s: decode %d of %s, marks %q: known as a repeat: %v, applied %d times so far", name, f.decodes[id], id,
		values, repeat, f.effects[id])
	return repeat, f.run.trouble && f.decodes[id] == 1 && len(f.decodes)%resetOneIn == 0
}
