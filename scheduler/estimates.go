package scheduler

import "math"

const (
	runningMeanWeight = 0.1 // weight of one observation in a running mean

	initialPrefillLatency    = 150 * ms
	initialFirstTokenLatency = 100 * ms

	assumedPrefillRate = 15000.0 // assumed tokens per second; weighs as much as one second of observed prefill work
	prefillRateWindow  = 40000.0 // tokens over which an endpoint's prefill rate is averaged

	decayingMeanTime   = 10.0 // time constant of a decayingMean's decay to the typical value, in seconds
	decayingMeanWeight = 0.3  // weight of one observation in a decayingMean
)

// estimates holds running means: the latencies over this dispatcher's own attempts, and the request sizes over the
// requests that arrived here.
type estimates struct {
	prefillLatency    float64   // Micros from sending a prefill attempt to its end
	firstTokenLatency float64   // Micros from sending an attempt that has nothing to prefill to its first token
	requestTokens     []float64 // mean request size by class: tokens of the prompt and of the expected answer
}

func newEstimates(classes int) estimates {
	return estimates{
		prefillLatency:    float64(initialPrefillLatency),
		firstTokenLatency: float64(initialFirstTokenLatency),
		requestTokens:     make([]float64, classes),
	}
}

// typicalLatency returns the mean latency, in Micros, of the stages that an attempt runs: the prefill, the first token,
// or both.
func (e *estimates) typicalLatency(att *attempt) float64 {
	switch {
	case !att.decodes:
		return e.prefillLatency
	case att.prefillTokens == 0:
		return e.firstTokenLatency
	}
	return e.prefillLatency + e.firstTokenLatency
}

// largestMeanRequest returns the mean request size, in tokens, of the class with the largest mean.
func (e *estimates) largestMeanRequest() float64 {
	largest := 1.0
	for _, tokens := range e.requestTokens {
		largest = max(largest, tokens)
	}
	return largest
}

// updateRunningMean adds a value to an exponentially weighted mean. The first value becomes the mean.
func updateRunningMean(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += runningMeanWeight * (value - *mean)
}

// prefillRate is the observed prefill rate of an endpoint.
type prefillRate struct {
	tokens, seconds float64
}

// record adds an observation. Older observations lose weight once prefillRateWindow is reached.
func (r *prefillRate) record(tokens, seconds float64) {
	r.tokens += tokens
	r.seconds += seconds
	if r.tokens > prefillRateWindow {
		r.seconds *= prefillRateWindow / r.tokens
		r.tokens = prefillRateWindow
	}
}

func (r *prefillRate) tokensPerSecond() float64 {
	return (r.tokens + assumedPrefillRate) / (r.seconds + 1)
}

// decayingMean is an exponentially weighted mean of recent observations. Without observations it decays to a typical
// value, because a single dispatcher makes few observations of new connections and of the cells, and these observations
// are soon out of date.
type decayingMean struct {
	value float64
	at    Micros // time of the last observation; 0 if there is none
}

func (m decayingMean) valueAt(now Micros, typical float64) float64 {
	if m.at == 0 {
		return typical
	}
	return typical + (m.value-typical)*math.Exp(-seconds(now-m.at)/decayingMeanTime)
}

func (m *decayingMean) record(now Micros, typical, observed float64) {
	m.value = m.valueAt(now, typical)
	m.value += decayingMeanWeight * (observed - m.value)
	m.at = now
}
