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

// listener is an address on which the process of loop accepts connections. It implements eventloop.Listener.
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

// Drain implements eventloop.Listener. It is the same as Close, as the simulation has no backlog of connections that
// wait to be accepted.
func (ln *listener) Drain() { ln.Close() }

// Dial implements eventloop.Loop.
func (l *Loop) Dial(addr string, timeout eventloop.Micros, handler eventloop.Handler) eventloop.Conn {
	return l.dial(addr, timeout, handler, l.outOfDescriptors())
}

// DialReserved implements eventloop.Loop.
func (l *Loop) DialReserved(addr string, timeout eventloop.Micros, handler eventloop.Handler) eventloop.Conn {
	return l.dial(addr, timeout, handler, l.outOfReservedDescriptors())
}

// dial begins to open a connection. If noDescriptor is set, the dial fails because no descriptor is free.
func (l *Loop) dial(
	addr string, timeout eventloop.Micros, handler eventloop.Handler, noDescriptor bool,
) eventloop.Conn {
	c := &conn{loop: l, handler: handler}
	if noDescriptor {
		c.finishAfter(0, eventloop.ErrNoDescriptors)
		return c
	}
	l.track(c)
	l.network.schedule(l.network.Latency, func() { c.arriveAt(addr, timeout) })
	return c
}

// arriveAt handles the arrival of a dial at the listener, one network latency after the dial began.
func (c *conn) arriveAt(addr string, timeout eventloop.Micros) {
	n := c.loop.network
	ln := n.listeners[addr]
	if ln == nil || ln.loop.dead {
		c.finishAfter(n.Latency, errConnectionRefused)
		return
	}
	timeoutLeft := max(timeout-n.Latency, 0)
	blockedUntil := max(n.blocked[link{c.loop, ln.loop}], n.blocked[link{ln.loop, c.loop}])
	if wait := blockedUntil - n.now; wait > 0 {
		c.finishAfter(min(wait, timeoutLeft), eventloop.ErrConnectTimeout)
		return
	}
	if ln.loop.outOfDescriptors() { // the dial would wait in the listener's backlog until it times out
		c.finishAfter(timeoutLeft, eventloop.ErrConnectTimeout)
		return
	}
	peer := &conn{loop: ln.loop, peer: c, open: true}
	c.peer = peer
	ln.loop.track(peer)
	ln.loop.call(func() {
		peer.handler = ln.accept(peer)
		peer.handler.Opened()
	})
	c.loop.schedule(n.Latency, c.opened)
}

// opened completes a dial on the dialling side, two network latencies after the dial began.
func (c *conn) opened() {
	if c.closed {
		return
	}
	c.open = true
	if c.closing {
		c.sendClose(nil)
		c.finish(eventloop.ErrClosedBeforeOpen)
		return
	}
	c.handler.Opened()
}

// finishAfter calls finish after a duration.
func (c *conn) finishAfter(duration eventloop.Micros, cause error) {
	c.loop.schedule(duration, func() { c.finish(cause) })
}
