// Package dispatch hosts the decision module: it tells it what happens and does what it orders. It decides
// nothing of its own about hosts, legs, throttling or retries.
//
// One Dispatcher lives on one loop. A generation's way: the front hands in an Ask (Generate), the module is told
// (Arrive); each Send becomes a leg of the engine, each end of a leg is told back (Started, Ended); Throttle,
// Terminate and a streamed end become the one final answer on the reply.
package dispatch

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"plumspindle/internal/batch"
	"plumspindle/internal/chat"
	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/embeddings"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/http1"
	"plumspindle/internal/idempotency"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/schedulerlog"
	"plumspindle/internal/starttimes"
	"plumspindle/internal/store"
	"plumspindle/internal/subscribe"
	"plumspindle/internal/tenancy"
	"plumspindle/scheduler"
)

// Config is where one dispatcher stands.
type Config struct {
	Name            string // tells it apart from all others, also from the one that it replaces
	Zone            string
	Seed            int64
	Discovery       string   // address of the list's source; empty: only the kept list is used
	CachedEndpoints [][]byte // the last lists, as Keep was handed them, the newest first; the first that can be read is used
	CacheEndpoints  func(list []byte)
	Log             zerolog.Logger

	Intents *store.Store // keeps, across restarts, which generations with a key may have run; nil: a restart forgets them

	Tenants  string    // address of the administration; empty: only the deployment's own tenants, and kept ones, are served
	Secret   []byte    // shared with the administration; keys are sealed with it
	Mutation *Mutation // a fault on purpose; nil in service

	Descriptors int // that this process may have open; 0: not known, and clients may have all

	CachedTenants []byte // what the administration last said, as KeepTenants was handed it
	CacheTenants  func([]byte)
}

const (
	// bodies of the largest size that clients may have kept at once, in all. Each leg sends its generation's again, so that the
	// memory that goes with them is a few times as much.
	bodiesMost = 64
	answerKept = 256 << 10        // bytes of one answer that are kept for repeats
	keepEvery  = eventloop.Second // the list is kept at most this often
	// descriptors that are for neither clients nor legs: the list's source, the administration, files, the poller. Of the rest
	// clients may have half, as each generation needs one on either side.
	descriptorsKept = 64
	unknownKind     = 255 // a kind that the deployment does not name; the module sends nothing there
)

// Counts are what the dispatcher has done since its start.
type Counts struct {
	Accepted, Completed, Rejected, Failed, Disconnected, Shed uint64
	OverQuota                                                 uint64 // by their tenants' limits; not taken
	Attempts, Events                                          uint64
	Repeats                                                   uint64 // answered from a generation that ran before, or runs
	Coverage                                                  lifecycle.Coverage
}

// Dispatcher is one.
type Dispatcher struct {
	batches batches
	deployment.Deployment
	loop     eventloop.Loop
	post     Config
	module   *scheduler.Scheduler
	place    scheduler.Config
	engine   *engine.Engine
	list     *endpoints.Watcher
	front    *frontend.Server
	gens     map[scheduler.RequestID]*gen
	lastGen  scheduler.RequestID
	products map[string]scheduler.ClassID

	gate      *tenancy.AdmissionController
	directory *tenancy.Directory
	meter     *tenancy.UsageMeter
	feed      *subscribe.Client
	seats     map[string]*seat
	static    map[[sha256.Size]byte]*seat
	free      []scheduler.TenantID
	seatsMade scheduler.TenantID
	reported  func() // what to do once the last report has been taken, at the end

	hosts   map[scheduler.EndpointID]endpoints.Entry
	keeping bool
	heard   uint64 // lists and changes that came from discovery
	starts  map[scheduler.EndpointID]starttimes.Start
	repeats *idempotency.Cache
	runs    map[*idempotency.Entry]*gen // generations with a key that are not answered yet
	leaving func()                      // what to do once nothing runs any more
	healing bool                        // the record of intents has failed, and is tried again
	Counts
}

