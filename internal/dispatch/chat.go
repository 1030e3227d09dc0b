package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"

	"plumspindle/internal/chat"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
	"plumspindle/internal/idempotency"
	"plumspindle/internal/lifecycle"
	"plumspindle/scheduler"
)

// Header fields of a request that the dispatcher reads.
const (
	timeLimitField = "x-time-limit-ms" // the client's time limit, if it is shorter than the product's
	// heartbeatField is the interval of the comments that are sent on a stream before its first event. A rejection after a
	// comment can't have the status 429, because the head with the status 200 was sent before the comment.
	heartbeatField       = "x-heartbeat-ms"
	idempotencyKeyField  = "Idempotency-Key"
	clientRequestIDField = "x-client-request-id"
)

const (
	minTimeLimitMs         = 1
	minHeartbeatMs         = 250
	maxIdempotencyKeyBytes = 255
)

// responseIDBytes is the length of the digest in a response's id.
const responseIDBytes = 14

// chatOptions are the options from the header of a chat request.
type chatOptions struct {
	deadline  eventloop.Micros
	heartbeat eventloop.Micros // interval of the heartbeats; 0: none
}

// handleChat handles a request for a chat completion. A returned problem is the answer. Without a problem, the answer
// follows later on the response, unless handleChat has already rejected or answered the request there.
func (d *Dispatcher) handleChat(
	chatRequest *chat.Request, identity frontend.Identity, head *http1.Head, response *frontend.Response,
) *frontend.Problem {
	class, problem := d.classFor(chatRequest.Model, pb.Product_CHAT)
	if problem != nil {
		return problem
	}
	product := d.Deployment.Products[class]
	options, problem := readChatOptions(head, product, response.ReceivedAt())
	if problem != nil {
		return problem
	}
	if len(d.requests) >= int(d.Deployment.Doors.OpenMost) {
		d.Shed++
		response.Reject(0)
		return nil
	}
	if chatRequest.MaxTokens == 0 {
		chatRequest.MaxTokens = int(product.MostTokens)
	}
	r := &request{
		id:              d.lastRequestID + 1,
		class:           class,
		chat:            chatRequest,
		clientRequestID: head.Get(clientRequestIDField),
		arrivedAt:       d.loop.Now(),
		deadline:        options.deadline,
	}
	r.responseID = d.responseID(r.id)
	if key := head.Get(idempotencyKeyField); key != "" && product.Effect != pb.Product_IDEMPOTENT {
		if answered, problem := d.answerRepeat(r, identity.Namespace, key, response); answered || problem != nil {
			return problem
		}
	}
	admitted, problem := d.admit(r, identity, response)
	if r.ticket == nil {
		if r.keyEntry != nil {
			d.idempotencyCache.End(d.loop.Now(), r.keyEntry, idempotency.Outcome{})
		}
		return problem
	}
	d.acceptChat(r, response, options.heartbeat)
	if admitted {
		r.State = lifecycle.Pending
		d.notifyArrived(r)
	} else {
		d.queue(r)
	}
	return nil
}

// classFor returns the class of the product with the given name. It returns a problem if there is no such product, or
// if the API of the given form does not serve the product.
func (d *Dispatcher) classFor(model string, form pb.Product_Form) (scheduler.ClassID, *frontend.Problem) {
	class, known := d.classes[model]
	if !known {
		return 0, frontend.ModelNotFound(model)
	}
	if d.Deployment.Products[class].Form != form {
		return 0, frontend.Invalid("model", "unsupported_value", "The model '%.60s' is not served by this API.", model)
	}
	return class, nil
}

func readChatOptions(
	head *http1.Head, product *pb.Product, receivedAt eventloop.Micros,
) (chatOptions, *frontend.Problem) {
	limit, problem := readMilliseconds(head, timeLimitField, minTimeLimitMs)
	if problem != nil {
		return chatOptions{}, problem
	}
	heartbeat, problem := readMilliseconds(head, heartbeatField, minHeartbeatMs)
	if problem != nil {
		return chatOptions{}, problem
	}
	timeout := milliseconds(product.TimeLimitMs)
	if limit > 0 {
		timeout = min(timeout, limit)
	}
	return chatOptions{deadline: receivedAt + timeout, heartbeat: heartbeat}, nil
}

