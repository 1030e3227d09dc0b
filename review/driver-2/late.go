package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["heads"] = headsCase
	cases["nested"] = nestedCase
}

// usualInterval is the time from one usual request to the next.
const usualInterval = 50 * time.Millisecond

// headsCase: bad clients send requests without an id, whose head has many fields and a long field Connection.
func headsCase(w *world) string {
	fields := &strings.Builder{}
	for range 88 {
		fields.WriteString("a:b\r\n")
	}
	name := "Connection"
	if os.Getenv("PLAIN") != "" { // as many bytes in a field that means nothing
		name = "X-Note"
	}
	fmt.Fprintf(fields, "%s: %s\r\n", name, strings.Repeat("c,", 7300)+"keep-alive")
	a := ask{class: "post", key: "k", deadline: 2 * time.Second, body: `{}`}
	text := strings.Replace(a.text("x"), "Req-Id: \r\n", fields.String(), 1)
	return lateCase(w, 96, 768, 150, func() string { return text })
}

// nestedCase: bad clients send bodies that can't be read: an array in an array, a quarter of a million deep.
func nestedCase(w *world) string {
	body := `{"messages":` + strings.Repeat("[", 256<<10-len(`{"messages":`))
	if os.Getenv("PLAIN") != "" { // as many bytes in one string
		body = `{"messages":"` + strings.Repeat("x", 256<<10-len(`{"messages":""`)) + `"`
	}
	return lateCase(w, 96, 992, 330, func() string {
		return ask{id: w.newID(), class: "post", key: "k", deadline: 2 * time.Second, body: body}.text("x")
	})
}

// lateCase: bad clients send the same thing again as soon as it is turned away, each on a connection of its own; usual
// clients must get their final answers in time all the same.
func lateCase(w *world, memoryMB, sockets, badClients int, badText func() string) string {
	const deadline = 2 * time.Second
	badClients = int(envFloat("BAD", float64(badClients)))
	dw := newDrainWorld(w)
	dw.d.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	dw.d.start()
	dw.d.waitReady(10 * time.Second)

	var mu sync.Mutex
	var lost []string
	statuses, slowest := map[int]int{}, time.Duration(0)
	stop := make(chan struct{})
	var usual sync.WaitGroup
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(usualInterval):
			}
			usual.Add(1)
			go func() {
				defer usual.Done()
				a := ask{id: w.newID(), class: []string{"chat", "post"}[n%2], key: fmt.Sprint("k", n), deadline: deadline,
					extra: "prompt_len=300,prefix_len=0,max_out=60", body: chatBody(300)}
				got := w.send(dw.d.address, a, 20*time.Second)
				if got.sentAt.IsZero() {
					return // no connection came up
				}
				took := got.headAt.Sub(got.sentAt)
				w.log("usual request %s: %v, head after %.3f s", a.id, got, took.Seconds())
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
				slowest = max(slowest, took)
				if took > deadline+550*time.Millisecond {
					lost = append(lost, a.id)
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)

	var answered, other atomic.Int64
	end := time.Now().Add(12 * time.Second)
	var bad sync.WaitGroup
	for range badClients {
		if !w.trouble {
			break
		}
		bad.Add(1)
		go func() {
			defer bad.Done()
			for time.Now().Before(end) && !dw.d.hasEnded() {
				conn, err := net.DialTimeout("tcp4", dw.d.address, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for time.Now().Before(end) {
					text := badText()
					conn.SetDeadline(time.Now().Add(20 * time.Second))
					fmt.Fprint(conn, text)
					got := readAnswer(reader, answer{})
					if got.err != nil {
						other.Add(1)
						break
					}
					if answered.Add(1) == 1 {
						w.log("the first bad request of %d bytes: %v", len(text), got)
					}
				}
				conn.Close()
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		w.log("bad clients: %d answered, %d without an answer", answered.Load(), other.Load())
	}
	bad.Wait()
	time.Sleep(time.Second)
	close(stop)
	usual.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.log("usual clients, answers by status (0: none): %v, the slowest after %.2f s", statuses, slowest.Seconds())
	if len(lost) > 0 {
		return fmt.Sprintf("%d usual requests got no final answer until 0.55 s after their 2 s; the slowest took %.1f s", len(lost),
			slowest.Seconds())
	}
	return ""
}
