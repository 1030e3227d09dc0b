package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/http1"
	"plumspindle/scheduler"
)

// Result is how an attempt came out.
type Result struct {
	Outcome        scheduler.Outcome
	CachedTokens   int     // of the prompt, those that the endpoint had cached
	StateMissing   bool    // with NoCapacity: the decode endpoint found no KV state to fetch
	MemoryUsage    float64 // share of the endpoint's KV memory in use, from 0 to 1, or scheduler.NoLoadReport
	State          string  // with PrefillDone: where the KV state lies, as the endpoint's kv_transfer_params say
	ClosedLocally  bool    // the connection was reset by this side with the attempt on it
	InvalidRequest bool    // the endpoint has declared the request invalid, as any other would
	Reason         string  // for logs
}

// ForScheduler returns the result in the scheduler's terms; requestClosed says whether the client has its final answer
// or has disconnected.
func (r Result) ForScheduler(requestClosed bool) scheduler.AttemptResult {
	return scheduler.AttemptResult{
		Outcome:       r.Outcome,
		CachedTokens:  r.CachedTokens,
		StateMissing:  r.StateMissing,
		RequestClosed: requestClosed,
		MemoryUsage:   r.MemoryUsage,
	}
}

// rejections are the responses by which an endpoint states that it has not run an attempt. Only these prove it, by both
// status and code; with any other response the attempt counts as run.
var rejections = []struct {
	status int
	code   string
	result Result
}{
	{http.StatusTooManyRequests, "full", Result{Outcome: scheduler.NoCapacity}},
	{http.StatusServiceUnavailable, "draining", Result{Outcome: scheduler.NoCapacity}},
	{http.StatusConflict, "state_lost", Result{Outcome: scheduler.NoCapacity, StateMissing: true}},
	{http.StatusUnprocessableEntity, "invalid_input", Result{Outcome: scheduler.NotSent, InvalidRequest: true}},
}

// readError reads a response whose status is not 200.
func readError(status int, body []byte) Result {
	code := gjson.GetBytes(body, "error.code").String()
	for _, rejection := range rejections {
		if rejection.status == status && rejection.code == code && gjson.ValidBytes(body) {
			result := rejection.result
			result.Reason = "endpoint answered " + code
			return result
		}
	}
	return Result{Outcome: scheduler.Errored, Reason: "status " + strconv.Itoa(status)}
}

// readPrefill reads the response to a prefill.
func readPrefill(body []byte) Result {
	state := gjson.GetBytes(body, "kv_transfer_params")
	if !gjson.ValidBytes(body) || !state.IsObject() {
		return Result{Outcome: scheduler.Errored, Reason: "prefill without kv_transfer_params"}
	}
	cached := gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int()
	return Result{
		Outcome:      scheduler.PrefillDone,
		CachedTokens: int(max(cached, 0)),
		State:        state.Raw,
		Reason:       "prefilled",
	}
}

// Names in ORCA load reports.
const (
	loadReportField   = "endpoint-load-metrics"
	memoryUsageMetric = "named_metrics.kv_cache_usage_perc"
)

// memoryUsage returns the share of KV memory in use that an ORCA load report states, in its text or its JSON form.
func memoryUsage(head *http1.Head) float64 {
	report := head.Get(loadReportField)
	if report == "" {
		return scheduler.NoLoadReport
	}
	form, metrics, _ := strings.Cut(report, " ")
	var text string
	switch form {
	case "TEXT":
		text = findMetric(metrics, memoryUsageMetric)
	case "JSON":
		text = gjson.Get(metrics, memoryUsageMetric).Raw
	}
	usage, err := strconv.ParseFloat(text, 64)
	if err != nil || !(usage >= 0 && usage <= 1) { // not a number is out of range, too
		return scheduler.NoLoadReport
	}
	return usage
}

// findMetric returns the last value of a metric in a list of name=value pairs.
func findMetric(metrics, name string) (text string) {
	for _, pair := range strings.Split(metrics, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if key == name {
			text = value
		}
	}
	return text
}
