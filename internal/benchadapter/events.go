package benchadapter

import (
	"fmt"
	"slices"

	"plumspindle/internal/settings"
	"plumspindle/scheduler"
)

// memoryReport is the value of a load report that is the share of memory taken.
const memoryReport = "x0"

// handleEvent carries out an event of one instance.
func (a *adapter) handleEvent(id uint32, event record, tail []byte) error {
	if event.code() == eventAttach {
		return a.attach(id, event, tail)
	}
	in := a.instances[id]
	if in == nil {
		return fmt.Errorf("instance %d %w", id, ErrUnknownInstance)
	}
	switch event.code() {
	case eventListUpdate:
		return a.updateEndpoints(in, event)
	case eventRequest:
		in.RequestArrived(a.now, arrival(event))
	case eventAttemptStarted:
		request := scheduler.RequestID(event.uint64(startedRequest))
		in.AttemptStarted(a.now, request, scheduler.AttemptNo(event.uint16(startedAttempt)))
	case eventAttemptEnded:
		return in.attemptEnded(event)
	case eventDisconnect:
		in.ClientDisconnected(a.now, scheduler.RequestID(event.uint64(disconnectRequest)))
	case eventTimer:
		in.TimerFired(a.now, scheduler.TimerID(event.uint64(timerID)))
	case eventProbeResult: // the scheduler requests no health checks
		_, err := event.outcome(probeOutcome)
		return err
	case eventPeerMessage, eventReservation: // the scheduler uses neither
	case eventDetach:
		delete(a.instances, id)
	default:
		return ErrUnknownCode
	}
	return nil
}

// attach starts an instance. It replaces one with the same id.
func (a *adapter) attach(id uint32, event record, tail []byte) error {
	text, err := event.tail(attachSettings, tail, 1)
	if err != nil {
		return err
	}
	parsed, err := settings.Parse(text)
	if err != nil {
		return err
	}
	in := &instance{adapter: a, id: id, memoryValue: slices.Index(parsed.LoadReportFields, memoryReport)}
	a.instances[id] = in
	in.Scheduler = scheduler.New(a.now, int64(event.uint64(attachSeed)), parsed.Scheduler, in)
	return nil
}

func arrival(event record) scheduler.Arrival {
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

func (in *instance) attemptEnded(event record) error {
	outcome, err := event.outcome(endedOutcome)
	if err != nil {
		return err
	}
	request := scheduler.RequestID(event.uint64(endedRequest))
	attempt := scheduler.AttemptNo(event.uint16(endedAttempt))
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

// memoryUsage is the share of memory taken by a load report, or scheduler.NoLoadReport if that does not have it.
func (in *instance) memoryUsage(report record) float64 {
	values := min(int(report.byte(0)), maxLoadReportValues)
	if in.memoryValue < 0 || in.memoryValue >= values {
		return scheduler.NoLoadReport
	}
	return report.float(1 + loadReportValueSize*in.memoryValue)
}
