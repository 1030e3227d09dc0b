// Package record keeps what the stand-ins and the clients of the laboratory saw on their sockets, one JSON object
// a line, for the auditor. The dispatchers write nothing into it.
package record

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Event is one line. At is in microseconds of the laboratory's one clock.
type Event struct {
	At            int64   `json:"at"`
	Type          string  `json:"what"`
	Request       string  `json:"gen,omitempty"` // the client's id of the generation, the same for all its tries
	ClientAttempt int     `json:"try,omitempty"` // counted from 1
	Attempt       string  `json:"leg,omitempty"`
	Endpoint      uint32  `json:"host,omitempty"`
	Dispatcher    string  `json:"dispatcher,omitempty"`
	Product       string  `json:"product,omitempty"`
	Tenant        string  `json:"tenant,omitempty"`
	Kind          string  `json:"kind,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	Cell          uint16  `json:"cell,omitempty"`
	Detail        string  `json:"how,omitempty"`
	Count         int64   `json:"n,omitempty"`
	Value         float64 `json:"value,omitempty"`
	Exact         bool    `json:"exact,omitempty"`
}

// Recorder takes events from several loops.
type Recorder struct {
	mu  sync.Mutex
	w   *bufio.Writer
	f   *os.File
	enc *json.Encoder
	all []Event
}

// Open makes a book; with a path it is written there too.
func Open(path string) (*Recorder, error) {
	b := &Recorder{}
	if path != "" {
		f, err := os.Create(path)
		if err != nil {
			return nil, fmt.Errorf("record: %w", err)
		}
		b.f, b.w = f, bufio.NewWriterSize(f, 1<<20)
		b.enc = json.NewEncoder(b.w)
	}
	return b, nil
}

// Add takes one event.
func (b *Recorder) Add(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, e)
	if b.enc != nil {
		_ = b.enc.Encode(e)
	}
}

// Close gives all events.
func (b *Recorder) Close() ([]Event, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.f == nil {
		return b.all, nil
	}
	if err := b.w.Flush(); err != nil {
		return b.all, fmt.Errorf("record: %w", err)
	}
	return b.all, b.f.Close()
}

// Read takes a written book.
func Read(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	defer f.Close()
	var all []Event
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		all = append(all, e)
	}
	return all, lines.Err()
}
