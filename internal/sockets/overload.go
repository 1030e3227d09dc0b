package sockets

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"plumspindle/internal/http1"
)

const (
	// rejectReceiveTimeout is how long a client that is rejected has, from its connecting on, to send its request.
	rejectReceiveTimeout = 100 * time.Millisecond
	// rejectLingerTimeout is how long a client has to take the response and close, unless its descriptor is needed.
	rejectLingerTimeout = 200 * time.Millisecond
	rejectReadBytes     = 16 << 10 // are read of it at once
)

// rejectedLimits are those of requests that are rejected: nothing of them is kept.
var rejectedLimits = http1.Limits{HeadBytes: 64 << 10, FieldCount: 1000, BodyBytes: 1 << 30}

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

// acceptWithReserve accepts the next connection, if one arrives soon, with a descriptor of the reserve, and rejects it.
// Some are left for the loop. If the reserve is complete again by then, the connection is returned, to be served.
func (ln *listener) acceptWithReserve() (served net.Conn, done bool) {
	reserve, rejections := ln.loop.reserve, ln.loop.rejections
	rejections.waitForCapacity()
	_ = reserve.fill()
	if size := reserve.size(); size < 2 || size <= loopDescriptors && rejections.running() > 0 || !reserve.release() {
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
	rejections.start(raw)
	return nil, true
}

// rejection is one connection that is rejected: its request is received, answered with the overload response, and the
// connection closed. It has a goroutine of its own, so that others need not wait for a client that is slow or silent.
type rejection struct {
	raw      net.Conn
	response []byte
	parser   http1.Parser
	received bool // the request has arrived, or is none that can be read to its end
	// onAnswered is called once the response is written. From then on the descriptor may be taken back.
	onAnswered func()
}

func (l *Loop) newRejection(raw net.Conn, onAnswered func()) *rejection {
	return &rejection{raw: raw, response: l.OverloadResponse, parser: http1.Parser{Limits: rejectedLimits},
		onAnswered: onAnswered}
}

func (r *rejection) run() {
	defer func() { _ = r.raw.Close() }()
	_ = r.raw.SetReadDeadline(time.Now().Add(rejectReceiveTimeout - silentFor(r.raw)))
	for !r.received && r.read() {
	}
	// There is no time limit on the write, which could pass before it has begun: a new connection has space for the
	// response.
	if _, err := r.raw.Write(r.response); err != nil {
		return
	}
	if halfCloser, ok := r.raw.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	// A connection that is closed with something unread is reset, and the response might be lost.
	r.onAnswered()
	for r.read() {
	}
}

// read reads what has arrived, or arrives in time, and reports whether more may come.
func (r *rejection) read() bool {
	var buffer [rejectReadBytes]byte
	n, err := r.raw.Read(buffer[:])
	r.feed(buffer[:n])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.readArrived(buffer[:]) // the time may have passed while this process could not read
	}
	return err == nil
}

// readArrived reads what has arrived, whatever time it is.
func (r *rejection) readArrived(buffer []byte) {
	_ = withRawDescriptor(r.raw, func(fd int) {
		for {
			n, err := unix.Read(fd, buffer)
			switch {
			case n > 0:
				r.feed(buffer[:n])
			case errors.Is(err, syscall.EINTR):
			default:
				return
			}
		}
	})
}

func (r *rejection) feed(data []byte) {
	if !r.received && r.parser.Feed(data, r) != nil {
		r.received = true
	}
}

// Head implements http1.Handler. A client that asks before it sends its body is answered with the response.
func (r *rejection) Head(head *http1.Head) error {
	r.received = head.Get("Expect") != ""
	return nil
}

// Body implements http1.Handler.
func (r *rejection) Body([]byte) error { return nil }

// End implements http1.Handler.
func (r *rejection) End() error {
	r.received = true
	return nil
}

// silentFor returns how long ago the last segment of a connection came, its handshake's if there is none after it: a
// connection may have waited to be accepted.
func silentFor(raw net.Conn) (silent time.Duration) {
	_ = withRawDescriptor(raw, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			silent = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return silent
}

// withRawDescriptor calls f with the descriptor of a connection of the standard library.
func withRawDescriptor(raw net.Conn, f func(fd int)) error {
	owner, ok := raw.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	control, err := owner.SyscallConn()
	if err != nil {
		return err
	}
	return control.Control(func(fd uintptr) { f(int(fd)) })
}
