package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// What a stand-in's process is started with.
const (
	roleVariable  = "SOAK_ROLE"
	setupVariable = "SOAK_SETUP" // Setup, as JSON
)

// Setup is what a stand-in is told.
type Setup struct {
	Name     string
	Record   string // path
	Seed     int64
	Kind     string   // of a model host
	Listen   []string // addresses
	Targets  []string // of a proxy: what stands behind each address; of clients: dispatchers
	Duration time.Duration
}

// role is what the stand-ins share: a record, chance, and orders that come line by line on standard input.
type role struct {
	Setup
	record *Record
	mu     sync.Mutex
	chance *rand.Rand
}

// draw is a number below n.
func (r *role) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chance.Intn(n)
}

func (r *role) within(most time.Duration) time.Duration { return time.Duration(r.draw(int(most))) }

// Main runs a stand-in where the environment names one, and tells whether it did.
func Main() bool {
	name := os.Getenv(roleVariable)
	if name == "" {
		return false
	}
	r := &role{}
	if err := json.Unmarshal([]byte(os.Getenv(setupVariable)), &r.Setup); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r.chance = rand.New(rand.NewSource(r.Seed))
	var err error
	if r.record, err = newRecord(r.Record); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	var obey func(order string, arguments []string)
	switch name {
	case "host":
		obey, err = runHost(r)
	case "discovery":
		obey, err = runDiscovery(r)
	case "proxy":
		obey, err = runProxy(r)
	case "clients":
		obey, err = runClients(r)
	default:
		err = fmt.Errorf("no role %q", name)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	fmt.Println("ready")
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		if words[0] == "end" {
			break
		}
		obey(words[0], words[1:])
	}
	r.record.flush()
	return true
}

// listen serves each connection that comes to an address.
func listen(address string, serve func(net.Conn)) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return nil
}

// span reads a duration of an order.
func span(arguments []string, at int) time.Duration {
	if at >= len(arguments) {
		return 0
	}
	d, _ := time.ParseDuration(arguments[at])
	return d
}
