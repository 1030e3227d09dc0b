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

// Environment variables that a stand-in's process is started with.
const (
	roleVariable  = "SOAK_ROLE"
	setupVariable = "SOAK_SETUP" // Setup, as JSON
)

// Roles that a stand-in may have.
const (
	endpointRole  = "host"
	discoveryRole = "discovery"
	proxyRole     = "proxy"
	clientsRole   = "clients"
)

// readyLine is the line that a stand-in prints once it serves.
const readyLine = "ready"

// exitSetupFailed is the exit code of a stand-in that could not start.
const exitSetupFailed = 2

// Commands that stand-ins read from standard input, one per line, followed by their arguments.
const (
	commandEnd      = "end"     // all: close the record and exit
	commandSilent   = "silent"  // endpoint, proxy, discovery: answer or forward nothing, for a duration
	commandDecline  = "decline" // endpoint: decline all requests, for a duration
	commandDelay    = "late"    // proxy: delay new connections, for a duration
	commandFragment = "pieces"  // proxy: forward bytes in small fragments, for a duration
	commandReset    = "reset"   // proxy, discovery: reset open connections
	commandMute     = "mute"    // discovery: write nothing more to the watches that are open now
	commandEntry    = "entry"   // discovery: publish an endpoint's state and entry
	commandFlood    = "crowd"   // clients: open connections to a dispatcher and send nothing, for a duration
)

// Setup is the configuration that a stand-in is started with.
type Setup struct {
	Name     string // of a proxy: the IP address that it connects from
	Record   string // path
	Seed     int64
	Kind     string        // of an endpoint
	Listen   []string      // addresses
	Targets  []string      // of a proxy: endpoints; of discovery: IP addresses of proxies; of clients: dispatchers
	Duration time.Duration // of clients: how long they send requests
	Deadline time.Duration // of clients: the deadline that each request states
}

// standIn is the part that all stand-ins have in common.
type standIn struct {
	Setup
	record *Record
	mu     sync.Mutex
	random *rand.Rand
}

// handler executes a command.
type handler func(command string, arguments []string)

// draw returns a random number below n.
func (s *standIn) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(n)
}

// drawDuration returns a random duration below a limit.
func (s *standIn) drawDuration(limit time.Duration) time.Duration {
	return time.Duration(s.draw(int(limit)))
}

// Main runs the stand-in whose role the environment names, and returns true once the stand-in has ended. It returns
// false at once if the environment names no role.
func Main() bool {
	role := os.Getenv(roleVariable)
	if role == "" {
		return false
	}
	if err := runStandIn(role, os.Getenv(setupVariable), os.Stdin); err != nil {
		fmt.Println(err)
		os.Exit(exitSetupFailed)
	}
	return true
}

// runStandIn runs a stand-in until it gets the command to end.
func runStandIn(role, setup string, commands io.Reader) error {
	s := &standIn{}
	if err := json.Unmarshal([]byte(setup), &s.Setup); err != nil {
		return fmt.Errorf("setup: %w", err)
	}
	s.random = rand.New(rand.NewSource(s.Seed))
	var err error
	if s.record, err = newRecord(s.Record); err != nil {
		return err
	}
	handle, err := s.start(role)
	if err != nil {
		return err
	}
	fmt.Println(readyLine)
	for lines := bufio.NewScanner(commands); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == commandEnd {
			break
		}
		handle(words[0], words[1:])
	}
	return s.record.close()
}

// start starts the stand-in of a role.
func (s *standIn) start(role string) (handler, error) {
	switch role {
	case endpointRole:
		return startEndpoint(s)
	case discoveryRole:
		return startDiscovery(s)
	case proxyRole:
		return startProxy(s)
	case clientsRole:
		return startClients(s), nil
	}
	return nil, fmt.Errorf("unknown role %q", role)
}

// listen serves each connection to an address, in the background, until the process ends.
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

// closeConn closes a connection. It ignores errors, as nothing can be done about them.
func closeConn(conn net.Conn) { _ = conn.Close() }

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	closeConn(conn)
}

// durationArgument returns an argument of a command as a duration, or 0 if it is missing or malformed.
func durationArgument(arguments []string, index int) time.Duration {
	if index >= len(arguments) {
		return 0
	}
	duration, _ := time.ParseDuration(arguments[index])
	return duration
}

// endTime returns the time at which the duration of a command, its first argument, is over.
func endTime(arguments []string) int64 { return now() + durationArgument(arguments, 0).Microseconds() }
