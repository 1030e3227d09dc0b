// Package record collects the events that stand-in endpoints and clients of the test bed observe on their sockets, for
// the audit.
//
// It owns the record of a run, in memory and as a file with one JSON object per line. It relies on its callers to take
// the times of all events from one clock. A dispatcher never writes to a record. The record holds only what others
// observed of the dispatcher.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
)

// EventType is a type of event. Its values are part of the record's file format.
type EventType string

// Events that clients observe.
const (
	RequestSent EventType = "ask" // Value is the client's time limit in µs
	// FinalAnswer ends a client's attempt. Detail is the attempt's outcome, Count the number of tokens, and Exact whether
	// the tokens are the expected ones. If the attempt ended because its connection ended, Kind is the reason for the end
	// of the connection.
	FinalAnswer     EventType = "final"
	BytesAfterFinal EventType = "after"     // Detail is "bytes" or "event"
	MalformedAnswer EventType = "malformed" // Detail is the error
	// RequestFinished ends a client's request. Detail is its outcome. Count is the time in µs from the start of the
	// request to the first token of a completed chat request, or to the end of a batch call. Exact is whether a chat
	// request met its SLO, or whether a batch call was completed.
	RequestFinished EventType = "over"
)

// Events that endpoints observe.
const (
	AttemptArrived          EventType = "leg"      // on the socket; Value is the attempt's work in tokens
	AttemptDeferred         EventType = "deferred" // the attempt arrived while the endpoint did not run or was partitioned
	DeferredAttemptAccepted EventType = "taken"    // the endpoint accepted an attempt that it had deferred
	AttemptRefused          EventType = "refuse"   // Detail is the error code
	AttemptAnswered         EventType = "answered"
	AttemptRan              EventType = "ran"  // the attempt's effects took place
	AttemptFinished         EventType = "left" // the attempt holds no resources at the endpoint any more
	ConnectionLost          EventType = "quit" // of an attempt in flight
	StatePinned             EventType = "hold" // a prefill left a state, pinned until it is fetched, released or expires
	StateFetched            EventType = "took"
	StateReleased           EventType = "released"
	StateLeaseExpired       EventType = "lease"
	EndpointUp              EventType = "up" // Count is its start time; 0: so long ago that slow start is over
	EndpointDown            EventType = "down"
	EndpointOverloaded      EventType = "fell"   // during slow start
	SlowStartLoad           EventType = "cold"   // Value is the share of the slow-start budget that Count attempts used
	ChatAtEmbeddingEndpoint EventType = "misled" // a chat request at an endpoint that serves embeddings only
)

// Events of discovery, dispatchers and the test bed itself.
const (
	UpdateDelivered       EventType = "told" // Detail is the endpoint's condition that discovery wrote to a dispatcher
	DispatcherKilled      EventType = "killed"
	DispatcherUnavailable EventType = "away"    // for Count µs; Detail is Frozen or Partitioned
	FaultInjected         EventType = "trouble" // Kind is the kind of fault, Detail the whole fault as text
	NetworkLatency        EventType = "world"   // only in virtual time; Count is the latency in µs
	TestBedDelayed        EventType = "late"    // the test bed's event loop named by Detail was delayed for Count µs
)

// Event loops of the test bed.
const (
	EndpointsLoop = "hosts"
	ClientsLoop   = "clients"
)

// Outcomes of a request, as its client sees them.
const (
	Completed     = "streamed"
	Rejected      = "throttled"
	Failed        = "terminated"
	Broken        = "broken"    // the connection ended before the answer was complete
	TimedOut      = "gave_up"   // no answer within the client's time limit
	Malformed     = "malformed" // the answer is not valid HTTP or not an answer of the API
	ConnectFailed = "unreached" // the connection was not established
	NotAttempted  = "unserved"  // no attempt was made, as there was no dispatcher or no time left
)

// Kinds of attempts.
const (
	Prefill = "read"
	Decode  = "write"
)

// Reasons for a dispatcher to be unavailable.
const (
	Frozen      = "stands" // its process did not run
	Partitioned = "cut"    // it reached its clients, but not its endpoints
)

// Event is one event of a run.
type Event struct {
	At            int64     `json:"at"` // µs, by the one clock of the run
	Type          EventType `json:"what"`
	Request       string    `json:"gen,omitempty"` // the client's request id, the same for all its attempts
	ClientAttempt int       `json:"try,omitempty"` // from 1
	Attempt       string    `json:"leg,omitempty"` // id of a dispatcher's attempt at an endpoint
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

// Text returns the event in printed form, without its time.
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

// bufferSize is the size of the buffer for writes to a record's file, and the limit on the length of a line when it is
// read.
const bufferSize = 1 << 20

// Recorder collects events from several event loops.
type Recorder struct {
	mu     sync.Mutex
	events []Event

	// These are set only if the record is written to a file.
	file    *os.File
	writer  *bufio.Writer
	encoder *json.Encoder
	failure error // the error of the first event that could not be written
}

// Open begins a record, which is also written to a file if a path is given. The caller must close it.
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

// Close closes the record's file, if there is one, and returns all events.
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

// Read reads all events of a record's file.
func Read(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	defer func() { _ = file.Close() }() // closing a file that was only read loses nothing
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
