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

// EventKind is a kind of event.
type EventKind string

// Events that endpoints record.
const (
	Arrived  EventKind = "arrived"  // a request was read completely
	Refused  EventKind = "refused"  // a decode was declined or was found to be abandoned
	Ran      EventKind = "ran"      // a request took effect; Value is when it arrived and its deduplication window began
	Reserved EventKind = "held"     // a prefill left a state
	Released EventKind = "released" // a state was released at a dispatcher's request
)

// Events that clients record.
const (
	Sent         EventKind = "sent"     // a request was sent completely; Value is when sending began
	Answered     EventKind = "answered" // the answer is complete; Status is its status code
	Broken       EventKind = "broken"   // the stream ended before its last chunk
	Lost         EventKind = "lost"     // no answer, none in time, or a stream that ended without its last event
	Disconnected EventKind = "left"     // the client closed the connection before its answer
)

// Events that discovery or the run itself record.
const (
	Notified   EventKind = "told"     // discovery wrote an endpoint's drain to a dispatcher's watch
	Drained    EventKind = "drained"  // an endpoint's drain was published
	Stopped    EventKind = "stopped"  // a dispatcher was sent SIGTERM
	Killed     EventKind = "killed"   // a dispatcher or endpoint was killed; Value is when it got SIGTERM, 0 if never
	Ended      EventKind = "ended"    // a dispatcher's process ended
	FaultBegan EventKind = "troubled" // Text names the fault; Value is its duration
)

// Event is one event that a process recorded.
type Event struct {
	At       int64     `json:"at"` // µs of the machine's monotonic clock
	Kind     EventKind `json:"kind"`
	ID       string    `json:"id,omitempty"` // of the request
	Class    string    `json:"class,omitempty"`
	Endpoint string    `json:"host,omitempty"` // name
	// Dispatcher is the dispatcher's address in the clients' events and in Stopped, Killed and Ended. In all other events
	// it is the dispatcher's number, which counts from 1.
	Dispatcher string `json:"dispatcher,omitempty"`
	Status     int    `json:"status,omitempty"`
	Value      int64  `json:"value,omitempty"`
	Text       string `json:"text,omitempty"`
}

// now returns the time of the machine's monotonic clock in µs. It is the same clock in all processes.
func now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // Linux always has this clock
	}
	return t.Nano() / 1000
}

// Record is the file that one process writes its events to. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	failure error // the errors of all events that could not be written
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{file: file}, nil
}

// add writes an event without buffering it, as the process may be killed.
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

// close closes the file. It returns an error if any event could not be written.
func (r *Record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := errors.Join(r.failure, r.file.Close()); err != nil {
		return fmt.Errorf("record %s: %w", r.file.Name(), err)
	}
	return nil
}

// readRecord reads all events of a file.
func readRecord(path string) (events []Event, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	defer func() { _ = file.Close() }() // closing a file that was only read loses nothing
	for decoder := json.NewDecoder(bufio.NewReader(file)); decoder.More(); {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		events = append(events, event)
	}
	return events, nil
}
