package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// States of an endpoint in the list.
const (
	servingState  = "SERVING"
	drainingState = "DRAINING"
)

const (
	emptyLineInterval = 500 * time.Millisecond // on each watch
	watchHead         = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	updateFormat      = `{"version":%d,"full":%v,"servers":[%s]}` + "\n"
	addressVerb       = "%s" // in an entry, for the address that a dispatcher has the endpoint at
)

// discovery pushes the endpoint list at one address for each dispatcher, as an agent on its machine would.
type discovery struct {
	*role
	mu          sync.Mutex
	version     int
	entries     map[string]string // by endpoint, with addressVerb
	watches     map[*watch]bool
	silentUntil int64 // nothing is written
}

// watch is a dispatcher's connection.
type watch struct {
	conn       net.Conn
	dispatcher int  // from 0
	mute       bool // nothing is written to it any more
}

func startDiscovery(r *role) (handler, error) {
	d := &discovery{role: r, version: 1, entries: map[string]string{}, watches: map[*watch]bool{}}
	for i, address := range r.Listen {
		if err := listen(address, func(conn net.Conn) { d.serve(conn, i) }); err != nil {
			return nil, err
		}
	}
	go func() { // until the process ends
		for range time.Tick(emptyLineInterval) {
			d.forEach(func(w *watch) { d.write(w, "\n") })
		}
	}()
	return d.handle, nil
}

func (d *discovery) handle(order string, arguments []string) {
	switch order {
	case orderEntry:
		d.publish(arguments[0], arguments[1], strings.Join(arguments[2:], " "))
	case orderSilent:
		d.mu.Lock()
		d.silentUntil = untilOf(arguments)
		d.mu.Unlock()
	case orderMute:
		d.forEach(func(w *watch) { w.mute = true })
	case orderReset:
		d.forEach(func(w *watch) { resetConn(w.conn) })
	}
}

// publish writes an endpoint's new entry to all watches.
func (d *discovery) publish(endpoint, state, entry string) {
	d.mu.Lock()
	d.version++
	d.entries[endpoint] = entry
	d.mu.Unlock()
	d.forEach(func(w *watch) {
		d.write(w, fmt.Sprintf(updateFormat, d.version, false, d.entryFor(endpoint, w.dispatcher)))
		if state == drainingState {
			d.recordNotified(w, endpoint)
		}
	})
}

// writable is true while anything can be written to a watch.
func (d *discovery) writable(w *watch) bool { return !w.mute && now() >= d.silentUntil }

func (d *discovery) recordNotified(w *watch, endpoint string) {
	if d.writable(w) {
		d.record.add(Event{Kind: Notified, Endpoint: endpoint, Dispatcher: strconv.Itoa(w.dispatcher + 1)})
	}
}

func (d *discovery) forEach(do func(*watch)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		do(w)
	}
}

// write writes a chunk to a watch; a watch that is broken ends by itself.
func (d *discovery) write(w *watch, text string) {
	if d.writable(w) {
		_, _ = fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text)
	}
}

// entryFor is an endpoint's entry with the address that a dispatcher has it at.
func (d *discovery) entryFor(endpoint string, dispatcher int) string {
	return strings.Replace(d.entries[endpoint], addressVerb, d.Targets[dispatcher], 1)
}

func (d *discovery) serve(conn net.Conn, dispatcher int) {
	defer closeConn(conn)
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	w := &watch{conn: conn, dispatcher: dispatcher}
	d.add(w)
	defer d.remove(w)
	_, _ = io.Copy(io.Discard, conn) // until the dispatcher closes, or the watch is reset
}

// add writes the complete list to a new watch. What is asked during a silence is never answered.
func (d *discovery) add(added *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	added.mute = now() < d.silentUntil
	var entries []string
	for endpoint, entry := range d.entries {
		entries = append(entries, d.entryFor(endpoint, added.dispatcher))
		if strings.Contains(entry, drainingState) {
			d.recordNotified(added, endpoint)
		}
	}
	if !added.mute {
		_, _ = io.WriteString(added.conn, watchHead) // a watch that is broken ends by itself
		d.write(added, fmt.Sprintf(updateFormat, d.version, true, strings.Join(entries, ",")))
	}
	d.watches[added] = true
}

func (d *discovery) remove(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
}
