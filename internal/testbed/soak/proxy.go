package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy stands between one dispatcher and all model hosts: it resets connections, lets them fall silent, has new ones come up late and cuts
// what passes into small pieces.
type proxy struct {
	*role
	mu     sync.Mutex
	open   map[net.Conn]bool
	silent atomic.Int64 // until then nothing passes, and nothing is told of it; what was open is reset afterwards
	late   atomic.Int64 // until then new connections come up late
	pieces atomic.Int64 // until then bytes pass in small pieces
}

const lateBy = 400 * time.Millisecond

func runProxy(r *role) (func(string, []string), error) {
	p := &proxy{role: r, open: map[net.Conn]bool{}}
	for i, address := range r.Listen {
		if err := listen(address, func(c net.Conn) { p.carry(c, r.Targets[i]) }); err != nil {
			return nil, err
		}
	}
	return func(order string, arguments []string) {
		until := now() + span(arguments, 0).Microseconds()
		switch order {
		case "silent":
			p.silent.Store(until)
		case "late":
			p.late.Store(until)
		case "pieces":
			p.pieces.Store(until)
		case "reset":
			p.mu.Lock()
			defer p.mu.Unlock()
			for c := range p.open {
				if p.draw(2) == 0 {
					reset(c)
					c.Close()
				}
			}
		}
	}, nil
}

// carry connects both sides; what comes from this proxy has its own source address.
func (p *proxy) carry(c net.Conn, target string) {
	defer c.Close()
	if p.cut() {
		reset(c)
		return
	}
	if now() < p.late.Load() {
		time.Sleep(lateBy)
		if hungUp(c) { // it did not wait for the connection
			return
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.Name)}, Timeout: time.Second}
	far, err := dialer.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	defer far.Close()
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	ended := make(chan bool, 2)
	go p.pass(c, far, ended)
	go p.pass(far, c, ended)
	<-ended
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

// cut waits for the end of a silence, and tells whether there was one.
func (p *proxy) cut() bool {
	silent := false
	for now() < p.silent.Load() {
		silent = true
		time.Sleep(5 * time.Millisecond)
	}
	return silent
}

func (p *proxy) pass(from, to net.Conn, ended chan bool) {
	defer func() { ended <- true }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if p.cut() { // as packets that are dropped: it is never delivered
			reset(from)
			return
		}
		for part := b[:n]; len(part) > 0; {
			size := len(part)
			if now() < p.pieces.Load() {
				size = min(1+p.draw(200), size)
			}
			if _, e := to.Write(part[:size]); e != nil {
				return
			}
			part = part[size:]
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
