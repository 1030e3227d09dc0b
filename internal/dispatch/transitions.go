package dispatch

import (
	"bytes"
	"strconv"

	"github.com/tidwall/gjson"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// unstreamedGrace is the time before the client's deadline at which an incomplete answer without streaming is given up.
const unstreamedGrace = 20 * eventloop.Millisecond

// eventDetails are the parameters of a lifecycle event; which of them are set depends on the event.
type eventDetails struct {
	endpoint   scheduler.EndpointID
	timeout    scheduler.Micros
	retryAfter scheduler.Micros
	result     engine.Result
	data       []byte
	reason     string
}

// cancelledResult is the result of an attempt that the dispatcher closed; its endpoint is not at fault.
var cancelledResult = engine.Result{
	Outcome:     scheduler.Cancelled,
	MemoryUsage: scheduler.NoLoadReport,
	Reason:      "closed on this side",
}

func (d *Dispatcher) fire(r *request, event lifecycle.Event) { d.fireWith(r, event, eventDetails{}) }

// fireWith applies an event to a request by the table of package lifecycle, and performs the resulting actions.
func (d *Dispatcher) fireWith(r *request, event lifecycle.Event, details eventDetails) {
	for _, action := range r.Fire(event, &d.Coverage) {
		d.perform(r, action, details)
	}
}

func (d *Dispatcher) perform(r *request, action lifecycle.Action, details eventDetails) {
	switch action {
	case lifecycle.StartPrefill:
		d.startPrefill(r, details)
	case lifecycle.StartDecode:
		d.startDecode(r, details)
	case lifecycle.CloseAttempt:
		if r.attempt != nil { // nil while its intent is being recorded
			r.attempt.Cancel()
		}
	case lifecycle.ReportCancelled:
		d.reportCancelled(r)
	case lifecycle.ReleaseAttempt:
		d.releaseAttempt(r)
	case lifecycle.ReleaseState:
		d.releaseState(r)
	case lifecycle.StateFetched:
		r.forgetState()
	case lifecycle.NotifyStarted:
		d.notifyStarted(r)
	case lifecycle.NotifyEnded:
		d.notifyEnded(r, details.result)
	case lifecycle.NotifyArrived:
		if r.part != nil {
			r.part.onAdmitted(d.loop.Now())
		}
		d.notifyArrived(r)
	case lifecycle.NotifyWithdrawn:
		d.scheduler.RequestWithdrawn(d.loop.Now(), r.id)
	case lifecycle.NotifyDisconnected:
		d.scheduler.ClientDisconnected(d.loop.Now(), r.id)
	case lifecycle.ForwardEvent:
		d.forwardEvent(r, details.data)
	case lifecycle.AnswerCompleted, lifecycle.AnswerRejected, lifecycle.AnswerFailed:
		d.answer(r, action, details)
	case lifecycle.PauseAttempt:
		r.attempt.SetReadingPaused(true)
	case lifecycle.ResumeAttempt:
		r.attempt.SetReadingPaused(false)
	case lifecycle.Forget:
		d.forget(r)
	}
}

// reportCancelled reports the end of the closed attempt, once the scheduler's current call has returned.
func (d *Dispatcher) reportCancelled(r *request) {
	number := r.attempts
	d.loop.Defer(func() {
		if number == r.attempts {
			d.fireWith(r, lifecycle.AttemptFailed, eventDetails{result: cancelledResult})
		}
	})
}

func (d *Dispatcher) notifyStarted(r *request) {
	now := d.loop.Now()
	class := d.schedulerConfig.Classes[r.class]
	slo := class.SLO + scheduler.Micros(float64(class.SLOPer1000Tokens)*float64(r.chat.PromptTokens)/1000)
	d.batches.limiter.ChatStarted(now, now-r.arrivedAt, slo)
	r.attempt.MarkStarted()
	if !r.chat.Stream {
		// The client of an answer without streaming has received nothing yet, so the deadline still applies.
		r.deadlineTimer = d.loop.AfterFunc(r.deadline-unstreamedGrace-now, func() {
			d.fireWith(r, lifecycle.DeadlineExceeded,
				eventDetails{reason: "The answer was not whole within the client's time."})
		})
	}
	d.admission.RecordFirstToken(now, r.ticket, now-r.arrivedAt, slo)
	d.scheduler.AttemptStarted(now, r.id, r.attempts-1)
	d.loop.Defer(d.admitQueued)
}

func (d *Dispatcher) notifyEnded(r *request, result engine.Result) {
	if result == (engine.Result{}) {
		result = cancelledResult
	}
	d.updateStateLease(r, result)
	ended := result.ForScheduler(r.Answered())
	ended.StateReleased, r.lease.released = r.lease.released, false
	d.scheduler.AttemptEnded(d.loop.Now(), r.id, r.attempts-1, ended)
}

var usageMember = []byte(`"usage":{`)

// forwardEvent sends one event to all clients that wait for the answer, and buffers it for repeats with the request's
// idempotency key.
func (d *Dispatcher) forwardEvent(r *request, data []byte) {
	r.outputTokens++
	if bytes.Contains(data, usageMember) {
		if n := gjson.GetBytes(data, "usage.prompt_tokens").Int(); n > 0 {
			r.promptTokens = int(n)
			r.outputTokens = int(gjson.GetBytes(data, "usage.completion_tokens").Int())
		}
	}
	if r.keyEntry != nil {
		d.idempotencyCache.AddEvent(r.keyEntry, data)
	}
	lagging := false
	for _, response := range r.responses {
		lagging = response.WriteEvent(data) || lagging
	}
	if lagging {
		d.fire(r, lifecycle.ClientLagging)
	}
}

// answer sends the one final answer.
func (d *Dispatcher) answer(r *request, action lifecycle.Action, details eventDetails) {
	r.finalAction = action
	if r.part != nil {
		r.part.finished(r, action, details.retryAfter)
		return
	}
	switch action {
	case lifecycle.AnswerCompleted:
		d.Completed++
		d.logAnswer(r, "completed", details.reason)
		d.respond(r, func(response *frontend.Response) { response.Complete() })
	case lifecycle.AnswerRejected:
		d.Rejected++
		d.logAnswer(r, "rejected", details.reason)
		d.respond(r, func(response *frontend.Response) { response.Reject(details.retryAfter) })
	default:
		d.Failed++
		reason, retryable := d.failure(r, details)
		d.logAnswer(r, "failed", reason)
		d.respond(r, func(response *frontend.Response) { response.Fail(retryable, reason) })
	}
}

// failure returns the reason that the client of a failed request is told, and whether the client may retry.
func (d *Dispatcher) failure(r *request, details eventDetails) (reason string, retryable bool) {
	reason = details.reason
	if r.outputTokens > 0 && details.result.Reason != "" {
		reason = "The stream broke after " + strconv.Itoa(r.outputTokens) + " tokens."
	}
	retryable = d.Deployment.Products[r.class].Effect == pb.Product_IDEMPOTENT
	if !retryable {
		reason += " It may have run and must not be repeated by itself."
	}
	return reason, retryable
}

// respond sends the final answer to all clients that wait for it, and reports the end to the idempotency cache.
func (d *Dispatcher) respond(r *request, send func(*frontend.Response)) {
	for _, response := range r.responses {
		send(response)
	}
	r.responses = nil
	d.endIdempotencyKey(r, r.finalAction == lifecycle.AnswerCompleted)
}

func (d *Dispatcher) logAnswer(r *request, outcome, reason string) {
	d.config.Log.Debug().
		Uint64("request_id", uint64(r.id)).
		Str("client_request_id", r.clientRequestID).
		Str("class", r.chat.Model).
		Str("outcome", outcome).
		Int("attempts", int(r.attempts)).
		Str("reason", reason).
		Msg("request answered")
}
