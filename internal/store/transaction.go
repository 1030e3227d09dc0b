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

// Condition requires a key to have the given value when Commit is called. A nil Value requires the key to be absent.
type Condition struct {
	Key   string
	Value []byte
}

// WriteMode determines when the record of a transaction is written to the log.
type WriteMode bool

// The write modes.
const (
	WriteNow  WriteMode = false // immediately, or after the append in flight, if there is one
	WriteLazy WriteMode = true  // with the next WriteNow record, by Flush, or if pending records exceed maxLazyBytes
)

// Commit submits a transaction: if all conditions are met, it makes all of its changes. Reads see the changes
// immediately. done, which may be nil, is called once the changes are durable or lost. If done receives an error, the
// changes were undone, but a restart may still recover them.
//
// If Commit returns an error, it has changed nothing and does not call done. The error matches ErrConflict, ErrFull or
// ErrFailed, unless the record could not be encoded.
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
		s.applyWithUndo(op)
	}
	s.pendingRecords = appendRecord(s.pendingRecords, payload)
	s.Stats.Records++
	if done != nil {
		s.pendingCallbacks = append(s.pendingCallbacks, done)
	}
	if mode == WriteNow || len(s.pendingRecords) > maxLazyBytes {
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

// checkLimits returns ErrFull if changes could exceed the limits. It counts each written key as a new one, so it may
// reject a write that would fit but never accepts one that would not. A transaction that only deletes is always
// accepted.
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

// applyWithUndo applies a change to the index and records how to undo it.
func (s *Store) applyWithUndo(op Op) {
	replaced, _ := s.index.Get(op.Key)
	s.undo = append(s.undo, Op{Key: op.Key, Value: replaced})
	s.applyOp(op)
	s.Stats.UserBytes += len(op.Key) + len(op.Value)
}

// applyOp applies a change to the index and to usedBytes. It does not record how to undo it.
func (s *Store) applyOp(op Op) {
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
		value = []byte{} // a nil value would mean that the key is absent
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
