package platform

import (
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
)

// discoveryAgent is a fake of the platform's discovery agent, which streams the endpoint list to its watches.
type discoveryAgent struct {
	env      *testEnv
	version  int
	watches  []*endpointConn
	targets  []string // the target of each request to watch
	listener eventloop.Listener
	silent   bool // the agent accepts connections but answers none
}

func (a *discoveryAgent) listen(address string) {
	a.listener, _ = a.env.remote.Listen(address, func(socket eventloop.Conn) eventloop.Handler {
		conn := &endpointConn{socket: socket, parser: http1.Parser{Limits: http1.DefaultLimits}}
		conn.endpoint = &fakeEndpoint{env: a.env, serve: a.serve}
		return conn
	})
}

func (a *discoveryAgent) serve(conn *endpointConn) {
	a.targets = append(a.targets, conn.head.Target)
	a.watches = append(a.watches, conn)
	if !a.silent {
		a.startStream(conn)
	}
}

func (a *discoveryAgent) startStream(conn *endpointConn) {
	conn.socket.Write(http1.AppendStreamHead(nil, 200))
	a.heartbeat(conn)
}

func (a *discoveryAgent) heartbeat(conn *endpointConn) {
	if !conn.closed && !conn.noHeartbeats {
		conn.socket.Write(http1.AppendChunk(nil, []byte("\n")))
		a.env.remote.AfterFunc(2*eventloop.Second, func() { a.heartbeat(conn) })
	}
}

// fullList returns a full list of the next version as one chunk.
func (a *discoveryAgent) fullList(entries ...string) []byte {
	a.version++
	return http1.AppendChunk(nil, []byte(listText(a.version, true, entries)+"\n"))
}

// push sends a text to all watches.
func (a *discoveryAgent) push(text string) {
	a.env.remote.Do(func() {
		for _, conn := range a.watches {
			conn.socket.Write(http1.AppendChunk(nil, []byte(text)))
		}
	})
}

// update sends a full list or changes, of the next version, to all watches.
func (a *discoveryAgent) update(full bool, entries ...string) {
	a.version++
	a.push(listText(a.version, full, entries) + "\n")
}
