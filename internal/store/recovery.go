package store

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/store/pb"
)

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snap-"
	numberDigits   = 16 // hexadecimal
)

func segmentName(number uint64) string  { return fmt.Sprintf("%s%016x", segmentPrefix, number) }
func snapshotName(number uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, number) }

// fileNumber returns the number in the name of a segment or snapshot. ok is false for any other file, such as
// a partial one that a crash left behind.
func fileNumber(name, prefix string) (number uint64, ok bool) {
	digits, found := strings.CutPrefix(name, prefix)
	if !found || len(digits) != numberDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// Open recovers the store of a folder. A record that was being written when the process died, at the very end
// of the log, is cut off, as it was never acknowledged. Any other damage is a *CorruptError, and then no file
// is changed.
func Open(disk Disk, limits Limits) (*Store, error) {
	s := &Store{disk: disk, limits: limits}
	names, err := disk.List()
	if err != nil {
		return nil, fmt.Errorf("store: list the folder: %w", err)
	}
	var segments, snapshots []uint64
	for _, name := range names {
		if number, ok := fileNumber(name, segmentPrefix); ok {
			segments = append(segments, number)
		}
		if number, ok := fileNumber(name, snapshotPrefix); ok {
			snapshots = append(snapshots, number)
		}
	}
	slices.Sort(segments)
	if len(snapshots) > 0 {
		s.snapshot = slices.Max(snapshots)
		if err := s.loadSnapshot(); err != nil {
			return nil, err
		}
	}
	if err := s.replayLog(segments); err != nil {
		return nil, err
	}
	s.durableSeq = s.lastSeq
	return s, nil
}

// loadSnapshot fills the index from the last snapshot.
func (s *Store) loadSnapshot() error {
	name := snapshotName(s.snapshot)
	data, err := s.disk.Read(name)
	if err != nil {
		return fmt.Errorf("store: read %s: %w", name, err)
	}
	if !bytes.HasPrefix(data, []byte(fileHeader)) {
		return &CorruptError{File: name, Offset: wholeFile, Reason: "unknown format"}
	}
	offset := len(fileHeader)
	for {
		payload, size, ok := readRecord(data[offset:])
		var batch pb.Batch
		if !ok || proto.Unmarshal(payload, &batch) != nil {
			return &CorruptError{File: name, Offset: offset}
		}
		offset += size
		if !batch.End {
			s.apply(batch.Ops)
			continue
		}
		if offset != len(data) || int(batch.Keys) != s.index.Len() {
			reason := fmt.Sprintf("%d bytes after its end, %d keys of %d", len(data)-offset, s.index.Len(), batch.Keys)
			return &CorruptError{File: name, Offset: wholeFile, Reason: reason}
		}
		s.lastSeq = batch.Seq
		return nil
	}
}

// replayLog applies all segments, in ascending order of their numbers, that the snapshot does not cover.
func (s *Store) replayLog(segments []uint64) error {
	s.segment = s.snapshot
	for i, number := range segments {
		if number < s.snapshot {
			continue // covered by the snapshot; the process died before it was removed
		}
		if number > s.segment+1 {
			reason := segmentName(s.segment+1) + " is missing"
			return &CorruptError{File: segmentName(number), Offset: wholeFile, Reason: reason}
		}
		last := i == len(segments)-1
		if err := s.replaySegment(number, last); err != nil {
			return err
		}
		s.segment = number
	}
	s.segment = max(s.segment, 1)
	return nil
}

// replaySegment applies the records of one segment. Only the last segment may have a torn end.
func (s *Store) replaySegment(number uint64, last bool) error {
	name := segmentName(number)
	data, err := s.disk.Read(name)
	if err != nil {
		return fmt.Errorf("store: read %s: %w", name, err)
	}
	if !bytes.HasPrefix(data, []byte(fileHeader)) {
		torn := len(data) < len(fileHeader) && strings.HasPrefix(fileHeader, string(data))
		if !last || !torn {
			return &CorruptError{File: name, Offset: wholeFile, Reason: "unknown format"}
		}
		return s.truncate(name, data, 0)
	}
	offset := len(fileHeader)
	for offset < len(data) {
		payload, size, ok := readRecord(data[offset:])
		if !ok {
			if !last || s.laterRecordIn(data[offset:]) {
				return &CorruptError{File: name, Offset: offset}
			}
			return s.truncate(name, data, offset)
		}
		var batch pb.Batch
		if proto.Unmarshal(payload, &batch) != nil {
			return &CorruptError{File: name, Offset: offset, Reason: "not a record"}
		}
		// The first segment after a snapshot may begin with records that the snapshot covers.
		covered := batch.Seq <= s.lastSeq && number == s.snapshot
		if !covered {
			if batch.Seq != s.lastSeq+1 {
				reason := fmt.Sprintf("record %d follows %d", batch.Seq, s.lastSeq)
				return &CorruptError{File: name, Offset: offset, Reason: reason}
			}
			s.lastSeq = batch.Seq
			s.apply(batch.Ops)
			s.logBytes += size
		}
		offset += size
	}
	s.segmentSize = offset
	return nil
}

// truncate cuts a torn end off the last segment.
func (s *Store) truncate(name string, data []byte, size int) error {
	s.segmentSize = size
	if size == len(data) {
		return nil
	}
	if err := s.disk.Truncate(name, int64(size)); err != nil {
		return fmt.Errorf("store: truncate %s to %d bytes: %w", name, size, err)
	}
	return nil
}

// laterRecordIn reports whether a complete later record follows somewhere in data. Then the unreadable part
// is not a torn end but corruption, because the records after it were acknowledged.
func (s *Store) laterRecordIn(data []byte) bool {
	for offset := 1; offset+recordHeaderBytes <= len(data); offset++ {
		payload, _, ok := readRecord(data[offset:])
		if !ok || len(payload) == 0 {
			continue
		}
		var batch pb.Batch
		if proto.Unmarshal(payload, &batch) == nil && batch.Seq > s.lastSeq+1 {
			return true
		}
	}
	return false
}

// apply makes the changes of a recovered record.
func (s *Store) apply(ops []*pb.Op) {
	for _, op := range ops {
		if op.Delete {
			s.delete(string(op.Key))
		} else {
			s.set(string(op.Key), op.Value)
		}
	}
}
