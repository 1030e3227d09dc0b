// Package benchadapter speaks the simulator's wire for the decision module. It decides nothing: a decoded field goes
// straight into a call, and an order straight into the reply.
package benchadapter

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"plumspindle/internal/settings"
	"plumspindle/scheduler"
)

const (
	eventSize  = 64
	actionSize = 24
	entrySize  = 21
	headSize   = 12      // clock and record count, inside the length
	mostBytes  = 1 << 30 // a longer frame can only be a broken length
)

var (
	endings = map[byte]scheduler.Outcome{0: scheduler.Completed, 13: scheduler.Errored, 8: scheduler.NoCapacity, 4: scheduler.TimedOut,
		14: scheduler.Unreachable, 10: scheduler.ConnectionLost, 1: scheduler.Cancelled, 9: scheduler.NotSent, 77: scheduler.PrefillDone}
	conditions = map[byte]scheduler.EndpointState{3: scheduler.Ready, 0: scheduler.Draining, 1: scheduler.Removed}
)

// Serve answers frames until the input ends; any other end is an error that names the frame and the fault.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	s := &stage{instances: map[uint32]*instance{}}
	for n := 0; ; n++ {
		var start [8]byte
		if _, err := io.ReadFull(r, start[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame %d: cut short in its header", n)
		}
		seq, size := u32(start[:]), u32(start[4:])
		if size < headSize || size > mostBytes {
			return fmt.Errorf("frame %d: impossible length %d", seq, size)
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(r, body); err != nil {
			return fmt.Errorf("frame %d: cut short after its header", seq)
		}
		if err := s.frame(body); err != nil {
			return fmt.Errorf("frame %d: %w", seq, err)
		}
		var head [12]byte
		binary.LittleEndian.PutUint32(head[:], seq)
		binary.LittleEndian.PutUint32(head[4:], uint32(len(s.records)/actionSize))
		binary.LittleEndian.PutUint32(head[8:], uint32(len(s.records)+len(s.text)))
		w.Write(head[:])
		w.Write(s.records)
		w.Write(s.text)
		if err := w.Flush(); err != nil {
			return fmt.Errorf("frame %d: reply not written: %w", seq, err)
		}
	}
}

// stage holds the instances of one process, the lists they refer to, and the reply being built.
type stage struct {
	instances map[uint32]*instance
	lists     [16][]byte
	now       scheduler.Micros
	speaker   uint32
	spoken    bool
	records   []byte
	text      []byte
}

// instance is the Orders of one dispatcher.
type instance struct {
	*scheduler.Scheduler
	stage    *stage
	who      uint32
	memoryAt int // the place of the memory share in a load report, below zero if it has none
}

func (s *stage) frame(body []byte) error {
	now, count := u64(body), u32(body[8:])
	if uint64(count)*eventSize > uint64(len(body)-headSize) {
		return fmt.Errorf("%d records do not fit into it", count)
	}
	events, tail := body[headSize:headSize+int(count)*eventSize], body[headSize+int(count)*eventSize:]
	s.now = scheduler.Micros((now + 999) / 1000) // up: what is late must not look in time
	s.records, s.text, s.spoken = s.records[:0], s.text[:0], false
	var at uint32
	var named bool
	for i := 0; i < len(events); i += eventSize {
		e := events[i : i+eventSize]
		var err error
		switch e[0] {
		case 130:
			at, named = u32(e[1:]), true
		case 120:
			err = s.keepList(e, tail)
		default:
			if !named {
				err = errors.New("comes before any instance is named")
			} else {
				err = s.event(at, e, tail)
			}
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d): %w", i/eventSize, e[0], err)
		}
	}
	return nil
}

func (s *stage) keepList(e, tail []byte) error {
	raw, err := slice(tail, e[2:], entrySize)
	if err != nil {
		return err
	}
	if int(e[1]) >= len(s.lists) {
		return fmt.Errorf("list number %d is out of range", e[1])
	}
	for i := 0; i < len(raw); i += entrySize {
		if _, known := conditions[raw[i+8]]; !known {
			return fmt.Errorf("entry %d has the unknown condition %d", i/entrySize, raw[i+8])
		}
	}
	s.lists[e[1]] = raw
	return nil
}

