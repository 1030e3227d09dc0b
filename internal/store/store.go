// Package store keeps what must survive a restart: an append-only log of checksummed records, an ordered index in memory,
// snapshots that shorten the log, and a recovery that loses no acknowledged write and returns no torn one. It is a state
// machine over a Disk; who calls it and the disk's answers come from one loop.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"plumspindle/internal/store/pb"
)

// Disk is the seam to the files of one folder. Calls are carried out in their order; each is answered once, never within
// the call. Append and Write are durable when they are answered without an error.
type Disk interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Truncate(name string, size int64) error
	// Append adds to a file, which is made if there is none, and syncs it, and its name.
	Append(name string, b []byte, done func(error))
	// Write makes a whole file: under another name, synced, then renamed, then the folder synced.
	// What it holds is made by build, away from the loop.
	Write(name string, build func() []byte, done func(error))
	Remove(name string, done func(error))
}

// Limits limit a store.
type Limits struct {
	MaxKeys           int // more are refused
	MaxBytes          int // of keys and values
	SegmentBytes      int // bytes of a segment of the log, after which the next begins
	CompactAfterBytes int // bytes of log since the last snapshot, after which one is written
}

// DefaultLimits bounds suit a dispatcher's own records.
var DefaultLimits = Limits{MaxKeys: 2_000_000, MaxBytes: 512 << 20, SegmentBytes: 8 << 20, CompactAfterBytes: 16 << 20}

// Errors that callers tell apart.
var (
	ErrFull     = errors.New("the store is full")
	ErrFailed   = errors.New("the store has failed; nothing more is acknowledged until it is healed")
	ErrConflict = errors.New("a condition does not hold")
	ErrCorrupt  = errors.New("the store is corrupt")
)

// Op is one change; Value nil deletes.
type Op struct {
	Key   string
	Value []byte
}

// Condition is a condition on a key: that it has this value now, or, for nil, that it is absent.
type Condition struct {
	Key   string
	Value []byte
}

// Store is one folder's.
type Store struct {
	disk   Disk
	bounds Limits
	index  Index
	bytes  int
	seq    uint64 // of the last record
	failed error
	undo   []Op   // what the changes that are not durable yet replaced, in their order
	out    int    // of these, those of the write that is out
	kept   uint64 // the last record that is durable

	segment  uint64 // number of the one appended to
	size     int    // of it
	log      int    // bytes since the last snapshot
	snapshot uint64 // number of the last: all segments below it are in it
	group    []byte // records that wait for the write that is out
	waiting  []func(error)
	writing  bool
	shrinks  bool // a snapshot is being written
	heals    bool // one that ends a failure is
	Stats    Stats
}

// Stats count what was done, for figures.
type Stats struct {
	Records, GroupCommits, BytesWritten, UserBytes, Snapshots int
}

const (
	magic   = "plumspindle store 1\n"
	headLen = 12 // length and checksum
	mostRec = 64 << 20
)

func segmentName(n uint64) string  { return fmt.Sprintf("log-%016x", n) }
func snapshotName(n uint64) string { return fmt.Sprintf("snap-%016x", n) }

