package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() {
	cases["watch"] = watchCase
	cases["restart"] = restartCase
}

// slowAnswer is the time that a slow discovery takes to answer a call.
func slowAnswer() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("SLOW_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 1800 * time.Millisecond
}

// drainGrace is the time after which nothing new may be sent to a host that drains: 250 ms of the settings and 50 ms on
// sockets.
const drainGrace = 300 * time.Millisecond

// draining are the numbers of the hosts that drain: a reader and a writer.
var draining = []int{0, 4}

// drainWorld is a small deployment with four readers and four writers, of which one reader and one writer drain.
type drainWorld struct {
	*world
	hosts []*host
	agent *agent
	d     *dispatcher

	mu       sync.Mutex
	arrivals map[string][]time.Time // at the hosts that drain
	statuses map[int]int
}

func newDrainWorld(w *world) *drainWorld {
	dw := &drainWorld{world: w, arrivals: map[string][]time.Time{}, statuses: map[int]int{}}
	f := &fleet{states: map[string]string{}}
	var entries []entry
	for i := range 8 {
		name := fmt.Sprint("s-", i)
		h := w.newHost(f, name, "127.0.0.1", i < 4, 1)
		h.onArrival = func(_ int, id string) {
			dw.mu.Lock()
			defer dw.mu.Unlock()
			dw.arrivals[name] = append(dw.arrivals[name], time.Now())
		}
		dw.hosts = append(dw.hosts, h)
		entries = append(entries, dw.entry(i, "SERVING"))
	}
	dw.agent = w.newAgent("agent", "127.0.0.1", 40, entries)
	classes := []map[string]any{class("chat", "read_like", time.Second, 4*time.Second),
		class("post", "non_idempotent", time.Second, 4*time.Second)}
	settings := smallSettings(1, []string{"prefill", "decode"}, []string{"read", "write"}, []int{200000, 150000}, classes)
	known := map[string]any{"version": 40, "full": true, "servers": dw.known(entries)}
	dw.d = w.newDispatcher("n0", "127.0.0.1", dw.agent.address,
		map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings, known)
	return dw
}

func (dw *drainWorld) entry(i int, state string) entry {
	kind := "decode"
	if dw.hosts[i].reader {
		kind = "prefill"
	}
	return entry{id: dw.hosts[i].name, addr: dw.hosts[i].address(0), zone: "west", kind: kind, state: state, weight: 1}
}

func (dw *drainWorld) known(entries []entry) (servers []map[string]any) {
	for _, e := range entries {
		servers = append(servers, map[string]any{"id": e.id, "addr": e.addr, "zone": e.zone, "kind": e.kind, "cell": e.cell,
			"state": e.state, "weight": e.weight, "started_ms": e.startedMs})
	}
	return servers
}

// drain makes a reader and a writer drain. They stay up and finish what they have; what comes later is turned away.
func (dw *drainWorld) drain() {
	for _, i := range draining {
		dw.hosts[i].mu.Lock()
		dw.hosts[i].draining = true
		dw.hosts[i].mu.Unlock()
		dw.agent.change(dw.entry(i, "DRAINING"))
	}
}

// load sends a request every 50 ms until stop is closed.
func (dw *drainWorld) load(stop chan struct{}, wait *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := ask{id: dw.newID(), class: []string{"chat", "post"}[n%2], key: fmt.Sprint("k", n), deadline: 4 * time.Second,
				extra: "prompt_len=300,prefix_len=0,max_out=60", body: chatBody(300)}
			got := dw.send(dw.d.address, a, 6*time.Second)
			dw.mu.Lock()
			dw.statuses[got.status]++
			dw.mu.Unlock()
		}()
	}
}

// late returns how many requests reached the draining hosts after a time, and how long after it the last one came.
func (dw *drainWorld) late(after time.Time) (count int, last time.Duration) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	for _, i := range draining {
		for _, at := range dw.arrivals[dw.hosts[i].name] {
			if at.After(after) {
				count++
				last = max(last, at.Sub(after))
				dw.log("%s, which drains, gets a request %.3f s after the last moment", dw.hosts[i].name, at.Sub(after).Seconds())
			}
		}
	}
	dw.log("answers by status: %v", dw.statuses)
	return count, last
}

// watchCase: the open watch falls silent, discovery answers a new one slowly, and hosts begin to drain.
func watchCase(w *world) string {
	dw := newDrainWorld(w)
	dw.d.start()
	dw.d.waitReady(10 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	go dw.load(stop, &wait)
	time.Sleep(3 * time.Second)
	silentAt := time.Now()
	if w.trouble {
		dw.agent.silence()
		dw.agent.setDelay(slowAnswer())
	}
	time.Sleep(300 * time.Millisecond)
	dw.drain()
	time.Sleep(14 * time.Second)
	close(stop)
	wait.Wait()
	if count, last := dw.late(silentAt.Add(6*time.Second + drainGrace)); count > 0 {
		return fmt.Sprintf("%d requests reached draining hosts later than 6.3 s after the watch fell silent, the last one "+
			"%.1f s later", count, last.Seconds())
	}
	return ""
}

// restartCase: a dispatcher starts again while discovery is slow; meanwhile hosts have begun to drain.
func restartCase(w *world) string {
	dw := newDrainWorld(w)
	dw.d.start()
	dw.d.waitReady(10 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	go dw.load(stop, &wait)
	time.Sleep(3 * time.Second)
	dw.d.signal(9)
	<-dw.d.exited
	dw.drain()
	if w.trouble {
		dw.agent.setDelay(slowAnswer())
	}
	time.Sleep(time.Second)
	startedAt := time.Now()
	dw.d.start()
	dw.d.waitReady(10 * time.Second)
	time.Sleep(6 * time.Second)
	close(stop)
	wait.Wait()
	if count, last := dw.late(startedAt.Add(drainGrace)); count > 0 {
		return fmt.Sprintf("%d requests reached draining hosts later than 0.3 s after the start of the new process, the last "+
			"one %.1f s later", count, last.Seconds())
	}
	return ""
}