// gen is what the dispatcher keeps of a generation: what the module does not know, and nothing that it does.
type gen struct {
	lifecycle.Machine
	id       scheduler.RequestID
	ask      *chat.Request
	product  scheduler.ClassID
	answerID string
	replies  []*frontend.Response // of its client, and of those that came with the same key
	clientID string
	legs     scheduler.AttemptNo // sent so far
	leg      *engine.Attempt     // the last one
	host     scheduler.EndpointID
	state    string  // where the read state lies, as its reader told
	mayLie   []place // legs at readers that may have left a state
	tokens   int     // events relayed
	limit    eventloop.Timer
	beat     eventloop.Timer
	deadline eventloop.Micros
	repeat   *idempotency.Entry // where it came with a key that counts
	ran      bool               // some write of it may have run
	ranFirst bool               // one before the last
	intent   intent
	alone    int   // bytes of its body, where it goes on without a client
	part     *part // of a call with many inputs; nil: it is chat
	seat     *seat
	ticket   *tenancy.Ticket
	taken    eventloop.Micros
	prompt   int              // tokens, as its writer counted them
	final    lifecycle.Action // the answer that was given; 0 for none
}

// place is a leg at a host that may hold something for it.
type place struct {
	host scheduler.EndpointID
	name string
}

// Start makes a dispatcher on a loop; Front's Accept takes its clients.
func Start(loop eventloop.Loop, d deployment.Deployment, post Config) (*Dispatcher, error) {
	if !slices.Contains(d.Zones, post.Zone) {
		return nil, fmt.Errorf("the deployment has no zone %q", post.Zone)
	}
	ms := func(v uint32) eventloop.Micros { return eventloop.Micros(v) * eventloop.Millisecond }
	x := &Dispatcher{Deployment: d, loop: loop, post: post, gens: map[scheduler.RequestID]*gen{}, runs: map[*idempotency.Entry]*gen{},
		products: map[string]scheduler.ClassID{},
		hosts:    map[scheduler.EndpointID]endpoints.Entry{}, starts: map[scheduler.EndpointID]starttimes.Start{}}
	x.engine = engine.New(loop, post.Name, post.Zone, engine.Limits{ConnectTimeout: ms(d.Dispatching.ConnectMs),
		IdleTimeout: ms(d.Dispatching.IdleMs), StreamIdleTimeout: ms(d.Dispatching.SilenceMs), MaxPerEndpoint: int(d.Dispatching.Connections),
		MaxOpening: int(d.Dispatching.Openings)})
	for i, p := range d.Products {
		x.products[p.Name] = scheduler.ClassID(i)
	}
	x.batches.pb = d.Batch()
	x.batches.limiter = batch.NewLimiter(int(x.batches.pb.FixedLimit))
	bounds := http1.DefaultLimits
	bounds.HeadBytes, bounds.BodyBytes = int(d.Doors.HeadMost), int(d.Doors.BodyMost)
	patience := frontend.DefaultClientLimits
	patience.MessageTimeout, patience.StallTimeout, patience.MaxUnsentBytes = ms(d.Doors.MessageMs), ms(d.Doors.StallMs), int(d.Doors.UnsentMost)
	x.front = frontend.New(loop, x, x.routes(), bounds, patience)
	x.front.MaxBufferedBytes = bodiesMost * bounds.BodyBytes
	if n := post.Descriptors; n > 0 {
		x.front.MaxConnections = max((n-min(descriptorsKept, n/2))/2, 1)
	}
	x.repeats = idempotency.NewCache(int(d.Doors.RememberMost), int(d.Doors.RememberBytes), answerKept)
	x.recall()
	x.place = d.Module()
	x.place.Quotas = nil // told tenant by tenant, as they come
	x.place.Zone = scheduler.ZoneID(slices.Index(d.Zones, post.Zone))
	var orders scheduler.Executor = x
	place := x.place
	if t := post.Mutation; t != nil && t.Config != nil {
		t.Config(&place)
	}
	if t := post.Mutation; t != nil && t.Executor != nil {
		orders = t.Executor(x)
	}
	x.module = scheduler.New(loop.Now(), post.Seed, place, orders)
	if err := x.seatTenants(); err != nil {
		return nil, err
	}
	x.list = endpoints.NewWatcher(loop, endpoints.WatcherOptions{Address: post.Discovery, Dispatcher: post.Name, Seed: post.Seed,
		OnUpdate: x.news, Log: post.Log})
	x.begin()
	if post.Discovery != "" {
		x.list.Subscribe()
	}
	return x, nil
}

