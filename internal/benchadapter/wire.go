package benchadapter

import (
	"encoding/binary"
	"fmt"
	"math"

	"plumspindle/scheduler"
)

// All numbers on the wire are little-endian, and times are in nanoseconds. A frame has a header and a body. The body
// has a header, the event records and a tail, which holds data of variable size. A reply has a header, the action
// records and the log texts. The offset of a field counts from the start of the header, record or entry that has the
// field. The first byte of a record is its code.
const (
	nanosPerMicro = 1000

	frameHeaderSize = 8
	frameSequence   = 0
	frameLength     = 4
	maxFrameLength  = 1 << 30 // bytes; a greater length means that the header is corrupt

	bodyHeaderSize = 12
	bodyClock      = 0
	bodyEventCount = 8

	replyHeaderSize  = 12
	replySequence    = 0
	replyActionCount = 4
	replyLength      = 8

	eventSize  = 64
	actionSize = 24
)

// Codes of the events. Each but eventSelectInstance and eventEndpointList is for the instance that the frame selected
// last.
const (
	eventAttach         = 10
	eventListUpdate     = 20
	eventRequest        = 30
	eventAttemptStarted = 40
	eventAttemptEnded   = 50
	eventDisconnect     = 60
	eventTimer          = 70
	eventProbeResult    = 80
	eventPeerMessage    = 90
	eventDetach         = 100
	eventReservation    = 110
	eventEndpointList   = 120
	eventSelectInstance = 130
)

// Offsets of the events' fields. A tail field is an offset into the frame's tail in bytes, and a count of items there.
const (
	instanceID = 1

	attachSeed     = 1
	attachSettings = 9 // tail field

	updateList  = 9
	updateScope = 10

	requestID              = 1
	requestPrefixTokens    = 9
	requestSession         = 13
	requestMaxOutputTokens = 21
	requestPrefix          = 26
	requestDecodeTime      = 34
	requestDeadline        = 42
	requestPromptTokens    = 50
	requestTenant          = 54
	requestClass           = 56

	startedRequest = 1
	startedAttempt = 9

	endedRequest    = 1
	endedDetail     = 9 // cached tokens, or detailStateMissing
	endedClosed     = 13
	endedOutcome    = 18
	endedAttempt    = 27
	endedLoadReport = 29 // the number of values, then the values

	disconnectRequest = 1
	timerID           = 1
	probeOutcome      = 5

	listNumber  = 1
	listEntries = 2 // tail field
)

const (
	detailStateMissing  = 1 // the decode endpoint found no prompt state to fetch
	maxLoadReportValues = 4
	loadReportValueSize = 4 // bytes
)

// Scopes of a list update.
const (
	scopePartial = 0 // there may be endpoints that the list does not name
	scopeFailed  = 3 // the list could not be fetched
)

// maxLists is how many endpoint lists an adapter stores.
const maxLists = 16

// Size of an endpoint list's entry, and offsets of its fields.
const (
	entrySize      = 21
	entryEndpoint  = 0
	entryZone      = 4
	entryKind      = 5
	entryCell      = 6
	entryState     = 8
	entryWeight    = 9
	entryStartedAt = 13
)

// Codes of the actions. Each but actionSelectInstance belongs to the instance that was selected last.
const (
	actionSend           = 10
	actionReject         = 20
	actionFail           = 30
	actionCancel         = 40
	actionSetTimer       = 50
	actionLog            = 90
	actionWatch          = 110
	actionRelease        = 150
	actionSelectInstance = 160
)

// Offsets of the actions' fields.
const (
	actionRequest    = 1 // of the actions that concern a request
	actionInstanceID = 1 // of actionSelectInstance

	sendEndpoint     = 9
	sendTimeout      = 13
	rejectRetryAfter = 9
	cancelAttempt    = 9

	setTimerAfter = 1
	setTimerID    = 9

	logOffset = 1
	logLength = 5

	watchOn = 1
)

var outcomes = map[byte]scheduler.Outcome{
	0:  scheduler.Completed,
	1:  scheduler.Cancelled,
	4:  scheduler.TimedOut,
	8:  scheduler.NoCapacity,
	9:  scheduler.NotSent,
	10: scheduler.ConnectionLost,
	13: scheduler.Errored,
	14: scheduler.Unreachable,
	77: scheduler.PrefillDone,
}

var endpointStates = map[byte]scheduler.EndpointState{
	0: scheduler.Draining,
	1: scheduler.Removed,
	3: scheduler.Ready,
}

// record is a header, record or entry of fixed size, whose fields are read by their offsets.
type record []byte

func (r record) code() byte               { return r[0] }
func (r record) byte(offset int) byte     { return r[offset] }
func (r record) uint16(offset int) uint16 { return binary.LittleEndian.Uint16(r[offset:]) }
func (r record) uint32(offset int) uint32 { return binary.LittleEndian.Uint32(r[offset:]) }
func (r record) uint64(offset int) uint64 { return binary.LittleEndian.Uint64(r[offset:]) }

// float reads a 32-bit float. NaN, infinity and values that are not above zero stand for an absent value and are read
// as 0.
func (r record) float(offset int) float64 {
	v := float64(math.Float32frombits(r.uint32(offset)))
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// outcome reads the outcome of an attempt.
func (r record) outcome(offset int) (scheduler.Outcome, error) {
	outcome, known := outcomes[r.byte(offset)]
	if !known {
		return 0, &UnknownValueError{Field: "outcome", Value: r.byte(offset)}
	}
	return outcome, nil
}

// tail returns the part of the frame's tail that a tail field refers to. Each item has itemSize bytes.
func (r record) tail(offset int, tail []byte, itemSize uint64) ([]byte, error) {
	from, count := uint64(r.uint32(offset)), uint64(r.uint32(offset+4))
	if from+count*itemSize > uint64(len(tail)) {
		return nil, fmt.Errorf("%w: %d items at offset %d", ErrTailOverflow, count, from)
	}
	return tail[from : from+count*itemSize], nil
}

// nanosFromMicros converts microseconds to nanoseconds; a negative time becomes 0.
func nanosFromMicros(t scheduler.Micros) uint64 { return uint64(max(t, 0)) * nanosPerMicro }
