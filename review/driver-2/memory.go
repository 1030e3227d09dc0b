package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryCase lets a few clients send bodies that can't be read, and watches the dispatcher's memory as the platform
// does, while usual clients are served.
func memoryCase(w *world) string {
	limitMB := 48
	if v, err := strconv.Atoi(os.Getenv("LIMIT_MB")); err == nil {
		limitMB = v
	}
	f := &fleet{states: map[string]string{}}
	var entries []entry
	for i := range 4 {
		isReader, kind := i < 2, "decode"
		if isReader {
			kind = "prefill"
		}
		h := w.newHost(f, fmt.Sprint("s-", i), "127.0.0.1", isReader, 1)
		entries = append(entries, entry{id: h.name, addr: h.address(0), zone: "west", kind: kind, state: "SERVING", weight: 1})
	}
	agent := w.newAgent("agent", "127.0.0.1", 3, entries)
	classes := []map[string]any{class("chat", "read_like", time.Second, 4*time.Second),
		class("post", "non_idempotent", time.Second, 4*time.Second)}
	settings := smallSettings(1, []string{"prefill", "decode"}, []string{"read", "write"}, []int{200000, 150000}, classes)
	d := w.newDispatcher("n0", "127.0.0.1", agent.address,
		map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": 512}, settings, nil)
	d.start()
	d.waitReady(10 * time.Second)
	go d.enforceMemory(limitMB)

	var wait sync.WaitGroup
	var mu sync.Mutex
	lost, served := 0, 0
	stop := make(chan struct{})
	for c := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := ask{id: w.newID(), class: "post", key: fmt.Sprint("s", c, "-", n), deadline: 4 * time.Second,
					extra: "prompt_len=1000,prefix_len=0,max_out=200", body: chatBody(1000)}
				got := w.send(d.address, a, 6*time.Second)
				w.log("client %d, request %s: %v", c, a.id, got)
				mu.Lock()
				if got.err != nil && !got.sentAt.IsZero() { // its connection was up
					lost++
				} else if got.status == 200 {
					served++
				}
				mu.Unlock()
				if d.hasEnded() {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	w.log("memory of n0 after 5 s of usual traffic: %d kB, its peak %d kB", d.residentKB("VmRSS"), d.residentKB("VmHWM"))
	if w.trouble {
		body := `{"messages":` + strings.Repeat("[", 256<<10-len(`{"messages":`))
		var bad sync.WaitGroup
		for n := range 16 {
			bad.Add(1)
			go func() {
				defer bad.Done()
				for range 10 {
					a := ask{id: w.newID(), class: "chat", key: "bad", deadline: 4 * time.Second, body: body}
					got := w.send(d.address, a, 6*time.Second)
					w.log("bad client %d, a request of %d bytes: %v", n, len(body), got)
					if d.hasEnded() {
						return
					}
				}
			}()
		}
		bad.Wait()
	}
	time.Sleep(2 * time.Second)
	w.log("memory of n0 at the end: %d kB, its peak %d kB", d.residentKB("VmRSS"), d.residentKB("VmHWM"))
	close(stop)
	wait.Wait()
	w.log("usual clients: %d served, %d without an answer", served, lost)
	if d.killedFor.Load() || d.hasEnded() {
		return fmt.Sprintf("n0 went over its %d MB and was killed; %d open requests got no answer", limitMB, lost)
	}
	return ""
}