// routes are the client's APIs.
func (x *Dispatcher) routes() map[string]frontend.Route {
	all := frontend.ModelRoutes(x.Models)
	all[chat.Path] = chat.Route(func(digest string) bool { return x.directory.IsPublicText(digest) }, x.HandleChat)
	all["/v1/embeddings"] = x.batchRoute(embeddings.Embeddings, pb.Product_EMBEDDING)
	all["/v1/rerank"] = x.batchRoute(embeddings.Rerank, pb.Product_RERANK)
	return all
}

// Front is the client's side.
func (x *Dispatcher) Front() *frontend.Server { return x.front }

// Shutdown takes nothing new and calls done once nothing runs any more.
func (x *Dispatcher) Shutdown(done func()) {
	x.leaving = done
	x.front.Shutdown()
	x.list.Close()
	if x.feed != nil {
		x.feed.Close()
	}
	x.left()
}

func (x *Dispatcher) left() {
	if x.leaving != nil && len(x.gens) == 0 && x.batches.calls == 0 {
		done := x.leaving
		x.leaving = nil
		x.engine.Close()
		if x.post.Intents != nil {
			x.post.Intents.Flush()
		}
		if x.post.Tenants == "" {
			done()
			return
		}
		x.reported = done
		x.report() // what was used since the last one
	}
}

// Ready tells that some host is known that may be sent to.
func (x *Dispatcher) Ready() bool {
	for _, e := range x.hosts {
		if e.State() == scheduler.Ready {
			return true
		}
	}
	return false
}

// OpenRequests is how many generations are taken and not yet let go of.
func (x *Dispatcher) OpenRequests() int { return len(x.gens) }

// DescribeOpen describes what still runs, for those who wonder why it does.
func (x *Dispatcher) DescribeOpen() (lines []string) {
	for id, g := range x.gens {
		lines = append(lines, fmt.Sprintf("generation %d (%s): %v, legs %d, last at host %d, %d clients", id, g.clientID, g.State, g.legs, g.host,
			len(g.replies)))
	}
	slices.Sort(lines)
	return lines
}

// --- The list ---

func (x *Dispatcher) news(entries []endpoints.Entry, whole bool) {
	if t := x.post.Mutation; t != nil && t.EndpointUpdate != nil {
		entries = t.EndpointUpdate(entries)
	}
	x.heard++
	x.believe(entries, whole)
	if x.post.CacheEndpoints != nil && !x.keeping {
		x.keeping = true
		x.loop.AfterFunc(keepEvery, func() {
			x.keeping = false
			x.post.CacheEndpoints(x.list.Snapshot(int64(x.loop.Now())))
		})
	}
}

func (x *Dispatcher) tell(entries []endpoints.Entry, whole bool) {
	now := x.loop.Now()
	var stamps []eventloop.Micros
	for _, e := range entries {
		stamps = append(stamps, eventloop.Micros(e.StartedAt))
	}
	listing := starttimes.Listing{Now: now, Skew: starttimes.ClockSkew(now, stamps...), InService: x.heard > 1}
	for _, e := range entries {
		zone, kind := slices.Index(x.Zones, e.Zone), unknownKind
		for i, k := range x.Kinds {
			if k.Name == e.Kind {
				kind = i
			}
		}
		if zone < 0 {
			x.post.Log.Warn().Uint32("host", uint32(e.ID)).Str("zone", e.Zone).Msg("a host in a zone that the deployment does not name; nothing is sent there")
			kind, zone = unknownKind, 0
		} else if kind == unknownKind {
			x.post.Log.Warn().Uint32("host", uint32(e.ID)).Str("kind", e.Kind).Msg("a host of a kind that the deployment does not name; nothing is sent there")
		}
		x.hosts[e.ID] = e
		if e.Condition == "gone" {
			x.engine.RemoveEndpoint(e.ID)
			delete(x.hosts, e.ID)
			delete(x.starts, e.ID)
		} else {
			x.engine.SetAddress(e.ID, e.Addr)
		}
		start := starttimes.Next(x.starts[e.ID], eventloop.Micros(e.StartedAt), listing)
		if e.Condition != "gone" {
			x.starts[e.ID] = start
		}
		x.module.EndpointUpdated(now, scheduler.EndpointStatus{ID: e.ID, Zone: scheduler.ZoneID(zone), Kind: scheduler.KindID(kind),
			Cell: scheduler.CellID(e.Cell), State: e.State(), StartedAt: start.At})
	}
	x.module.EndpointUpdateEnded(now, whole)
	readers := 0
	for id, e := range x.hosts {
		if e.State() == scheduler.Ready && x.role(id) != scheduler.Decode {
			readers++
		}
	}
	x.gate.SetPrefillEndpoints(readers)
	x.turns()
}

