package scheduler

import (
	"math/rand"
	"slices"

	"plumspindle/scheduler/timerqueue"
)

const (
	ms  Micros = 1000
	sec        = 1000 * ms
)

// Scheduler is one instance. It shares nothing with any other.
type Scheduler struct {
	Config
	now      Micros
	executor Executor
	rand     *rand.Rand
	due      timerqueue.Queue
	armed    Micros // when the due timer next rings; 0 = it is not set

	endpoints       []*endpoint // by id, so that nothing hangs on the order of a map
	byID            map[EndpointID]*endpoint
	links           map[CellID]Micros // when a state last came late out of a cell
	handoverDelay   map[CellID]decayingMean
	requests        map[RequestID]*request
	queued          []*request // with those that are held no more, until they are taken out
	removed         int        // of these, so many
	requeued        []*request // scratch, as what follows: a decision makes nothing anew that it can use again
	lists           []*endpoint
	numbers         []float64
	cells           []CellID
	prefillTokens   float64    // tokens of the requests that are being read
	usual           [2]float64 // usual time of a read and to a first token, in Micros
	warmThroughput  [4]float64 // work a second that a warm host of each role was last seen to do
	typical         []float64  // mean work of a product's requests, in tokens
	allowed         []float64  // requests that each tenant may still send inside its share
	refill          Micros
	requestCounts   map[PrefixID]float64 // requests that began with it
	arrivals        float64              // all of them
	pairs           float64              // of these, with the same prefix
	cachedShare     float64              // share of shared texts that homes had kept though not read for this dispatcher
	connectFailures decayingMean         // share of new connections that failed
	violations      int                  // attempts that were refused where they are sent
	examined        uint64               // hosts that were looked at for decisions; tests hold it against the fleet's size
}

// endpoint is what one dispatcher knows of one model host.
type endpoint struct {
	id               EndpointID
	zone             ZoneID
	kind             KindID
	cell             CellID
	role             Role
	ready            bool
	listed           bool   // named by the list being taken in
	unavailableSince Micros // since when it is not ready, as the lists have it; 0 = it is
	startedAt        Micros

	pending                   []*attempt // out and not yet answering, in the order of their sending
	unread                    float64
	reservedTokens            float64
	streams                   int
	meanReserved, meanStreams float64 // both, as they were on average
	meanAt                    Micros
	prefillTokens             float64
	prefillSeconds            float64
	completedTokens           float64 // work answered lately, decaying
	completedAt               Micros
	credit                    float64 // work that may still go to it while it is cold
	creditAt                  Micros

	failureScore    float64
	ejectedUntil    Micros
	noCapacityUntil Micros
	lastHeard       Micros
	timelyStartAt   Micros  // when one last began in time
	limit           float64 // own tokens it was last seen to bear
	limitCutAt      Micros

	reportedUsage    float64 // as last reported, below zero if never
	reservedAtReport float64
	reportedAt       Micros

	step           int // that a writer is in, in the decision that is under way
	cachedPrefixes map[PrefixID]bool
}

// decayingMean is what was seen of a thing lately, and when last.
type decayingMean struct {
	value float64
	at    Micros
}

// attempt is one send and what to do with its result.
type attempt struct {
	no      AttemptNo
	gen     *request
	host    *endpoint
	sent    Micros
	work    float64 // prompt tokens to read there
	ahead   float64 // own tokens to be read before it
	tokens  float64 // memory that its answer is expected to take
	writes  bool
	started bool
	late    Micros // when it begins too late
	far     bool   // its state comes out of another cell,
	from    CellID // this one
	dropped bool   // cancelled by us
	fresh   bool   // sent without a connection to the host
	then    func(AttemptResult)
}

// request is one client's request while this dispatcher owes anything for it.
type request struct {
	id           RequestID
	class        ClassID
	session      SessionID
	prefix       PrefixID
	promptTokens float64
	prefixTokens float64
	answerTokens float64
	arrivedAt    Micros
	sloAt        Micros
	deadline     Micros
	over         bool // beyond its tenant's share

	held     bool
	sent     int
	out      *attempt
	homes    [2]*endpoint
	state    *endpoint // the reader where its read state waits
	tried    []*endpoint
	ran      *attempt // the first attempt that may have taken effect
	answered bool
	limit    *timerqueue.Item
}

// part is a share of the time that a request has from its arrival to its SLO time.
func (req *request) part(share float64) Micros {
	return Micros(share * float64(req.sloAt-req.arrivedAt))
}

// currentAttempt is the request's attempt that is out, if it is this one; odd and late news finds none.
func (s *Scheduler) currentAttempt(id RequestID, no AttemptNo) *attempt {
	if req := s.requests[id]; req != nil && req.out != nil && req.out.no == no {
		return req.out
	}
	return nil
}

// readOff: an attempt's prompt is read, or never will be, and nobody waits for its first token.
func (l *attempt) readOff() {
	l.host.unread = max(l.host.unread-l.work, 0)
	l.work = 0
	l.host.pending = slices.DeleteFunc(l.host.pending, func(o *attempt) bool { return o == l })
}

// count and uncount keep what is out at a host and on the way.
func (s *Scheduler) count(l *attempt) {
	ep := l.host
	s.average(ep)
	if l.writes {
		ep.reservedTokens += l.tokens
		ep.streams++
	} else if !s.Classes[l.gen.class].PrefillOnly { // what is read only will never ask a writer for room
		s.prefillTokens += l.tokens
	}
	ep.unread += l.work
	ep.pending = append(ep.pending, l)
	l.gen.sent++
	l.gen.out = l
}

func (s *Scheduler) uncount(l *attempt) {
	ep := l.host
	s.average(ep)
	if l.writes {
		ep.reservedTokens = max(ep.reservedTokens-l.tokens, 0)
		ep.streams--
	} else if !s.Classes[l.gen.class].PrefillOnly {
		s.prefillTokens = max(s.prefillTokens-l.tokens, 0)
	}
	l.readOff()
	l.gen.out = nil
}

// dropState lets go of the state. It does so too where a writer found none: only a new read helps then, but
// a reader that is merely cut off from that writer holds it still.
func (s *Scheduler) dropState(req *request) {
	if req.state != nil {
		s.executor.Release(req.id)
		req.state = nil
	}
}

func (s *Scheduler) recordMemoryReport(ep *endpoint, memory float64) {
	if memory >= 0 {
		ep.reportedUsage, ep.reservedAtReport, ep.reportedAt = memory, ep.reservedTokens, s.now
	}
}

func (s *Scheduler) arm() {
	if at, some := s.due.Next(); some && (s.armed == 0 || at < s.armed) {
		s.armed = max(at, s.now+1)
		s.executor.SetTimer(s.armed-s.now, DeadlineTimer)
	}
}

func (s *Scheduler) room(ep *endpoint) float64 { return max(s.Kinds[ep.kind].Memory, 1) }

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func mean(values []float64) (mean float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	return mean
}

func secs(t Micros) float64 { return float64(t) / float64(sec) }

func blend(mean *float64, v, weight float64) {
	if *mean == 0 {
		*mean = v
		return
	}
	*mean += weight * (v - *mean)
}

// mix spreads ids evenly, alike at every dispatcher.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// InFlight tells what is under way.
func (s *Scheduler) InFlight() InFlight {
	attempts := 0
	for _, req := range s.requests {
		if req.out != nil {
			attempts++
		}
	}
	return InFlight{Requests: len(s.requests), Attempts: attempts, Queued: len(s.queued) - s.removed, PrefillTokens: s.prefillTokens}
}
