package scheduler

import "math"

const (
	runningWeight = 0.1 // weight of one observation in a running mean

	initialPrefillLatency    = 150 * ms
	initialFirstTokenLatency = 100 * ms

	assumedPrefillRate = 15000.0 // tokens a second that an endpoint is assumed to prefill, for its first second of work
	prefillRateWindow  = 40000.0 // tokens over which an endpoint's prefill rate is averaged

	meanFadeTime = 10.0 // seconds in which a decayingMean decays towards the typical value by a factor of e
	meanWeight   = 0.3  // weight of one observation in a decayingMean
)

// estimates holds running means: the latencies over this dispatcher's own attempts, and the request sizes over the
// requests that arrived here.
type estimates struct {
	prefillLatency    float64   // Micros from the send to the end of a prefill
	firstTokenLatency float64   // Micros from the send to the first token, where nothing had to be prefilled
	requestTokens     []float64 // mean size of a class's requests, prompt and expected answer
}

func newEstimates(classes int) estimates {
	return estimates{
		prefillLatency:    float64(initialPrefillLatency),
		firstTokenLatency: float64(initialFirstTokenLatency),
		requestTokens:     make([]float64, classes),
	}
}

// typicalLatency is the usual Micros of an attempt's stage, or of both stages where one endpoint does both.
func (e *estimates) typicalLatency(att *attempt) float64 {
	switch {
	case !att.decodes:
		return e.prefillLatency
	case att.prefillTokens == 0:
		return e.firstTokenLatency
	}
	return e.prefillLatency + e.firstTokenLatency
}

// largestMeanRequest is the mean size of the class with the largest requests.
func (e *estimates) largestMeanRequest() float64 {
	largest := 1.0
	for _, tokens := range e.requestTokens {
		largest = max(largest, tokens)
	}
	return largest
}

// blend moves a running mean towards a new value; the first value becomes the mean.
func blend(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += runningWeight * (value - *mean)
}

// prefillRate is the observed prefill speed of an endpoint.
type prefillRate struct {
	tokens, seconds float64
}

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

// decayingMean is a mean of recent observations that decays to the typical value: one dispatcher observes an endpoint
// or cell seldom, and its observations are soon out of date.
type decayingMean struct {
	value float64
	at    Micros // of the last observation; 0 if there is none
}

func (m decayingMean) valueAt(now Micros, typical float64) float64 {
	if m.at == 0 {
		return typical
	}
	return typical + (m.value-typical)*math.Exp(-seconds(now-m.at)/meanFadeTime)
}

func (m *decayingMean) record(now Micros, typical, observed float64) {
	m.value = m.valueAt(now, typical)
	m.value += meanWeight * (observed - m.value)
	m.at = now
}
