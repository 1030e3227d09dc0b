package store

import (
	"fmt"
	"slices"
)

// maxLazyBytes is the size of pending records above which Commit writes them even if all of them are WriteLazy.
const maxLazyBytes = 1 << 20

// Flush starts an append of all pending records to the log. It does nothing while an append is in flight. All records
// that are submitted in the meantime are written by the next append, as one group commit.
func (s *Store) Flush() {
	if s.appending || len(s.pendingRecords) == 0 || s.err != nil {
		return
	}
	if s.segmentSize >= s.limits.SegmentBytes {
		s.segmentNumber++
		s.segmentSize = 0
	}
	data, callbacks, lastSeq := s.pendingRecords, s.pendingCallbacks, s.lastSeq
	if s.segmentSize == 0 {
		data = append([]byte(fileHeader), data...)
	}
	s.pendingRecords, s.pendingCallbacks = nil, nil
	s.appending = true
	s.undoInFlight = len(s.undo)
	s.segmentSize += len(data)
	s.logBytes += len(data)
	s.Stats.GroupCommits++
	s.Stats.BytesWritten += len(data)
	s.disk.Append(segmentName(s.segmentNumber), data, func(err error) {
		s.appending = false
		if err != nil {
			// The append isn't retried. After a failed sync the kernel may have dropped the data, and a later sync could succeed
			// although the data is not durable.
			s.fail(err, callbacks)
			return
		}
		s.acknowledge(lastSeq, callbacks)
	})
}

// acknowledge handles a completed append. It marks the records up to lastSeq as durable, notifies their callers, and
// starts to write the records that were submitted in the meantime.
func (s *Store) acknowledge(lastSeq uint64, callbacks []func(error)) {
	s.undo = slices.Delete(s.undo, 0, s.undoInFlight)
	s.undoInFlight = 0
	s.durableSeq = lastSeq
	for _, done := range callbacks {
		done(nil)
	}
	s.Flush()
	s.compactIfLarge()
}

// fail puts the store into the failed state. It undoes all changes that are not durable, so that no read returns a
// change whose caller received an error, and reports the error to those callers.
func (s *Store) fail(cause error, callbacks []func(error)) {
	s.err = cause
	for _, op := range slices.Backward(s.undo) {
		s.applyOp(op)
	}
	s.undo, s.undoInFlight, s.lastSeq = nil, 0, s.durableSeq
	callbacks = append(callbacks, s.pendingCallbacks...)
	s.pendingCallbacks, s.pendingRecords = nil, nil
	err := fmt.Errorf("%w: %w", ErrFailed, cause)
	for _, done := range callbacks {
		done(err)
	}
}

// Repair puts a failed store back into service if its disk accepts writes again. It writes a snapshot of the durable
// state and then removes the old log, whose last record may be torn. It never writes to the old log again, because a
// sync that succeeds after a failed one does not mean that the data is durable.
//
// If Repair fails, the caller may call it again. The caller is responsible for the backoff, as the store has no clock.
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
	s.writeSnapshot(s.segmentNumber+1, func(err error) {
		s.repairing = false
		if err == nil {
			s.segmentNumber, s.segmentSize, s.logBytes = s.snapshotNumber, 0, 0
			s.err = nil
		}
		done(err)
	})
}
