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

// fileNumber returns the number in the name of a segment or snapshot, depending on prefix. ok is false for any other
// file name, such as that of a partial file that a crash has left behind.
func fileNumber(name, prefix string) (number uint64, ok bool) {
	digits, found := strings.CutPrefix(name, prefix)
	if !found || len(digits) != numberDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// Open recovers the store from the files on a disk. It truncates an incomplete record at the very end of the log,
// because the process died while it wrote the record and never acknowledged it. Open can't distinguish a damaged last
// record from an incomplete one, so it truncates a damaged one too. For any other damage Open returns a *CorruptError
// and changes no file.
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
		s.snapshotNumber = slices.Max(snapshots)
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

// loadSnapshot fills the index from the snapshot with the number s.snapshotNumber.
func (s *Store) loadSnapshot() error {
	name := snapshotName(s.snapshotNumber)
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
			s.applyRecovered(batch.Ops)
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

// replayLog applies the log segments that the snapshot does not cover. segments are the numbers of all segments in
// ascending order.
func (s *Store) replayLog(segments []uint64) error {
	s.segmentNumber = s.snapshotNumber
	for i, number := range segments {
		if number < s.snapshotNumber {
			continue // a segment that the snapshot covers, which was not removed before the process died
		}
		if number > s.segmentNumber+1 {
			reason := segmentName(s.segmentNumber+1) + " is missing"
			return &CorruptError{File: segmentName(number), Offset: wholeFile, Reason: reason}
		}
		last := i == len(segments)-1
		if err := s.replaySegment(number, last); err != nil {
			return err
		}
		s.segmentNumber = number
	}
	s.segmentNumber = max(s.segmentNumber, 1)
	return nil
}

// replaySegment applies the records of one segment. Only the last segment may end in an incomplete record, which is
// truncated.
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
		return s.truncateTornEnd(name, data, 0)
	}
	offset := len(fileHeader)
	for offset < len(data) {
		payload, size, ok := readRecord(data[offset:])
		if !ok {
			if !last || s.hasLaterRecord(data[offset:]) {
				return &CorruptError{File: name, Offset: offset}
			}
			return s.truncateTornEnd(name, data, offset)
		}
		var batch pb.Batch
		if proto.Unmarshal(payload, &batch) != nil {
			return &CorruptError{File: name, Offset: offset, Reason: "not a record"}
		}
		// The first segment after a snapshot may begin with records that the snapshot already contains: those that were
		// pending when the snapshot was taken.
		covered := batch.Seq <= s.lastSeq && number == s.snapshotNumber
		if !covered {
			if batch.Seq != s.lastSeq+1 {
				reason := fmt.Sprintf("record %d follows %d", batch.Seq, s.lastSeq)
				return &CorruptError{File: name, Offset: offset, Reason: reason}
			}
			s.lastSeq = batch.Seq
			s.applyRecovered(batch.Ops)
			s.logBytes += size
		}
		offset += size
	}
	s.segmentSize = offset
	return nil
}

// truncateTornEnd shortens the last segment to size bytes, unless it has that size already. data is the content of the
// segment.
func (s *Store) truncateTornEnd(name string, data []byte, size int) error {
	s.segmentSize = size
	if size == len(data) {
		return nil
	}
	if err := s.disk.Truncate(name, int64(size)); err != nil {
		return fmt.Errorf("store: truncate %s to %d bytes: %w", name, size, err)
	}
	return nil
}

// hasLaterRecord reports whether data, which begins with an unreadable record, also contains a complete later record.
// If so, the unreadable record is corrupt and not merely incomplete, because an incomplete record is always the last
// one.
func (s *Store) hasLaterRecord(data []byte) bool {
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

// applyRecovered applies the changes of a recovered record to the index.
func (s *Store) applyRecovered(ops []*pb.Op) {
	for _, op := range ops {
		if op.Delete {
			s.delete(string(op.Key))
		} else {
			s.set(string(op.Key), op.Value)
		}
	}
}
