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
	now    Micros
	orders Executor
	rand   *rand.Rand
	due    timerqueue.Queue
	armed  Micros // when the due timer next rings; 0 = it is not set

	hosts        []*host // by id, so that nothing hangs on the order of a map
	byID         map[EndpointID]*host
	links        map[CellID]Micros // when a state last came late out of a cell
	outOf        map[CellID]decayingMean
	gens         map[RequestID]*request
	held         []*request // with those that are held no more, until they are taken out
	gone         int        // of these, so many
	missed       []*request // scratch, as what follows: a decision makes nothing anew that it can use again
	lists        []*host
	numbers      []float64
	cells        []CellID
	underway     float64    // tokens of the requests that are being read
	usual        [2]float64 // usual time of a read and to a first token, in Micros
	warm         [4]float64 // work a second that a warm host of each role was last seen to do
	typical      []float64  // mean work of a product's requests, in tokens
	allowed      []float64  // requests that each tenant may still send inside its share
	refill       Micros
	often        map[PrefixID]float64 // requests that began with it
	arrivals     float64              // all of them
	pairs        float64              // of these, with the same prefix
	homesKeep    float64              // share of shared texts that homes had kept though not read for this dispatcher
	noConnection decayingMean         // share of new connections that failed
	violations   int                  // attempts that were refused where they are sent
	looked       uint64               // hosts that were looked at for decisions; tests hold it against the fleet's size
}

// host is what one dispatcher knows of one model host.
type host struct {
	id     EndpointID
	zone   ZoneID
	kind   KindID
	cell   CellID
	role   Role
	ready  bool
	listed bool   // named by the list being taken in
	goneAt Micros // since when it is not ready, as the lists have it; 0 = it is
	since  Micros

	legs                  []*attempt // out and not yet answering, in the order of their sending
	unread                float64
	held                  float64
	streams               int
	heldMean, streamsMean float64 // both, as they were on average
	meanAt                Micros
	readTok               float64
	readTime              float64
	done                  float64 // work answered lately, decaying
	doneAt                Micros
	credit                float64 // work that may still go to it while it is cold
	creditAt              Micros

	ill        float64
	quietUntil Micros
	fullUntil  Micros
	heard      Micros
	timelyAt   Micros  // when one last began in time
	mayHold    float64 // own tokens it was last seen to bear
	cutAt      Micros

	memory     float64 // as last reported, below zero if never
	heldThen   float64
	reportedAt Micros

	step  int // that a writer is in, in the decision that is under way
	texts map[PrefixID]bool
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
	host    *host
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
	id       RequestID
	product  ClassID
	session  SessionID
	prefix   PrefixID
	prompt   float64
	shared   float64
	growth   float64
	arrived  Micros
	slo      Micros
	deadline Micros
	over     bool // beyond its tenant's share

	held     bool
	sent     int
	out      *attempt
	homes    [2]*host
	state    *host // the reader where its read state waits
	tried    []*host
	ran      *attempt // the first attempt that may have taken effect
	answered bool
	limit    *timerqueue.Item
}

// part is a share of the time that a request has from its arrival to its SLO time.
func (g *request) part(share float64) Micros { return Micros(share * float64(g.slo-g.arrived)) }

// legOut is the request's attempt that is out, if it is this one; odd and late news finds none.
func (d *Scheduler) legOut(id RequestID, no AttemptNo) *attempt {
	if g := d.gens[id]; g != nil && g.out != nil && g.out.no == no {
		return g.out
	}
	return nil
}

// readOff: an attempt's prompt is read, or never will be, and nobody waits for its first token.
func (l *attempt) readOff() {
	l.host.unread = max(l.host.unread-l.work, 0)
	l.work = 0
	l.host.legs = slices.DeleteFunc(l.host.legs, func(o *attempt) bool { return o == l })
}

// count and uncount keep what is out at a host and on the way.
func (d *Scheduler) count(l *attempt) {
	h := l.host
	d.average(h)
	if l.writes {
		h.held += l.tokens
		h.streams++
	} else if !d.Classes[l.gen.product].PrefillOnly { // what is read only will never ask a writer for room
		d.underway += l.tokens
	}
	h.unread += l.work
	h.legs = append(h.legs, l)
	l.gen.sent++
	l.gen.out = l
}

func (d *Scheduler) uncount(l *attempt) {
	h := l.host
	d.average(h)
	if l.writes {
		h.held = max(h.held-l.tokens, 0)
		h.streams--
	} else if !d.Classes[l.gen.product].PrefillOnly {
		d.underway = max(d.underway-l.tokens, 0)
	}
	l.readOff()
	l.gen.out = nil
}

// dropState lets go of the state. It does so too where a writer found none: only a new read helps then, but
// a reader that is merely cut off from that writer holds it still.
func (d *Scheduler) dropState(g *request) {
	if g.state != nil {
		d.orders.Release(g.id)
		g.state = nil
	}
}

func (d *Scheduler) hear(h *host, memory float64) {
	if memory >= 0 {
		h.memory, h.heldThen, h.reportedAt = memory, h.held, d.now
	}
}

func (d *Scheduler) arm() {
	if at, some := d.due.Next(); some && (d.armed == 0 || at < d.armed) {
		d.armed = max(at, d.now+1)
		d.orders.SetTimer(d.armed-d.now, DeadlineTimer)
	}
}

func (d *Scheduler) room(h *host) float64 { return max(d.Kinds[h.kind].Memory, 1) }

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
func (d *Scheduler) InFlight() InFlight {
	attempts := 0
	for _, g := range d.gens {
		if g.out != nil {
			attempts++
		}
	}
	return InFlight{Requests: len(d.gens), Attempts: attempts, Held: len(d.held) - d.gone, PrefillTokens: d.underway}
}
