package sockets

import (
	"slices"
	"testing"

	"plumspindle/internal/eventloop"
)

func TestTimersRunInOrder(t *testing.T) {
	l := startLoop(t)
	var order []int
	done := make(chan error, 1)
	l.Do(func() {
		for _, i := range []int{3, 1, 2} {
			l.AfterFunc(eventloop.Micros(i)*eventloop.Millisecond, func() { order = append(order, i) })
		}
		stopped := l.AfterFunc(2500, func() { order = append(order, 99) })
		stopped.Stop()
		l.Defer(func() { order = append(order, 0) })
		l.AfterFunc(5*eventloop.Millisecond, func() { done <- nil })
	})
	waitFor(t, "the last timer", done)
	l.Do(func() {
		if !slices.Equal(order, []int{0, 1, 2, 3}) {
			t.Errorf("timers ran in order %v", order)
		}
	})
}

func TestStopEndsWhileConnectionsOpen(t *testing.T) {
	addr := listen(t, startLoop(t), accept(nil)).Addr()
	for range 20 {
		l, err := Start()
		if err != nil {
			t.Fatal(err)
		}
		l.Do(func() {
			for range 5 {
				l.Dial(addr, eventloop.Second, newRecorder())
			}
		})
		stopped := make(chan error, 1)
		go func() {
			l.Stop()
			stopped <- nil
		}()
		waitFor(t, "the loop's end", stopped)
	}
}