func (s *stage) event(at uint32, e, tail []byte) error {
	if e[0] == 10 {
		raw, err := slice(tail, e[9:], 1)
		if err != nil {
			return err
		}
		return s.attach(at, u64(e[1:]), raw)
	}
	in := s.instances[at]
	if in == nil {
		return fmt.Errorf("instance %d was never started", at)
	}
	switch e[0] {
	case 20:
		return s.sync(in, e)
	case 30:
		in.RequestArrived(s.now, scheduler.Arrival{
			ID:              scheduler.RequestID(u64(e[1:])),
			Session:         scheduler.SessionID(u64(e[13:])),
			Prefix:          scheduler.PrefixID(u64(e[26:])),
			Class:           scheduler.ClassID(e[56]),
			Tenant:          scheduler.TenantID(binary.LittleEndian.Uint16(e[54:])),
			PromptTokens:    f32(e[50:]),
			PrefixTokens:    f32(e[9:]),
			MaxOutputTokens: f32(e[21:]),
			DecodeTime:      settings.MicrosFromNanos(u64(e[34:])),
			Deadline:        settings.MicrosFromNanos(u64(e[42:])),
		})
	case 40:
		in.AttemptStarted(s.now, scheduler.RequestID(u64(e[1:])), scheduler.AttemptNo(binary.LittleEndian.Uint16(e[9:])))
	case 50:
		how, known := endings[e[18]]
		if !known {
			return fmt.Errorf("unknown outcome %d", e[18])
		}
		in.AttemptEnded(s.now, scheduler.RequestID(u64(e[1:])), scheduler.AttemptNo(binary.LittleEndian.Uint16(e[27:])), scheduler.AttemptResult{
			Outcome:       how,
			CachedTokens:  int(u32(e[9:])),
			StateMissing:  u32(e[9:]) == 1,
			RequestClosed: e[13] != 0,
			MemoryUsage:   in.memory(e[29:]),
		})
	case 60:
		in.ClientDisconnected(s.now, scheduler.RequestID(u64(e[1:])))
	case 70:
		in.TimerFired(s.now, scheduler.TimerID(u64(e[1:])))
	case 80: // a probe's result; the module asks for none
		if _, known := endings[e[5]]; !known {
			return fmt.Errorf("unknown outcome %d", e[5])
		}
	case 90, 110: // a peer's message, a place held ahead: the module asks for neither
	case 100:
		delete(s.instances, at)
	default:
		return errors.New("unknown code")
	}
	return nil
}

func (s *stage) attach(at uint32, seed uint64, info []byte) error {
	t, err := settings.Parse(info)
	if err != nil {
		return err
	}
	in := &instance{stage: s, who: at, memoryAt: slices.Index(t.LoadReportFields, "x0")}
	s.instances[at] = in
	in.Scheduler = scheduler.New(s.now, int64(seed), t.Scheduler, in)
	return nil
}

func (s *stage) sync(in *instance, e []byte) error {
	if e[10] == 3 {
		in.EndpointWatchFailed(s.now)
		return nil
	}
	if e[10] > 3 || int(e[9]) >= len(s.lists) {
		return fmt.Errorf("scope %d, list %d: out of range", e[10], e[9])
	}
	for raw := s.lists[e[9]]; len(raw) > 0; raw = raw[entrySize:] {
		in.EndpointUpdated(s.now, scheduler.EndpointStatus{
			ID:        scheduler.EndpointID(u32(raw)),
			Zone:      scheduler.ZoneID(raw[4]),
			Kind:      scheduler.KindID(raw[5]),
			Cell:      scheduler.CellID(binary.LittleEndian.Uint16(raw[6:])),
			State:     conditions[raw[8]],
			StartedAt: settings.MicrosFromNanos(u64(raw[13:])),
		})
	}
	in.EndpointUpdateEnded(s.now, e[10] != 0)
	return nil
}

