package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"plumspindle/internal/sockets"
)

const (
	probe         = "GET /up HTTP/1.1\r\n\r\n"
	probeResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nready\n"
)

// pipelineProbes sends a request, which is not answered yet, and then readiness probes behind it.
func pipelineProbes(t *testing.T, conn net.Conn, handler *silentHandler, count int) (first *Response) {
	t.Helper()
	go func() { _, _ = conn.Write([]byte(requestText("first", 100) + strings.Repeat(probe, count))) }()
	receive(t, "the first request", handler.handled)
	return <-handler.waiting
}

// waitForPipelined waits until the server has read some pipelined bytes.
func waitForPipelined(t *testing.T, loop *sockets.Loop, s *Server, size int) {
	t.Helper()
	waitUntil(t, "all input to be read", func() (read bool) {
		loop.Do(func() { read = s.pipelinedBytesRead() >= size })
		return read
	})
}

// dialWithSmallBuffer opens a connection that takes few bytes until they are read.
func dialWithSmallBuffer(t *testing.T, address string) net.Conn {
	t.Helper()
	const receiveBuffer = 4 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(descriptor uintptr) {
			err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, controlErr)
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// mostPerTurn returns by how much a count grows at most from one event that is posted to the loop to the next, until it
// has reached a limit. The first event is posted behind the function begin.
func mostPerTurn(loop *sockets.Loop, begin func(), count func() int, limit int) (most int) {
	done := make(chan struct{})
	last := 0
	var observe func()
	observe = func() {
		now := count()
		most, last = max(most, now-last), now
		if now >= limit {
			close(done)
			return
		}
		loop.Post(observe)
	}
	loop.Do(func() {
		last = count()
		begin()
		loop.Post(observe)
	})
	<-done
	return most
}

// All pipelined requests of a client were served in one go, some seconds for a full buffer. The requests of all other
// clients waited for that.
func TestPipelinedRequestsLetOtherEventsPass(t *testing.T) {
	const probes, maxPerTurn = 300, 4
	handler := &silentHandler{}
	loop, s, address := serve(t, testLimits(), handler)
	conn := dial(t, address)
	first := pipelineProbes(t, conn, handler, probes)
	waitForPipelined(t, loop, s, probes*len(probe))
	served := func() int { return probes - s.pipelinedBytesRead()/len(probe) }
	if most := mostPerTurn(loop, first.Fail, served, probes); most > maxPerTurn {
		t.Errorf("%d requests were served between two events of others, want at most %d", most, maxPerTurn)
	}
}

// All requests that a client had pipelined beyond the buffer were rejected in one go. The requests of all other clients
// waited for that.
func TestRejectedOverflowLetsOtherEventsPass(t *testing.T) {
	const probes = 5000
	handler := &silentHandler{}
	limits := testLimits()
	limits.BufferedBytes, limits.UnsentBytes = 40<<10, 8<<20
	loop, s, address := serve(t, limits, handler)
	conn := dial(t, address)
	first := pipelineProbes(t, conn, handler, probes)
	waitForPipelined(t, loop, s, probes*len(probe))
	overflow := 0
	loop.Do(func() {
		for c := range s.connections {
			if c.pipeline.overflow != nil {
				overflow = c.pipeline.overflow.pending
			}
		}
	})
	if overflow < probes/2 {
		t.Fatalf("%d of %d requests are in the overflow, so that the test shows nothing", overflow, probes)
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	rejected := func() int { return int(s.Rejected) }
	if most := mostPerTurn(loop, first.Fail, rejected, overflow); most > 2*maxRejectionsPerTurn {
		t.Errorf("%d requests were rejected between two events of others", most)
	}
}

// For each pipelined request that was served, all bytes that followed it were copied, so that the work grew with the
// square of their number.
func TestPipelinedRequestsAreServedInLinearTime(t *testing.T) {
	const probes, maxBytesEach = 20000, 4 << 10
	handler := &silentHandler{}
	loop, s, address := serve(t, testLimits(), handler)
	conn := dial(t, address)
	first := pipelineProbes(t, conn, handler, probes)
	waitForPipelined(t, loop, s, probes*len(probe))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	loop.Do(first.Fail)
	if _, err := io.CopyN(io.Discard, conn, probes*int64(len(probeResponse))); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / probes; each > maxBytesEach {
		t.Errorf("%d bytes of memory were allocated for each of %d pipelined requests", each, probes)
	}
}

// The answers to pipelined requests were buffered without a bound for a client that reads none of them.
func TestPipelinedRequestsWaitForAClientThatDoesNotRead(t *testing.T) {
	const probes = 50000
	handler := &silentHandler{}
	limits := testLimits()
	loop, s, address := serve(t, limits, handler)
	conn := dialWithSmallBuffer(t, address)
	first := pipelineProbes(t, conn, handler, probes)
	waitForPipelined(t, loop, s, probes*len(probe))
	loop.Do(first.Fail)
	unsent, left := 0, probes*len(probe)
	waitUntil(t, "the server to stop serving", func() bool {
		before := left
		loop.Do(func() { unsent, left = s.Unsent(), s.pipelinedBytesRead() })
		return unsent > 0 && left == before
	})
	if unsent > limits.UnsentBytes+len(probeResponse) {
		t.Errorf("%d bytes are unsent, where %d may be", unsent, limits.UnsentBytes)
	}
	if _, err := io.CopyN(io.Discard, conn, probes*int64(len(probeResponse))); err != nil {
		t.Errorf("once the client reads: %v", err)
	}
}

// Between a response and its turn, the buffered part of the next request may be dropped, because the request turns out
// to exceed the buffer. The dispatcher must not crash then.
func TestOverflowBeginsBeforeThePipelinedRequestIsServed(t *testing.T) {
	handler := &silentHandler{}
	limits := testLimits()
	limits.BufferedBytes = 64 << 10
	loop, s, address := serve(t, limits, handler)
	conn := dial(t, address)
	next := requestText("next", 40<<10)
	const begin = 20 << 10 // bytes of the next request that arrive first
	go func() { _, _ = conn.Write([]byte(requestText("first", 100) + next[:begin])) }()
	receive(t, "the first request", handler.handled)
	first := <-handler.waiting
	waitForPipelined(t, loop, s, begin)
	loop.Do(func() {
		loop.Post(first.Fail)
		loop.Post(func() {
			for c := range s.connections {
				c.Data([]byte(next[begin:]))
			}
		})
	})
	in := bufio.NewReader(conn)
	for _, want := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable} {
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != want {
			t.Fatalf("%v, %v, want status %d", response, err, want)
		}
		_ = response.Body.Close()
	}
	loop.Do(func() { handler.rejectAll = true })
	exchange(t, conn, http.StatusServiceUnavailable)
}