// --- The front's service ---

// Models are the products' names.
func (x *Dispatcher) Models() (names []string) {
	for _, p := range x.Products {
		names = append(names, p.Name)
	}
	return names
}

// Fields of a request's head that are the router's own.
const (
	limitField = "x-time-limit-ms" // a client gives up sooner than its product's time limit
	beatField  = "x-heartbeat-ms"  // a stream begins with comments this often, at the price of a real 429
	keyField   = "Idempotency-Key"
	beatLeast  = 250 // ms
	keyMost    = 255 // bytes
)

// number reads a field that holds a number of milliseconds; 0 where there is none.
func number(head *http1.Head, field string, least uint64) (eventloop.Micros, *frontend.Problem) {
	text := head.Get(field)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms < least {
		return 0, &frontend.Problem{Status: 400, Type: "invalid_request_error", Param: field, Code: "invalid_value",
			Message: fmt.Sprintf("The field %s must be a number of milliseconds, %d at least.", field, least)}
	}
	return eventloop.Micros(ms) * eventloop.Millisecond, nil
}

// HandleChat takes a generation.
func (x *Dispatcher) HandleChat(ask *chat.Request, who frontend.Identity, head *http1.Head, to *frontend.Response) *frontend.Problem {
	product, known := x.products[ask.Model]
	if !known {
		return frontend.ModelNotFound(ask.Model)
	}
	p := x.Products[product]
	if p.Form != pb.Product_CHAT {
		return frontend.Invalid("model", "unsupported_value", "The model '%.60s' is not served by this API.", ask.Model)
	}
	now := x.loop.Now()
	limit, problem := number(head, limitField, 1)
	if problem != nil {
		return problem
	}
	beat, problem := number(head, beatField, beatLeast)
	if problem != nil {
		return problem
	}
	deadline := now + eventloop.Micros(p.TimeLimitMs)*eventloop.Millisecond
	if limit > 0 {
		deadline = min(deadline, now+limit)
	}
	if len(x.gens) >= int(x.Doors.OpenMost) {
		x.Shed++
		to.Reject(0)
		return nil
	}
	if ask.MaxTokens == 0 {
		ask.MaxTokens = int(p.MostTokens)
	}
	g := &gen{id: x.lastGen + 1, ask: ask, product: product, deadline: deadline, taken: now, clientID: head.Get("x-client-request-id")}
	g.answerID = x.answerID(g.id)
	if key := head.Get(keyField); key != "" && p.Effect != pb.Product_IDEMPOTENT {
		if len(key) > keyMost {
			return &frontend.Problem{Status: 400, Type: "invalid_request_error", Param: keyField, Code: "invalid_value",
				Message: fmt.Sprintf("The Idempotency-Key is longer than %d bytes.", keyMost)}
		}
		if answered, problem := x.again(g, who.Space, key, to); answered || problem != nil {
			return problem
		}
	}
	pass, problem := x.admission(g, who, to)
	if g.ticket == nil {
		if g.repeat != nil {
			x.repeats.End(now, g.repeat, false, false, 0)
		}
		return problem
	}
	x.lastGen++
	x.Accepted++
	x.gens[g.id] = g
	if g.repeat != nil {
		x.runs[g.repeat] = g
	}
	x.attach(g, to)
	if beat > 0 && ask.Stream {
		x.heartbeat(g, to, beat)
	}
	if pass {
		g.State = lifecycle.Pending
		x.arrived(g)
	} else {
		x.wait(g)
	}
	return nil
}

// attach makes a reply one that the generation's answer goes to.
func (x *Dispatcher) attach(g *gen, to *frontend.Response) {
	to.SetFormat(&chat.Answer{ID: g.answerID, Model: g.ask.Model, Created: int64(x.loop.Now() / eventloop.Second), Request: g.ask})
	g.replies = append(g.replies, to)
	to.OnDisconnect = func() { x.loop.Defer(func() { x.clientLeft(g, to) }) } // never within the module's own call
	to.OnDrained = func() { x.take(g, lifecycle.ClientCaughtUp) }
}

