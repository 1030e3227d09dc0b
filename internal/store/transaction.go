package store

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"plumspindle/internal/store/pb"
)

// Op is a change of one key. A nil Value deletes the key.
type Op struct {
	Key   string
	Value []byte
}

// Condition requires a key to have this value now, or, for a nil Value, to be absent.
type Condition struct {
	Key   string
	Value []byte
}

// WriteMode says when the changes of a transaction are written to the log.
type WriteMode bool

// The modes.
const (
	WriteNow  WriteMode = false // at once, or after the append in flight
	WriteLazy WriteMode = true  // together with the next transaction in mode WriteNow, or by Flush
)

// Commit submits a transaction: if all conditions are met, all of its changes are made. Reads see them at once. done is
// called once they are durable; it may be nil. An error passed to done means that the changes were undone, and that a
// restart may recover them or not.
//
// A returned error rejects the transaction: nothing was changed, and done is not called. It is ErrConflict, ErrFull or
// ErrFailed.
func (s *Store) Commit(ops []Op, conditions []Condition, mode WriteMode, done func(error)) error {
	if s.err != nil {
		return ErrFailed
	}
	if err := s.checkConditions(conditions); err != nil {
		return err
	}
	if err := s.checkLimits(ops); err != nil {
		return err
	}
	payload, err := proto.Marshal(newBatch(s.lastSeq+1, ops))
	if err != nil {
		return fmt.Errorf("store: encode record %d: %w", s.lastSeq+1, err)
	}
	if len(payload) > maxRecordBytes {
		return fmt.Errorf("%w: a record of %d bytes", ErrFull, len(payload))
	}
	s.lastSeq++
	for _, op := range ops {
		s.submit(op)
	}
	s.pending = appendRecord(s.pending, payload)
	s.Stats.Records++
	if done != nil {
		s.waiting = append(s.waiting, done)
	}
	if mode == WriteNow || len(s.pending) > maxLazyBytes {
		s.Flush()
	}
	return nil
}

func (s *Store) checkConditions(conditions []Condition) error {
	for _, condition := range conditions {
		value, found := s.index.Get(condition.Key)
		wanted := condition.Value != nil
		if found != wanted || found && !bytes.Equal(value, condition.Value) {
			return fmt.Errorf("%w: %q", ErrConflict, condition.Key)
		}
	}
	return nil
}

// checkLimits counts each written key as a new one, which may reject too early but never too late. A transaction that
// only deletes is always within the limits.
func (s *Store) checkLimits(ops []Op) error {
	keys, size, writes := s.index.Len(), s.usedBytes, false
	for _, op := range ops {
		if op.Value != nil {
			writes = true
			keys++
			size += len(op.Key) + len(op.Value)
		}
	}
	if writes && (keys > s.limits.MaxKeys || size > s.limits.MaxBytes) {
		return ErrFull
	}
	return nil
}

func newBatch(seq uint64, ops []Op) *pb.Batch {
	batch := &pb.Batch{Seq: seq}
	for _, op := range ops {
		batch.Ops = append(batch.Ops, &pb.Op{Key: []byte(op.Key), Value: op.Value, Delete: op.Value == nil})
	}
	return batch
}

// submit makes a change in the index and records how to undo it.
func (s *Store) submit(op Op) {
	replaced, _ := s.index.Get(op.Key)
	s.undo = append(s.undo, Op{Key: op.Key, Value: replaced})
	s.change(op)
	s.Stats.UserBytes += len(op.Key) + len(op.Value)
}

// change makes a change in the index only.
func (s *Store) change(op Op) {
	if op.Value == nil {
		s.delete(op.Key)
	} else {
		s.set(op.Key, op.Value)
	}
}

func (s *Store) set(key string, value []byte) {
	if replaced, found := s.index.Get(key); found {
		s.usedBytes -= len(key) + len(replaced)
	}
	if value == nil {
		value = []byte{} // nil stands for an absent key
	}
	s.usedBytes += len(key) + len(value)
	s.index.Set(key, value)
}

func (s *Store) delete(key string) {
	if replaced, found := s.index.Get(key); found {
		s.usedBytes -= len(key) + len(replaced)
	}
	s.index.Delete(key)
}
