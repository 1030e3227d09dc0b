package modelserver

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/testbed/record"
)

const (
	tokensPerBlock      = 16 // tokens of a KV state per block
	fetchConnectTimeout = 500 * eventloop.Millisecond

	transferFormat = `{"do_remote_decode":false,"do_remote_prefill":true,"remote_engine_id":"%d",` +
		`"remote_block_ids":[%d],"remote_request_id":%q,"remote_addr":%q,"tokens":%d}`
	prefilledFormat = `{"id":%q,"object":"chat.completion","created":0,"model":%q,"choices":[{"index":0,` +
		`"message":{"role":"assistant","content":""},"finish_reason":"length"}],"usage":{"prompt_tokens":%d,` +
		`"completion_tokens":1,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}},"kv_transfer_params":%s}`
)

// pinnedState is the KV state that a prefill left. It occupies memory until a decode endpoint fetches it, a dispatcher
// releases it or its lease expires.
type pinnedState struct {
	tokens           int
	lease            eventloop.Timer
	attempt          *endpointAttempt
	transfers        int  // transfers in progress to endpoints that fetch it
	releaseRequested bool // release it once no transfer is in progress
}

// pinState finishes a prefill: it pins the KV state, starts its lease and sends the response. It frees the memory
// instead if the attempt was disconnected or its state is already released.
func (e *Endpoint) pinState(attempt *endpointAttempt) {
	if i := slices.Index(e.running, attempt); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if attempt.disconnected || e.releasedEarly[attempt.id] {
		e.usedMemory -= attempt.memoryNeeded()
		e.fleet.record(e, record.AttemptFinished, attempt)
		return
	}
	e.fleet.record(e, record.StatePinned, attempt)
	state := &pinnedState{tokens: attempt.promptTokens, attempt: attempt}
	leaseTime := eventloop.Micros(e.fleet.deployment.Fleet.LeaseMs) * eventloop.Millisecond
	state.lease = e.fleet.loop.AfterFunc(leaseTime, func() { e.release(attempt.id, record.StateLeaseExpired) })
	e.states[attempt.id] = state
	transfer := fmt.Sprintf(transferFormat, e.ID, attempt.promptTokens/tokensPerBlock, attempt.id, e.Addr,
		attempt.promptTokens)
	attempt.conn.respond(http.StatusOK, fmt.Appendf(nil, prefilledFormat,
		attempt.id, attempt.product, attempt.promptTokens, attempt.promptTokens+1, attempt.cachedTokens, transfer))
}

// release frees the KV state of an attempt and records the reason. It returns false if no such state is pinned.
func (e *Endpoint) release(attemptID string, reason record.EventType) bool {
	state := e.states[attemptID]
	if state == nil {
		return false
	}
	state.lease.Stop()
	delete(e.states, attemptID)
	e.usedMemory -= state.attempt.memoryNeeded()
	e.fleet.record(e, reason, state.attempt)
	e.startStep()
	return true
}

// requestRelease handles a dispatcher's request to release the KV state of an attempt. A state that is being
// transferred is in use, so it is released only once all its transfers have ended. If a transfer completes, the
// endpoint frees the state as fetched, and no release follows. If the state is not pinned yet, the endpoint remembers
// the release and doesn't pin the state when the prefill ends.
func (e *Endpoint) requestRelease(attemptID string) {
	state := e.states[attemptID]
	switch {
	case state == nil:
		e.releasedEarly[attemptID] = true
	case state.transfers > 0:
		state.releaseRequested = true
	default:
		e.release(attemptID, record.StateReleased)
	}
}

// endUnfetchedTransfer ends a transfer whose receiver disconnected. After the last transfer of the state it carries out
// a pending release.
func (e *Endpoint) endUnfetchedTransfer(attemptID string, state *pinnedState) {
	if state.transfers--; state.transfers == 0 && state.releaseRequested && e.states[attemptID] == state {
		e.release(attemptID, record.StateReleased)
	}
}

