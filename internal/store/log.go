package store

import (
	"fmt"
	"slices"
)

// maxLazyBytes is how much lazy transactions may add up to before they are written without waiting for another one.
const maxLazyBytes = 1 << 20

// Flush starts to write all that was submitted and not yet handed to the disk. While an append is under way it does
// nothing: what is submitted meanwhile goes with the next append, which is the group commit.
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
			// The data may be gone from the kernel although a later sync would succeed, so this file is not retried.
			s.fail(err, waiting)
			return
		}
		s.durable(lastSeq, waiting)
	})
}

// durable acknowledges the records up to lastSeq and goes on with what was submitted meanwhile.
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

// fail takes the store out of service. It takes back all changes that are not durable, so that nobody
// continues from rejected ones, and notifies those who wait for them.
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

// Repair takes a store that has failed back into service if its disk accepts writes again. It writes what is
// durable as a snapshot, and then drops the log that ended in the failure, with its possibly torn end. The
// old log is not written to again: a sync that succeeds after a failed one does not mean that the data is
// there.
//
// If it fails it may be called again. The caller sees to the backoff, as the store has no clock.
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
