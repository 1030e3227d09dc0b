package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// A prefix has one affinity endpoint, and one more each time that its traffic grows by affinityLoad times an even
	// share. An even share is all traffic divided by the number of prefill endpoints.
	affinityLoad = 0.5

	priorRequests      = 30.0 // weight of the prior in prefixStats.share, in requests
	maxCountedRequests = 1000 // number of requests above which prefixStats halves its counts
	minRequestCount    = 0.1  // request count of a prefix below which prefixStats forgets it
	maxCachedPrefixes  = 4096 // number of cached prefixes of an endpoint above which all of them are forgotten
)

// prefixStats counts how often each prefix occurs among the requests that arrived at this dispatcher.
type prefixStats struct {
	requestCounts map[PrefixID]float64
	requests      float64
	pairs         float64 // number of pairs of requests with the same prefix

	// Mean share of a prefix's tokens that an affinity endpoint turned out to have cached, over the prefills for which
	// this dispatcher knew of no earlier prefill of the prefix there.
	cachedShare float64
}

func newPrefixStats() prefixStats {
	return prefixStats{requestCounts: map[PrefixID]float64{}, cachedShare: 1}
}

// count counts a request. It halves all counts from time to time, to give old requests little weight.
func (p *prefixStats) count(prefix PrefixID) {
	p.requests++
	p.pairs += p.requestCounts[prefix]
	p.requestCounts[prefix]++
	if p.requests <= maxCountedRequests {
		return
	}
	p.requests /= 2
	p.pairs /= 4
	for prefix, n := range p.requestCounts {
		p.requestCounts[prefix] = n / 2
		if n < minRequestCount {
			delete(p.requestCounts, prefix)
		}
	}
}

// share estimates a prefix's share of the traffic. A dispatcher that has seen few requests must not overestimate the
// share, because dispatchers would then disagree on the affinity endpoints. So the first request of a prefix does not
// count, and the others are averaged with a prior of priorRequests requests. The prior's share of the prefix is the
// observed probability that two requests have the same prefix. This probability is lowered as more requests are seen,
// because a frequent prefix would have occurred more often by then.
func (p *prefixStats) share(prefix PrefixID) float64 {
	others := max(p.requests-1, 0)
	samePrefix := p.pairs / (p.requests*others/2 + priorRequests)
	return (max(p.requestCounts[prefix]-1, 0) + priorRequests*samePrefix*math.Exp(-others*samePrefix)) /
		(others + priorRequests)
}

// affinityEndpoints returns the endpoints that should prefill the request's prefix, or its session if it has no prefix:
// one in the dispatcher's own zone and one among all endpoints. The one in the own zone is preferred, because links
// between zones are slow and charged for. If that endpoint is busy, the one among all endpoints is preferred to the
// endpoint with the shortest wait, which may not have cached the prefix.
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

// affinityEndpoint chooses the endpoint for a prefix by rendezvous hashing, so all dispatchers choose the same one. A
// prefix with a large share of the traffic has several endpoints, among which its sessions are hashed. Loads alone
// would not spread such a prefix: dispatchers that each see few requests would learn too late that one endpoint can't
// prefill all requests with the prefix.
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

// tokensToPrefill estimates the tokens of a prompt that the endpoint has not cached. It takes into account that an
// affinity endpoint also caches what other dispatchers send there. Otherwise the affinity endpoint would look slower
// than any endpoint that prefilled the prefix once, and dispatchers would disagree on the affinity endpoints.
func (s *Scheduler) tokensToPrefill(ep *endpoint, req *request) float64 {
	switch {
	case ep.cachedPrefixes[req.prefix]:
		return max(req.promptTokens-req.prefixTokens, 1)
	case req.hasAffinity(ep):
		return max(req.promptTokens-req.prefixTokens*s.prefixes.cachedShare, 1)
	}
	return req.promptTokens
}

// recordPrefill updates the endpoint's prefill rate and cached prefixes. If much less was cached than expected, the
// endpoint has evicted this prefix, and probably others.
func (s *Scheduler) recordPrefill(att *attempt, prefillTokens, cachedTokens float64) {
	ep, req := att.endpoint, att.request
	updateRunningMean(&s.estimates.prefillLatency, float64(s.now-att.sentAt))
	ep.prefillRate.record(att.tokensAhead+max(req.promptTokens-cachedTokens, 1), seconds(s.now-att.sentAt))
	expected := ep.cachedPrefixes[req.prefix]
	if !expected && req.prefixTokens > 0 && req.hasAffinity(ep) {
		updateRunningMean(&s.prefixes.cachedShare, min(cachedTokens/req.prefixTokens, 1))
	}
	evicted := expected && cachedTokens < (req.promptTokens-prefillTokens)/2
	if evicted || len(ep.cachedPrefixes) > maxCachedPrefixes {
		clear(ep.cachedPrefixes)
	}
	if req.prefix != 0 {
		ep.cachedPrefixes[req.prefix] = true
	}
}
