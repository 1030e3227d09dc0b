package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/http1"
	"plumspindle/internal/jsonsyntax"
	"plumspindle/scheduler"
)

// Result is the result of an attempt.
type Result struct {
	Outcome        scheduler.Outcome
	CachedTokens   int     // prompt tokens whose KV state the endpoint had cached
	StateMissing   bool    // with NoCapacity: the decode endpoint found no KV state to fetch
	MemoryUsage    float64 // fraction of the endpoint's KV memory in use, from 0 to 1, or scheduler.NoLoadReport
	KVParams       string  // with PrefillDone: the response's kv_transfer_params as JSON, which locate the KV state
	ClosedLocally  bool    // the engine reset the connection during the attempt
	InvalidRequest bool    // the endpoint rejected the request as invalid; every other endpoint would reject it too
	Reason         string  // for logs
}

// ForScheduler converts the result for the scheduler; requestClosed tells whether the client has received its final
// answer or has disconnected.
func (r Result) ForScheduler(requestClosed bool) scheduler.AttemptResult {
	return scheduler.AttemptResult{
		Outcome:       r.Outcome,
		CachedTokens:  r.CachedTokens,
		StateMissing:  r.StateMissing,
		RequestClosed: requestClosed,
		MemoryUsage:   r.MemoryUsage,
	}
}

// rejections are the responses that prove that an endpoint has not run an attempt. Both status and error code must
// match. After any other response the attempt may have run.
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

// readError returns the result of a response whose status is not 200.
func readError(status int, body []byte) Result {
	code := gjson.GetBytes(body, "error.code").String()
	for _, rejection := range rejections {
		if rejection.status == status && rejection.code == code && jsonsyntax.Valid(body) {
			result := rejection.result
			result.Reason = "endpoint rejected the request: " + code
			return result
		}
	}
	return Result{Outcome: scheduler.Errored, Reason: "status " + strconv.Itoa(status)}
}

// readPrefill returns the result of a prefill's response with status 200.
func readPrefill(body []byte) Result {
	state := gjson.GetBytes(body, "kv_transfer_params")
	if !jsonsyntax.Valid(body) || !state.IsObject() {
		return Result{Outcome: scheduler.Errored, Reason: "prefill response has no kv_transfer_params"}
	}
	cached := gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int()
	return Result{
		Outcome:      scheduler.PrefillDone,
		CachedTokens: int(max(cached, 0)),
		KVParams:     state.Raw,
		Reason:       "prefilled",
	}
}

// Header and metric names of ORCA load reports.
const (
	loadReportField   = "endpoint-load-metrics"
	memoryUsageMetric = "named_metrics.kv_cache_usage_perc"
)

// memoryUsage returns the fraction of KV memory in use from the ORCA load report in a response's head, in text or JSON
// format. It returns scheduler.NoLoadReport if there is no valid report.
func memoryUsage(head *http1.Head) float64 {
	report := head.Get(loadReportField)
	if report == "" {
		return scheduler.NoLoadReport
	}
	format, metrics, _ := strings.Cut(report, " ")
	var text string
	switch format {
	case "TEXT":
		text = findMetric(metrics, memoryUsageMetric)
	case "JSON":
		text = gjson.Get(metrics, memoryUsageMetric).Raw
	}
	usage, err := strconv.ParseFloat(text, 64)
	if err != nil || !(usage >= 0 && usage <= 1) { // NaN fails both comparisons
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
