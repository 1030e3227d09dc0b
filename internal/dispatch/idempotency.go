package dispatch

import (
	"crypto/sha256"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/idempotency"
)

// answerRepeat looks up a request's idempotency key, and answers the request if the key was used before or can't be
// remembered. A returned problem is an answer that the caller has to send. If the request was not answered and there
// is no problem, the caller has to run the request.
func (d *Dispatcher) answerRepeat(
	r *request, namespace, key string, response *frontend.Response,
) (answered bool, problem *frontend.Problem) {
	if len(key) > maxIdempotencyKeyBytes {
		return false, idempotencyKeyTooLong()
	}
	keyDigest := sha256.Sum256([]byte(namespace + "\x00" + r.chat.Model + "\x00" + key))
	decision, entry := d.idempotencyCache.Begin(d.loop.Now(), idempotency.Key(keyDigest[:16]), requestDigest(r))
	if decision != idempotency.New && decision != idempotency.Full {
		d.Repeats++
	}
	switch decision {
	case idempotency.New:
		r.keyEntry = entry
		return false, nil
	case idempotency.Full:
		d.Shed++
		response.Reject(0)
		return true, nil
	case idempotency.Join, idempotency.Replay:
		d.replay(r, entry, response)
		if decision == idempotency.Replay {
			response.Complete()
		}
		return true, nil
	case idempotency.Conflict:
		return false, idempotencyKeyReused()
	}
	return false, idempotencyKeyAlreadyRan()
}

// requestDigest returns a digest that distinguishes requests with the same key. Digests are stored, so the way to
// compute them must not change.
func requestDigest(r *request) uint64 {
	options := fmt.Sprint(r.chat.Stream, r.chat.IncludeUsage, r.chat.MaxTokens, " ")
	return xxhash.Sum64String(options + string(r.chat.Passthrough))
}

// replay sends the events that were streamed for the key so far. If the key's first request still runs, the response
// also gets the later events of that request.
func (d *Dispatcher) replay(r *request, entry *idempotency.Entry, response *frontend.Response) {
	running := d.runningByKey[entry]
	if running == nil {
		running = r // the first request has ended; r formats the replayed answer
	}
	d.addResponse(running, response)
	for _, event := range entry.Events {
		response.WriteEvent(event)
	}
}

// endIdempotencyKey reports the end of a request to the idempotency cache, and records when the key expires.
func (d *Dispatcher) endIdempotencyKey(r *request, completed bool) {
	if r.keyEntry == nil {
		return
	}
	window := d.keyWindow(r)
	d.idempotencyCache.End(d.loop.Now(), r.keyEntry, idempotency.Outcome{
		Completed:  completed,
		MayHaveRun: completed || r.mayHaveRun,
		Window:     window,
	})
	if d.runningByKey[r.keyEntry] == r {
		delete(d.runningByKey, r.keyEntry)
		d.recordKeyEnd(r.keyEntry, window)
	}
}

// keyWindow returns how long a request's key is remembered after the request's end.
func (d *Dispatcher) keyWindow(r *request) eventloop.Micros {
	if product := d.Deployment.Products[r.class]; product.Effect == pb.Product_DEDUPLICATED {
		return milliseconds(product.WindowMs)
	}
	return milliseconds(d.Deployment.Doors.RememberMs)
}

func idempotencyKeyTooLong() *frontend.Problem {
	return frontend.Invalid(idempotencyKeyField, "invalid_value",
		"The Idempotency-Key is longer than %d bytes.", maxIdempotencyKeyBytes)
}

func idempotencyKeyReused() *frontend.Problem {
	problem := frontend.Invalid(idempotencyKeyField, "idempotency_key_reused",
		"The Idempotency-Key was used for another request.")
	problem.Status = http.StatusUnprocessableEntity
	return problem
}

func idempotencyKeyAlreadyRan() *frontend.Problem {
	problem := frontend.Invalid(idempotencyKeyField, "already_ran",
		"The generation of this Idempotency-Key ran, or may have run, and is not run again; its answer is no longer here.")
	problem.Status, problem.NoRetry = http.StatusConflict, true
	return problem
}
