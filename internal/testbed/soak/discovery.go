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

// States of an endpoint in the endpoint list.
const (
	servingState  = "SERVING"
	drainingState = "DRAINING"
)

const (
	emptyLineInterval = 500 * time.Millisecond // interval of keep-alive lines on each watch
	watchHead         = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	updateFormat      = `{"version":%d,"full":%v,"servers":[%s]}` + "\n"
	addressVerb       = "%s" // in an entry, stands for the address at which a dispatcher reaches the endpoint
)

// discovery pushes the endpoint list to dispatchers. It listens at one address for each of them, as an agent on the
// dispatcher's machine would.
type discovery struct {
	*standIn
	mu          sync.Mutex
	version     int
	entries     map[string]string // by endpoint, with addressVerb
	watches     map[*watch]bool
	silentUntil int64 // until this time, nothing is written
}

// watch is a dispatcher's connection for updates.
type watch struct {
	conn       net.Conn
	dispatcher int  // from 0
	mute       bool // nothing more is written to the watch
}

func startDiscovery(s *standIn) (handler, error) {
	d := &discovery{standIn: s, version: 1, entries: map[string]string{}, watches: map[*watch]bool{}}
	for i, address := range s.Listen {
		if err := listen(address, func(conn net.Conn) { d.serve(conn, i) }); err != nil {
			return nil, err
		}
	}
	go func() { // runs until the process ends
		for range time.Tick(emptyLineInterval) {
			d.forEach(func(w *watch) { d.write(w, "\n") })
		}
	}()
	return d.handle, nil
}

// handle executes a command.
func (d *discovery) handle(command string, arguments []string) {
	switch command {
	case commandEntry:
		d.publish(arguments[0], arguments[1], strings.Join(arguments[2:], " "))
	case commandSilent:
		d.mu.Lock()
		d.silentUntil = endTime(arguments)
		d.mu.Unlock()
	case commandMute:
		d.forEach(func(w *watch) { w.mute = true })
	case commandReset:
		d.forEach(func(w *watch) { resetConn(w.conn) })
	}
}

// publish sets an endpoint's entry and writes it to all watches.
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

// writable reports whether updates are written to a watch.
func (d *discovery) writable(w *watch) bool { return !w.mute && now() >= d.silentUntil }

// recordNotified records that a watch was notified of an endpoint's drain, if updates are written to that watch.
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

// write writes a chunk to a watch. It ignores errors, because serve notices when a watch is broken.
func (d *discovery) write(w *watch, text string) {
	if d.writable(w) {
		_, _ = fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text)
	}
}

// entryFor returns an endpoint's entry with the address at which a dispatcher reaches it.
func (d *discovery) entryFor(endpoint string, dispatcher int) string {
	return strings.Replace(d.entries[endpoint], addressVerb, d.Targets[dispatcher], 1)
}

// serve registers a dispatcher's connection as a watch until the connection is closed.
func (d *discovery) serve(conn net.Conn, dispatcher int) {
	defer closeConn(conn)
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	w := &watch{conn: conn, dispatcher: dispatcher}
	d.add(w)
	defer d.remove(w)
	_, _ = io.Copy(io.Discard, conn) // returns once the dispatcher closes the connection or the watch is reset
}

// add writes the complete list to a new watch. A watch that is opened during a silence gets nothing, not even after the
// silence.
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
		_, _ = io.WriteString(added.conn, watchHead) // serve notices that a watch is broken
		d.write(added, fmt.Sprintf(updateFormat, d.version, true, strings.Join(entries, ",")))
	}
	d.watches[added] = true
}

func (d *discovery) remove(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
}