// heartbeat keeps a stream that has nothing to say yet from being taken for dead by what stands between.
func (x *Dispatcher) heartbeat(g *gen, to *frontend.Response, every eventloop.Micros) {
	g.beat = x.loop.AfterFunc(every, func() {
		if to.Heartbeat() {
			x.heartbeat(g, to, every)
		}
	})
}

// again finds what a request with a key is answered with, where it is not to run.
func (x *Dispatcher) again(g *gen, space, key string, to *frontend.Response) (answered bool, problem *frontend.Problem) {
	digest := sha256.Sum256([]byte(space + "\x00" + g.ask.Model + "\x00" + key))
	shape := fmt.Sprint(g.ask.Stream, g.ask.IncludeUsage, g.ask.MaxTokens, " ")
	request := xxhash.Sum64String(shape + string(g.ask.Passthrough))
	verdict, entry := x.repeats.Begin(x.loop.Now(), idempotency.Key(digest[:16]), request)
	if verdict != idempotency.New && verdict != idempotency.Full {
		x.Repeats++
	}
	switch verdict {
	case idempotency.New:
		g.repeat = entry
		return false, nil
	case idempotency.Full:
		x.Shed++
		to.Reject(0)
		return true, nil
	case idempotency.Join, idempotency.Replay:
		first := x.runs[entry]
		if first == nil {
			first = g // it has ended; its answer is shaped anew
		}
		x.attach(first, to)
		for _, data := range entry.Events {
			to.WriteEvent(data)
		}
		if verdict == idempotency.Replay {
			to.Complete()
		}
		return true, nil
	case idempotency.Conflict:
		return false, &frontend.Problem{Status: 422, Type: "invalid_request_error", Param: keyField, Code: "idempotency_key_reused",
			Message: "The Idempotency-Key was used for another request."}
	}
	return false, &frontend.Problem{Status: 409, Type: "invalid_request_error", Param: keyField, Code: "already_ran", NoRetry: true,
		Message: "The generation of this Idempotency-Key ran, or may have run, and is not run again; its answer is no longer here."}
}

// answerID names an answer; it tells nothing of how many there were, nor of whose.
func (x *Dispatcher) answerID(id scheduler.RequestID) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(x.post.Seed))
	binary.LittleEndian.PutUint64(b[8:], uint64(id))
	digest := sha256.Sum256(append([]byte(x.post.Name), b[:]...))
	return "chatcmpl-" + hex.EncodeToString(digest[:14])
}

// clientLeft: this client waits no more. What has a key and may be running goes on without it, as its client can only
// ask for it again: it is not run a second time.
func (x *Dispatcher) clientLeft(g *gen, to *frontend.Response) {
	at := slices.Index(g.replies, to)
	if at < 0 {
		return
	}
	g.replies = slices.Delete(g.replies, at, at+1)
	x.Disconnected++
	if len(g.replies) > 0 || g.repeat != nil && (g.State == lifecycle.Decoding || g.State == lifecycle.Streaming) {
		x.take(g, lifecycle.ClientCaughtUp)      // it may have been the one that lagged
		if len(g.replies) == 0 && g.alone == 0 { // nobody's request holds its body any more, and it is kept all the same
			g.alone = len(g.ask.Passthrough)
			x.front.BufferedBytes += g.alone
		}
		return
	}
	x.take(g, lifecycle.ClientDisconnected)
}

// --- The path ---

// what goes with an event.
type what struct {
	host     scheduler.EndpointID
	allow    scheduler.Micros
	comeBack scheduler.Micros
	outcome  engine.Result
	data     []byte
	why      string
}

// cancelled is the outcome of a leg that was closed on this side; its host is not to blame.
var cancelled = engine.Result{Outcome: scheduler.Cancelled, MemoryUsage: scheduler.NoLoadReport, Reason: "closed on this side"}

// take moves a generation on by the table of package path, and does what that says.
func (x *Dispatcher) take(g *gen, e lifecycle.Event, with ...what) {
	var w what
	if len(with) > 0 {
		w = with[0]
	}
	for _, a := range g.Fire(e, &x.Coverage) {
		x.do(g, a, w)
	}
}