// serveState sends a KV state to another endpoint. Transfers within the cell queue for this endpoint's port. Transfers
// to other cells queue for the one outgoing link of the cell instead.
func (e *Endpoint) serveState(conn *endpointConn, attemptID string, cell uint16) {
	state := e.states[attemptID]
	if state == nil {
		conn.respondError(http.StatusNotFound, errorStateLost)
		return
	}
	fleet := e.fleet
	freeAt, rate := &e.transferPortFreeAt, fleet.deployment.Fleet.CellTokensPerS
	if cell != e.Cell {
		freeAt, rate = fleet.cellLinkFreeAt[e.Cell], fleet.deployment.Fleet.LinkTokensPerS
		if conn.zone != e.Zone {
			rate /= fleet.deployment.Fleet.FarFactor
		}
	}
	now := fleet.loop.Now()
	*freeAt = max(*freeAt, now) + eventloop.Micros(float64(state.tokens)/rate*1e6)
	state.transfers++
	fleet.loop.AfterFunc(*freeAt-now, func() {
		if !e.alive {
			return
		}
		if conn.closed {
			e.endUnfetchedTransfer(attemptID, state)
			return
		}
		if e.release(attemptID, record.StateFetched) {
			conn.respond(http.StatusOK, []byte(`{"tokens":`+strconv.Itoa(state.tokens)+`}`))
		} else {
			conn.respondError(http.StatusNotFound, errorStateLost)
		}
	})
}

// stateFetch is the connection on which a decode endpoint fetches the KV state of a prefill.
type stateFetch struct {
	endpoint *Endpoint
	attempt  *endpointAttempt
	conn     eventloop.Conn
	parser   http1.Parser
	status   int
	done     bool
}

// fetchState starts to fetch the KV state that an attempt decodes from.
func (e *Endpoint) fetchState(attempt *endpointAttempt) {
	attempt.fetching = true
	fetch := &stateFetch{endpoint: e, attempt: attempt, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}}
	fetch.conn = e.fleet.loop.Dial(attempt.stateAddr, fetchConnectTimeout, fetch)
}

// Opened sends the request.
func (f *stateFetch) Opened() {
	f.conn.Write(http1.AppendRequest(nil, http1.Request{
		Method: http.MethodGet, Target: statePath + f.attempt.stateAttemptID, Host: f.attempt.stateAddr,
	}, "x-zone", f.endpoint.Zone, "x-cell", strconv.Itoa(int(f.endpoint.Cell))))
}

// Drained does nothing: the whole request is written in one call.
func (f *stateFetch) Drained() {}

// Data parses the response, and aborts the connection on a malformed one.
func (f *stateFetch) Data(data []byte) {
	if f.parser.Feed(data, f) != nil {
		f.conn.Abort()
	}
}

// Head stores the status.
func (f *stateFetch) Head(head *http1.Head) error { f.status = head.Status; return nil }

// Body ignores the body of the response.
func (f *stateFetch) Body([]byte) error { return nil }

// End finishes the fetch at the end of the response.
func (f *stateFetch) End() error { f.finish(); f.conn.Close(); return nil }

// Closed finishes a fetch whose connection failed or closed without a response.
func (f *stateFetch) Closed(error) { f.finish() }

// finish lets the attempt decode, or fails it if the state could not be fetched.
func (f *stateFetch) finish() {
	endpoint, attempt := f.endpoint, f.attempt
	if f.done {
		return
	}
	f.done = true
	if !slices.Contains(endpoint.running, attempt) {
		return
	}
	attempt.fetching = false
	if f.status != http.StatusOK {
		endpoint.removeAttempt(attempt)
		attempt.conn.respondError(http.StatusConflict, errorStateLost)
		return
	}
	if !endpoint.frozen && !endpoint.hung {
		endpoint.emitToken(attempt) // the first token arrives with the KV state
	}
	endpoint.startStep()
}
