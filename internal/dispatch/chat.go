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

// Fields of a request's head that are the router's own.
const (
	timeLimitField       = "x-time-limit-ms" // the client gives up sooner than its product's time limit
	heartbeatField       = "x-heartbeat-ms"  // a stream begins with comments this often, and so can't be answered by a 429
	idempotencyKeyField  = "Idempotency-Key"
	clientRequestIDField = "x-client-request-id"
)

const (
	minTimeLimit            = 1   // ms
	minHeartbeat            = 250 // ms
	maxIdempotencyKeyLength = 255 // bytes
)

// responseIDBytes is how much of a digest names an answer.
const responseIDBytes = 14

// chatOptions are what a chat request's head asks for.
type chatOptions struct {
	deadline  eventloop.Micros
	heartbeat eventloop.Micros // 0: none
}

// handleChat takes a chat completion. A returned problem is the answer; otherwise the response is answered later, or
// has been rejected.
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
		if answered, problem := d.answerRepeat(r, identity.Space, key, response); answered || problem != nil {
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

// classFor finds the product of a model that one of the APIs serves.
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
	limit, problem := readMilliseconds(head, timeLimitField, minTimeLimit)
	if problem != nil {
		return chatOptions{}, problem
	}
	heartbeat, problem := readMilliseconds(head, heartbeatField, minHeartbeat)
	if problem != nil {
		return chatOptions{}, problem
	}
	timeout := milliseconds(product.TimeLimitMs)
	if limit > 0 {
		timeout = min(timeout, limit)
	}
	return chatOptions{deadline: receivedAt + timeout, heartbeat: heartbeat}, nil
}

// readMilliseconds reads a field that holds a number of milliseconds; 0 where there is none.
func readMilliseconds(head *http1.Head, field string, least uint64) (eventloop.Micros, *frontend.Problem) {
	text := head.Get(field)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms < least {
		return 0, frontend.Invalid(field, "invalid_value",
			"The field %s must be a number of milliseconds, %d at least.", field, least)
	}
	return eventloop.Micros(ms) * eventloop.Millisecond, nil
}

// acceptChat takes responsibility for a request: from here on its response gets exactly one final answer.
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

// addResponse makes a response one that the request's answer goes to.
func (d *Dispatcher) addResponse(r *request, response *frontend.Response) {
	response.SetFormat(&chat.Answer{
		ID:      r.responseID,
		Model:   r.chat.Model,
		Created: int64(d.loop.Now() / eventloop.Second),
		Request: r.chat,
	})
	r.responses = append(r.responses, response)
	response.OnDisconnect = func() {
		d.loop.Defer(func() { d.clientDisconnected(r, response) }) // never within the scheduler's own call
	}
	response.OnDrained = func() { d.fire(r, lifecycle.ClientCaughtUp) }
}

// scheduleHeartbeat sends comments on a stream that has no events yet, so that intermediaries don't time it out.
func (d *Dispatcher) scheduleHeartbeat(r *request, response *frontend.Response, interval eventloop.Micros) {
	r.heartbeatTimer = d.loop.AfterFunc(interval, func() {
		if response.Heartbeat() {
			d.scheduleHeartbeat(r, response, interval)
		}
	})
}

// responseID names an answer; it reveals neither how many there were nor whose they are.
func (d *Dispatcher) responseID(id scheduler.RequestID) string {
	unique := []byte(d.config.Name)
	unique = binary.LittleEndian.AppendUint64(unique, uint64(d.config.Seed))
	unique = binary.LittleEndian.AppendUint64(unique, uint64(id))
	digest := sha256.Sum256(unique)
	return "chatcmpl-" + hex.EncodeToString(digest[:responseIDBytes])
}

// clientDisconnected ends one client's part in a request. A request with a key that may be running goes on without a
// client, as its client can only repeat it: it must not run a second time.
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
	d.fire(r, lifecycle.ClientCaughtUp) // the client that left may have been the one that lagged
	if len(r.responses) == 0 && r.orphanedBytes == 0 {
		r.orphanedBytes = len(r.chat.Passthrough) // no connection counts its body, which is still in memory
		d.frontend.BufferedBytes += r.orphanedBytes
	}
}
