package soak

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

// discovery tells the list of model hosts at one address for each dispatcher, as an agent on its machine would.
type discovery struct {
	*role
	mu      sync.Mutex
	version int
	entries map[string]string // by host: the entry, with %s for the address that a dispatcher has it at
	watches map[*watch]bool
	silent  int64 // until then nothing is told
}

type watch struct {
	conn       net.Conn
	dispatcher int
	mute       bool // it fell silent for good
}

func runDiscovery(r *role) (func(string, []string), error) {
	d := &discovery{role: r, version: 1, entries: map[string]string{}, watches: map[*watch]bool{}}
	for i, address := range r.Listen {
		if err := listen(address, func(c net.Conn) { d.serve(c, i) }); err != nil {
			return nil, err
		}
	}
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			d.each(func(w *watch) { d.write(w, "\n") })
		}
	}()
	return d.obey, nil
}

// obey takes "entry HOST STATE JSON", which is told at once, "silent SPAN", "mute" for the open watches, and "reset".
func (d *discovery) obey(order string, arguments []string) {
	switch order {
	case "entry":
		d.mu.Lock()
		d.version++
		d.entries[arguments[0]] = strings.Join(arguments[2:], " ")
		d.mu.Unlock()
		d.each(func(w *watch) {
			d.write(w, fmt.Sprintf(`{"version":%d,"full":false,"servers":[%s]}`+"\n", d.version, d.entry(arguments[0], w.dispatcher)))
			if arguments[1] == "DRAINING" {
				d.told(w, arguments[0])
			}
		})
	case "silent":
		d.mu.Lock()
		d.silent = now() + span(arguments, 0).Microseconds()
		d.mu.Unlock()
	case "mute":
		d.each(func(w *watch) { w.mute = true })
	case "reset":
		d.each(func(w *watch) { reset(w.conn); w.conn.Close() })
	}
}

func (d *discovery) told(w *watch, host string) {
	if !w.mute && now() >= d.silent {
		d.record.add(Event{Kind: Notified, Endpoint: host, Dispatcher: fmt.Sprint(w.dispatcher + 1)})
	}
}

func (d *discovery) each(do func(*watch)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		do(w)
	}
}

func (d *discovery) write(w *watch, text string) {
	if !w.mute && now() >= d.silent {
		_, _ = fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text)
	}
}

func (d *discovery) entry(host string, dispatcher int) string {
	return strings.Replace(d.entries[host], "%s", d.Targets[dispatcher], 1)
}

func (d *discovery) serve(c net.Conn, dispatcher int) {
	w := &watch{conn: c, dispatcher: dispatcher}
	defer func() {
		d.mu.Lock()
		delete(d.watches, w)
		d.mu.Unlock()
		c.Close()
	}()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	d.mu.Lock()
	if now() < d.silent {
		w.mute = true // what was asked while it was silent is never answered
	}
	var all []string
	for host, e := range d.entries {
		all = append(all, d.entry(host, dispatcher))
		if strings.Contains(e, "DRAINING") {
			d.told(w, host)
		}
	}
	if !w.mute {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		d.write(w, fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`+"\n", d.version, strings.Join(all, ",")))
	}
	d.watches[w] = true
	d.mu.Unlock()
	_, _ = io.Copy(io.Discard, c)
}
