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
	tokensPerBlock      = 16 // of a state
	fetchConnectTimeout = 500 * eventloop.Millisecond

	transferFormat = `{"do_remote_decode":false,"do_remote_prefill":true,"remote_engine_id":"%d",` +
		`"remote_block_ids":[%d],"remote_request_id":%q,"remote_addr":%q,"tokens":%d}`
	prefilledFormat = `{"id":%q,"object":"chat.completion","created":0,"model":%q,"choices":[{"index":0,` +
		`"message":{"role":"assistant","content":""},"finish_reason":"length"}],"usage":{"prompt_tokens":%d,` +
		`"completion_tokens":1,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}},"kv_transfer_params":%s}`
)

// pinnedState is what a prefill left. It takes memory until a decode endpoint fetches it, it is released or its lease
// expires.
type pinnedState struct {
	tokens        int
	lease         eventloop.Timer
	attempt       *endpointAttempt
	transfers     int  // to endpoints that fetch it, under way
	releaseWanted bool // once no transfer is under way
}

// finishPrefill ends a prefill: its state is pinned.
func (e *Endpoint) finishPrefill(attempt *endpointAttempt) {
	if i := slices.Index(e.running, attempt); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if attempt.abandoned || e.releasedEarly[attempt.id] {
		e.usedMemory -= attempt.memoryNeeded()
		e.fleet.record(e, record.AttemptLeft, attempt)
		return
	}
	e.fleet.record(e, record.StatePinned, attempt)
	state := &pinnedState{tokens: attempt.promptTokens, attempt: attempt}
	leaseTime := eventloop.Micros(e.fleet.deployment.Fleet.LeaseMs) * eventloop.Millisecond
	state.lease = e.fleet.loop.AfterFunc(leaseTime, func() { e.release(attempt.id, record.StateLeaseExpired) })
	e.states[attempt.id] = state
	transfer := fmt.Sprintf(transferFormat, e.ID, attempt.promptTokens/tokensPerBlock, attempt.id, e.Addr,
		attempt.promptTokens)
	attempt.conn.answer(http.StatusOK, fmt.Appendf(nil, prefilledFormat,
		attempt.id, attempt.product, attempt.promptTokens, attempt.promptTokens+1, attempt.cachedTokens, transfer))
}

// release drops an attempt's state, whatever the reason; it returns false where there is none.
func (e *Endpoint) release(attemptID string, reason record.EventType) bool {
	state := e.states[attemptID]
	if state == nil {
		return false
	}
	state.lease.Stop()
	delete(e.states, attemptID)
	e.usedMemory -= state.attempt.memoryNeeded()
	e.fleet.record(e, reason, state.attempt)
	e.wake()
	return true
}

// requestRelease releases an attempt's state as a dispatcher asks for it. One that is being transferred is in use: it
// is released once that has ended, if it has not been fetched then.
func (e *Endpoint) requestRelease(attemptID string) {
	state := e.states[attemptID]
	switch {
	case state == nil:
		e.releasedEarly[attemptID] = true
	case state.transfers > 0:
		state.releaseWanted = true
	default:
		e.release(attemptID, record.StateReleased)
	}
}

// transferEnded takes the end of a transfer that did not fetch the state.
func (e *Endpoint) transferEnded(attemptID string, state *pinnedState) {
	if state.transfers--; state.transfers == 0 && state.releaseWanted && e.states[attemptID] == state {
		e.release(attemptID, record.StateReleased)
	}
}

// serveState sends a state to another endpoint, over this endpoint's port and, to another cell, over the one link of
// this cell.
func (e *Endpoint) serveState(conn *endpointConn, attemptID string, cell uint16) {
	state := e.states[attemptID]
	if state == nil {
		conn.fail(http.StatusNotFound, errorStateLost)
		return
	}
	fleet := e.fleet
	freeAt, rate := &e.portFreeAt, fleet.deployment.Fleet.CellTokensPerS
	if cell != e.Cell {
		freeAt, rate = fleet.linkFreeAt[e.Cell], fleet.deployment.Fleet.LinkTokensPerS
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
			e.transferEnded(attemptID, state)
			return
		}
		if e.release(attemptID, record.StateFetched) {
			conn.answer(http.StatusOK, []byte(`{"tokens":`+strconv.Itoa(state.tokens)+`}`))
		} else {
			conn.fail(http.StatusNotFound, errorStateLost)
		}
	})
}

// stateFetch is the connection on which an endpoint fetches the state of a prefill.
type stateFetch struct {
	endpoint *Endpoint
	attempt  *endpointAttempt
	conn     eventloop.Conn
	parser   http1.Parser
	status   int
	done     bool
}

// fetchState fetches the state that an attempt decodes from.
func (e *Endpoint) fetchState(attempt *endpointAttempt) {
	attempt.fetching = true
	fetch := &stateFetch{endpoint: e, attempt: attempt, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}}
	fetch.conn = e.fleet.loop.Dial(attempt.fetchFrom, fetchConnectTimeout, fetch)
}

// Opened sends the request.
func (f *stateFetch) Opened() {
	f.conn.Write(http1.AppendRequest(nil, http1.Request{
		Method: http.MethodGet, Target: statePath + f.attempt.fetchAttempt, Host: f.attempt.fetchFrom,
	}, "x-zone", f.endpoint.Zone, "x-cell", strconv.Itoa(int(f.endpoint.Cell))))
}

// Drained is not needed: the request is written at once.
func (f *stateFetch) Drained() {}

// Data parses the answer.
func (f *stateFetch) Data(data []byte) {
	if f.parser.Feed(data, f) != nil {
		f.conn.Abort()
	}
}

// Head takes the status.
func (f *stateFetch) Head(head *http1.Head) error { f.status = head.Status; return nil }

// Body drops the answer's body.
func (f *stateFetch) Body([]byte) error { return nil }

// End ends the fetch.
func (f *stateFetch) End() error { f.finish(); f.conn.Close(); return nil }

// Closed ends a fetch that was not answered.
func (f *stateFetch) Closed(error) { f.finish() }

// finish lets the attempt decode, or fails it where the state was not there.
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
		endpoint.finish(attempt)
		attempt.conn.fail(http.StatusConflict, errorStateLost)
		return
	}
	if !endpoint.frozen && !endpoint.hung {
		endpoint.emitToken(attempt) // the first token comes with the state
	}
	endpoint.wake()
}
