package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// Variables that a stand-in's process is started with.
const (
	roleVariable  = "SOAK_ROLE"
	setupVariable = "SOAK_SETUP" // Setup, as JSON
)

// Names of the stand-ins.
const (
	endpointRole  = "host"
	discoveryRole = "discovery"
	proxyRole     = "proxy"
	clientsRole   = "clients"
)

// readyLine is what a stand-in prints once it serves.
const readyLine = "ready"

// exitSetupFailed is the exit code of a stand-in that could not start.
const exitSetupFailed = 2

// Orders that stand-ins take on standard input, one a line, followed by their arguments.
const (
	orderEnd     = "end"     // to all: write the record and end
	orderSilent  = "silent"  // endpoint, proxy, discovery: answer nothing, for a duration
	orderDecline = "decline" // endpoint: decline everything, for a duration
	orderLate    = "late"    // proxy: have new connections come up late, for a duration
	orderPieces  = "pieces"  // proxy: pass bytes in small pieces, for a duration
	orderReset   = "reset"   // proxy, discovery: reset connections
	orderMute    = "mute"    // discovery: never write to the watches that are open now
	orderEntry   = "entry"   // discovery: publish an endpoint's state and entry
	orderCrowd   = "crowd"   // clients: connect to a dispatcher and say nothing, for a duration
)

// Setup is what a stand-in is started with.
type Setup struct {
	Name     string
	Record   string // path
	Seed     int64
	Kind     string        // of an endpoint
	Listen   []string      // addresses
	Targets  []string      // of a proxy: what stands behind each address; of clients: dispatchers
	Duration time.Duration // of clients: for how long they send requests
	Deadline time.Duration // of clients: that a request states
}

// role is what the stand-ins share.
type role struct {
	Setup
	record *Record
	mu     sync.Mutex
	random *rand.Rand
}

// handler does what an order says.
type handler func(order string, arguments []string)

// draw is a random number below n.
func (r *role) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Intn(n)
}

// drawDuration is a random duration below a limit.
func (r *role) drawDuration(limit time.Duration) time.Duration {
	return time.Duration(r.draw(int(limit)))
}

// Main runs a stand-in where the environment names one, and returns whether it did.
func Main() bool {
	name := os.Getenv(roleVariable)
	if name == "" {
		return false
	}
	if err := runRole(name, os.Getenv(setupVariable), os.Stdin); err != nil {
		fmt.Println(err)
		os.Exit(exitSetupFailed)
	}
	return true
}

// runRole runs a stand-in until it is ordered to end.
func runRole(name, setup string, orders io.Reader) error {
	standIn := &role{}
	if err := json.Unmarshal([]byte(setup), &standIn.Setup); err != nil {
		return fmt.Errorf("setup: %w", err)
	}
	standIn.random = rand.New(rand.NewSource(standIn.Seed))
	var err error
	if standIn.record, err = newRecord(standIn.Record); err != nil {
		return err
	}
	handle, err := standIn.start(name)
	if err != nil {
		return err
	}
	fmt.Println(readyLine)
	for lines := bufio.NewScanner(orders); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == orderEnd {
			break
		}
		handle(words[0], words[1:])
	}
	return standIn.record.close()
}

func (r *role) start(name string) (handler, error) {
	switch name {
	case endpointRole:
		return startEndpoint(r)
	case discoveryRole:
		return startDiscovery(r)
	case proxyRole:
		return startProxy(r)
	case clientsRole:
		return startClients(r), nil
	}
	return nil, fmt.Errorf("no role %q", name)
}

// listen serves each connection to an address until the process ends.
func listen(address string, serve func(net.Conn)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return nil
}

// closeConn closes a connection; there is nothing to be done where that fails.
func closeConn(conn net.Conn) { _ = conn.Close() }

// resetConn closes a connection by a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only for a connection that is closed
	}
	closeConn(conn)
}

// durationOf is an argument of an order, or 0.
func durationOf(arguments []string, index int) time.Duration {
	if index >= len(arguments) {
		return 0
	}
	duration, _ := time.ParseDuration(arguments[index])
	return duration
}

// untilOf is the time at which the duration of an order is over.
func untilOf(arguments []string) int64 { return now() + durationOf(arguments, 0).Microseconds() }