// memory is the share of memory held, from a load report that has one.
func (in *instance) memory(b []byte) float64 {
	if in.memoryAt < 0 || in.memoryAt >= min(int(b[0]), 4) {
		return scheduler.NoLoadReport
	}
	return f32(b[1+4*in.memoryAt:])
}

// record opens the next action of this instance and names the instance where another spoke last.
func (in *instance) record(code byte) []byte {
	s := in.stage
	if !s.spoken || s.speaker != in.who {
		s.spoken, s.speaker = true, in.who
		s.records = append(s.records, make([]byte, actionSize)...)
		r := s.records[len(s.records)-actionSize:]
		r[0] = 160
		binary.LittleEndian.PutUint32(r[1:], in.who)
	}
	s.records = append(s.records, make([]byte, actionSize)...)
	r := s.records[len(s.records)-actionSize:]
	r[0] = code
	return r
}

func (in *instance) genRecord(code byte, gen scheduler.RequestID) []byte {
	r := in.record(code)
	binary.LittleEndian.PutUint64(r[1:], uint64(gen))
	return r
}

func (in *instance) Send(gen scheduler.RequestID, host scheduler.EndpointID, allow scheduler.Micros) {
	r := in.genRecord(10, gen)
	binary.LittleEndian.PutUint32(r[9:], uint32(host))
	binary.LittleEndian.PutUint64(r[13:], nanos(allow))
}

func (in *instance) Reject(gen scheduler.RequestID, comeBackIn scheduler.Micros) {
	binary.LittleEndian.PutUint64(in.genRecord(20, gen)[9:], nanos(comeBackIn))
}

func (in *instance) Fail(gen scheduler.RequestID) { in.genRecord(30, gen) }

func (in *instance) Cancel(gen scheduler.RequestID, leg scheduler.AttemptNo) {
	binary.LittleEndian.PutUint16(in.genRecord(40, gen)[9:], uint16(leg))
}

func (in *instance) Release(gen scheduler.RequestID) { in.genRecord(150, gen) }

func (in *instance) WatchEndpoints() { in.record(110)[1] = 1 }

func (in *instance) SetTimer(after scheduler.Micros, bell scheduler.TimerID) {
	r := in.record(50)
	binary.LittleEndian.PutUint64(r[1:], nanos(after))
	binary.LittleEndian.PutUint64(r[9:], uint64(bell))
}

func (in *instance) Log(event scheduler.Event) {
	line := describe(event)
	r := in.record(90)
	binary.LittleEndian.PutUint32(r[1:], uint32(len(in.stage.text)))
	binary.LittleEndian.PutUint32(r[5:], uint32(len(line)))
	in.stage.text = append(in.stage.text, line...)
}

// describe is the text of an event in the bench's log.
func describe(event scheduler.Event) string {
	switch e := event.(type) {
	case scheduler.EndpointEjected:
		return fmt.Sprintf("endpoint %d ejected for %d ms: %s", e.Endpoint, e.For/1000, e.Reason)
	case scheduler.SendBlocked:
		return fmt.Sprintf("send of request %d to endpoint %d blocked by guard: %s", e.Request, e.Endpoint, e.Rule)
	}
	return ""
}

// slice is what a tail field points at; each of its count items is size bytes.
func slice(tail, field []byte, size uint64) ([]byte, error) {
	from, count := uint64(u32(field)), uint64(u32(field[4:]))
	if from+count*size > uint64(len(tail)) {
		return nil, fmt.Errorf("its tail field points past the frame (%d items at %d)", count, from)
	}
	return tail[from : from+count*size], nil
}

func u32(b []byte) uint32 { return binary.LittleEndian.Uint32(b) }
func u64(b []byte) uint64 { return binary.LittleEndian.Uint64(b) }

// f32 takes what is no number, or below zero, as absent.
func f32(b []byte) float64 {
	v := float64(math.Float32frombits(u32(b)))
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func nanos(t scheduler.Micros) uint64 { return uint64(max(t, 0)) * 1000 }
