// Package record collects what stand-in endpoints and clients of the test bed see on their sockets, for the audit.
//
// It owns the record of a run, in memory and as a file with one JSON object a line. It relies on its callers for one
// clock for all events. A dispatcher never writes into a record: it is what others saw of it.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
)

// EventType says what happened.
type EventType string

// What clients see.
const (
	RequestSent EventType = "ask" // Value is the client's time limit in µs
	// Detail is an outcome, Count the tokens, Exact whether they are the right ones, Kind why the connection ended that
	// brought none
	FinalAnswer     EventType = "final"
	BytesAfterFinal EventType = "after"     // Detail is "bytes" or "event"
	MalformedAnswer EventType = "malformed" // Detail is the error
	RequestOver     EventType = "over"      // the last attempt's outcome; Count is the time to first token in µs
)

// What endpoints see.
const (
	AttemptArrived     EventType = "leg"      // Value is its work in tokens
	AttemptDeferred    EventType = "deferred" // it came over the socket, and the endpoint does not run or is partitioned
	AttemptTaken       EventType = "taken"    // by the endpoint that had deferred it
	AttemptRefused     EventType = "refuse"   // Detail is the error's code
	AttemptAnswered    EventType = "answered"
	AttemptRan         EventType = "ran" // its effects took place
	AttemptLeft        EventType = "left"
	ConnectionLost     EventType = "quit" // of an attempt in flight
	StatePinned        EventType = "hold" // what a prefill left, until it is fetched or released
	StateFetched       EventType = "took"
	StateReleased      EventType = "released"
	StateLeaseExpired  EventType = "lease"
	EndpointUp         EventType = "up" // Count is its start time; 0: long ago
	EndpointDown       EventType = "down"
	EndpointOverloaded EventType = "fell"   // during slow start
	SlowStartLoad      EventType = "cold"   // Value is the share of the budget that Count attempts used
	ChatAtEmbedder     EventType = "misled" // which serves embeddings only
)

// What else belongs to a run.
const (
	UpdateDelivered       EventType = "told" // Detail is the endpoint's condition, as discovery wrote it to a dispatcher
	DispatcherKilled      EventType = "killed"
	DispatcherUnavailable EventType = "away"    // for Count µs; Detail is Frozen or Partitioned
	FaultInjected         EventType = "trouble" // Kind and Detail are the script's
	NetworkLatency        EventType = "world"   // of a run in virtual time; Count is in µs
	TestBedDelayed        EventType = "late"    // a loop of the test bed, named by Detail, was held up for Count µs
)

// Loops of the test bed.
const (
	HostsLoop   = "hosts"
	ClientsLoop = "clients"
)

// Outcomes of a request, as its client sees them.
const (
	Completed = "streamed"
	Rejected  = "throttled"
	Failed    = "terminated"
	Broken    = "broken"    // the connection ended within the answer
	GaveUp    = "gave_up"   // no answer within the client's time
	Malformed = "malformed" // not HTTP, or not the API
	Unreached = "unreached" // no connection
	Unserved  = "unserved"  // no dispatcher, or no time left for an attempt
)

// Kinds of attempts.
const (
	Prefill = "read"
	Decode  = "write"
)

// Why a dispatcher was unavailable.
const (
	Frozen      = "stands" // it could do nothing
	Partitioned = "cut"    // it was cut off from its endpoints, but not from its clients
)

// Event is one event of a run.
type Event struct {
	At            int64     `json:"at"` // µs of the run's one clock
	Type          EventType `json:"what"`
	Request       string    `json:"gen,omitempty"` // the client's id, the same for all its attempts
	ClientAttempt int       `json:"try,omitempty"` // from 1
	Attempt       string    `json:"leg,omitempty"` // a dispatcher's attempt at an endpoint
	Endpoint      uint32    `json:"host,omitempty"`
	Dispatcher    string    `json:"dispatcher,omitempty"`
	Product       string    `json:"product,omitempty"`
	Tenant        string    `json:"tenant,omitempty"`
	Kind          string    `json:"kind,omitempty"` // of an endpoint, or of a fault
	Zone          string    `json:"zone,omitempty"`
	Cell          uint16    `json:"cell,omitempty"`
	Detail        string    `json:"how,omitempty"`
	Count         int64     `json:"n,omitempty"`
	Value         float64   `json:"value,omitempty"`
	Exact         bool      `json:"exact,omitempty"`
}

// Text returns the event as it is printed, without its time.
func (e Event) Text() string {
	text := fmt.Sprintf("%-9s", e.Type)
	for _, field := range []struct{ name, value string }{
		{"generation", e.Request},
		{"leg", e.Attempt},
		{"dispatcher", e.Dispatcher},
		{"kind", e.Kind},
		{"how", e.Detail},
	} {
		if field.value != "" {
			text += " " + field.name + " " + field.value
		}
	}
	if e.Endpoint > 0 {
		text += fmt.Sprintf(" host %d", e.Endpoint)
	}
	if e.Type == TestBedDelayed {
		text += fmt.Sprintf(" %d ms", e.Count/1000)
	}
	return text
}

// bufferSize is that of writes to a record's file, and the longest line that is read.
const bufferSize = 1 << 20

// Recorder collects events from several event loops.
type Recorder struct {
	mu     sync.Mutex
	events []Event

	// Only with a file.
	file    *os.File
	writer  *bufio.Writer
	encoder *json.Encoder
	failure error // of the first event that could not be written
}

// Open begins a record; with a path it is written there too. Close ends it.
func Open(path string) (*Recorder, error) {
	r := &Recorder{}
	if path == "" {
		return r, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	r.file, r.writer = file, bufio.NewWriterSize(file, bufferSize)
	r.encoder = json.NewEncoder(r.writer)
	return r, nil
}

// Add adds an event.
func (r *Recorder) Add(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	if r.encoder != nil && r.failure == nil {
		r.failure = r.encoder.Encode(event)
	}
}

// Close ends the record and returns all events.
func (r *Recorder) Close() ([]Event, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return r.events, nil
	}
	if err := errors.Join(r.failure, r.writer.Flush(), r.file.Close()); err != nil {
		return r.events, fmt.Errorf("record: %w", err)
	}
	return r.events, nil
}

// Read reads a record's file.
func Read(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	var events []Event
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, bufferSize)
	for number := 1; lines.Scan(); number++ {
		var event Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number, err)
		}
		events = append(events, event)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}
