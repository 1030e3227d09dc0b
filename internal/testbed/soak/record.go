package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// Kind says what happened.
type Kind string

// What happens at an endpoint.
const (
	Arrived  Kind = "arrived"  // a request's last byte, at a process that runs
	Refused  Kind = "refused"  // a decode that had arrived was declined, failed or found to be given up
	Ran      Kind = "ran"      // its effects took place; Value is when it arrived, from which a window for repeats counts
	Reserved Kind = "held"     // what a prefill left
	Released Kind = "released" // by a release
)

// What happens at a client.
const (
	Sent     Kind = "sent"     // a request's last byte; Value is when it began
	Answered Kind = "answered" // with a status, completely
	Broken   Kind = "broken"   // the stream ended before its last chunk
	Lost     Kind = "lost"     // the connection ended without an answer, or none came in time
	Left     Kind = "left"     // the client closed before its answer
)

// What else happens in a run.
const (
	Notified   Kind = "told"     // discovery wrote a drain to a dispatcher's watch
	Drained    Kind = "drained"  // an endpoint's drain was given to discovery
	Stopped    Kind = "stopped"  // a dispatcher was asked to stop
	Killed     Kind = "killed"   // a dispatcher or an endpoint; Value is when it was asked to stop, if it was
	Ended      Kind = "ended"    // a dispatcher
	FaultBegan Kind = "troubled" // Text says which; Value is its duration
)

// Event is one thing that a process saw.
type Event struct {
	At         int64  `json:"at"` // µs of the machine's monotonic clock
	Kind       Kind   `json:"kind"`
	ID         string `json:"id,omitempty"` // of the request
	Class      string `json:"class,omitempty"`
	Endpoint   string `json:"host,omitempty"`
	Dispatcher string `json:"dispatcher,omitempty"`
	Status     int    `json:"status,omitempty"`
	Value      int64  `json:"value,omitempty"`
	Text       string `json:"text,omitempty"`
}

// now is the machine's monotonic clock, alike in all processes, in µs.
func now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // Linux always has that clock
	}
	return t.Nano() / 1000
}

// Record is the file that one process writes its events to.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	failure error // of the first event that could not be written
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{file: file}, nil
}

// add writes an event at once, as the process may be killed.
func (r *Record) add(event Event) {
	if event.At == 0 {
		event.At = now()
	}
	line, err := json.Marshal(event)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}
	r.failure = errors.Join(r.failure, err)
}

// close ends the record; it fails if any event was not written.
func (r *Record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := errors.Join(r.failure, r.file.Close()); err != nil {
		return fmt.Errorf("record %s: %w", r.file.Name(), err)
	}
	return nil
}

// readRecord reads a file of events.
func readRecord(path string) (events []Event, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	for decoder := json.NewDecoder(bufio.NewReader(file)); decoder.More(); {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		events = append(events, event)
	}
	return events, nil
}
