package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = floodCase }

// floodCase: bad clients send small requests that leave no time, and the next as soon as one is turned away.
func floodCase(w *world) string {
	const badClients = 30
	limitMB := int(envFloat("LIMIT_MB", 96))
	dw := newDrainWorld(w)
	dw.d.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": 768}
	dw.d.start()
	dw.d.waitReady(10 * time.Second)
	go dw.d.enforceMemory(limitMB)
	stop := make(chan struct{})
	var usual sync.WaitGroup
	go dw.load(stop, &usual)
	time.Sleep(3 * time.Second)
	w.log("memory of n0 after 3 s of usual traffic: %d kB", dw.d.residentKB("VmRSS"))

	var refused, other atomic.Int64
	end := time.Now().Add(25 * time.Second)
	var bad sync.WaitGroup
	for range badClients {
		if !w.trouble {
			break
		}
		bad.Add(1)
		go func() {
			defer bad.Done()
			for time.Now().Before(end) && !dw.d.hasEnded() {
				conn, err := net.Dial("tcp4", dw.d.address)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for time.Now().Before(end) {
					a := ask{id: w.newID() + w.newID(), class: "post", key: "k", deadline: 0, body: `{}`}
					conn.SetDeadline(time.Now().Add(5 * time.Second))
					fmt.Fprint(conn, a.text(dw.d.address))
					got := readAnswer(reader, answer{})
					if got.err != nil {
						other.Add(1)
						break
					}
					if got.status == 503 {
						refused.Add(1)
					}
				}
				conn.Close()
			}
		}()
	}
	for time.Now().Before(end) && !dw.d.hasEnded() {
		time.Sleep(time.Second)
		w.log("bad clients: %d requests turned away, %d without an answer; memory of n0: %d kB, its peak %d kB",
			refused.Load(), other.Load(), dw.d.residentKB("VmRSS"), dw.d.residentKB("VmHWM"))
	}
	bad.Wait()
	close(stop)
	usual.Wait()
	dw.mu.Lock()
	defer dw.mu.Unlock()
	w.log("usual clients, answers by status (0: none): %v", dw.statuses)
	if dw.d.killedFor.Load() || dw.d.hasEnded() {
		return fmt.Sprintf("n0 went over its %d MB and was killed, after %d requests that it had turned away", limitMB, refused.Load())
	}
	return ""
}
