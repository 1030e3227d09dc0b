package benchadapter

import (
	"fmt"
	"slices"

	"plumspindle/internal/settings"
	"plumspindle/scheduler"
)

// memoryFieldName is the name of the value in a load report that holds the used share of the memory.
const memoryFieldName = "x0"

// handleEvent handles an event of one instance.
func (a *adapter) handleEvent(id uint32, event record, tail []byte) error {
	if event.code() == eventAttach {
		return a.attach(id, event, tail)
	}
	in := a.instances[id]
	if in == nil {
		return fmt.Errorf("%w %d", ErrUnknownInstance, id)
	}
	switch event.code() {
	case eventListUpdate:
		return a.updateEndpoints(in, event)
	case eventRequest:
		in.RequestArrived(a.now, decodeArrival(event))
	case eventAttemptStarted:
		request := scheduler.RequestID(event.uint64(startedRequest))
		in.AttemptStarted(a.now, request, scheduler.AttemptNumber(event.uint16(startedAttempt)))
	case eventAttemptEnded:
		return in.attemptEnded(event)
	case eventDisconnect:
		in.ClientDisconnected(a.now, scheduler.RequestID(event.uint64(disconnectRequest)))
	case eventTimer:
		in.TimerFired(a.now, scheduler.TimerID(event.uint64(timerID)))
	case eventProbeResult: // the scheduler requests no health checks
		_, err := event.outcome(probeOutcome)
		return err
	case eventPeerMessage, eventReservation: // the scheduler does not use them
	case eventDetach:
		delete(a.instances, id)
	default:
		return ErrUnknownCode
	}
	return nil
}

// attach starts an instance, which replaces any instance with the same id.
func (a *adapter) attach(id uint32, event record, tail []byte) error {
	text, err := event.tail(attachSettings, tail, 1)
	if err != nil {
		return err
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		return err
	}
	in := &instance{
		adapter:          a,
		id:               id,
		memoryValueIndex: slices.Index(parsed.LoadReportFields, memoryFieldName),
		sizesListed:      parsed.SizesListed,
	}
	a.instances[id] = in
	in.Scheduler = scheduler.New(a.now, int64(event.uint64(attachSeed)), parsed.Scheduler, in)
	return nil
}

// decodeArrival decodes an eventRequest.
func decodeArrival(event record) scheduler.Arrival {
	return scheduler.Arrival{
		ID:              scheduler.RequestID(event.uint64(requestID)),
		Session:         scheduler.SessionID(event.uint64(requestSession)),
		Prefix:          scheduler.PrefixID(event.uint64(requestPrefix)),
		Class:           scheduler.ClassID(event.byte(requestClass)),
		Tenant:          scheduler.TenantID(event.uint16(requestTenant)),
		PromptTokens:    event.float(requestPromptTokens),
		PrefixTokens:    event.float(requestPrefixTokens),
		MaxOutputTokens: event.float(requestMaxOutputTokens),
		DecodeTime:      settings.MicrosFromNanos(event.uint64(requestDecodeTime)),
		Deadline:        settings.MicrosFromNanos(event.uint64(requestDeadline)),
	}
}

// attemptEnded handles an eventAttemptEnded.
func (in *instance) attemptEnded(event record) error {
	outcome, err := event.outcome(endedOutcome)
	if err != nil {
		return err
	}
	request := scheduler.RequestID(event.uint64(endedRequest))
	attempt := scheduler.AttemptNumber(event.uint16(endedAttempt))
	detail := event.uint32(endedDetail)
	in.AttemptEnded(in.adapter.now, request, attempt, scheduler.AttemptResult{
		Outcome:       outcome,
		CachedTokens:  int(detail),
		StateMissing:  detail == detailStateMissing,
		RequestClosed: event.byte(endedClosed) != 0,
		MemoryUsage:   in.memoryUsage(event[endedLoadReport:]),
	})
	return nil
}

// memoryUsage returns the used share of the memory from a load report, or scheduler.NoLoadReport if the report does not
// have that value.
func (in *instance) memoryUsage(report record) float64 {
	values := min(int(report.byte(0)), maxLoadReportValues)
	if in.memoryValueIndex < 0 || in.memoryValueIndex >= values {
		return scheduler.NoLoadReport
	}
	return report.float(1 + loadReportValueSize*in.memoryValueIndex)
}
