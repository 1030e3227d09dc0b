package store

import (
	"errors"
	"testing"
)

// TestConditionsAndLimits checks that a transaction is applied as a whole if its conditions and the limits of the store
// allow it, and is rejected as a whole otherwise.
func TestConditionsAndLimits(t *testing.T) {
	disk := newMemoryDisk()
	s, err := Open(disk, Limits{MaxKeys: 3, MaxBytes: 100, SegmentBytes: 1000, CompactAfterBytes: 1000})
	if err != nil {
		t.Fatal(err)
	}
	set := func(key, value string) Op { return Op{Key: key, Value: []byte(value)} }
	absent := func(key string) Condition { return Condition{Key: key} }
	has := func(key, value string) Condition { return Condition{Key: key, Value: []byte(value)} }
	for i, test := range []struct {
		ops        []Op
		conditions []Condition
		want       error
	}{
		{[]Op{set("a", "1")}, []Condition{absent("a")}, nil},
		{[]Op{set("a", "2"), set("b", "2")}, []Condition{absent("a")}, ErrConflict},
		{[]Op{set("a", "2")}, []Condition{has("a", "0")}, ErrConflict},
		{[]Op{set("a", "2"), set("b", "2")}, []Condition{has("a", "1"), absent("b")}, nil},
		{[]Op{set("c", "3"), set("d", "4")}, nil, ErrFull},
		{[]Op{{Key: "c", Value: make([]byte, 200)}}, nil, ErrFull},
		{[]Op{{Key: "b"}}, nil, nil},
		{[]Op{set("c", "3")}, nil, nil},
	} {
		if err := s.Commit(test.ops, test.conditions, WriteNow, nil); !errors.Is(err, test.want) {
			t.Errorf("transaction %d, %v: got %v, want %v", i, test.ops, err, test.want)
		}
		disk.answer(10)
	}
	if got := contents(s); got != "a=2;c=3;" {
		t.Errorf("the store contains %s", got)
	}
}
