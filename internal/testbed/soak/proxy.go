package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateBy          = 400 * time.Millisecond // how late connections come up
	proxyBufferSize = 16 << 10
	maxPieceSize    = 200
)

// proxy stands between one dispatcher and all endpoints: it resets connections, lets them fall silent, has new ones
// come up late and cuts what passes into small pieces.
type proxy struct {
	*role
	mu          sync.Mutex
	open        map[net.Conn]bool
	silentUntil atomic.Int64 // nothing passes, and nothing is said of it; what was open is reset afterwards
	lateUntil   atomic.Int64
	piecesUntil atomic.Int64
}

func startProxy(r *role) (handler, error) {
	p := &proxy{role: r, open: map[net.Conn]bool{}}
	for i, address := range r.Listen {
		if err := listen(address, func(conn net.Conn) { p.serve(conn, r.Targets[i]) }); err != nil {
			return nil, err
		}
	}
	return p.handle, nil
}

func (p *proxy) handle(order string, arguments []string) {
	switch order {
	case orderSilent:
		p.silentUntil.Store(untilOf(arguments))
	case orderLate:
		p.lateUntil.Store(untilOf(arguments))
	case orderPieces:
		p.piecesUntil.Store(untilOf(arguments))
	case orderReset:
		p.mu.Lock()
		defer p.mu.Unlock()
		for conn := range p.open {
			if p.draw(2) == 0 {
				resetConn(conn)
			}
		}
	}
}

// serve connects both sides; what comes from this proxy has its own source address.
func (p *proxy) serve(near net.Conn, target string) {
	defer closeConn(near)
	if p.waitWhileSilent() {
		resetConn(near)
		return
	}
	if now() < p.lateUntil.Load() {
		time.Sleep(lateBy)
		if isClosedByPeer(near) { // it did not wait for the connection
			return
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.Name)}, Timeout: time.Second}
	far, err := dialer.Dial("tcp", target)
	if err != nil {
		resetConn(near)
		return
	}
	defer closeConn(far)
	p.setOpen(near, true)
	defer p.setOpen(near, false)
	ended := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			p.copy(direction[0], direction[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}

func (p *proxy) setOpen(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[conn] = true
	} else {
		delete(p.open, conn)
	}
}

// waitWhileSilent waits for the end of a silence, and returns whether there was one.
func (p *proxy) waitWhileSilent() (wasSilent bool) {
	for now() < p.silentUntil.Load() {
		wasSilent = true
		time.Sleep(5 * time.Millisecond)
	}
	return wasSilent
}

// copy passes bytes in one direction until it ends.
func (p *proxy) copy(from, to net.Conn) {
	buffer := make([]byte, proxyBufferSize)
	for {
		count, err := from.Read(buffer)
		if p.waitWhileSilent() { // like packets that are dropped: what was read is never delivered
			resetConn(from)
			return
		}
		if !p.write(to, buffer[:count]) {
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}

// write writes bytes, in small pieces where that is ordered.
func (p *proxy) write(to net.Conn, data []byte) bool {
	for len(data) > 0 {
		size := len(data)
		if now() < p.piecesUntil.Load() {
			size = min(1+p.draw(maxPieceSize), size)
		}
		if _, err := to.Write(data[:size]); err != nil {
			return false
		}
		data = data[size:]
	}
	return true
}
