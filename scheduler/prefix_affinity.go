package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	affinityLoad = 0.5 // of a prefill endpoint's even part of the traffic; a prefix gets an affinity endpoint for each

	priorRequests     = 30.0 // assumed requests that the observed ones are averaged with
	countedRequests   = 1000 // requests after which the counts are halved
	forgetCountBelow  = 0.1
	maxCachedPrefixes = 4096 // that are remembered for an endpoint
)

// prefixStats counts the prefixes of the requests that arrived here.
type prefixStats struct {
	requestCounts map[PrefixID]float64
	requests      float64
	pairs         float64 // pairs of requests with the same prefix

	// Mean share of its prefix that an affinity endpoint had cached though this dispatcher had not prefilled it there.
	cachedShare float64
}

func newPrefixStats() prefixStats {
	return prefixStats{requestCounts: map[PrefixID]float64{}, cachedShare: 1}
}

// count adds a request. The counts are halved from time to time, so that old requests count for little.
func (p *prefixStats) count(prefix PrefixID) {
	p.requests++
	p.pairs += p.requestCounts[prefix]
	p.requestCounts[prefix]++
	if p.requests <= countedRequests {
		return
	}
	p.requests /= 2
	p.pairs /= 4
	for prefix, n := range p.requestCounts {
		p.requestCounts[prefix] = n / 2
		if n < forgetCountBelow {
			delete(p.requestCounts, prefix)
		}
	}
}

// share estimates a prefix's share of the traffic. A dispatcher that has seen few requests must not overestimate it:
// dispatchers would disagree on the affinity endpoints. So the first request of a prefix does not count, and the others
// are averaged with priorRequests of which as many have the same prefix as among those seen; that prior fades for a
// prefix that would have been seen more often by now.
func (p *prefixStats) share(prefix PrefixID) float64 {
	others := max(p.requests-1, 0)
	alike := p.pairs / (p.requests*others/2 + priorRequests)
	return (max(p.requestCounts[prefix]-1, 0) + priorRequests*alike*math.Exp(-others*alike)) / (others + priorRequests)
}

// affinityEndpoints are where a prefix, or a session without one, is prefilled first: one endpoint in the
// dispatcher's own zone and one among all. The own zone's is preferred, as links between zones are slow and
// charged for. Where it is busy, the one among all is preferred to the least-loaded endpoint, which may not have the
// prefix cached.
func (s *Scheduler) affinityEndpoints(req *request, endpoints []*endpoint) [2]*endpoint {
	key := cmp.Or(uint64(req.prefix), uint64(req.session))
	req.affinity = [2]*endpoint{}
	if key == 0 || len(endpoints) == 0 {
		return req.affinity
	}
	from := s.scratch.mark()
	for _, ep := range endpoints {
		if ep.zone == s.Zone {
			s.scratch.endpoints = append(s.scratch.endpoints, ep)
		}
	}
	if near := s.scratch.endpoints[from:]; len(near) > 0 {
		req.affinity[0] = s.affinityEndpoint(req, key, near)
	}
	req.affinity[1] = s.affinityEndpoint(req, key, endpoints)
	return req.affinity
}

// affinityEndpoint is the prefix's endpoint by rendezvous hashing, the same at all dispatchers. A prefix with much of
// the traffic has several, among which sessions are hashed: dispatchers that each see few requests would learn too late
// that one endpoint can't prefill all of it.
func (s *Scheduler) affinityEndpoint(req *request, key uint64, endpoints []*endpoint) *endpoint {
	count := 1
	if req.prefix != 0 {
		count += int(s.prefixes.share(req.prefix) * float64(len(endpoints)) / affinityLoad)
	}
	byHash := func(a, b *endpoint) int {
		return cmp.Compare(mixBits(key^mixBits(uint64(b.id))), mixBits(key^mixBits(uint64(a.id))))
	}
	if count == 1 {
		return slices.MinFunc(endpoints, byHash)
	}
	slices.SortFunc(endpoints, byHash)
	key = uint64(req.session)
	return slices.MinFunc(endpoints[:min(count, len(endpoints))], byHash)
}

func (req *request) hasAffinity(ep *endpoint) bool {
	return ep == req.affinity[0] || ep == req.affinity[1]
}

// tokensToPrefill estimates the tokens of a prompt that the endpoint has not cached. An affinity endpoint also caches
// what other dispatchers send there. Without counting that it would look slower than any endpoint that prefilled the
// prefix once, and dispatchers would disagree on the affinity endpoints.
func (s *Scheduler) tokensToPrefill(ep *endpoint, req *request) float64 {
	switch {
	case ep.cachedPrefixes[req.prefix]:
		return max(req.promptTokens-req.prefixTokens, 1)
	case req.hasAffinity(ep):
		return max(req.promptTokens-req.prefixTokens*s.prefixes.cachedShare, 1)
	}
	return req.promptTokens
}

// recordPrefill updates the endpoint's prefill rate and cached prefixes. Where much less was cached than expected, the
// endpoint has evicted this prefix, and probably others.
func (s *Scheduler) recordPrefill(att *attempt, prefillTokens, cachedTokens float64) {
	ep, req := att.endpoint, att.request
	blend(&s.estimates.prefillLatency, float64(s.now-att.sentAt))
	ep.prefillRate.record(att.tokensAhead+max(req.promptTokens-cachedTokens, 1), seconds(s.now-att.sentAt))
	expected := ep.cachedPrefixes[req.prefix]
	if !expected && req.prefixTokens > 0 && req.hasAffinity(ep) {
		blend(&s.prefixes.cachedShare, min(cachedTokens/req.prefixTokens, 1))
	}
	evicted := expected && cachedTokens < (req.promptTokens-prefillTokens)/2
	if evicted || len(ep.cachedPrefixes) > maxCachedPrefixes {
		clear(ep.cachedPrefixes)
	}
	if req.prefix != 0 {
		ep.cachedPrefixes[req.prefix] = true
	}
}