// readMilliseconds reads a header field with a number of milliseconds. It returns 0 if there is no such field.
func readMilliseconds(head *http1.Head, field string, minimum uint64) (eventloop.Micros, *frontend.Problem) {
	text := head.Get(field)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms < minimum {
		return 0, frontend.Invalid(field, "invalid_value",
			"The field %s must be a number of milliseconds, %d at least.", field, minimum)
	}
	return eventloop.Micros(ms) * eventloop.Millisecond, nil
}

// acceptChat adds a request to the open requests. From then on, its response gets exactly one final answer.
func (d *Dispatcher) acceptChat(r *request, response *frontend.Response, heartbeat eventloop.Micros) {
	d.lastRequestID++
	d.Accepted++
	d.requests[r.id] = r
	if r.keyEntry != nil {
		d.runningByKey[r.keyEntry] = r
	}
	d.addResponse(r, response)
	if heartbeat > 0 && r.chat.Stream {
		d.scheduleHeartbeat(r, response, heartbeat)
	}
}

// addResponse adds a response that the request's answer is sent to.
func (d *Dispatcher) addResponse(r *request, response *frontend.Response) {
	response.SetFormat(&chat.Answer{
		ID:      r.responseID,
		Model:   r.chat.Model,
		Created: int64(d.loop.Now() / eventloop.Second),
		Request: r.chat,
	})
	r.responses = append(r.responses, response)
	response.OnDisconnect = func() {
		d.loop.Defer(func() { d.clientDisconnected(r, response) }) // the scheduler must not be called within its own call
	}
	response.OnDrained = func() { d.fire(r, lifecycle.ClientCaughtUp) }
}

// scheduleHeartbeat sends comments on a stream until its first event, so that intermediaries don't time out the
// connection.
func (d *Dispatcher) scheduleHeartbeat(r *request, response *frontend.Response, interval eventloop.Micros) {
	r.heartbeatTimer = d.loop.AfterFunc(interval, func() {
		if response.Heartbeat() {
			d.scheduleHeartbeat(r, response, interval)
		}
	})
}

// responseID returns the id of an answer. It is a digest, which reveals neither the number of requests nor their
// clients.
func (d *Dispatcher) responseID(id scheduler.RequestID) string {
	unique := []byte(d.config.Name)
	unique = binary.LittleEndian.AppendUint64(unique, uint64(d.config.Seed))
	unique = binary.LittleEndian.AppendUint64(unique, uint64(id))
	digest := sha256.Sum256(unique)
	return "chatcmpl-" + hex.EncodeToString(digest[:responseIDBytes])
}

// clientDisconnected removes a client from the clients that wait for a request's answer. If no client is left, the
// request is cancelled, unless the request has an idempotency key and may be running. Such a request goes on, because
// it must not run a second time, and a client that repeats it gets the answer of this run.
func (d *Dispatcher) clientDisconnected(r *request, response *frontend.Response) {
	i := slices.Index(r.responses, response)
	if i < 0 {
		return
	}
	r.responses = slices.Delete(r.responses, i, i+1)
	d.Disconnected++
	mayRun := r.State == lifecycle.Decoding || r.State == lifecycle.Streaming
	if len(r.responses) == 0 && !(r.keyEntry != nil && mayRun) {
		d.fire(r, lifecycle.ClientDisconnected)
		return
	}
	d.fire(r, lifecycle.ClientCaughtUp) // the client that left may have been the lagging one
	if len(r.responses) == 0 && r.orphanedBytes == 0 {
		r.orphanedBytes = len(r.chat.Passthrough) // no connection counts the body any more, but it is still in memory
		d.frontend.BufferedBytes += r.orphanedBytes
	}
}
