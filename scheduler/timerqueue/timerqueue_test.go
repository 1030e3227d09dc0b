package timerqueue

import (
	"slices"
	"testing"
)

func TestItemsRunByTimeThenByTheOrderOfSetting(t *testing.T) {
	var queue Queue
	var ran []string
	set := func(at Micros, name string) *Item {
		return queue.Set(at, func() { ran = append(ran, name) })
	}
	set(20, "c")
	set(10, "a")
	set(10, "b")
	dropped := set(15, "dropped")
	set(30, "later")
	queue.Drop(dropped)
	queue.Drop(dropped)
	queue.Drop(nil)
	queue.Set(20, func() { set(20, "added") })
	queue.Run(25)
	if want := []string{"a", "b", "c", "added"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
	if at, found := queue.Next(); at != 30 || !found {
		t.Errorf("next call at %d, found %v, want 30 and true", at, found)
	}
	queue.RunOne()
	if _, found := queue.Next(); found || ran[len(ran)-1] != "later" {
		t.Errorf("ran %v, want \"later\" last; calls left: %v", ran, found)
	}
	queue.RunOne() // the queue is empty
}
