package server

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"plumspindle/internal/eventloop"
)

// A pipelineBuffer holds the same bytes as a plain slice, and for the first of them a time that is not later than its
// arrival and at most arrivalResolution earlier.
func TestPipelineBufferKeepsBytesAndArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buffer pipelineBuffer
		var want []byte
		var arrivedAt []eventloop.Micros // of each byte of want
		now := eventloop.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += eventloop.Micros(rapid.IntRange(0, 15000).Draw(t, "gap"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				size := rapid.IntRange(0, len(want)).Draw(t, "kept")
				buffer.truncate(size)
				want, arrivedAt = want[:size], arrivedAt[:size]
			case 1, 2, 3, 4:
				size := rapid.IntRange(0, len(want)).Draw(t, "removed")
				buffer.removeFirst(size)
				want, arrivedAt = want[size:], arrivedAt[size:]
			default:
				data := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "data")
				buffer.add(now, data)
				want = append(want, data...)
				for range data {
					arrivedAt = append(arrivedAt, now)
				}
			}
			if !bytes.Equal(buffer.bytes(), want) || buffer.size() != len(want) {
				t.Fatalf("%d bytes, want %d", buffer.size(), len(want))
			}
			if len(want) == 0 {
				continue
			}
			if early := arrivedAt[0] - buffer.receivedAt(); early < 0 || early > arrivalResolution {
				t.Fatalf("the first byte arrived at %d, and is said to have arrived at %d", arrivedAt[0], buffer.receivedAt())
			}
		}
	})
}
