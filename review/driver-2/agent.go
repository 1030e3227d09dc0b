package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// agent is the discovery agent on one dispatcher's machine.
type agent struct {
	w       *world
	name    string
	address string
	delay   time.Duration // from a call to its answer

	mu      sync.Mutex
	version int
	entries []entry
	watches map[net.Conn]bool // false once a watch has fallen silent
}

// entry is one model host in the list.
type entry struct {
	id, addr, zone, kind, state string
	cell                        int
	weight                      float64
	startedMs                   int64
}

func (e entry) json() string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":%d,"state":%q,"weight":%g,"started_ms":%d}`,
		e.id, e.addr, e.zone, e.kind, e.cell, e.state, e.weight, e.startedMs)
}

func listJSON(version int, full bool, entries []entry) string {
	var texts []string
	for _, e := range entries {
		texts = append(texts, e.json())
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(texts, ","))
}

func (w *world) newAgent(name, ip string, version int, entries []entry) *agent {
	l := listen(ip)
	a := &agent{w: w, name: name, address: l.Addr().String(), version: version, watches: map[net.Conn]bool{},
		entries: append([]entry(nil), entries...)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	go func() {
		for range time.Tick(2 * time.Second) {
			a.writeAll("\n")
		}
	}()
	return a
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func (a *agent) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	a.mu.Lock()
	delay := a.delay
	a.mu.Unlock()
	a.w.log("%s gets a call: %s", a.name, request.URL)
	time.Sleep(delay)
	a.mu.Lock()
	list := listJSON(a.version, true, a.entries)
	if request.URL.Query().Get("stream") != "1" {
		a.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		return
	}
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(list+"\n"))
	a.w.log("%s answers a watch with version %d: %v", a.name, a.version, err)
	a.watches[conn] = true
	a.mu.Unlock()
	io.Copy(io.Discard, conn)
	a.mu.Lock()
	delete(a.watches, conn)
	a.mu.Unlock()
}

// writeAll writes to all watches that are not silent.
func (a *agent) writeAll(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn, open := range a.watches {
		if open {
			io.WriteString(conn, chunk(text))
		}
	}
}

// silence makes all open watches silent for good. Their connections stay open.
func (a *agent) silence() {
	a.w.log("%s: all open watches fall silent", a.name)
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.watches {
		a.watches[conn] = false
	}
}

// setDelay sets the time from a call to its answer.
func (a *agent) setDelay(delay time.Duration) {
	a.w.log("%s answers calls after %v from now on", a.name, delay)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// change changes one entry and tells it to all open watches.
func (a *agent) change(changed entry) {
	a.mu.Lock()
	a.version++
	for i := range a.entries {
		if a.entries[i].id == changed.id {
			a.entries[i] = changed
		}
	}
	text := listJSON(a.version, false, []entry{changed}) + "\n"
	a.mu.Unlock()
	a.w.log("%s tells: %s", a.name, strings.TrimSpace(text))
	a.writeAll(text)
}
