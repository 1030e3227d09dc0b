package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	affinityLoad = 0.5 // of a prefill endpoint's even part of the traffic, for each further affinity endpoint of a prefix

	priorRequests     = 30.0 // requests that the traffic of a dispatcher which has seen little is taken to be diluted with
	countedRequests   = 1000 // requests after which the counts are halved
	forgetCountBelow  = 0.1
	maxCachedPrefixes = 4096 // prefixes that an endpoint is remembered to have cached
)

// prefixStats counts the prefixes of the requests that arrived here.
type prefixStats struct {
	requestCounts map[PrefixID]float64
	requests      float64
	pairs         float64 // pairs of requests with the same prefix

	// Share of its prefix that an affinity endpoint turned out to have cached though this dispatcher had not prefilled
	// it there.
	cachedShare float64
}

func newPrefixStats() prefixStats {
	return prefixStats{requestCounts: map[PrefixID]float64{}, cachedShare: 1}
}

// count adds a request; what was long ago counts for little.
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

// share estimates a prefix's part of the whole traffic. A dispatcher that has seen little must not take the one
// prefix that it saw for all of it: each dispatcher would prefill each prefix at affinity endpoints of its own. So
// only requests beyond the first count, among some more requests that are taken to be as alike as any two of those
// seen were; but not for a prefix that would have been seen more often by now if its traffic were like that.
func (p *prefixStats) share(prefix PrefixID) float64 {
	others := max(p.requests-1, 0)
	alike := p.pairs / (p.requests*others/2 + priorRequests)
	return (max(p.requestCounts[prefix]-1, 0) + priorRequests*alike*math.Exp(-others*alike)) / (others + priorRequests)
}

// affinityEndpoints are where a prefix, or a session without one, is prefilled first: one endpoint in the
// dispatcher's own zone and one among all. The own zone's goes first, as links between zones are long and charged
// for. Where it is busy, the one among all goes before the least-loaded endpoint, which may not have the prefix
// cached.
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

// affinityEndpoint is the prefix's endpoint by rendezvous hashing, alike at all dispatchers. A prefix that makes up
// much of the traffic has further ones, shared out by session: many dispatchers that each see little would learn too
// late that one endpoint can't prefill it all.
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

// tokensToPrefill is what of a prompt the endpoint has likely not cached. An affinity endpoint caches what the other
// dispatchers send there, which this one has not seen: taken to have nothing cached, it would look slower than any
// endpoint that happened to prefill the prefix once, and each dispatcher would have affinity endpoints of its own.
func (s *Scheduler) tokensToPrefill(ep *endpoint, req *request) float64 {
	switch {
	case ep.cachedPrefixes[req.prefix]:
		return max(req.promptTokens-req.prefixTokens, 1)
	case req.hasAffinity(ep):
		return max(req.promptTokens-req.prefixTokens*s.prefixes.cachedShare, 1)
	}
	return req.promptTokens
}

// recordPrefill learns from a prefill how fast the endpoint is and what it has cached. Where much less was cached than
// expected, the endpoint has evicted, and likely more than this prefix.
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
