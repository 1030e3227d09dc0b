package sockets

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Each connection that is being rejected takes a descriptor, if need be from the reserve. The number of concurrent
// rejections is therefore limited, and depends on the process's descriptor limit. Even a limit of 1 is enough to answer
// all clients, only later.
const (
	maxRejections           = 8
	descriptorsPerRejection = 50 // descriptors that the process's limit must include for each concurrent rejection
)

// rejectionLimit returns the maximum number of concurrent rejections for a process with the given descriptor limit.
func rejectionLimit(descriptors uint64) int {
	return int(min(max(descriptors/descriptorsPerRejection, 1), maxRejections))
}

// descriptorLimit returns the maximum number of file descriptors of this process, or 0 if it is unknown.
func descriptorLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}

// rejections tracks the connections that are being rejected. It is safe for concurrent use: the loop, the accepting
// goroutines and the goroutines of the rejections call it.
type rejections struct {
	loop *Loop
	max  int // maximum number of concurrent rejections

	mu        sync.Mutex
	changed   *sync.Cond // signalled when a rejection has ended, or has begun to linger
	active    int
	lingering []net.Conn // connections whose response has been sent, the oldest first
	stopping  bool
}

func newRejections(loop *Loop, limit int) *rejections {
	r := &rejections{loop: loop, max: limit}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// running returns how many connections are being rejected.
func (r *rejections) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// waitForCapacity waits until another rejection may start. To free capacity it closes lingering connections, oldest
// first. The other rejections send their response after their receive timeout at the latest, and linger from then on.
func (r *rejections) waitForCapacity() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.active >= r.max {
		r.evictOldestLocked()
		r.changed.Wait()
	}
}

// evictOldestLocked ends the connection that has lingered longest.
func (r *rejections) evictOldestLocked() {
	if len(r.lingering) > 0 {
		_ = r.lingering[0].SetReadDeadline(time.Now())
		r.lingering = r.lingering[1:]
	}
}

// start rejects a connection in a new goroutine.
func (r *rejections) start(raw net.Conn) {
	r.mu.Lock()
	r.active++
	r.mu.Unlock()
	go func() {
		r.loop.newRejection(raw, func() { r.linger(raw) }).run()
		r.end(raw)
	}()
}

// linger gives a client time to close its connection after the response has been sent.
func (r *rejections) linger(raw net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		_ = raw.SetReadDeadline(time.Now())
		return
	}
	_ = raw.SetReadDeadline(time.Now().Add(rejectLingerTimeout))
	r.lingering = append(r.lingering, raw)
	r.changed.Broadcast() // a goroutine that waits for capacity may evict this connection
}

// end records that a rejection has ended, and refills the reserve with the descriptor of the closed connection.
func (r *rejections) end(raw net.Conn) {
	_ = r.loop.reserve.fill()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.lingering {
		if other == raw {
			r.lingering = append(r.lingering[:i], r.lingering[i+1:]...)
			break
		}
	}
	r.active--
	r.changed.Broadcast()
}

// stop waits until each client's response has been sent, and ends the connections without waiting for the clients to
// close them.
func (r *rejections) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	for r.active > 0 {
		r.evictOldestLocked()
		r.changed.Wait()
	}
}
