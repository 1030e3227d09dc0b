package main

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["cold"] = coldCase }

func envFloat(name string, standard float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return standard
}

// budget counts what reaches a host that has started cold, and tells when it falls.
type budget struct {
	mu        sync.Mutex
	startedAt time.Time
	told      []time.Time // when each dispatcher was told of the start
	arrivals  []arrival
	fallen    bool
	first     int     // first arrival of the current span
	limit     float64 // more than this many requests within a span make the host fall
	most      int     // requests in the fullest span so far
	mostTold  int     // of these, from dispatchers that were told
}

type arrival struct {
	at         time.Time
	dispatcher int
}

const (
	coldFrom = 0.25
	coldFor  = 14 * time.Second
	multiple = 2.5
	span     = 2 * time.Second
)

// add counts a request and reports whether the host falls now.
func (b *budget) add(dispatcher int) (falls bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startedAt.IsZero() || b.fallen || time.Since(b.startedAt) > coldFor {
		return false
	}
	now := time.Now()
	b.arrivals = append(b.arrivals, arrival{now, dispatcher})
	for now.Sub(b.arrivals[b.first].at) > span {
		b.first++
	}
	if n := len(b.arrivals) - b.first; n > b.most {
		b.most, b.mostTold = n, 0
		for _, one := range b.arrivals[b.first:] {
			if told := b.told[one.dispatcher]; !told.IsZero() && one.at.After(told) {
				b.mostTold++
			}
		}
	}
	b.fallen = float64(b.most) > b.limit
	return b.fallen
}