// frame puts a payload between its length and checksum, which cover each other: a length that is torn or flipped does not
// pass for another record's.
func frame(b, payload []byte) []byte {
	var head [headLen]byte
	binary.LittleEndian.PutUint32(head[:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[4:], sum(uint32(len(payload)), payload))
	return append(append(b, head[:]...), payload...)
}

func sum(n uint32, payload []byte) uint64 {
	d := xxhash.New()
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], n)
	_, _ = d.Write(length[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// unframe reads the record at the beginning of b; ok is false where there is no whole one.
func unframe(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < headLen {
		return nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n > mostRec || int(n) > len(b)-headLen {
		return nil, 0, false
	}
	payload = b[headLen : headLen+int(n)]
	if binary.LittleEndian.Uint64(b[4:]) != sum(n, payload) {
		return nil, 0, false
	}
	return payload, headLen + int(n), true
}

// Open recovers what a folder holds. A record that was being written when the process died, at the very end of the log, is
// cut off: nobody was told that it was kept. Anything else that can't be read is ErrCorrupt, and the files are left as
// they are.
func Open(disk Disk, bounds Limits) (*Store, error) {
	s := &Store{disk: disk, bounds: bounds}
	names, err := disk.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	slices.Sort(names)
	var segments []uint64
	var snapshots []uint64
	for _, name := range names {
		for prefix, list := range map[string]*[]uint64{"log-": &segments, "snap-": &snapshots} {
			if rest, ok := strings.CutPrefix(name, prefix); ok {
				n, err := strconv.ParseUint(rest, 16, 64)
				if err != nil || len(rest) != 16 {
					continue // a .part or something foreign: not ours to read
				}
				*list = append(*list, n)
			}
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	if n := len(snapshots); n > 0 {
		s.snapshot = snapshots[n-1]
		if err := s.loadSnapshot(); err != nil {
			return nil, err
		}
	}
	s.segment = s.snapshot
	for i, n := range segments {
		if n < s.snapshot {
			continue // in the snapshot; it was not removed in time
		}
		if n > s.segment+1 && !(s.segment == s.snapshot && n == s.snapshot) {
			return nil, fmt.Errorf("%w: %s is missing", ErrCorrupt, segmentName(s.segment+1))
		}
		if err := s.replay(n, i == len(segments)-1); err != nil {
			return nil, err
		}
		s.segment = n
	}
	if s.segment == 0 {
		s.segment = 1
	}
	s.kept = s.seq
	return s, nil
}

func (s *Store) loadSnapshot() error {
	name := snapshotName(s.snapshot)
	b, err := s.disk.Read(name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	b, ok := bytes.CutPrefix(b, []byte(magic))
	if !ok {
		return fmt.Errorf("%w: %s: unknown format", ErrCorrupt, name)
	}
	for at := 0; ; {
		payload, size, ok := unframe(b[at:])
		var batch pb.Batch
		if !ok || proto.Unmarshal(payload, &batch) != nil {
			return fmt.Errorf("%w: %s, at byte %d", ErrCorrupt, name, at+len(magic))
		}
		at += size
		if batch.End {
			if at != len(b) || int(batch.Keys) != s.index.Len() {
				return fmt.Errorf("%w: %s: %d bytes after its end, %d keys of %d", ErrCorrupt, name, len(b)-at, s.index.Len(), batch.Keys)
			}
			s.seq = batch.Seq
			return nil
		}
		s.apply(batch.Ops)
	}
}

// replay reads one segment.
func (s *Store) replay(n uint64, last bool) error {
	name := segmentName(n)
	b, err := s.disk.Read(name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	at := 0
	if bytes.HasPrefix(b, []byte(magic)) {
		at = len(magic)
	} else if !last || len(b) >= len(magic) || !strings.HasPrefix(magic, string(b)) {
		return fmt.Errorf("%w: %s: unknown format", ErrCorrupt, name)
	} else if len(b) > 0 {
		return s.cut(name, 0)
	}
	for at < len(b) {
		payload, size, ok := unframe(b[at:])
		var batch pb.Batch
		if ok && proto.Unmarshal(payload, &batch) != nil {
			return fmt.Errorf("%w: %s, at byte %d: not a record", ErrCorrupt, name, at)
		}
		switch {
		case !ok && (!last || s.moreAfter(b[at:])):
			return fmt.Errorf("%w: %s, at byte %d", ErrCorrupt, name, at)
		case !ok:
			return s.cut(name, at)
		case batch.Seq <= s.seq && n == s.snapshot:
			at += size // it is in the snapshot
			continue
		case batch.Seq != s.seq+1:
			return fmt.Errorf("%w: %s, at byte %d: record %d follows %d", ErrCorrupt, name, at, batch.Seq, s.seq)
		}
		s.seq = batch.Seq
		s.apply(batch.Ops)
		at += size
		s.log += size
	}
	s.size = at
	return nil
}

// cut ends a segment where its last whole record does.
func (s *Store) cut(name string, at int) error {
	if err := s.disk.Truncate(name, int64(at)); err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	s.size = at
	return nil
}

// moreAfter tells whether a whole later record follows somewhere: then what can't be read is not a torn end but damage, and
// what follows it was acknowledged.
func (s *Store) moreAfter(b []byte) bool {
	for at := 1; at+headLen <= len(b); at++ {
		if payload, _, ok := unframe(b[at:]); ok && len(payload) > 0 {
			var batch pb.Batch
			if proto.Unmarshal(payload, &batch) == nil && batch.Seq > s.seq+1 {
				return true
			}
		}
	}
	return false
}

func (s *Store) apply(ops []*pb.Op) {
	for _, o := range ops {
		s.change(Op{string(o.Key), o.Value}, o.Delete)
	}
}

func (s *Store) change(o Op, remove bool) {
	if old, some := s.index.Get(o.Key); some {
		s.bytes -= len(o.Key) + len(old)
	}
	if remove {
		s.index.Delete(o.Key)
		return
	}
	if o.Value == nil {
		o.Value = []byte{}
	}
	s.bytes += len(o.Key) + len(o.Value)
	s.index.Set(o.Key, o.Value)
}

// Get reads what was last submitted.
func (s *Store) Get(key string) ([]byte, bool) { return s.index.Get(key) }

// Scan reads all keys with a prefix, in order.
func (s *Store) Scan(prefix string, each func(key string, value []byte) bool) {
	s.index.Scan(prefix, each)
}

// ScanFrom begins at a key.
func (s *Store) ScanFrom(from, prefix string, each func(key string, value []byte) bool) {
	s.index.ScanFrom(from, prefix, each)
}

// Snapshot is all of it as it is now; it stays so.
func (s *Store) Snapshot() *Index { return s.index.Snapshot() }

// Len is how many keys there are; Failed why nothing is acknowledged any more.
func (s *Store) Len() int   { return s.index.Len() }
func (s *Store) Err() error { return s.failed }

// Commit makes several changes together, all or none, if all conditions hold. done is told once they are durable; an error
// there means that they may or may not be there after a restart. With lazy they count at once and are written with the
// next group; done may be nil. A refusal is the call's own error, and then nothing was changed.
func (s *Store) Commit(ops []Op, conditions []Condition, lazy bool, done func(error)) error {
	if s.failed != nil {
		return ErrFailed
	}
	for _, c := range conditions {
		v, some := s.index.Get(c.Key)
		if some != (c.Value != nil) || some && string(v) != string(c.Value) {
			return fmt.Errorf("%w: %q", ErrConflict, c.Key)
		}
	}
	keys, size := s.index.Len(), s.bytes
	batch := &pb.Batch{Seq: s.seq + 1}
	for _, o := range ops {
		if o.Value != nil {
			keys++ // at most; one that is there already counts for itself only once it is refused
			size += len(o.Key) + len(o.Value)
		}
		batch.Ops = append(batch.Ops, &pb.Op{Key: []byte(o.Key), Value: o.Value, Delete: o.Value == nil})
	}
	if grows := slices.ContainsFunc(ops, func(o Op) bool { return o.Value != nil }); grows && (keys > s.bounds.MaxKeys || size > s.bounds.MaxBytes) {
		return ErrFull
	}
	payload, err := proto.Marshal(batch)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if len(payload) > mostRec {
		return fmt.Errorf("%w: a record of %d bytes", ErrFull, len(payload))
	}
	s.seq++
	for _, o := range ops {
		old, _ := s.index.Get(o.Key)
		s.undo = append(s.undo, Op{o.Key, old})
		s.change(o, o.Value == nil)
		s.Stats.UserBytes += len(o.Key) + len(o.Value)
	}
	s.group = frame(s.group, payload)
	s.Stats.Records++
	if done != nil {
		s.waiting = append(s.waiting, done)
	}
	if !lazy || len(s.group) > 1<<20 {
		s.write()
	}
	return nil
}

// Flush writes what was committed lazily.
func (s *Store) Flush() { s.write() }

// write hands the group to the disk. While one is out the next gathers: that is the whole of group commit.
func (s *Store) write() {
	if s.writing || len(s.group) == 0 || s.failed != nil {
		return
	}
	if s.size >= s.bounds.SegmentBytes {
		s.segment++
		s.size = 0
	}
	b := s.group
	if s.size == 0 {
		b = append([]byte(magic), b...)
	}
	done := s.waiting
	s.group, s.waiting = nil, nil
	s.writing = true
	s.out = len(s.undo)
	last := s.seq
	s.size += len(b)
	s.log += len(b)
	s.Stats.GroupCommits++
	s.Stats.BytesWritten += len(b)
	s.disk.Append(segmentName(s.segment), b, func(err error) {
		s.writing = false
		if err != nil {
			// The data may be gone from the kernel although a later sync would succeed. This file is not tried again.
			s.fail(err, done)
			return
		}
		s.undo = slices.Delete(s.undo, 0, s.out)
		s.out, s.kept = 0, last
		for _, f := range done {
			f(nil)
		}
		s.write()
		s.shrink()
	})
}

// fail takes back what is not durable, so that nobody goes on from what was refused, and tells so.
func (s *Store) fail(err error, done []func(error)) {
	s.failed = err
	for _, o := range slices.Backward(s.undo) {
		s.change(o, o.Value == nil)
	}
	s.undo, s.out, s.seq = nil, 0, s.kept
	err = fmt.Errorf("%w: %w", ErrFailed, err)
	done = append(done, s.waiting...)
	s.waiting, s.group = nil, nil
	for _, f := range done {
		f(err)
	}
}

// Repair takes a store that has failed into service again, once there is room: what is durable is written as a snapshot of its
// own, and the log that ended in the failure, with whatever stands at its torn end, is dropped. Nothing else is trusted: a sync
// that succeeds after one that failed does not mean that the data is there. Where this fails too it may be called again; who
// calls it sees to the pauses, as the store has no clock.
func (s *Store) Repair(done func(error)) {
	switch {
	case s.failed == nil:
		done(nil)
		return
	case s.heals || s.shrinks:
		done(ErrFailed) // one is under way
		return
	}
	s.heals = true
	s.snap(s.segment+1, func(err error) {
		s.heals = false
		if err == nil {
			s.segment, s.size, s.log, s.failed = s.snapshot, 0, 0, nil
		}
		done(err)
	})
}

// shrink writes a snapshot where the log has grown beyond its bound and beyond what lives, and then drops the segments that
// are in it. Writes go on into a segment of their own.
func (s *Store) shrink() {
	if s.shrinks || s.writing || s.failed != nil || s.log < max(s.bounds.CompactAfterBytes, 2*s.bytes) {
		return
	}
	s.Compact(nil)
}

// Compact writes a snapshot now.
func (s *Store) Compact(done func(error)) {
	if s.shrinks || s.failed != nil {
		if done != nil {
			done(ErrFailed)
		}
		return
	}
	s.write()
	s.shrinks = true
	if s.size > 0 { // a segment without a record is never made: a later one would seem to follow on nothing
		s.segment++
	}
	s.size, s.log = 0, 0
	// It holds all that was submitted, also what is not written yet; that comes once more in the log, and is passed over.
	s.snap(s.segment, func(err error) {
		s.shrinks = false // where it failed the log is whole without it; only space is lost until the next one
		if done != nil {
			done(err)
		}
	})
}

// snap writes a snapshot of what is held now, and drops all that is in it.
func (s *Store) snap(number uint64, done func(error)) {
	seq, all, size := s.seq, s.index.Snapshot(), 0
	s.disk.Write(snapshotName(number), func() []byte {
		b := writeSnapshot(all, seq)
		size = len(b)
		return b
	}, func(err error) {
		s.Stats.Snapshots++
		s.Stats.BytesWritten += size
		if err != nil {
			done(err)
			return
		}
		s.snapshot = number
		names, err := s.disk.List()
		if err == nil {
			for _, name := range names {
				n, e := strconv.ParseUint(strings.TrimPrefix(strings.TrimPrefix(name, "log-"), "snap-"), 16, 64)
				if e == nil && n < number {
					s.disk.Remove(name, func(error) {}) // what stays is passed over at the next start
				}
			}
		}
		done(err)
	})
}

func writeSnapshot(x *Index, seq uint64) []byte {
	b := []byte(magic)
	batch := &pb.Batch{}
	flush := func() {
		payload, err := proto.Marshal(batch)
		if err == nil {
			b = frame(b, payload)
		}
		batch = &pb.Batch{}
	}
	x.Scan("", func(key string, value []byte) bool {
		if batch.Ops = append(batch.Ops, &pb.Op{Key: []byte(key), Value: value}); len(batch.Ops) == 512 {
			flush()
		}
		return true
	})
	if len(batch.Ops) > 0 {
		flush()
	}
	batch = &pb.Batch{Seq: seq, End: true, Keys: uint64(x.Len())}
	flush()
	return b
}
