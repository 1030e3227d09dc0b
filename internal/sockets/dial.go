package sockets

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"plumspindle/internal/eventloop"
)

var (
	errNoConnection = errors.New("no connection")
	errClosedEarly  = errors.New("closed before it opened")
)

// Dial opens a connection; its outcome is heard by the handler, never within this call.
func (l *Loop) Dial(addr string, within eventloop.Micros, h eventloop.Handler) eventloop.Conn {
	return l.dial(addr, within, h, false)
}

// DialReserved is Dial that may use the descriptors that are kept back.
func (l *Loop) DialReserved(addr string, within eventloop.Micros, h eventloop.Handler) eventloop.Conn {
	return l.dial(addr, within, h, true)
}

func (l *Loop) dial(addr string, within eventloop.Micros, h eventloop.Handler, spare bool) eventloop.Conn {
	_ = l.spares.fill()
	c := &conn{l: l, h: h}
	fail := func(err error) {
		if c.nb == nil && !c.ended {
			c.cause = err
			c.end()
		}
	}
	c.dialing = l.AfterFunc(within, func() { fail(errors.New("no connection in time")) })
	// Not by nbio's own dialling: it takes the first four bytes of an address that has sixteen, and so reaches only this machine's own.
	dialer := net.Dialer{Timeout: time.Duration(within) * time.Microsecond, KeepAlive: -1}
	var dial func(again bool)
	dial = func(again bool) {
		raw, err := dialer.Dial("tcp", addr)
		l.post(func() {
			switch {
			case noDescriptors(err) && again && !c.ended && l.spares.take():
				go dial(false)
			case noDescriptors(err):
				l.dialed(c, nil, spare, fmt.Errorf("%w: %w", eventloop.ErrNoDescriptors, err), fail)
			case err != nil:
				l.dialed(c, nil, spare, fmt.Errorf("%w: %w", errNoConnection, err), fail)
			default:
				l.dialed(c, raw, spare, nil, fail)
			}
		})
	}
	go dial(spare)
	return c
}

func (l *Loop) dialed(c *conn, raw net.Conn, spare bool, err error, fail func(error)) {
	if c.dialing != nil {
		c.dialing.Stop()
		c.dialing = nil
	}
	if err != nil {
		fail(err)
		return
	}
	unwanted := func() bool {
		if !c.ended && !c.closing {
			return false
		}
		if !c.ended {
			c.cause = errClosedEarly
			c.end()
		}
		return true
	}
	if unwanted() {
		_ = raw.Close()
		return
	}
	nb, err := ownOnly(raw)
	if noDescriptors(err) && spare && l.spares.take() {
		nb, err = ownOnly(raw)
	}
	if err != nil {
		_ = raw.Close()
		fail(fmt.Errorf("%w: %w", eventloop.ErrNoDescriptors, err))
		return
	}
	l.born.Add(1)
	nb.SetSession(c)
	l.tune(nb)
	l.rounds.after(func() { // as for those that are accepted
		if unwanted() {
			_ = nb.Close()
			return
		}
		if _, err := l.engine.AddConn(nb); err != nil {
			c.closed(err)
			return
		}
		c.nb = nb
		if gone, err := nb.IsClosed(); gone {
			c.closed(err)
			return
		}
		c.h.Opened()
		c.takeIn(nb) // an edge may have come before the session was set
	})
}

// tune has small writes leave at once, and sets the bound on what the system takes of them.
func (l *Loop) tune(nb *nbio.Conn) {
	_ = nb.SetNoDelay(true)
	if l.SendBufferSize > 0 {
		_ = nb.SetWriteBuffer(l.SendBufferSize)
	}
}

// ownOnly hands a connection to nbio, which duplicates its descriptor without marking it: a process started from here would
// keep the connection open after this one has closed it, and its other side would wait for an answer that nobody gives.
func ownOnly(raw net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	nb, err := nbio.NBConn(raw)
	if err == nil {
		syscall.CloseOnExec(nb.Hash())
	}
	return nb, err
}