// coldCase: a writer of a slower kind dies under load and comes back cold, beside writers of a faster kind.
func coldCase(w *world) string {
	dispatchers := int(envFloat("D", 3))
	load := envFloat("LOAD", 1.15) // share of what all writers can write together
	bigSlots, smallSlots := envFloat("BIG", 64), envFloat("SMALL", 16)
	const readers, bigs, smalls, events = 6, 4, 2, 64
	const pause = 50 * time.Millisecond
	f := &fleet{states: map[string]string{}}
	var hosts []*host
	var kinds []string
	add := func(kind, name string, reader bool) *host {
		h := w.newHost(f, name, "127.0.0.1", reader, dispatchers)
		hosts, kinds = append(hosts, h), append(kinds, kind)
		return h
	}
	for i := range readers {
		add("prefill", fmt.Sprint("s-r", i), true).rate = 50000
	}
	for i := range bigs + smalls {
		kind, slots := "decode", bigSlots
		if i >= bigs {
			kind, slots = "decode-b", smallSlots
		}
		h := add(kind, fmt.Sprint("s-w", i), false)
		h.events, h.pause, h.queueMost, h.slots = events, pause, 25, make(chan struct{}, int(slots))
	}
	number := readers + bigs // of the writer that dies; the other one of its kind stays up
	small := hosts[number]
	classes := []map[string]any{class("chat", "read_like", time.Second, 4*time.Second),
		class("post", "non_idempotent", time.Second, 4*time.Second)}
	entryOf := func(i, n int, startedMs int64) entry {
		return entry{id: hosts[i].name, addr: hosts[i].address(n), zone: "west", kind: kinds[i], state: "SERVING", weight: 1,
			startedMs: startedMs}
	}
	for n := range dispatchers {
		var entries []entry
		for i := range hosts {
			entries = append(entries, entryOf(i, n, 0))
		}
		a := w.newAgent(fmt.Sprint("agent", n), "127.0.0.1", 3, entries)
		w.agents = append(w.agents, a)
		settings := smallSettings(dispatchers, []string{"prefill", "decode", "decode-b"},
			[]string{"read", "write", "write"}, []int{200000, 150000, 150000}, classes)
		w.newDispatcher(fmt.Sprint("n", n), "127.0.0.1", a.address,
			map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings, nil)
	}
	for _, d := range w.dispatchers {
		d.start()
	}
	for _, d := range w.dispatchers {
		d.waitReady(10 * time.Second)
	}

	// What reaches the cold host is counted from its start. Its speed stays at cold_from until it is warm.
	secondsEach := (events * pause).Seconds() // for a stream on a warm host
	capacity := coldFrom * smallSlots / secondsEach
	allowed := multiple * capacity * span.Seconds()
	b := &budget{told: make([]time.Time, dispatchers), limit: allowed + 2*math.Sqrt(allowed) + 2}
	if allowed < 30 {
		b.limit = allowed + 3*math.Sqrt(allowed) + 3
	}
	var fellAt time.Time
	small.onArrival = func(dispatcher int, id string) {
		if b.add(dispatcher) {
			small.crash() // for good
			b.mu.Lock()
			fellAt = time.Now()
			b.mu.Unlock()
		}
	}
	small.speed = func(now time.Time) float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.startedAt.IsZero() || now.Sub(b.startedAt) >= coldFor {
			return 1
		}
		return coldFrom
	}

	total := load * (bigs*bigSlots + smalls*smallSlots) / secondsEach
	w.log("%.0f requests a second in all", total)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	brokenByFall := 0
	go func() {
		next := time.Now()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			next = next.Add(time.Duration(float64(time.Second) / total))
			time.Sleep(time.Until(next))
			wait.Add(1)
			go func() {
				defer wait.Done()
				a := ask{id: w.newID(), class: "post", key: fmt.Sprint("k", n), deadline: 4 * time.Second,
					extra: "prompt_len=700,prefix_len=0,max_out=60", body: chatBody(700)}
				got := w.send(w.dispatchers[n%dispatchers].address, a, 20*time.Second)
				b.mu.Lock()
				sinceFall := got.endAt.Sub(fellAt)
				byFall := !fellAt.IsZero() && sinceFall > -10*time.Millisecond && sinceFall < 200*time.Millisecond
				b.mu.Unlock()
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got.err != nil:
					counts["broken"]++
				default:
					counts[fmt.Sprint(got.status)]++
				}
				if byFall && (got.err != nil || got.status == 500) {
					brokenByFall++
					w.log("request %s ends with the fall: %v", a.id, got)
				}
			}()
		}
	}()
	time.Sleep(10 * time.Second)
	w.log("streams done: %v", done(hosts[readers:]))
	if w.trouble {
		small.crash()
		time.Sleep(6 * time.Second)
		b.mu.Lock()
		b.startedAt = time.Now()
		startedMs := b.startedAt.UnixMilli()
		b.mu.Unlock()
		small.comeBack()
		w.log("%s is back, cold", small.name)
		for n, a := range w.agents {
			a.change(entryOf(number, n, startedMs))
			b.mu.Lock()
			b.told[n] = time.Now()
			b.mu.Unlock()
		}
	}
	time.Sleep(10 * time.Second)
	w.log("streams done: %v, refused by %s: %d", done(hosts[readers:]), small.name, small.refused)
	close(stop)
	wait.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	w.log("answers: %v", counts)
	for i, one := range b.arrivals {
		w.log("request %d at the cold host: from n%d, %.3f s after its start", i+1, one.dispatcher, one.at.Sub(b.startedAt).Seconds())
	}
	w.log("cold capacity %.2f a second, allowed %.1f in %v, with slack %.1f; most %d, %d of them from dispatchers that were "+
		"told of the start", capacity, allowed, span, b.limit, b.most, b.mostTold)
	if b.fallen && 3*b.mostTold > 2*b.most {
		return fmt.Sprintf("the cold host fell %.1f s after its start: %d requests within %v (%d from dispatchers that were "+
			"told), it bears %.1f; %d requests that it had taken broke off with it", fellAt.Sub(b.startedAt).Seconds(), b.most,
			span, b.mostTold, b.limit, brokenByFall)
	}
	return ""
}

func done(hosts []*host) (done []int) {
	for _, h := range hosts {
		h.mu.Lock()
		done = append(done, h.done)
		h.mu.Unlock()
	}
	return done
}
