// Package benchadapter connects the scheduler to the bench simulator by its wire protocol: frames of events in, frames
// of actions out. It owns the scheduler instances of one process and the endpoint lists that the frames refer to. It
// relies on the scheduler package for all decisions and on the settings package for an instance's configuration, and
// decides nothing itself: a decoded event is one call of an instance, and an order of an instance is one action of the
// reply.
package benchadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"plumspindle/scheduler"
)

const bufferSize = 1 << 20

// Serve answers frames until the input ends between two of them. Any other end is a *FrameError.
func Serve(in io.Reader, out io.Writer) error {
	input, output := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	a := &adapter{instances: map[uint32]*instance{}}
	for n := uint32(0); ; n++ {
		sequence, body, err := readFrame(input)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, ErrHeaderTruncated):
			return &FrameError{Frame: n, Err: err} // its sequence number is not known
		case err != nil:
			return &FrameError{Frame: sequence, Err: err}
		}
		if err := a.handleFrame(body); err != nil {
			return &FrameError{Frame: sequence, Err: err}
		}
		if err := a.writeReply(output, sequence); err != nil {
			return &FrameError{Frame: sequence, Err: fmt.Errorf("reply not written: %w", err)}
		}
	}
}

// readFrame reads one frame. It returns io.EOF only if the input ends between two frames.
func readFrame(input io.Reader) (sequence uint32, body []byte, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(input, header[:]); errors.Is(err, io.EOF) {
		return 0, nil, io.EOF
	} else if err != nil {
		return 0, nil, ErrHeaderTruncated
	}
	sequence = record(header[:]).uint32(frameSequence)
	size := record(header[:]).uint32(frameLength)
	if size < bodyHeaderSize || size > maxFrameLength {
		return sequence, nil, fmt.Errorf("%w %d", ErrFrameLength, size)
	}
	body = make([]byte, size)
	if _, err := io.ReadFull(input, body); err != nil {
		return sequence, nil, ErrBodyTruncated
	}
	return sequence, body, nil
}

// adapter has the instances of one process, the endpoint lists that their events refer to, and the reply being built.
type adapter struct {
	instances map[uint32]*instance
	lists     [listCount][]byte
	now       scheduler.Micros

	actions  []byte
	text     []byte // that the actions refer to
	named    bool   // an action of this reply has named an instance
	instance uint32 // the one named last
}

// handleFrame carries out the events of one frame.
func (a *adapter) handleFrame(body []byte) error {
	clock, count := record(body).uint64(bodyClock), record(body).uint32(bodyEventCount)
	rest := body[bodyHeaderSize:]
	if uint64(count)*eventSize > uint64(len(rest)) {
		return fmt.Errorf("%d records %w", count, ErrRecordsOverflow)
	}
	events, tail := rest[:int(count)*eventSize], rest[int(count)*eventSize:]
	a.now = scheduler.Micros((clock + nanosPerMicro - 1) / nanosPerMicro) // rounded up: late must not look in time
	a.actions, a.text, a.named = a.actions[:0], a.text[:0], false
	var target *uint32
	for i := 0; i < len(events); i += eventSize {
		event := record(events[i : i+eventSize])
		var err error
		switch event.code() {
		case eventInstance:
			id := event.uint32(instanceID)
			target = &id
		case eventEndpointList:
			err = a.storeList(event, tail)
		default:
			if target == nil {
				err = ErrNoInstance
			} else {
				err = a.handleEvent(*target, event, tail)
			}
		}
		if err != nil {
			return &RecordError{Index: i / eventSize, Code: event.code(), Err: err}
		}
	}
	return nil
}

// writeReply answers a frame with its actions.
func (a *adapter) writeReply(w *bufio.Writer, sequence uint32) error {
	var header [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(header[replySequence:], sequence)
	binary.LittleEndian.PutUint32(header[replyActionCount:], uint32(len(a.actions)/actionSize))
	binary.LittleEndian.PutUint32(header[replyLength:], uint32(len(a.actions)+len(a.text)))
	for _, part := range [][]byte{header[:], a.actions, a.text} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}
