package store

import (
	"fmt"
	"slices"
)

// maxLazyBytes is how many bytes of lazy transactions may wait for another transaction before they are written.
const maxLazyBytes = 1 << 20

// Flush starts to append all pending records. While an append is in flight it does nothing: what is submitted meanwhile
// is written by the next append, the group commit.
func (s *Store) Flush() {
	if s.appending || len(s.pending) == 0 || s.err != nil {
		return
	}
	if s.segmentSize >= s.limits.SegmentBytes {
		s.segment++
		s.segmentSize = 0
	}
	data, waiting, lastSeq := s.pending, s.waiting, s.lastSeq
	if s.segmentSize == 0 {
		data = append([]byte(fileHeader), data...)
	}
	s.pending, s.waiting = nil, nil
	s.appending = true
	s.undoInFlight = len(s.undo)
	s.segmentSize += len(data)
	s.logBytes += len(data)
	s.Stats.GroupCommits++
	s.Stats.BytesWritten += len(data)
	s.disk.Append(segmentName(s.segment), data, func(err error) {
		s.appending = false
		if err != nil {
			// After a failed sync the kernel may have dropped the data, and a later sync can still succeed: no retry.
			s.fail(err, waiting)
			return
		}
		s.durable(lastSeq, waiting)
	})
}

// durable acknowledges the records up to lastSeq and writes those that were submitted meanwhile.
func (s *Store) durable(lastSeq uint64, waiting []func(error)) {
	s.undo = slices.Delete(s.undo, 0, s.undoInFlight)
	s.undoInFlight = 0
	s.durableSeq = lastSeq
	for _, done := range waiting {
		done(nil)
	}
	s.Flush()
	s.compactIfLarge()
}

// fail takes the store out of service. It undoes all changes that are not durable, so that none is read after it was
// rejected, and reports the error to their callers.
func (s *Store) fail(cause error, waiting []func(error)) {
	s.err = cause
	for _, op := range slices.Backward(s.undo) {
		s.change(op)
	}
	s.undo, s.undoInFlight, s.lastSeq = nil, 0, s.durableSeq
	waiting = append(waiting, s.waiting...)
	s.waiting, s.pending = nil, nil
	err := fmt.Errorf("%w: %w", ErrFailed, cause)
	for _, done := range waiting {
		done(err)
	}
}

// Repair takes a store that has failed back into service if its disk accepts writes again. It writes what is durable as
// a snapshot, and then removes the log that ended in the failure, which may be torn at its end. The old log is not
// written to again: a sync that succeeds after a failed one does not mean that the data is durable.
//
// If it fails it may be called again. The caller is responsible for the backoff, as the store has no clock.
func (s *Store) Repair(done func(error)) {
	if s.err == nil {
		done(nil)
		return
	}
	if s.repairing || s.snapshotting {
		done(ErrFailed)
		return
	}
	s.repairing = true
	s.writeSnapshot(s.segment+1, func(err error) {
		s.repairing = false
		if err == nil {
			s.segment, s.segmentSize, s.logBytes = s.snapshot, 0, 0
			s.err = nil
		}
		done(err)
	})
}
