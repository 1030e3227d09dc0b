package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	usualCalls = 1 // embeddings calls of the third tenant at once, usually
	floodCalls = 4 // during its flood: 4 times the usual, where our pages allow 2.6 to 5.7
	chatTime   = 16 * time.Second
)

// floodingTenant lets two tenants stream generations while a third one, which is limited to 2 requests at once, sends
// embeddings calls: one at a time, or four at a time during its flood.
func floodingTenant(r *run) (broken []string, err error) {
	s, err := r.startService("")
	if err != nil {
		return nil, err
	}
	chatKeys := map[string]string{}
	for _, name := range []string{"bahari", "pwani"} {
		if chatKeys[name], err = s.addTenant(name, map[string]any{"share_per_s": 20}); err != nil {
			return nil, err
		}
	}
	floodKey, err := s.addTenant("kilindini", map[string]any{"share_per_s": 5, "concurrent": 2})
	if err != nil {
		return nil, err
	}

	var mu sync.Mutex
	var wait sync.WaitGroup
	sent, answered := 0, 0
	chatEnd := time.Now().Add(chatTime)
	for name, key := range chatKeys {
		for worker := range 3 {
			wait.Go(func() {
				for n := 0; time.Now().Before(chatEnd) && !s.dispatcher.crashed(); n++ {
					model := []string{"explain", "review-post"}[n%2]
					id := fmt.Sprintf("%s-%d-%d %s", name, worker, n, model)
					request := post{address: s.apiURL, path: "/v1/chat/completions", key: key,
						body: chatBody(model, 200, 60, id)}
					a := request.do(30 * time.Second)
					r.note("chat %s: %v", id, a)
					mu.Lock()
					if a.sent {
						sent++
					}
					if a.final != "" {
						answered++
					} else if a.sent {
						broken = append(broken, "generation "+id+" of another tenant was taken and got no final answer")
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	calls := usualCalls
	if r.trouble {
		calls = floodCalls
	}
	r.note("the third tenant sends %d embeddings calls at once", calls)
	for worker := range calls { // each sends one call, so that a refused one does not add to the flood
		wait.Go(func() {
			id := fmt.Sprintf("kilindini-%d", worker)
			request := post{address: s.apiURL, path: "/v1/embeddings", key: floodKey, body: embeddingsBody(id)}
			r.note("embeddings %s: %v", id, request.do(65*time.Second))
		})
	}
	wait.Wait()
	r.note("generations of the other two tenants: %d taken, %d with a final answer", sent, answered)
	if s.dispatcher.crashed() {
		broken = append(broken, "the dispatcher ended by itself: "+s.dispatcher.crashText())
	}
	if sent < 12 {
		return broken, fmt.Errorf("only %d generations were sent", sent)
	}
	return broken, nil
}

// embeddingsBody returns the body of an embeddings call with 110 texts of 28 kB each, 3 MB in all.
func embeddingsBody(id string) []byte {
	var body strings.Builder
	body.WriteString(`{"model":"embed","input":[`)
	for i := range 110 {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `"%s text %d %s"`, id, i, strings.Repeat("mwanzo ", 4000))
	}
	body.WriteString(`]}`)
	return []byte(body.String())
}