func (x *Dispatcher) do(g *gen, a lifecycle.Action, w what) {
	now := x.loop.Now()
	switch a {
	case lifecycle.StartPrefill, lifecycle.StartDecode:
		x.carry(g, a == lifecycle.StartPrefill, w)
	case lifecycle.CloseAttempt:
		if g.leg != nil { // else its intent is still being kept
			g.leg.Cancel()
		}
	case lifecycle.ReportCancelled:
		no := g.legs
		x.loop.Defer(func() {
			if no == g.legs {
				x.take(g, lifecycle.AttemptFailed, what{outcome: cancelled})
			}
		})
	case lifecycle.ReleaseAttempt:
		// A read that we quit may have ended all the same, and nobody was told where its state lies.
		if n := len(g.mayLie); n > 0 && g.mayLie[n-1].name == x.engine.AttemptName(g.id, g.legs-1) {
			x.engine.Release(g.mayLie[n-1].host, []string{g.mayLie[n-1].name})
			g.mayLie = g.mayLie[:n-1]
		}
	case lifecycle.ReleaseState:
		for _, p := range g.mayLie {
			x.engine.Release(p.host, []string{p.name})
		}
		g.mayLie, g.state = nil, ""
	case lifecycle.StateFetched:
		g.state, g.mayLie = "", nil
	case lifecycle.NotifyStarted:
		slo := x.place.Classes[g.product].SLO + scheduler.Micros(float64(x.place.Classes[g.product].SLOPer1000)*float64(g.ask.PromptTokens)/1000)
		x.batches.limiter.ChatStarted(now, now-g.taken, slo)
		g.leg.Started()
		if !g.ask.Stream {
			// The client of a whole answer has nothing yet, so its time goes on.
			g.limit = x.loop.AfterFunc(g.deadline-wholeGrace-now, func() {
				x.take(g, lifecycle.DeadlineExceeded, what{why: "The answer was not whole within the client's time."})
			})
		}
		x.gate.FirstToken(now, g.ticket, now-g.taken, slo)
		x.module.AttemptStarted(now, g.id, g.legs-1)
		x.loop.Defer(x.turns)
	case lifecycle.NotifyEnded:
		o := w.outcome
		if o == (engine.Result{}) {
			o = cancelled
		}
		x.module.AttemptEnded(now, g.id, g.legs-1, o.ForScheduler(g.Answered()))
	case lifecycle.NotifyArrived:
		if g.part != nil {
			g.part.admitted(now)
		}
		x.arrived(g)
	case lifecycle.NotifyWithdrawn:
		x.module.RequestWithdrawn(now, g.id)
	case lifecycle.NotifyDisconnected:
		x.module.ClientDisconnected(now, g.id)
	case lifecycle.ForwardEvent:
		x.relay(g, w.data)
	case lifecycle.AnswerCompleted, lifecycle.AnswerRejected, lifecycle.AnswerFailed:
		g.final = a
		if g.part != nil {
			g.part.answered(g, a, w.comeBack)
			return
		}
		x.answerAs(g, a, w)
	case lifecycle.PauseAttempt:
		g.leg.PauseReading(true)
	case lifecycle.ResumeAttempt:
		g.leg.PauseReading(false)
	case lifecycle.Forget:
		x.forget(g)
	}
}

// answerAs gives the one final answer.
func (x *Dispatcher) answerAs(g *gen, a lifecycle.Action, w what) {
	switch a {
	case lifecycle.AnswerCompleted:
		x.Completed++
		x.note(g, "streamed", w.why)
		x.answer(g, true, func(r *frontend.Response) { r.Complete() })
	case lifecycle.AnswerRejected:
		x.Rejected++
		x.note(g, "throttled", w.why)
		x.answer(g, false, func(r *frontend.Response) { r.Reject(w.comeBack) })
	default:
		x.Failed++
		why, again := w.why, x.Products[g.product].Effect == pb.Product_IDEMPOTENT
		if g.tokens > 0 && w.outcome.Reason != "" {
			why = "The stream broke after " + strconv.Itoa(g.tokens) + " tokens."
		}
		if !again {
			why += " It may have run and must not be repeated by itself."
		}
		x.note(g, "terminated", why)
		x.answer(g, false, func(r *frontend.Response) { r.Fail(again, why) })
	}
}

// answer gives the final answer to all that wait for it, and has it remembered.
func (x *Dispatcher) answer(g *gen, good bool, give func(*frontend.Response)) {
	for _, r := range g.replies {
		give(r)
	}
	g.replies = nil
	x.remember(g, good)
}

