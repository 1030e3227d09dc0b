// Package store is an embedded key-value store for data that must survive a restart.
//
// It never loses an acknowledged write, and it never returns part of one. It owns the files of one folder: an
// append-only log of checksummed records, and snapshots that replace the older part of the log. It answers all reads
// from an ordered in-memory index of all keys and values. It groups writes that arrive while an append is in flight
// into the next append (group commit).
//
// A Store is a state machine on top of a Disk and has no clock or goroutines of its own. All calls to it and all
// callbacks of the disk must run on the same event loop. Files is the Disk for a folder of the file system.
//
// A store never writes again to a log segment after a write to it has failed, and never applies part of a transaction.
// It changes no file that it can't read, except that Open truncates an incomplete record at the end of the log.
package store

import (
	"errors"
	"fmt"
)

// Limits bound the content of a store and the size of its log.
type Limits struct {
	MaxKeys           int // a write that would exceed it is rejected
	MaxBytes          int // of keys and values together; a write that would exceed it is rejected
	SegmentBytes      int // size of a log segment at which the next append begins a new one
	CompactAfterBytes int // least size of the log since the last snapshot at which the store starts another one by itself
}

// DefaultLimits are suitable for the records that a dispatcher or the admin service stores.
var DefaultLimits = Limits{MaxKeys: 2_000_000, MaxBytes: 512 << 20, SegmentBytes: 8 << 20, CompactAfterBytes: 16 << 20}

// Errors that callers test with errors.Is.
var (
	ErrFull     = errors.New("the store is full")
	ErrFailed   = errors.New("the store has failed and accepts no writes until it is repaired")
	ErrConflict = errors.New("a condition of the transaction is not met")
	ErrCorrupt  = errors.New("the store is corrupt")
)

// wholeFile is the Offset of a CorruptError about a file as a whole.
const wholeFile = -1

// CorruptError reports where a store is corrupt. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int    // of the first record that can't be read; negative if the file as a whole is invalid
	Reason string // empty if a record is damaged
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
	err    error // the error of the failed write; nil while the store is in service

	index      Index
	usedBytes  int    // size of all keys and values in the index
	lastSeq    uint64 // sequence number of the last record submitted
	durableSeq uint64 // sequence number of the last record that is durable

	// undo holds an Op for each change that is not durable yet, in the order of the changes. The Op restores the key's
	// previous value. The first undoInFlight elements belong to the append in flight.
	undo         []Op
	undoInFlight int

	segmentNumber  uint64 // number of the segment that records are appended to
	segmentSize    int
	logBytes       int    // written since the last snapshot
	snapshotNumber uint64 // number of the last snapshot; it covers all segments with lower numbers

	pendingRecords   []byte        // encoded records that are not part of an append yet
	pendingCallbacks []func(error) // called once the pending records are durable or lost
	appending        bool          // an append is in flight

	snapshotting bool // Compact is in progress
	repairing    bool // Repair is in progress
}

// Stats counts the work of a store since it was opened.
type Stats struct {
	Records      int
	GroupCommits int
	BytesWritten int // to the log and to snapshots
	UserBytes    int // of all keys and values submitted
	Snapshots    int
}

// Get returns the value last submitted for a key, which may not be durable yet.
func (s *Store) Get(key string) ([]byte, bool) { return s.index.Get(key) }

// Scan calls visit for every key with the prefix, in order, until visit returns false.
func (s *Store) Scan(prefix string, visit func(key string, value []byte) bool) {
	s.index.Scan(prefix, visit)
}

// ScanFrom is like Scan but skips the keys below from, which must itself begin with the prefix.
func (s *Store) ScanFrom(from, prefix string, visit func(key string, value []byte) bool) {
	s.index.ScanFrom(from, prefix, visit)
}

// Len returns the number of keys.
func (s *Store) Len() int { return s.index.Len() }

// Err returns the error that put the store into the failed state, or nil. A successful Repair clears it.
func (s *Store) Err() error { return s.err }
