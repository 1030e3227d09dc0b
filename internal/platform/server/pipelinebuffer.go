package server

import "plumspindle/internal/eventloop"

const (
	// arrivalResolution is the precision of the recorded arrival times. They are never later than the true ones.
	arrivalResolution = 10 * eventloop.Millisecond
	// minCompactedBytes is the size up to which a buffer keeps the memory of the bytes that were removed from it.
	minCompactedBytes = 4 << 10
)

// pipelineBuffer holds the bytes that a client has sent after the request that is being answered, and when they
// arrived. Removing requests from its front takes time in proportion to their size, however many bytes follow them. Its
// zero value is empty.
type pipelineBuffer struct {
	data     []byte
	start    int       // index in data of the first byte that was not removed
	arrivals []arrival // of the parts of the bytes, in order
}

// arrival is the time at which a part of the bytes in a pipelineBuffer arrived.
type arrival struct {
	at   eventloop.Micros
	size int // bytes
}

// bytes returns the buffered bytes, which are valid until the next call of another method.
func (b *pipelineBuffer) bytes() []byte { return b.data[b.start:] }

func (b *pipelineBuffer) size() int { return len(b.data) - b.start }

// add appends bytes that arrived at the given time.
func (b *pipelineBuffer) add(at eventloop.Micros, data []byte) {
	if len(data) == 0 {
		return
	}
	b.data = append(b.data, data...)
	if last := len(b.arrivals) - 1; last >= 0 && at-b.arrivals[last].at < arrivalResolution {
		b.arrivals[last].size += len(data)
		return
	}
	b.arrivals = append(b.arrivals, arrival{at, len(data)})
}

// receivedAt returns when the first of the buffered bytes arrived. The buffer must not be empty.
func (b *pipelineBuffer) receivedAt() eventloop.Micros { return b.arrivals[0].at }

// removeFirst removes bytes from the front.
func (b *pipelineBuffer) removeFirst(size int) {
	b.start += size
	if b.start > len(b.data)/2 && len(b.data) > minCompactedBytes {
		b.data, b.start = append([]byte(nil), b.bytes()...), 0
	}
	for len(b.arrivals) > 0 && size >= b.arrivals[0].size {
		size -= b.arrivals[0].size
		b.arrivals = b.arrivals[1:]
	}
	if len(b.arrivals) > 0 {
		b.arrivals[0].size -= size
	}
}

// truncate removes all bytes but the given number at the front.
func (b *pipelineBuffer) truncate(size int) {
	b.data = b.data[:b.start+size]
	for i := range b.arrivals {
		b.arrivals[i].size = min(b.arrivals[i].size, size)
		if size -= b.arrivals[i].size; size == 0 {
			b.arrivals = b.arrivals[:i+1]
			break
		}
	}
	if b.size() == 0 {
		*b = pipelineBuffer{}
	}
}
