package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

const (
	repeatRounds = 4
	promptWords  = 12000                  // about 15,000 tokens, which a stand-in reader reads in 0.8 s
	leaveAfter   = 150 * time.Millisecond // the first client leaves, in the middle of the read
	repeatAfter  = 250 * time.Millisecond // the client comes again with the same key, before the read is over
	productLimit = 6 * time.Second        // of the product build-note, in deployment.textproto
	answerSlack  = 500 * time.Millisecond
	waitForLate  = 6 * time.Second // longer than the rule allows, to tell a late answer from none
)

// repeatDuringPrefill sends a request with an Idempotency-Key, whose client leaves during the prefill, and then the
// repeat of that request. Without the disruption the first client stays.
func repeatDuringPrefill(r *run) (broken []string, err error) {
	s, err := r.startService(filepath.Join(r.repository, "review", "3", "deployment.textproto"))
	if err != nil {
		return nil, err
	}
	key, err := s.addTenant("bahari", map[string]any{"share_per_s": 20})
	if err != nil {
		return nil, err
	}
	for round := range repeatRounds {
		id := fmt.Sprintf("note-%d", round)
		request := post{address: s.apiURL, path: "/v1/chat/completions", key: key,
			fields: []string{"Idempotency-Key", id}, body: chatBody("build-note", promptWords, 20, id)}
		began := time.Now()
		first, err := request.send()
		if err != nil {
			return nil, err
		}
		var wait sync.WaitGroup
		if r.trouble {
			time.Sleep(leaveAfter)
			_ = first.Close()
			r.note("%s: the client left after %v", id, time.Since(began).Round(time.Millisecond))
		} else {
			wait.Go(func() {
				defer first.Close()
				r.note("%s: first request: %v", id, readAnswer(first, productLimit+waitForLate))
			})
		}
		time.Sleep(time.Until(began.Add(repeatAfter)))
		repeated := time.Now()
		a := request.do(productLimit + waitForLate)
		took := time.Since(repeated)
		r.note("%s: repeat with the same key, %v after the first: %v after %v", id,
			repeated.Sub(began).Round(time.Millisecond), a, took.Round(time.Millisecond))
		if a.sent && (a.final == "" || took > productLimit+answerSlack) {
			broken = append(broken, fmt.Sprintf("the repeat of %s was taken and got no final answer in its %v", id, productLimit))
		}
		wait.Wait()
		other := post{address: s.apiURL, path: "/v1/chat/completions", key: key, body: chatBody("explain", 50, 5, id)}
		r.note("%s: another request meanwhile: %v", id, other.do(10*time.Second))
	}
	if s.dispatcher.crashed() {
		return broken, fmt.Errorf("the dispatcher ended by itself: %s", s.dispatcher.crashText())
	}
	return broken, nil
}
