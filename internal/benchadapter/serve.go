// Package benchadapter connects the scheduler to the bench simulator by the simulator's wire protocol: it reads frames
// of events and answers each with a frame of actions. It owns the scheduler instances of one process and the endpoint
// lists that events refer to. It makes no decisions: each event becomes a call of a scheduler instance, and each call
// that an instance makes to its Executor becomes an action of the reply. Package settings decodes the configuration of
// an instance.
package benchadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"plumspindle/scheduler"
)

const bufferSize = 1 << 20 // bytes

// Serve answers frames until the input ends. It returns nil if the input ends between two frames, and otherwise a
// *FrameError.
func Serve(in io.Reader, out io.Writer) error {
	input, output := bufio.NewReaderSize(in, bufferSize), bufio.NewWriterSize(out, bufferSize)
	a := &adapter{instances: map[uint32]*instance{}}
	for framesRead := uint32(0); ; framesRead++ {
		sequence, body, err := readFrame(input)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, ErrHeaderTruncated):
			// The sequence number was not read; the number of frames before this one is reported instead.
			return &FrameError{Frame: framesRead, Err: err}
		case err != nil:
			return &FrameError{Frame: sequence, Err: err}
		}
		if err := a.handleFrame(body); err != nil {
			return &FrameError{Frame: sequence, Err: err}
		}
		if err := a.writeReply(output, sequence); err != nil {
			return &FrameError{Frame: sequence, Err: fmt.Errorf("write reply: %w", err)}
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

// adapter holds the instances of one process, the endpoint lists that their events refer to, and the reply that is
// being built.
type adapter struct {
	instances map[uint32]*instance
	lists     [maxLists][]byte // entries of each endpoint list, by its number
	now       scheduler.Micros

	actions          []byte
	text             []byte // log texts that the actions refer to
	instanceSelected bool   // whether this reply has an actionSelectInstance
	selectedInstance uint32 // the instance selected last
}

// handleFrame handles the events of one frame, and builds the reply.
func (a *adapter) handleFrame(body []byte) error {
	clock, count := record(body).uint64(bodyClock), record(body).uint32(bodyEventCount)
	rest := body[bodyHeaderSize:]
	if uint64(count)*eventSize > uint64(len(rest)) {
		return fmt.Errorf("%w: %d records", ErrRecordsOverflow, count)
	}
	events, tail := rest[:int(count)*eventSize], rest[int(count)*eventSize:]
	// The time is rounded up, so that a late event never seems to be in time.
	a.now = scheduler.Micros((clock + nanosPerMicro - 1) / nanosPerMicro)
	a.actions, a.text, a.instanceSelected = a.actions[:0], a.text[:0], false
	var selected *uint32
	for i := 0; i < len(events); i += eventSize {
		event := record(events[i : i+eventSize])
		var err error
		switch event.code() {
		case eventSelectInstance:
			id := event.uint32(instanceID)
			selected = &id
		case eventEndpointList:
			err = a.storeList(event, tail)
		default:
			if selected == nil {
				err = ErrNoInstance
			} else {
				err = a.handleEvent(*selected, event, tail)
			}
		}
		if err != nil {
			return &RecordError{Index: i / eventSize, Code: event.code(), Err: err}
		}
	}
	return nil
}

// writeReply writes the reply to a frame: the actions, and the log texts after them.
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
