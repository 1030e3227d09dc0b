// Package store is an embedded key-value store for what must survive a restart.
//
// It loses no acknowledged write and returns no torn one. It owns the files of one folder: an append-only log of
// checksummed records, and snapshots that replace old parts of the log. All reads are answered from an ordered index of
// all keys in memory. Writes that arrive while an append is in flight are grouped into the next one.
//
// A Store is a state machine over a Disk, without a clock or goroutines of its own. All calls to it and all results of
// the disk must come on one event loop. Files is the Disk of a real folder.
//
// It never repeats a write to a file that has failed, never changes files that it can't read, and never applies a
// transaction in part.
package store

import (
	"errors"
	"fmt"
)

// Limits bound a store.
type Limits struct {
	MaxKeys           int // a write that would exceed it is rejected
	MaxBytes          int // of keys and values together; a write that would exceed it is rejected
	SegmentBytes      int // size of a log segment from which on the next one is begun
	CompactAfterBytes int // log written since the last snapshot from which on a snapshot is written
}

// DefaultLimits suit a dispatcher's own records.
var DefaultLimits = Limits{MaxKeys: 2_000_000, MaxBytes: 512 << 20, SegmentBytes: 8 << 20, CompactAfterBytes: 16 << 20}

// Errors that callers test with errors.Is.
var (
	ErrFull     = errors.New("the store is full")
	ErrFailed   = errors.New("the store has failed; nothing more is acknowledged until it is healed")
	ErrConflict = errors.New("a condition does not hold")
	ErrCorrupt  = errors.New("the store is corrupt")
)

// wholeFile is the Offset of a CorruptError that concerns a complete file.
const wholeFile = -1

// CorruptError says where a store is corrupt. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int    // of the first byte that can't be read; negative if the complete file is invalid
	Reason string // may be empty: the record is damaged
}

// Error names the file, the offset and the reason.
func (e *CorruptError) Error() string {
	text := ErrCorrupt.Error() + ": " + e.File
	if e.Offset >= 0 {
		text += fmt.Sprintf(", at byte %d", e.Offset)
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

// Is makes errors.Is(err, ErrCorrupt) true.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// Store is the store of one folder.
type Store struct {
	// Stats counts the store's work since it was opened.
	Stats Stats

	disk   Disk
	limits Limits
	err    error // of the write that failed; nil while the store is in service

	index      Index
	usedBytes  int    // of all keys and values in the index
	lastSeq    uint64 // sequence number of the last record submitted
	durableSeq uint64 // sequence number of the last record that is durable

	// Values that were replaced by changes that are not durable yet, in the order of the changes. The first
	// undoInFlight of them belong to the append in flight.
	undo         []Op
	undoInFlight int

	segment     uint64 // number of the segment that is appended to
	segmentSize int
	logBytes    int    // written since the last snapshot
	snapshot    uint64 // number of the last snapshot; it covers all segments with lower numbers

	pending   []byte        // records that wait for the append in flight to end
	waiting   []func(error) // callers to notify once these are durable
	appending bool

	snapshotting bool // Compact is in progress
	repairing    bool // Repair is in progress
}

// Stats are counts of one store since it was opened.
type Stats struct {
	Records      int
	GroupCommits int
	BytesWritten int // to the disk: the log and snapshots
	UserBytes    int // keys and values as they were submitted
	Snapshots    int
}

// Get returns the value last submitted for a key. It may not be durable yet.
func (s *Store) Get(key string) ([]byte, bool) { return s.index.Get(key) }

// Scan calls each for every key with a prefix, in order, until it returns false.
func (s *Store) Scan(prefix string, each func(key string, value []byte) bool) {
	s.index.Scan(prefix, each)
}

// ScanFrom is a Scan that begins at a key.
func (s *Store) ScanFrom(from, prefix string, each func(key string, value []byte) bool) {
	s.index.ScanFrom(from, prefix, each)
}

// Len returns the number of keys.
func (s *Store) Len() int { return s.index.Len() }

// Err returns the error that took the store out of service, or nil. Repair clears it.
func (s *Store) Err() error { return s.err }
