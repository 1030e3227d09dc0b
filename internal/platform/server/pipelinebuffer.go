package server

import "plumspindle/internal/eventloop"

// minCompactedBytes is the size up to which a buffer keeps the memory of the bytes that were removed from it.
const minCompactedBytes = 4 << 10

// pipelineBuffer holds the bytes that a client has sent after the request that is being answered. Removing requests
// from its front takes time in proportion to their size, however many bytes follow them. Its zero value is empty.
type pipelineBuffer struct {
	data       []byte
	start      int              // index in data of the first byte that was not removed
	receivedAt eventloop.Micros // when the first of the bytes arrived
}

// bytes returns the buffered bytes, which are valid until the next call of another method.
func (b *pipelineBuffer) bytes() []byte { return b.data[b.start:] }

func (b *pipelineBuffer) size() int { return len(b.data) - b.start }

// add appends bytes that arrived at the given time.
func (b *pipelineBuffer) add(at eventloop.Micros, data []byte) {
	if b.size() == 0 {
		b.receivedAt = at
	}
	b.data = append(b.data, data...)
}

// removeFirst removes bytes from the front.
func (b *pipelineBuffer) removeFirst(size int) {
	b.start += size
	if b.start > len(b.data)/2 && len(b.data) > minCompactedBytes {
		b.data, b.start = append([]byte(nil), b.bytes()...), 0
	}
}

// truncate removes all bytes but the given number at the front.
func (b *pipelineBuffer) truncate(size int) { b.data = b.data[:b.start+size] }
