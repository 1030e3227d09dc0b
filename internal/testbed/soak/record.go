// Package soak runs the platform's dispatcher as it is built and released, a few dozen real processes on loopback, through overlapping
// troubles that are drawn from a seed: stops, restarts, new configurations, clients and model hosts that misbehave, connections that break or
// fall silent, system calls that fail, wall clocks that are stepped. Each process writes down what it sees; an audit holds the rules
// against all of it. Model hosts, discovery, clients and a proxy are stand-ins, processes of their own too.
package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// Kind says what happened.
type Kind string

const (
	// At a model host.
	Arrived  Kind = "arrived"  // a request's last byte
	Ran      Kind = "ran"      // its effects took place; Value is when it arrived, which is what a window for repeats counts from
	Reserved Kind = "held"     // what a prefill left
	Released Kind = "released" // by a release
	// At a client.
	Sent     Kind = "sent"     // a request's last byte
	Answered Kind = "answered" // with a status, whole
	Broken   Kind = "broken"   // the stream ended before its last chunk
	Lost     Kind = "lost"     // the connection ended without an answer, or none came in time
	Left     Kind = "left"     // the client closed before its answer
	// At discovery.
	Notified Kind = "told" // a drain was written to a dispatcher's watch
	// At the run's conductor.
	Drained    Kind = "drained" // a host's drain was given to discovery
	Stopped    Kind = "stopped" // a dispatcher was told to end
	Killed     Kind = "killed"
	Ended      Kind = "ended"
	FaultBegan Kind = "troubled" // something else began; Value is for how long
)

// Event is one thing that a process saw.
type Event struct {
	At         int64  `json:"at"` // microseconds of the machine's monotonic clock
	Kind       Kind   `json:"kind"`
	ID         string `json:"id,omitempty"`
	Class      string `json:"class,omitempty"`
	Endpoint   string `json:"host,omitempty"`
	Dispatcher string `json:"dispatcher,omitempty"`
	Status     int    `json:"status,omitempty"`
	Value      int64  `json:"value,omitempty"`
	Text       string `json:"text,omitempty"`
}

// now is the machine's monotonic clock, alike in all processes.
func now() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano() / 1000
}

// Record is one process's events on their way to its file.
type Record struct {
	mu  sync.Mutex
	out *bufio.Writer
}

// newRecord writes to a file; what is written is there after flush.
func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{out: bufio.NewWriter(f)}, nil
}

func (r *Record) add(e Event) {
	if e.At == 0 {
		e.At = now()
	}
	line, _ := json.Marshal(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
	_ = r.out.Flush() // the process may be killed
}

func (r *Record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// readRecord reads a file of events.
func readRecord(path string) (events []Event, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for lines := json.NewDecoder(bufio.NewReader(f)); lines.More(); {
		var e Event
		if err := lines.Decode(&e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		events = append(events, e)
	}
	return events, nil
}
