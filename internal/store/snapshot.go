package store

import (
	"google.golang.org/protobuf/proto"

	"plumspindle/internal/store/pb"
)

// snapshotBatchOps is how many keys a record of a snapshot has at most.
const snapshotBatchOps = 512

// liveBytesFactor times the live data must have been logged before a snapshot is written: a large store would otherwise
// write snapshots too often.
const liveBytesFactor = 2

// compactIfLarge starts a snapshot if the log has outgrown its limit and the live data.
func (s *Store) compactIfLarge() {
	large := s.logBytes >= max(s.limits.CompactAfterBytes, liveBytesFactor*s.usedBytes)
	if large && !s.snapshotting && !s.appending && s.err == nil {
		s.Compact(nil)
	}
}

// Compact writes a snapshot now and removes the log segments that it covers. Writes continue
// meanwhile, into a new segment. If it fails the log is still complete; only its space is not freed until the next
// snapshot. done may be nil.
func (s *Store) Compact(done func(error)) {
	if done == nil {
		done = func(error) {}
	}
	if s.snapshotting || s.err != nil {
		done(ErrFailed)
		return
	}
	s.Flush()
	s.snapshotting = true
	if s.segmentSize > 0 { // an empty segment has no file, and recovery would report its number as missing
		s.segment++
	}
	s.segmentSize, s.logBytes = 0, 0
	// The snapshot has all that was submitted, including pending records. Recovery skips these in the log.
	s.writeSnapshot(s.segment, func(err error) {
		s.snapshotting = false
		done(err)
	})
}

// writeSnapshot writes the current index as a snapshot and removes the files that it covers.
func (s *Store) writeSnapshot(number uint64, done func(error)) {
	index, seq, size := s.index.Snapshot(), s.lastSeq, 0
	build := func() []byte {
		data := encodeSnapshot(index, seq)
		size = len(data)
		return data
	}
	s.disk.Write(snapshotName(number), build, func(err error) {
		s.Stats.Snapshots++
		s.Stats.BytesWritten += size
		if err == nil {
			s.snapshot = number
			err = s.removeFilesBefore(number)
		}
		done(err)
	})
}

// removeFilesBefore removes the segments and snapshots with lower numbers. One that can't be removed does no harm:
// recovery skips it.
func (s *Store) removeFilesBefore(number uint64) error {
	names, err := s.disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		for _, prefix := range []string{segmentPrefix, snapshotPrefix} {
			if n, ok := fileNumber(name, prefix); ok && n < number {
				s.disk.Remove(name, func(error) {})
			}
		}
	}
	return nil
}

// encodeSnapshot returns the content of a snapshot file: all keys in order, and a last batch by which
// recovery knows that the file is complete.
func encodeSnapshot(index *Index, seq uint64) []byte {
	data := []byte(fileHeader)
	batch := &pb.Batch{}
	appendBatch := func() {
		payload, err := proto.Marshal(batch)
		if err == nil { // a file that lacks a batch is rejected at recovery by its number of keys
			data = appendRecord(data, payload)
		}
		batch = &pb.Batch{}
	}
	index.Scan("", func(key string, value []byte) bool {
		batch.Ops = append(batch.Ops, &pb.Op{Key: []byte(key), Value: value})
		if len(batch.Ops) == snapshotBatchOps {
			appendBatch()
		}
		return true
	})
	if len(batch.Ops) > 0 {
		appendBatch()
	}
	batch = &pb.Batch{Seq: seq, End: true, Keys: uint64(index.Len())}
	appendBatch()
	return data
}
