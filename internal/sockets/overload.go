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
	// rejectReceiveTimeout is the time limit for a rejected client to send its request. It is counted from the last TCP
	// segment that arrived before the rejection began, or from the handshake if the client has sent nothing yet.
	rejectReceiveTimeout = 100 * time.Millisecond
	// rejectLingerTimeout is how long a client has to read the response and close the connection. The time is cut short
	// if the descriptor is needed.
	rejectLingerTimeout = 200 * time.Millisecond
	// rejectReadBytes is the size of the buffer for one read of the request.
	rejectReadBytes = 16 << 10
)

// rejectedLimits are the limits for rejected requests. They are generous because nothing of a request is kept.
var rejectedLimits = http1.Limits{HeadBytes: 64 << 10, FieldCount: 1000, BodyBytes: 1 << 30}

// handleAcceptError handles a failed accept. If no descriptor is left, it releases one from the reserve to accept and
// reject the next connection. If the reserve can't provide one, or the accept failed for another reason, it waits for
// acceptRetryDelay, and connections stay in the backlog. It returns a connection that can be served after all, or nil.
func (ln *listener) handleAcceptError(err error) net.Conn {
	if isOutOfDescriptors(err) {
		if raw, done := ln.acceptWithReserve(); done {
			return raw
		}
	}
	time.Sleep(acceptRetryDelay)
	return nil
}

// acceptWithReserve releases a reserved descriptor, accepts the next connection if one arrives soon, and rejects it.
// It leaves some reserved descriptors for the loop. If the reserve can be refilled after the accept, it returns the
// connection to be served instead. done is false if the caller should wait before the next accept.
func (ln *listener) acceptWithReserve() (served net.Conn, done bool) {
	reserve, rejections := ln.loop.reserve, ln.loop.rejections
	rejections.waitForCapacity()
	_ = reserve.fill()
	if size := reserve.size(); size < 2 || size <= loopDescriptors && rejections.running() > 0 || !reserve.release() {
		return nil, false
	}
	// Without a deadline the reserve would lack the released descriptor until the next connection arrives.
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

// rejection is a connection that is being rejected: it receives the request, sends the overload response and closes the
// connection. Each rejection runs in its own goroutine, so that a slow or silent client doesn't delay the others.
type rejection struct {
	raw      net.Conn
	response []byte
	parser   http1.Parser
	// requestDone is set once the whole request has been received, can't be parsed, or needs no further reading.
	requestDone bool
	// onResponseSent is called once the response is written. From then on the connection may be closed at any time to
	// free its descriptor.
	onResponseSent func()
}

func (l *Loop) newRejection(raw net.Conn, onResponseSent func()) *rejection {
	return &rejection{raw: raw, response: l.OverloadResponse, parser: http1.Parser{Limits: rejectedLimits},
		onResponseSent: onResponseSent}
}

func (r *rejection) run() {
	defer func() { _ = r.raw.Close() }()
	_ = r.raw.SetReadDeadline(time.Now().Add(rejectReceiveTimeout - sinceLastSegment(r.raw)))
	for !r.requestDone && r.read() {
	}
	// The write has no deadline, because on a busy machine the deadline could pass before the write begins. The write
	// doesn't block: the empty send buffer of a new connection has space for the response.
	if _, err := r.raw.Write(r.response); err != nil {
		return
	}
	if halfCloser, ok := r.raw.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	// The connection is read until its end before it is closed, because closing a socket with unread data resets the
	// connection, which may lose the response.
	r.onResponseSent()
	for r.read() {
	}
}

// read reads once, waiting for data until the read deadline, and reports whether more may follow.
func (r *rejection) read() bool {
	var buffer [rejectReadBytes]byte
	n, err := r.raw.Read(buffer[:])
	r.feed(buffer[:n])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.readAvailable(buffer[:]) // the deadline may have passed while this process could not run
	}
	return err == nil
}

// readAvailable reads the data that has already arrived, regardless of the read deadline.
func (r *rejection) readAvailable(buffer []byte) {
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
	if !r.requestDone && r.parser.Feed(data, r) != nil {
		r.requestDone = true
	}
}

// Head implements http1.Handler. A client that sent an Expect field waits for an answer before it sends its body, so
// the overload response is sent at once.
func (r *rejection) Head(head *http1.Head) error {
	r.requestDone = head.Get("Expect") != ""
	return nil
}

// Body implements http1.Handler.
func (r *rejection) Body([]byte) error { return nil }

// End implements http1.Handler.
func (r *rejection) End() error {
	r.requestDone = true
	return nil
}

// sinceLastSegment returns the time since the last TCP segment arrived on a connection, which is a segment of the
// handshake if the client has sent nothing yet. It includes the time that the connection waited to be accepted.
func sinceLastSegment(raw net.Conn) (elapsed time.Duration) {
	_ = withRawDescriptor(raw, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			elapsed = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return elapsed
}

// withRawDescriptor calls f with the descriptor of a standard library connection.
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
