package server

import (
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
)

// stackGrowth returns by how many bytes the stacks of all goroutines grow while a new goroutine runs f.
func stackGrowth(f func()) int64 {
	defer debug.SetGCPercent(debug.SetGCPercent(-1)) // the garbage collector makes stacks smaller
	var before, after runtime.MemStats
	done := make(chan struct{})
	go func() {
		defer close(done)
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
	}()
	<-done
	return int64(after.StackInuse) - int64(before.StackInuse)
}

// A body that nests deeply took the event loop some milliseconds and 32 MB of stack, because the check of its syntax
// called itself for each opening bracket. The requests of all other clients waited for that.
func TestNestedBodyIsCheckedWithoutDeepRecursion(t *testing.T) {
	const size = 256 << 10
	for name, body := range map[string]string{
		"opening brackets": `{"messages":` + strings.Repeat("[", size),
		"opening braces":   strings.Repeat(`{"":`, size/4),
		"complete arrays":  `{"a":` + strings.Repeat("[", size/2) + strings.Repeat("]", size/2) + "}",
	} {
		if growth := stackGrowth(func() { checkBody([]byte(body)) }); growth > size {
			t.Errorf("%s: the stack grew by %d bytes for a body of %d", name, growth, len(body))
		}
	}
}
