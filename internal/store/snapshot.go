package store

import (
	"google.golang.org/protobuf/proto"

	"plumspindle/internal/store/pb"
)

// maxSnapshotBatchOps is the largest number of keys in one record of a snapshot.
const maxSnapshotBatchOps = 512

// compactionLiveFactor is the ratio of the log's size to that of the live data below which no snapshot is started.
// Without this limit a large store would write snapshots too often.
const compactionLiveFactor = 2

// compactIfLarge starts a snapshot if the log has reached its size limit and is large compared to the live data.
func (s *Store) compactIfLarge() {
	large := s.logBytes >= max(s.limits.CompactAfterBytes, compactionLiveFactor*s.usedBytes)
	if large && !s.snapshotting && !s.appending && s.err == nil {
		s.Compact(nil)
	}
}

// Compact writes a snapshot and then removes the log segments that it covers. In the meantime writes go to a new
// segment. If Compact fails, the log is still complete, and only its disk space is not freed until the next snapshot.
// done may be nil.
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
	if s.segmentSize > 0 { // an empty segment has no file; if its number were skipped, recovery would report a gap
		s.segmentNumber++
	}
	s.segmentSize, s.logBytes = 0, 0
	// The snapshot contains all submitted changes, including those of pending records. Recovery skips these records
	// when it finds them in the log again.
	s.writeSnapshot(s.segmentNumber, func(err error) {
		s.snapshotting = false
		done(err)
	})
}

// writeSnapshot writes the current index as a snapshot with the given number. It then removes the files that the
// snapshot covers.
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
			s.snapshotNumber = number
			err = s.removeFilesBefore(number)
		}
		done(err)
	})
}

// removeFilesBefore removes the segments and snapshots whose numbers are lower than the given one. A file that can't be
// removed does no harm, as recovery skips it.
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

// encodeSnapshot returns the content of a snapshot file: records with all keys in order, and an end record, which tells
// recovery that the file is complete.
func encodeSnapshot(index *Index, seq uint64) []byte {
	data := []byte(fileHeader)
	batch := &pb.Batch{}
	appendBatch := func() {
		payload, err := proto.Marshal(batch)
		if err == nil { // if a batch is missing, recovery rejects the file because its number of keys is wrong
			data = appendRecord(data, payload)
		}
		batch = &pb.Batch{}
	}
	index.Scan("", func(key string, value []byte) bool {
		batch.Ops = append(batch.Ops, &pb.Op{Key: []byte(key), Value: value})
		if len(batch.Ops) == maxSnapshotBatchOps {
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
