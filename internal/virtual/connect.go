package virtual

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"plumspindle/internal/eventloop"
)

var (
	errAddressInUse      = errors.New("address already in use")
	errConnectionRefused = errors.New("connection refused")
)

// listener implements eventloop.Listener. Its process owns it.
type listener struct {
	loop   *Loop
	addr   string
	accept func(eventloop.Conn) eventloop.Handler
}

// Listen implements eventloop.Loop.
func (l *Loop) Listen(addr string, accept func(eventloop.Conn) eventloop.Handler) (eventloop.Listener, error) {
	n := l.network
	if host, open := strings.CutSuffix(addr, ":0"); open && host != "" {
		addr = host + ":" + strconv.Itoa(n.nextPort)
		n.nextPort++
	}
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen on %q: %w", addr, errAddressInUse)
	}
	ln := &listener{l, addr, accept}
	n.listeners[addr] = ln
	l.listeners = append(l.listeners, ln)
	return ln, nil
}

// Addr implements eventloop.Listener.
func (ln *listener) Addr() string { return ln.addr }

// Close implements eventloop.Listener.
func (ln *listener) Close() {
	delete(ln.loop.network.listeners, ln.addr)
	if at := slices.Index(ln.loop.listeners, ln); at >= 0 {
		ln.loop.listeners = slices.Delete(ln.loop.listeners, at, at+1)
	}
}

// Drain implements eventloop.Listener. Connections don't wait to be accepted here, so that there is no backlog.
func (ln *listener) Drain() { ln.Close() }

// Dial implements eventloop.Loop.
func (l *Loop) Dial(addr string, timeout eventloop.Micros, handler eventloop.Handler) eventloop.Conn {
	return l.dial(addr, timeout, handler, l.isFull())
}

// DialReserved implements eventloop.Loop.
func (l *Loop) DialReserved(addr string, timeout eventloop.Micros, handler eventloop.Handler) eventloop.Conn {
	return l.dial(addr, timeout, handler, l.isReserveFull())
}

func (l *Loop) dial(addr string, timeout eventloop.Micros, handler eventloop.Handler, full bool) eventloop.Conn {
	c := &conn{loop: l, handler: handler}
	if full {
		c.endAfter(0, eventloop.ErrNoDescriptors)
		return c
	}
	l.track(c)
	l.network.schedule(l.network.Latency, func() { c.arriveAt(addr, timeout) })
	return c
}

// arriveAt continues a dial at the other side, one latency after it began.
func (c *conn) arriveAt(addr string, timeout eventloop.Micros) {
	n := c.loop.network
	ln := n.listeners[addr]
	if ln == nil || ln.loop.dead {
		c.endAfter(n.Latency, errConnectionRefused)
		return
	}
	timeoutLeft := max(timeout-n.Latency, 0)
	blockedUntil := max(n.blocked[link{c.loop, ln.loop}], n.blocked[link{ln.loop, c.loop}])
	if wait := blockedUntil - n.now; wait > 0 {
		c.endAfter(min(wait, timeoutLeft), eventloop.ErrConnectTimeout)
		return
	}
	if ln.loop.isFull() { // it would wait in the backlog, which has no bound here
		c.endAfter(timeoutLeft, eventloop.ErrConnectTimeout)
		return
	}
	far := &conn{loop: ln.loop, peer: c, open: true}
	c.peer = far
	ln.loop.track(far)
	ln.loop.call(func() {
		far.handler = ln.accept(far)
		far.handler.Opened()
	})
	c.loop.schedule(n.Latency, c.opened)
}

// opened completes a dial, two latencies after it began.
func (c *conn) opened() {
	if c.ended {
		return
	}
	c.open = true
	if c.closing {
		c.sendEnd(nil)
		c.end(eventloop.ErrClosedBeforeOpen)
		return
	}
	c.handler.Opened()
}

// endAfter ends a connection after a duration.
func (c *conn) endAfter(duration eventloop.Micros, cause error) {
	c.loop.schedule(duration, func() { c.end(cause) })
}
