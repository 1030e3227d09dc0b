package dispatch

import (
	"plumspindle/internal/batch"
	"plumspindle/internal/engine"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// attemptSpec describes one attempt for the engine.
type attemptSpec struct {
	number    scheduler.AttemptNumber
	target    engine.Target
	callbacks engine.Callbacks
}

// newAttempt adds an attempt to the request, as its last one, and returns the attempt's specification.
func (d *Dispatcher) newAttempt(r *request, details eventDetails) attemptSpec {
	number := r.attempts
	r.attempts++
	d.Attempts++
	r.endpoint = details.endpoint
	return attemptSpec{
		number: number,
		target: engine.Target{
			Endpoint:  details.endpoint,
			RequestID: d.engine.AttemptRequestID(r.id, number),
			ClientID:  r.clientRequestID,
			Timeout:   details.timeout,
		},
		callbacks: engine.Callbacks{
			Event: func(data []byte) {
				if r.isCurrent(number) {
					d.Events++
					d.fireWith(r, lifecycle.EventReceived, eventDetails{data: data})
				}
			},
			Ended: func(result engine.Result) {
				if r.isCurrent(number) {
					d.attemptEnded(r, result)
				}
			},
		},
	}
}

func (d *Dispatcher) startPrefill(r *request, details eventDetails) {
	spec := d.newAttempt(r, details)
	if r.part != nil {
		r.part.startAttempt(r, spec)
		return
	}
	r.stateLocations = append(r.stateLocations, stateLocation{spec.target.Endpoint, spec.target.RequestID})
	d.recordIntentEarly(r)
	r.attempt = d.engine.Prefill(spec.target, r.chat, spec.callbacks)
}

// startDecode starts a decode attempt. If the product requires an intent, the attempt is sent once the intent is
// recorded.
func (d *Dispatcher) startDecode(r *request, details eventDetails) {
	spec := d.newAttempt(r, details)
	if r.part != nil {
		r.part.startAttempt(r, spec)
		return
	}
	r.mayHaveRunBefore = r.mayHaveRun
	r.mayHaveRun = true
	r.attempt = nil
	d.awaitIntent(r, func(recorded bool) { d.sendDecode(r, spec, recorded) })
}

// awaitsDecode reports whether a decode attempt that was not sent yet still has to be sent. The attempt may have been
// cancelled, or the request answered, while the intent was being recorded.
func (r *request) awaitsDecode(number scheduler.AttemptNumber) bool {
	return r.isCurrent(number) && r.State == lifecycle.Decoding
}

func (d *Dispatcher) sendDecode(r *request, spec attemptSpec, recorded bool) {
	if !r.awaitsDecode(spec.number) {
		return
	}
	entry, known := d.endpoints[spec.target.Endpoint]
	// Without a durable intent, the request could run twice after a restart. An endpoint that is draining must not get
	// new attempts.
	if !recorded || !known || entry.State() != scheduler.Ready {
		d.loop.Defer(func() { // the scheduler must not be called back within its own call
			if r.awaitsDecode(spec.number) {
				d.attemptEnded(r, engine.Result{
					Outcome:     scheduler.NotSent,
					MemoryUsage: scheduler.NoLoadReport,
					Reason:      "not sent: its intent is not recorded, or the endpoint is draining",
				})
			}
		})
		return
	}
	r.attempt = d.engine.Decode(spec.target, engine.DecodeRequest{
		Chat:      r.chat,
		KVParams:  r.kvState,
		MaxTokens: r.chat.MaxTokens,
	}, spec.callbacks)
}

// attemptEnded handles the end of a request's last attempt.
func (d *Dispatcher) attemptEnded(r *request, result engine.Result) {
	event := r.endEvent(result)
	if r.part != nil && r.part.recordAttemptEnd(result) {
		// A retry at another endpoint would not help, so the request is withdrawn. The batch call handles the failure.
		d.fire(r, lifecycle.ClientDisconnected)
	}
	if result.Outcome != scheduler.Completed && result.Outcome != scheduler.PrefillDone {
		d.config.Log.Debug().
			Uint64("request_id", uint64(r.id)).
			Int("attempt", int(r.attempts)-1).
			Uint32("endpoint", uint32(r.endpoint)).
			Int("outcome", int(result.Outcome)).
			Str("reason", result.Reason).
			Msg("attempt ended")
	}
	d.fireWith(r, event, eventDetails{result: result})
	if len(r.responses) == 0 && r.part == nil && (r.State == lifecycle.Pending || r.State == lifecycle.Prefilling) {
		// The client disconnected during a decode that did not run, so the request need not go on.
		d.fire(r, lifecycle.ClientDisconnected)
	}
}

// endEvent returns the lifecycle event for the end of an attempt. It also updates the fields of the request that say
// where its prefill state is and whether a decode attempt may have run.
func (r *request) endEvent(result engine.Result) lifecycle.Event {
	switch result.Outcome {
	case scheduler.PrefillDone:
		r.kvState = result.KVParams
		if r.part != nil {
			return lifecycle.PrefillOnlyCompleted
		}
		return lifecycle.PrefillCompleted
	case scheduler.Completed:
		return lifecycle.DecodeCompleted
	case scheduler.NoCapacity, scheduler.Unreachable, scheduler.NotSent:
		if r.State == lifecycle.Prefilling {
			r.dropLastStateLocation()
		}
		if r.State == lifecycle.Decoding {
			r.mayHaveRun = r.mayHaveRunBefore
		}
		return lifecycle.AttemptRejected
	}
	return lifecycle.AttemptFailed
}

// recordAttemptEnd records the end of a part's attempt, and reports whether the part has failed for good.
func (p *batchPart) recordAttemptEnd(result engine.Result) bool {
	if result.Outcome == scheduler.Errored || result.Outcome == scheduler.ConnectionLost {
		p.failures++
	}
	p.invalid = p.invalid || result.InvalidRequest
	return p.invalid || p.failures == batch.MaxEndpointsPerSend
}

// releaseAttempt releases the state that the last prefill attempt may have left at its endpoint. A cancelled prefill
// may have completed nevertheless, and its response with the location of the state is lost.
func (d *Dispatcher) releaseAttempt(r *request) {
	n := len(r.stateLocations)
	if n == 0 {
		return
	}
	last := r.stateLocations[n-1]
	if last.attempt == d.engine.AttemptRequestID(r.id, r.attempts-1) {
		d.engine.Release(last.endpoint, []string{last.attempt})
		r.dropLastStateLocation()
	}
}

// releaseState releases all prefill state of a request at its endpoints.
func (d *Dispatcher) releaseState(r *request) {
	for _, location := range r.stateLocations {
		d.engine.Release(location.endpoint, []string{location.attempt})
	}
	r.forgetState()
}
