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

// coldCase: a reader of a slower kind dies under load and comes back cold, beside readers of a faster kind.
func coldCase(w *world) string {
	const (
		coldFrom = 0.25
		coldFor  = 14 * time.Second
		multiple = 2.5
		span     = 2 * time.Second
	)
	dispatchers := int(envFloat("D", 8))
	prompt := envFloat("PROMPT", 700)
	bigRate, smallRate := envFloat("BIG", 28000), envFloat("SMALL", 7000)
	load := envFloat("LOAD", 1.15) // share of what all readers can read together
	bigs, smalls := int(envFloat("BIGS", 4)), int(envFloat("SMALLS", 2))
	readers := bigs + smalls
	f := &fleet{states: map[string]string{}}
	var hosts []*host
	var kinds []string
	for i := range readers {
		h := w.newHost(f, fmt.Sprint("s-r", i), "127.0.0.1", true, dispatchers)
		h.rate, h.queueMost = bigRate, 64
		kind := "prefill"
		if i >= bigs {
			h.rate, kind = smallRate, "prefill-b"
			h.queueMost = int(envFloat("QUEUE", 25))
		}
		hosts, kinds = append(hosts, h), append(kinds, kind)
	}
	for i := range 6 {
		h := w.newHost(f, fmt.Sprint("s-w", i), "127.0.0.1", false, dispatchers)
		h.events, h.pause = 20, 5*time.Millisecond
		hosts, kinds = append(hosts, h), append(kinds, "decode")
	}
	small := hosts[bigs] // the other hosts of its kind stay up
	classes := []map[string]any{class("chat", "read_like", time.Second, 4*time.Second),
		class("post", "non_idempotent", time.Second, 4*time.Second)}
	entryOf := func(i, n int, startedMs int64, state string) entry {
		return entry{id: hosts[i].name, addr: hosts[i].address(n), zone: "west", kind: kinds[i], state: state, weight: 1,
			startedMs: startedMs}
	}
	for n := range dispatchers {
		var entries []entry
		for i := range hosts {
			entries = append(entries, entryOf(i, n, 0, "SERVING"))
		}
		a := w.newAgent(fmt.Sprint("agent", n), "127.0.0.1", 3, entries)
		w.agents = append(w.agents, a)
		settings := smallSettings(dispatchers, []string{"prefill", "prefill-b", "decode"},
			[]string{"read", "read", "write"}, []int{200000, 200000, 400000}, classes)
		w.newDispatcher(fmt.Sprint("n", n), "127.0.0.1", a.address,
			map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings, nil)
	}
	for _, d := range w.dispatchers {
		d.start()
	}
	for _, d := range w.dispatchers {
		d.waitReady(10 * time.Second)
	}

	// What reaches the cold host is counted from its start; its speed rises as the settings allow it to be guessed: it
	// stays at cold_from until it is warm.
	var mu sync.Mutex
	var startedAt time.Time
	type arrival struct {
		at         time.Time
		dispatcher int
	}
	var arrivals []arrival
	told := make([]time.Time, dispatchers)
	small.onArrival = func(dispatcher int, id string) {
		mu.Lock()
		defer mu.Unlock()
		if !startedAt.IsZero() {
			arrivals = append(arrivals, arrival{time.Now(), dispatcher})
			w.log("%s gets %s from n%d", small.name, id, dispatcher)
		}
	}
	small.speed = func(now time.Time) float64 {
		mu.Lock()
		defer mu.Unlock()
		if startedAt.IsZero() || now.Sub(startedAt) >= coldFor {
			return 1
		}
		return coldFrom
	}

	total := load * (float64(bigs)*bigRate + float64(smalls)*smallRate) / prompt
	w.log("%.0f requests a second in all", total)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	counts := map[int]int{}
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
				a := ask{id: w.newID(), class: "chat", key: fmt.Sprint("k", n), deadline: 4 * time.Second,
					extra: fmt.Sprintf("prompt_len=%.0f,prefix_len=0,max_out=60", prompt), body: chatBody(int(prompt))}
				got := w.send(w.dispatchers[n%dispatchers].address, a, 8*time.Second)
				mu.Lock()
				counts[got.status]++
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(8 * time.Second)
	w.log("reads done: %v", readsDone(hosts[:readers]))
	if w.trouble {
		small.crash()
		time.Sleep(6 * time.Second)
		mu.Lock()
		startedAt = time.Now()
		mu.Unlock()
		small.comeBack()
		w.log("%s is back, cold", small.name)
		for n, a := range w.agents {
			a.change(entryOf(bigs, n, startedAt.UnixMilli(), "SERVING"))
			mu.Lock()
			told[n] = time.Now()
			mu.Unlock()
		}
	}
	time.Sleep(12 * time.Second)
	w.log("reads done: %v, refused %d", readsDone(hosts[:readers]), small.refused)
	close(stop)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.log("answers by status: %v", counts)
	if startedAt.IsZero() {
		return ""
	}
	capacity := coldFrom * smallRate / prompt // requests a second
	allowed := multiple * capacity * span.Seconds()
	limit := allowed + 2*math.Sqrt(allowed) + 2
	if allowed < 30 {
		limit = allowed + 3*math.Sqrt(allowed) + 3
	}
	most, mostTold, first := 0, 0, 0
	for i, last := range arrivals {
		for last.at.Sub(arrivals[first].at) > span {
			first++
		}
		if n := i - first + 1; n > most {
			most, mostTold = n, 0
			for _, one := range arrivals[first : i+1] {
				if one.at.After(told[one.dispatcher]) {
					mostTold++
				}
			}
			w.log("%d requests in the 2 s up to %.3f s after the start", n, last.at.Sub(startedAt).Seconds())
		}
	}
	w.log("cold capacity %.2f a second, allowed %.1f in %v, with slack %.1f; most %d, %d of them from dispatchers that "+
		"were told of the start", capacity, allowed, span, limit, most, mostTold)
	if float64(most) > limit && 3*mostTold > 2*most {
		return fmt.Sprintf("%d requests (%d from dispatchers that were told) reached the cold host within %v; it falls at more "+
			"than %.1f", most, mostTold, span, limit)
	}
	return ""
}

func readsDone(hosts []*host) (done []int) {
	for _, h := range hosts {
		h.mu.Lock()
		done = append(done, h.readDone)
		h.mu.Unlock()
	}
	return done
}