func (x *Dispatcher) remember(g *gen, good bool) {
	if g.repeat == nil {
		return
	}
	window := x.window(g)
	x.repeats.End(x.loop.Now(), g.repeat, good, good || g.ran, window)
	if x.runs[g.repeat] == g {
		delete(x.runs, g.repeat)
		x.keepEnd(g.repeat, window)
	}
}

// forget: nothing of the generation is left.
func (x *Dispatcher) forget(g *gen) {
	for _, t := range []eventloop.Timer{g.limit, g.beat} {
		if t != nil {
			t.Stop()
		}
	}
	if g.part != nil && g.final == 0 {
		g.part.answered(g, lifecycle.Forget, 0) // taken back
	}
	x.front.BufferedBytes -= g.alone
	g.alone = 0
	x.remember(g, false) // where its client left before it was answered
	x.paid(g)
	x.loop.Defer(func() { // the module answers first and then lets go, in one call
		delete(x.gens, g.id)
		x.left()
	})
}

// carry makes a leg.
func (x *Dispatcher) carry(g *gen, reads bool, w what) {
	no := g.legs
	g.legs++
	x.Attempts++
	g.host = w.host
	name := x.engine.AttemptName(g.id, no)
	hear := engine.Callbacks{
		Event: func(data []byte) {
			if no == g.legs-1 {
				x.Events++
				x.take(g, lifecycle.EventReceived, what{data: data})
			}
		},
		Ended: func(o engine.Result) {
			if no == g.legs-1 {
				x.ended(g, o)
			}
		},
	}
	if g.part != nil {
		x.carryPart(g, name, w, hear)
		return
	}
	target := engine.Target{Endpoint: w.host, RequestID: name, ClientID: g.clientID, Timeout: w.allow}
	if reads {
		g.mayLie = append(g.mayLie, place{w.host, name})
		x.intendEarly(g)
		g.leg = x.engine.Prefill(target, g.ask, hear)
		return
	}
	g.ran, g.ranFirst = true, g.ran
	g.leg = nil
	x.intend(g, func(kept bool) {
		if no != g.legs-1 || g.State != lifecycle.Decoding {
			return // taken back, or answered, meanwhile
		}
		if e, some := x.hosts[w.host]; !kept || some && e.State() != scheduler.Ready || !some {
			// Not kept: it could run twice after a restart. Drained meanwhile: nothing new may go there.
			x.loop.Defer(func() { // never within the module's own call
				if no == g.legs-1 && g.State == lifecycle.Decoding {
					x.ended(g, engine.Result{Outcome: scheduler.NotSent, MemoryUsage: scheduler.NoLoadReport, Reason: "not sent: its intent is not kept, or the host is going"})
				}
			})
			return
		}
		request := engine.DecodeRequest{Chat: g.ask, KVParams: g.state, MaxTokens: g.ask.MaxTokens}
		g.leg = x.engine.Decode(target, request, hear)
	})
	x.late(g, no)
}

// ended takes the end of a leg.
func (x *Dispatcher) ended(g *gen, o engine.Result) {
	e := lifecycle.AttemptFailed
	switch o.Outcome {
	case scheduler.PrefillDone:
		e = lifecycle.PrefillCompleted
		if g.state = o.State; g.part != nil {
			e = lifecycle.PrefillOnlyCompleted
		}
	case scheduler.Completed:
		e = lifecycle.DecodeCompleted
	case scheduler.NoCapacity, scheduler.Unreachable, scheduler.NotSent:
		e = lifecycle.AttemptRejected
		if n := len(g.mayLie); n > 0 && g.State == lifecycle.Prefilling {
			g.mayLie = g.mayLie[:n-1]
		}
		if g.State == lifecycle.Decoding {
			g.ran = g.ranFirst
		}
	}
	if g.part != nil {
		if o.Outcome == scheduler.Errored || o.Outcome == scheduler.ConnectionLost {
			g.part.broken++
		}
		g.part.bad = g.part.bad || o.InvalidRequest
		if g.part.bad || g.part.broken == batch.MaxEndpoints { // no other host would do better; the call sees to what is the matter
			x.take(g, lifecycle.ClientDisconnected)
		}
	}
	if o.Outcome != scheduler.Completed && o.Outcome != scheduler.PrefillDone {
		x.post.Log.Debug().Uint64("gen", uint64(g.id)).Int("leg", int(g.legs)-1).Uint32("host", uint32(g.host)).
			Int("ending", int(o.Outcome)).Str("why", o.Reason).Msg("leg ended")
	}
	x.take(g, e, what{outcome: o})
	if len(g.replies) == 0 && g.part == nil && (g.State == lifecycle.Pending || g.State == lifecycle.Prefilling) {
		x.take(g, lifecycle.ClientDisconnected) // its client left while it was written, and it is not: what has not run need not go on
	}
}

