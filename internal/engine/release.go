package engine

import (
	"slices"
	"strings"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// Release has a host drop whatever it holds for some attempts. It may have a connection and a descriptor beyond those that attempts may use,
// as a state must not be pinned by want of either. Where it may not have arrived it is tried again, with all else that the host is
// owed in one request, for as long as a host keeps by its own lease what nobody asks for.
func (e *Engine) Release(id scheduler.EndpointID, names []string) {
	h := e.hosts[id]
	if h == nil || len(names) == 0 {
		return
	}
	e.letGo(h, names, releaseTimeout, func(arrived bool) {
		if !arrived {
			for _, name := range names {
				h.owed = append(h.owed, owed{name, e.loop.Now() + releaseFor})
			}
			e.owe(h)
		}
	})
}

// owed is an attempt that a host has not been told to let go of.
type owed struct {
	name  string
	until eventloop.Micros
}

// owe tells a host again after a pause, which grows while it can't be reached.
func (e *Engine) owe(h *host) {
	if h.owing || len(h.owed) == 0 {
		return
	}
	h.owing = true
	e.loop.AfterFunc(max(h.pause, releasePause), func() {
		now := e.loop.Now()
		h.owed = slices.DeleteFunc(h.owed, func(o owed) bool { return o.until < now })
		n := min(len(h.owed), maxReleaseBatch)
		if n == 0 {
			h.owing, h.pause = false, 0
			return
		}
		var names []string
		for _, o := range h.owed[:n] {
			names = append(names, o.name)
		}
		e.letGo(h, names, releaseTimeout+2*h.pause, func(arrived bool) { // a connection may be slow to come up
			h.owing = false
			if h.pause = min(max(2*h.pause, releasePause), maxReleasePause); arrived {
				h.owed, h.pause = slices.Delete(h.owed, 0, n), 0
			}
			e.owe(h)
		})
	})
}

func (e *Engine) letGo(h *host, names []string, within eventloop.Micros, done func(arrived bool)) {
	answer := func(head *http1.Head, _ []byte) Result {
		if head.Status == 200 {
			return Result{Outcome: scheduler.PrefillDone}
		}
		return Result{Outcome: scheduler.Errored}
	}
	e.call(h, Call{IsRelease: true, MaxResponseBody: maxResponseBody, ReadResponse: answer, BuildRequest: func(addr string, _ eventloop.Micros) []byte {
		return http1.AppendRequest(nil, http1.Request{Method: "POST", Target: "/v1/kv/release", Host: addr, Body: []byte(`{"request_ids":["` + strings.Join(names, `","`) + `"]}`)},
			"Content-Type", "application/json", "x-dispatcher", e.name, "x-zone", e.zone)
	}}, within, Callbacks{Ended: func(o Result) { done(o.Outcome == scheduler.PrefillDone) }})
}
