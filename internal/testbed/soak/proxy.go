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
	connectionDelay = 400 * time.Millisecond // by which new connections are delayed
	proxyBufferSize = 16 << 10
	maxFragmentSize = 200
)

// proxy forwards one dispatcher's connections to all endpoints. On command it resets connections, blackholes them,
// delays new ones or forwards bytes in small fragments.
type proxy struct {
	*standIn
	mu   sync.Mutex
	open map[net.Conn]bool
	// Until silentUntil nothing is forwarded. Afterwards, the connections that were opened in that time are reset, and so
	// are older ones on which data arrived.
	silentUntil   atomic.Int64
	delayUntil    atomic.Int64
	fragmentUntil atomic.Int64
}

func startProxy(s *standIn) (handler, error) {
	p := &proxy{standIn: s, open: map[net.Conn]bool{}}
	for i, address := range s.Listen {
		if err := listen(address, func(conn net.Conn) { p.serve(conn, s.Targets[i]) }); err != nil {
			return nil, err
		}
	}
	return p.handle, nil
}

// handle executes a command.
func (p *proxy) handle(command string, arguments []string) {
	switch command {
	case commandSilent:
		p.silentUntil.Store(endTime(arguments))
	case commandDelay:
		p.delayUntil.Store(endTime(arguments))
	case commandFragment:
		p.fragmentUntil.Store(endTime(arguments))
	case commandReset:
		p.mu.Lock()
		defer p.mu.Unlock()
		for conn := range p.open {
			if p.draw(2) == 0 {
				resetConn(conn)
			}
		}
	}
}

// serve forwards a connection to an endpoint. It connects from the proxy's own address, by which endpoints tell the
// dispatchers apart.
func (p *proxy) serve(downstream net.Conn, target string) {
	defer closeConn(downstream)
	if p.waitWhileSilent() {
		resetConn(downstream)
		return
	}
	if now() < p.delayUntil.Load() {
		time.Sleep(connectionDelay)
		if isClosedByPeer(downstream) { // the dispatcher did not wait for the connection
			return
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.Name)}, Timeout: time.Second}
	upstream, err := dialer.Dial("tcp", target)
	if err != nil {
		resetConn(downstream)
		return
	}
	defer closeConn(upstream)
	p.setOpen(downstream, true)
	defer p.setOpen(downstream, false)
	ended := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{downstream, upstream}, {upstream, downstream}} {
		go func() {
			p.copy(direction[0], direction[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}

// setOpen adds a connection to those that a command may reset, or removes it.
func (p *proxy) setOpen(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[conn] = true
	} else {
		delete(p.open, conn)
	}
}

// waitWhileSilent waits for the end of a silence, if there is one, and reports whether there was one.
func (p *proxy) waitWhileSilent() (wasSilent bool) {
	for now() < p.silentUntil.Load() {
		wasSilent = true
		time.Sleep(5 * time.Millisecond)
	}
	return wasSilent
}

// copy forwards bytes in one direction until the sender closes or a connection breaks.
func (p *proxy) copy(from, to net.Conn) {
	buffer := make([]byte, proxyBufferSize)
	for {
		count, err := from.Read(buffer)
		if p.waitWhileSilent() { // as if packets were dropped, the data is never delivered
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

// write writes data, in small fragments while that fault lasts. It returns false once the connection is broken.
func (p *proxy) write(to net.Conn, data []byte) bool {
	for len(data) > 0 {
		size := len(data)
		if now() < p.fragmentUntil.Load() {
			size = min(1+p.draw(maxFragmentSize), size)
		}
		if _, err := to.Write(data[:size]); err != nil {
			return false
		}
		data = data[size:]
	}
	return true
}