var usageMark = []byte(`"usage":{`)

// relay hands one event on to all that wait, and keeps it for those that may come.
func (x *Dispatcher) relay(g *gen, data []byte) {
	g.tokens++
	if bytes.Contains(data, usageMark) {
		if n := gjson.GetBytes(data, "usage.prompt_tokens").Int(); n > 0 {
			g.prompt = int(n)
			g.tokens = int(gjson.GetBytes(data, "usage.completion_tokens").Int()) // the writer's own count
		}
	}
	if g.repeat != nil {
		x.repeats.Event(g.repeat, data)
	}
	lags := false
	for _, r := range g.replies {
		lags = r.WriteEvent(data) || lags
	}
	if lags {
		x.take(g, lifecycle.ClientLagging)
	}
}

// wholeGrace is how long before a client's limit a whole answer that is still being written is given up.
const wholeGrace = 20 * eventloop.Millisecond

func (x *Dispatcher) note(g *gen, how, why string) {
	x.post.Log.Debug().Uint64("gen", uint64(g.id)).Str("client", g.clientID).Str("product", g.ask.Model).
		Str("final", how).Int("legs", int(g.legs)).Str("why", why).Msg("answered")
}

// --- The module's orders ---

// Send makes a leg.
func (x *Dispatcher) Send(id scheduler.RequestID, host scheduler.EndpointID, allow scheduler.Micros) {
	if g := x.gens[id]; g != nil {
		e := lifecycle.DecodeOrdered
		if x.role(host) == scheduler.Prefill || g.part != nil {
			e = lifecycle.PrefillOrdered
		}
		x.take(g, e, what{host: host, allow: allow})
	}
}

func (x *Dispatcher) role(id scheduler.EndpointID) scheduler.Role {
	for i, k := range x.Kinds {
		if k.Name == x.hosts[id].Kind {
			return x.place.Kinds[i].Role
		}
	}
	return scheduler.Decode
}

// Reject is the final answer of a generation that may come again.
func (x *Dispatcher) Reject(id scheduler.RequestID, comeBackIn scheduler.Micros) {
	if g := x.gens[id]; g != nil {
		x.take(g, lifecycle.RejectOrdered, what{comeBack: comeBackIn})
	}
}

// Fail is the final answer of a generation that failed.
func (x *Dispatcher) Fail(id scheduler.RequestID) {
	if g := x.gens[id]; g != nil {
		x.take(g, lifecycle.FailOrdered, what{why: "The generation failed."})
	}
}

// Cancel quits waiting for a leg. That it was cancelled is told after the module's call.
func (x *Dispatcher) Cancel(id scheduler.RequestID, no scheduler.AttemptNo) {
	if g := x.gens[id]; g != nil && no == g.legs-1 {
		x.take(g, lifecycle.CancelOrdered)
	}
}

// Release has every reader that may hold something for the generation drop it.
func (x *Dispatcher) Release(id scheduler.RequestID) {
	if g := x.gens[id]; g != nil {
		x.take(g, lifecycle.ReleaseOrdered)
	}
}

// WatchEndpoints asks for the list of hosts.
func (x *Dispatcher) WatchEndpoints() { x.list.Subscribe() }

// SetTimer sets one of the module's two timers.
func (x *Dispatcher) SetTimer(after scheduler.Micros, bell scheduler.TimerID) {
	x.loop.AfterFunc(after, func() {
		x.module.TimerFired(x.loop.Now(), bell)
		if bell == scheduler.PeriodicTimer && x.gate.QueueLength() > 0 {
			x.turns()
		}
	})
}

// Log writes the scheduler's events to the dispatcher's log.
func (x *Dispatcher) Log(event scheduler.Event) { schedulerlog.Write(&x.post.Log, event) }
