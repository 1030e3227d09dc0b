package upstream

import (
	"fmt"
	"slices"
	"strconv"

	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const (
	// Tries of one release are spread over the time that it has, so that a host that can't be reached leaves time for others.
	releaseTries = 6
	// A KV state that could not be released in time is still worth freeing for so many times that time.
	releasePatience = 10
	// minRingPause is the least pause before all hosts are asked in turn again.
	minRingPause = eventloop.Millisecond
)

// Release has all that is held for a request released. Any host takes it, so one that can't be reached is no reason to wait: one
// is asked that spoke lately and has a connection that waits, then the others in turn. done is called once, with whether a host has
// confirmed it.
func (l *Client) Release(id string, at scheduler.HostID, done func(bool)) {
	l.Releases++
	r := &release{client: l, id: id, done: done, began: l.loop.Now(), tried: map[scheduler.HostID]bool{}}
	if now := l.loop.Now(); l.Idle(at) == 0 || now-l.Heard(at) > l.within {
		at = l.other(r, at)
	}
	r.try(at)
}

type release struct {
	client *Client
	id     string
	began  eventloop.Micros
	tried  map[scheduler.HostID]bool
	done   func(bool)
}

// other is a host not tried yet, one with a connection that waits before all others, and of those the one that spoke last: where many
// have fallen silent together their connections wait all the same, and a state has no time for one after the other.
func (l *Client) other(r *release, usual scheduler.HostID) scheduler.HostID {
	best, rank, spoke := usual, -1, eventloop.Micros(0)
	for _, h := range l.hosts() {
		at := 0
		if !r.tried[h] {
			at += 2
		}
		if l.Idle(h) > 0 {
			at++
		}
		if heard := l.Heard(h); at > rank || at == rank && heard > spoke {
			best, rank, spoke = h, at, heard
		}
	}
	return best
}

// triedAll tells whether every host has been asked since the last pause.
func (r *release) triedAll() bool {
	return !slices.ContainsFunc(r.client.hosts(), func(h scheduler.HostID) bool { return !r.tried[h] })
}

func (r *release) try(at scheduler.HostID) {
	l := r.client
	l.Tries++
	r.tried[at] = true
	call := engine.Call{Spare: true, Most: maxAnswer, Request: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, "DELETE", "/v1/holds/"+r.id, addr, nil)
	}, Answer: func(h *http1.Head, _ []byte) engine.Outcome {
		if h.Status == 204 || h.Status == 200 {
			return engine.Outcome{How: scheduler.PrefillDone}
		}
		return engine.Outcome{How: scheduler.Errored, Why: "status " + strconv.Itoa(h.Status)}
	}}
	span := l.within / releaseTries
	began := l.loop.Now()
	l.Call(at, call, span, engine.Callbacks{Ended: func(o engine.Outcome) {
		now := l.loop.Now()
		switch {
		case o.How == scheduler.PrefillDone:
			if now-r.began > l.within {
				l.Late++
			}
			r.done(true)
		case now-r.began > releasePatience*l.within:
			l.Late++
			l.Log(fmt.Sprintf("what is held for request %s could not be released: %s", r.id, o.Why))
			r.done(false)
		default:
			pause := eventloop.Micros(0)
			if r.triedAll() { // hosts that refuse at once must not be asked in a ring without a pause
				clear(r.tried)
				pause = max(span-(now-began), minRingPause)
			}
			l.loop.After(pause, func() { r.try(l.other(r, at)) })
		}
	}})
}
