package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

const (
	// rejectTimeout is how long a connection that is rejected is read from, and written to. It is short, as others wait
	// behind it.
	rejectTimeout = 3 * time.Millisecond
	// rejectReadBytes are read of it at once, and of what it sends after it was rejected.
	rejectReadBytes = 64 << 10
)

// recoverAccept continues after an accept that failed. If no descriptor is left, each connection that arrives is
// rejected with one of the reserve; if that is used up too, connections wait in the backlog. It returns a connection
// that can be served after all, or nil.
func (ln *listener) recoverAccept(err error) net.Conn {
	if isOutOfDescriptors(err) {
		if raw, done := ln.acceptWithReserve(); done {
			return raw
		}
	}
	time.Sleep(acceptRetryDelay)
	return nil
}

// acceptWithReserve accepts the next connection, if one arrives soon, with a descriptor of the reserve, rejects it and
// takes the descriptor back. The last one is left for the loop. If the reserve is complete again by then, the
// connection is returned, to be served.
func (ln *listener) acceptWithReserve() (served net.Conn, done bool) {
	reserve := ln.loop.reserve
	_ = reserve.fill()
	if reserve.size() < 2 || !reserve.release() {
		return nil, false
	}
	// Without a deadline the descriptor would be missing for as long as no connection arrives.
	_ = ln.tcp.SetDeadline(time.Now().Add(acceptRetryDelay))
	defer func() { _ = ln.resetDeadline() }()
	raw, err := ln.tcp.Accept()
	if err != nil {
		_ = reserve.fill()
		return nil, !isOutOfDescriptors(err)
	}
	if reserve.isComplete() {
		return raw, true
	}
	ln.loop.reject(raw)
	_ = reserve.fill()
	return nil, true
}

// reject writes the overload response to a connection and closes it. What the other side has sent is read first: a
// connection that is closed with something unread is reset, and the response might be lost.
func (l *Loop) reject(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	var buffer [rejectReadBytes]byte
	for n := len(buffer); n == len(buffer); {
		_ = raw.SetDeadline(time.Now().Add(rejectTimeout))
		var err error
		n, err = raw.Read(buffer[:])
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
	_ = raw.SetDeadline(time.Now().Add(rejectTimeout))
	_, _ = raw.Write(l.OverloadResponse)
	if tcp, ok := raw.(*net.TCPConn); ok { // what arrives only now must not reset it either
		_ = tcp.CloseWrite()
		// The limit also keeps the connection from splicing.
		_, _ = io.Copy(io.Discard, io.LimitReader(tcp, rejectReadBytes))
	}
}
