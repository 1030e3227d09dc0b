// Package engine carries attempts to model hosts over HTTP/1.1, in the published manner of disaggregated serving: a
// read is a completion whose kv_transfer_params ask the host to keep its state, a write hands on those that
// the read was answered with. It maps every way in which an attempt can end onto one scheduler.Ending, here and
// nowhere else; what to do about it is the module's.
package engine

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

const statusOK = 200

// Result is how an attempt came out.
type Result struct {
	Outcome       scheduler.Outcome
	CachedTokens  int     // of the prompt, those that the endpoint had cached
	StateMissing  bool    // with NoCapacity: the decode server found no state to fetch
	MemoryUsage   float64 // share of the host's memory that is held, or scheduler.NoLoadReport
	State         string  // with PrefillDone: where the state lies, as the host put it
	ClosedLocally bool    // the connection was closed from here with the attempt on it
	// Undelivered: the attempt's last byte was not known to have reached its host when it ended.
	Undelivered    bool
	InvalidRequest bool   // the host says that what it was sent is no good: no other would do better
	Reason         string // for logs: which line of the table in docs/legs.md
}

// ForScheduler is the result in the scheduler's terms; requestClosed tells whether the client has its final answer, or has left.
func (r Result) ForScheduler(requestClosed bool) scheduler.AttemptResult {
	return scheduler.AttemptResult{
		Outcome:       r.Outcome,
		CachedTokens:  r.CachedTokens,
		StateMissing:  r.StateMissing,
		RequestClosed: requestClosed,
		MemoryUsage:   r.MemoryUsage,
	}
}

// refusals are the answers by which a host states that it has not run the attempt. Only these, said in words and with
// a status that fits, prove it; any other answer leaves doubt, and doubt counts as run.
var refusals = []struct {
	status       int
	code         string
	outcome      scheduler.Outcome
	stateMissing bool
}{
	{429, "full", scheduler.NoCapacity, false},
	{503, "draining", scheduler.NoCapacity, false},
	{409, "state_lost", scheduler.NoCapacity, true},
	{422, "invalid_input", scheduler.NotSent, false},
}

// readError reads an answer that is not a success.
func readError(status int, body []byte) Result {
	code := gjson.GetBytes(body, "error.code").String()
	for _, r := range refusals {
		if r.status == status && r.code == code && gjson.ValidBytes(body) {
			return Result{Outcome: r.outcome, StateMissing: r.stateMissing, InvalidRequest: r.status == 422, Reason: "host says " + code}
		}
	}
	return Result{Outcome: scheduler.Errored, Reason: "status " + strconv.Itoa(status)}
}

// readPrefill reads the answer to a read.
func readPrefill(body []byte) Result {
	params := gjson.GetBytes(body, "kv_transfer_params")
	if !gjson.ValidBytes(body) || !params.IsObject() {
		return Result{Outcome: scheduler.Errored, Reason: "a read without a state"}
	}
	kept := gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int()
	return Result{Outcome: scheduler.PrefillDone, CachedTokens: int(max(kept, 0)), State: params.Raw, Reason: "read"}
}

// memory finds the reported share of memory in an ORCA report (field endpoint-load-metrics), in its text or its
// JSON form.
func memory(h *http1.Head) float64 {
	report := h.Get("endpoint-load-metrics")
	if report == "" {
		return scheduler.NoLoadReport
	}
	form, rest, _ := strings.Cut(report, " ")
	var text string
	switch form {
	case "TEXT":
		for _, pair := range strings.Split(rest, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if name == "named_metrics.kv_cache_usage_perc" {
				text = value
			}
		}
	case "JSON":
		text = gjson.Get(rest, "named_metrics.kv_cache_usage_perc").Raw
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 1) {
		return scheduler.NoLoadReport
	}
	return v
}
