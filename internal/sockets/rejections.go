package sockets

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// At most maxRejections connections are rejected at once, fewer where the process may have few descriptors: each takes
// one, of the reserve if need be. Clients are answered with one at a time, too, only later.
const (
	maxRejections           = 8
	descriptorsPerRejection = 50 // that the process may have
)

// rejectionLimit returns how many connections are rejected at once by a process with so many descriptors.
func rejectionLimit(descriptors uint64) int {
	return int(min(max(descriptors/descriptorsPerRejection, 1), maxRejections))
}

// descriptorLimit returns how many descriptors this process may have.
func descriptorLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}

// rejections are the connections that are being rejected. It is used by the loop, by the goroutines that accept and by
// those of the rejections.
type rejections struct {
	loop *Loop
	max  int // at once

	mu       sync.Mutex
	ended    *sync.Cond // a rejection has ended
	active   int
	answered []net.Conn // those that linger, in the order of their answers
	stopping bool
}

func newRejections(loop *Loop, limit int) *rejections {
	r := &rejections{loop: loop, max: limit}
	r.ended = sync.NewCond(&r.mu)
	return r
}

// running returns how many connections are being rejected.
func (r *rejections) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// waitForCapacity waits until another connection may be rejected. One that was answered makes way at once; others are
// answered when their time to receive is over.
func (r *rejections) waitForCapacity() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.active >= r.max {
		r.evictLocked()
		r.ended.Wait()
	}
}

// evictLocked ends the connection that was answered first.
func (r *rejections) evictLocked() {
	if len(r.answered) > 0 {
		_ = r.answered[0].SetReadDeadline(time.Now())
		r.answered = r.answered[1:]
	}
}

// start rejects a connection.
func (r *rejections) start(raw net.Conn) {
	r.mu.Lock()
	r.active++
	r.mu.Unlock()
	go func() {
		r.loop.newRejection(raw, func() { r.linger(raw) }).run()
		r.end(raw)
	}()
}

// linger lets a connection that was answered wait for its client to close.
func (r *rejections) linger(raw net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		_ = raw.SetReadDeadline(time.Now())
		return
	}
	_ = raw.SetReadDeadline(time.Now().Add(rejectLingerTimeout))
	r.answered = append(r.answered, raw)
	r.ended.Broadcast() // whoever waits for capacity may evict it
}

// end takes the connection's descriptor back.
func (r *rejections) end(raw net.Conn) {
	_ = r.loop.reserve.fill()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, answered := range r.answered {
		if answered == raw {
			r.answered = append(r.answered[:i], r.answered[i+1:]...)
			break
		}
	}
	r.active--
	r.ended.Broadcast()
}

// stop waits until all are answered; they linger no longer.
func (r *rejections) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	for r.active > 0 {
		r.evictLocked()
		r.ended.Wait()
	}
}
