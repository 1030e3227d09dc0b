package benchadapter

import (
	"encoding/binary"
	"fmt"

	"plumspindle/scheduler"
)

const microsPerMilli = 1000

// instance is one scheduler and its Executor, which appends an action to the reply for each call.
type instance struct {
	*scheduler.Scheduler
	adapter          *adapter
	id               uint32
	memoryValueIndex int  // index in load reports of the used share of the memory; negative: reports have no such value
	sizesListed      bool // the weights in endpoint lists are the endpoints' sizes
}

// appendAction appends an action of this instance. Unless this instance is the selected one, it first appends an action
// that selects it.
func (in *instance) appendAction(code byte) []byte {
	a := in.adapter
	if !a.instanceSelected || a.selectedInstance != in.id {
		a.instanceSelected, a.selectedInstance = true, in.id
		binary.LittleEndian.PutUint32(a.appendAction(actionSelectInstance)[actionInstanceID:], in.id)
	}
	return a.appendAction(code)
}

// appendAction appends an action of which only the code is set.
func (a *adapter) appendAction(code byte) []byte {
	a.actions = append(a.actions, make([]byte, actionSize)...)
	action := a.actions[len(a.actions)-actionSize:]
	action[0] = code
	return action
}

// appendRequestAction appends an action that concerns a request.
func (in *instance) appendRequestAction(code byte, request scheduler.RequestID) []byte {
	action := in.appendAction(code)
	binary.LittleEndian.PutUint64(action[actionRequest:], uint64(request))
	return action
}

// Send implements scheduler.Executor.
func (in *instance) Send(request scheduler.RequestID, endpoint scheduler.EndpointID, timeout scheduler.Micros) {
	action := in.appendRequestAction(actionSend, request)
	binary.LittleEndian.PutUint32(action[sendEndpoint:], uint32(endpoint))
	binary.LittleEndian.PutUint64(action[sendTimeout:], nanosFromMicros(timeout))
}

// Reject implements scheduler.Executor.
func (in *instance) Reject(request scheduler.RequestID, retryAfter scheduler.Micros) {
	action := in.appendRequestAction(actionReject, request)
	binary.LittleEndian.PutUint64(action[rejectRetryAfter:], nanosFromMicros(retryAfter))
}

// Fail implements scheduler.Executor.
func (in *instance) Fail(request scheduler.RequestID) { in.appendRequestAction(actionFail, request) }

// Cancel implements scheduler.Executor.
func (in *instance) Cancel(request scheduler.RequestID, attempt scheduler.AttemptNumber) {
	action := in.appendRequestAction(actionCancel, request)
	binary.LittleEndian.PutUint16(action[cancelAttempt:], uint16(attempt))
}

// Release implements scheduler.Executor.
func (in *instance) Release(request scheduler.RequestID) {
	in.appendRequestAction(actionRelease, request)
}

// WatchEndpoints implements scheduler.Executor.
func (in *instance) WatchEndpoints() { in.appendAction(actionWatch)[watchOn] = 1 }

// SetTimer implements scheduler.Executor.
func (in *instance) SetTimer(after scheduler.Micros, timer scheduler.TimerID) {
	action := in.appendAction(actionSetTimer)
	binary.LittleEndian.PutUint64(action[setTimerAfter:], nanosFromMicros(after))
	binary.LittleEndian.PutUint64(action[setTimerID:], uint64(timer))
}

// Log implements scheduler.Executor. The reply holds the event's text after all actions.
func (in *instance) Log(event scheduler.Event) {
	text, action := logText(event), in.appendAction(actionLog)
	binary.LittleEndian.PutUint32(action[logOffset:], uint32(len(in.adapter.text)))
	binary.LittleEndian.PutUint32(action[logLength:], uint32(len(text)))
	in.adapter.text = append(in.adapter.text, text...)
}

// logText returns the text of an event for the bench's log, or "" for an event that the bench does not log.
func logText(event scheduler.Event) string {
	switch e := event.(type) {
	case scheduler.EndpointEjected:
		return fmt.Sprintf("endpoint %d ejected for %d ms: %s", e.Endpoint, e.For/microsPerMilli, e.Reason)
	case scheduler.SendBlocked:
		return fmt.Sprintf("send of request %d to endpoint %d blocked by guard: %s", e.Request, e.Endpoint, e.Rule)
	}
	return ""
}
