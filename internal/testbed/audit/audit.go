// Package audit judges a day by the record of what clients and stand-ins saw on their sockets. It knows the rules
// and nothing of the dispatcher.
package audit

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/record"
)

// Violation is one breach of a rule: the line of the record that shows it, and whose it is.
type Violation struct {
	Line    int
	Request string
	Text    string
}

// Rule is the verdict on one.
type Rule struct {
	Name       string
	Checked    int
	Violations []Violation
}

// Row is the service of one product, or one tenant.
type Row struct {
	Name                                            string
	Asked, Completed, InSLO, Rejected, Failed, Lost int
	Attempts                                        int
	FirstToken                                      *hdrhistogram.Histogram // µs to the first token
}

// Verdict is all that is said of a day.
type Verdict struct {
	Rules            [5]Rule
	Rows             []*Row
	PeakSlowStartUse float64 // the most of a cold host's budget that was used
	Service          float64 // revenue in the SLO time, and late by its share, over revenue asked for
}

// Passed tells that no rule was broken.
func (v *Verdict) Passed() bool {
	for _, r := range v.Rules {
		if len(r.Violations) > 0 {
			return false
		}
	}
	return true
}

const (
	// slack is for what two sockets' events may be apart in one process's record, µs; in virtual time, where all events have one
	// clock, they are apart by the network's latency only, which such a record states.
	slack       = 50_000
	breaksShown = 20
)

// away is a span in which a dispatcher could not do all that it owes: it stood still, or could not hear its hosts or be heard
// by them. Cut off from hosts it still owes its clients their answers.
type away struct {
	from, to int64
	cut      bool
}

type leg struct {
	line  int
	event record.Event
	end   int64
}

type tried struct {
	line, finals     int
	how, dispatcher  string
	product          string
	at, final, allow int64
}

type judge struct {
	d       deployment.Deployment
	v       *Verdict
	effects map[string]*pb.Product
	slack   int64
	away    map[string][]away  // by dispatcher
	killed  map[string][]int64 // when dispatchers were killed or told to end, by name
	refused map[string]int64   // when a host said that it had not run a leg
	tries   map[string]*tried
	order   []string
	legs    map[string][]*leg // by the dispatcher's generation
	byLeg   map[string]*leg
	ran     map[string][]int // lines, by the client's generation
}

// Judge reads a record.
func Judge(d deployment.Deployment, events []record.Event) *Verdict {
	j := &judge{d: d, v: &Verdict{}, effects: map[string]*pb.Product{}, killed: map[string][]int64{}, away: map[string][]away{},
		slack: slack, refused: map[string]int64{}, tries: map[string]*tried{}, legs: map[string][]*leg{}, byLeg: map[string]*leg{}, ran: map[string][]int{}}
	for i, name := range []string{"one final answer", "no effect twice", "drains kept", "no cold host pushed over",
		"nothing left pinned"} {
		j.v.Rules[i].Name = name
	}
	for _, p := range d.Products {
		j.effects[p.Name] = p
	}
	j.gather(events)
	j.answers(events)
	j.repeats(events)
	j.drains(events)
	j.cold(events)
	j.pinned(events)
	j.service(events)
	return j.v
}

func (j *judge) fail(rule, line int, gen, format string, args ...any) {
	r := &j.v.Rules[rule]
	r.Violations = append(r.Violations, Violation{line, gen, fmt.Sprintf(format, args...)})
}

// owner is the dispatcher's generation that a leg's name belongs to.
func owner(leg string) string {
	if at := strings.LastIndexByte(leg, '-'); at >= 0 {
		return leg[:at]
	}
	return leg
}

// gather puts together what belongs to one leg, and knows the ends of dispatchers and hosts.
func (j *judge) gather(events []record.Event) {
	at := map[uint32][]*leg{}
	for i, e := range events {
		switch e.Type {
		case record.NetworkLatency:
			j.slack = 4*e.Count + 2000
		case record.DispatcherUnavailable:
			j.away[e.Dispatcher] = append(j.away[e.Dispatcher], away{e.At, e.At + e.Count, e.Detail == record.Partitioned})
		case record.AttemptRefused:
			if _, before := j.refused[e.Attempt]; !before && slices.Contains(proofs, e.Detail) {
				j.refused[e.Attempt] = e.At
			}
		case record.DispatcherKilled:
			j.killed[e.Dispatcher] = append(j.killed[e.Dispatcher], e.At)
			if place, _, lives := strings.Cut(e.Dispatcher, "."); lives {
				j.killed[place] = append(j.killed[place], e.At)
			}
		case record.AttemptArrived:
			if l := j.byLeg[e.Attempt]; l != nil {
				j.fail(1, i+1, e.Request, "leg %s was sent twice (first on line %d)", e.Attempt, l.line)
				continue
			}
			l := &leg{line: i + 1, event: e}
			j.byLeg[e.Attempt] = l
			j.legs[owner(e.Attempt)] = append(j.legs[owner(e.Attempt)], l)
			at[e.Endpoint] = append(at[e.Endpoint], l)
		case record.ConnectionLost, record.AttemptAnswered, record.AttemptLeft:
			if l := j.byLeg[e.Attempt]; l != nil && l.end == 0 {
				l.end = e.At
			}
		case record.EndpointDown:
			for _, l := range at[e.Endpoint] {
				if l.end == 0 {
					l.end = e.At
				}
			}
			at[e.Endpoint] = nil
		case record.AttemptRan:
			j.ran[e.Request] = append(j.ran[e.Request], i+1)
		}
	}
}

// awayAt gives the end of the span in which a dispatcher was away at a moment, or just before it; the moment where it was not.
func (j *judge) awayAt(dispatcher string, at int64) int64 {
	end := at
	for again := true; again; { // one span may run into the next
		again = false
		for _, a := range j.away[dispatcher] {
			if a.from-slack <= end && a.to+slack > end {
				end, again = a.to+slack, true
			}
		}
	}
	return end
}

// stood tells whether a dispatcher stood still at a moment.
func (j *judge) stood(dispatcher string, at int64) bool {
	for _, a := range j.away[dispatcher] {
		if !a.cut && a.from-slack <= at && a.to+slack >= at {
			return true
		}
	}
	return false
}

// wasKilled tells whether a dispatcher was killed in a span.
func (j *judge) wasKilled(dispatcher string, from, to int64) bool {
	for _, at := range j.killed[dispatcher] {
		if at >= from-slack && at <= to+slack {
			return true
		}
	}
	return false
}

// proofs are the words by which a host says that it has not run a leg.
var proofs = []string{"full", "draining", "state_lost", "invalid_input"}

// place is where a dispatcher stands, whichever of its lives it is: a client can't tell which one it has reached.
func place(dispatcher string) string {
	at, _, _ := strings.Cut(dispatcher, ".")
	return at
}

// waited is the longest time of a span in which a dispatcher could have done something and did not: what it owed when it came
// back from being away counts from then.
func (j *judge) waited(dispatcher string, from, to int64) (most int64) {
	for from < to {
		if end := j.awayAt(dispatcher, from); end > from {
			from = end
			continue
		}
		next := to
		for _, a := range j.away[dispatcher] {
			if a.from-slack > from {
				next = min(next, a.from-slack)
			}
		}
		most = max(most, next-from)
		from = next
	}
	return most
}

// answers is rule 1: one final answer for each try that a running dispatcher took, in time, nothing after.
func (j *judge) answers(events []record.Event) {
	for i, e := range events {
		key := fmt.Sprintf("%s/%d", e.Request, e.ClientAttempt)
		switch e.Type {
		case record.RequestSent:
			if j.tries[key] == nil {
				j.tries[key] = &tried{line: i + 1, at: e.At, allow: int64(e.Value), dispatcher: e.Dispatcher, product: e.Product}
				j.order = append(j.order, key)
			}
		case record.FinalAnswer:
			t := j.tries[key]
			if t == nil {
				j.fail(0, i+1, e.Request, "an answer to what was never asked")
				continue
			}
			if t.finals++; t.finals > 1 {
				j.fail(0, i+1, e.Request, "a second final answer (%s after %s) to try %d", e.Detail, t.how, e.ClientAttempt)
				continue
			}
			t.how, t.final = e.Detail, e.At
			switch {
			case e.Detail == record.Completed && !e.Exact:
				j.fail(0, i+1, e.Request, "streamed, but not byte for byte what the writer gave")
			case e.Detail != record.Completed && e.Count == 0 && t.allow > 0 && e.At > t.at+t.allow+j.slack && !j.stood(e.Dispatcher, t.at) &&
				!j.stood(e.Dispatcher, t.at+t.allow):
				j.fail(0, i+1, e.Request, "answered %d ms after the client's time (%s, try %d)", (e.At-t.at-t.allow)/1000, e.Detail, e.ClientAttempt)
			case e.Detail == record.Completed || e.Detail == record.Rejected || e.Detail == record.Failed:
			case (e.Detail == record.Broken || e.Detail == record.GaveUp) && j.wasKilled(place(e.Dispatcher), t.at, e.At):
			case e.Detail == record.GaveUp && (j.stood(e.Dispatcher, t.at) || j.stood(e.Dispatcher, e.At)):
				// It could not answer then; or took the request later than it came, and counts its client's time from there.
			default:
				j.fail(0, i+1, e.Request, "no final answer to try %d: %s", e.ClientAttempt, e.Detail)
			}
		case record.BytesAfterFinal:
			j.fail(0, i+1, e.Request, "something came after the final answer (%s)", e.Detail)
		case record.MalformedAnswer:
			j.fail(0, i+1, e.Request, "malformed: %s", e.Detail)
		}
	}
	for _, key := range j.order {
		t := j.tries[key]
		j.v.Rules[0].Checked++
		if t.finals == 0 {
			j.fail(0, t.line, strings.Split(key, "/")[0], "asked, and never answered")
		}
	}
}

// repeats is rule 2: no effect twice, no throttling of what may have run, never two legs out.
func (j *judge) repeats(events []record.Event) {
	for _, gen := range sortedKeys(j.ran) {
		lines := j.ran[gen]
		j.v.Rules[1].Checked++
		first := events[lines[0]-1]
		p := j.effects[first.Product]
		for _, line := range lines[1:] {
			e := events[line-1]
			switch {
			case p == nil || p.Effect == pb.Product_IDEMPOTENT:
			case p.Effect == pb.Product_SIDE_EFFECTING:
				j.fail(1, line, gen, "a side-effecting write ran again (first on line %d)", lines[0])
			case e.At-first.At > int64(p.WindowMs)*1000+slack:
				j.fail(1, line, gen, "a deduplicated write ran %d ms after the first", (e.At-first.At)/1000)
			case p.Group == pb.Product_SAME_ZONE && e.Zone != first.Zone, p.Group == pb.Product_SAME_CELL && e.Cell != first.Cell:
				j.fail(1, line, gen, "a deduplicated write ran outside its group")
			}
		}
		if p == nil || p.Effect == pb.Product_IDEMPOTENT || p.Effect == pb.Product_DEDUPLICATED && p.Group == pb.Product_ALL_HOSTS {
			continue
		}
		for n := 1; n <= 9; n++ {
			if t := j.tries[fmt.Sprintf("%s/%d", gen, n)]; t != nil && t.how == record.Rejected && t.final+j.slack > first.At && t.at < first.At {
				j.fail(1, lines[0], gen, "throttled (try %d), though it ran", n)
			}
		}
	}
	j.throttlings(events)
	for _, own := range sortedKeys(j.legs) {
		legs := j.legs[own]
		for i, l := range legs[1:] {
			if before := legs[i]; before.end == 0 || l.event.At < before.end-j.slack {
				j.fail(1, l.line, l.event.Request, "leg %s while %s was out", l.event.Attempt, before.event.Attempt)
			}
		}
	}
}

// throttlings: what may not run twice is not told to come again while a write of it is at a host that has not said that it does
// not run it, whether it has begun by then or will.
func (j *judge) throttlings(events []record.Event) {
	legs := map[string][]*leg{} // by the client's generation
	for _, own := range sortedKeys(j.legs) {
		for _, l := range j.legs[own] {
			if l.event.Detail == record.Decode {
				legs[l.event.Request] = append(legs[l.event.Request], l)
			}
		}
	}
	for _, e := range events {
		if e.Type != record.FinalAnswer || e.Detail != record.Rejected {
			continue
		}
		t := j.tries[fmt.Sprintf("%s/%d", e.Request, e.ClientAttempt)]
		if t == nil {
			continue
		}
		p := j.effects[t.product]
		if p == nil || p.Effect == pb.Product_IDEMPOTENT || p.Effect == pb.Product_DEDUPLICATED && p.Group == pb.Product_ALL_HOSTS {
			continue
		}
		j.v.Rules[1].Checked++
		for _, l := range legs[e.Request] {
			if l.event.Dispatcher != e.Dispatcher || l.event.At < t.at || l.event.At > e.At {
				continue
			}
			if at, said := j.refused[l.event.Attempt]; !said || at > e.At+j.slack {
				j.fail(1, l.line, e.Request, "throttled (try %d) with leg %s at a host that had not refused it", e.ClientAttempt, l.event.Attempt)
			}
		}
	}
}

// drains is rule 3.
func (j *judge) drains(events []record.Event) {
	type pair struct {
		dispatcher string
		host       uint32
	}
	told := map[pair]record.Event{}
	grace := int64(j.d.Rules.DrainGraceMs)*1000 + j.slack
	// What was sent in time may come late where the way to the hosts was cut.
	late := func(dispatcher string, due, at int64) bool {
		for _, a := range j.away[dispatcher] {
			if a.cut && a.from-slack <= due && at <= a.to+slack {
				return true
			}
		}
		return false
	}
	for i, e := range events {
		key := pair{e.Dispatcher, e.Endpoint}
		switch e.Type {
		case record.UpdateDelivered:
			if e.Detail == "ready" {
				delete(told, key)
			} else if _, before := told[key]; !before {
				told[key] = e
			}
		case record.AttemptArrived:
			j.v.Rules[2].Checked++
			t, bound := told[key]
			if due := j.awayAt(e.Dispatcher, t.At) + grace; bound && e.At > due && !late(e.Dispatcher, due, e.At) {
				j.fail(2, i+1, e.Request, "sent to host %d, %d ms after %s was told that it is %s", e.Endpoint, (e.At-t.At)/1000, e.Dispatcher, t.Detail)
			}
		}
	}
}

// cold is rule 4. What the hosts say of themselves counts, and what their sockets were seen to take is added up here once more, by
// the deployment alone.
func (j *judge) cold(events []record.Event) {
	type came struct {
		at   int64
		work float64
	}
	started, all := map[uint32]int64{}, map[uint32][]came{}
	for i, e := range events {
		switch e.Type {
		case record.EndpointUp:
			started[e.Endpoint], all[e.Endpoint] = e.Count, nil
		case record.AttemptArrived:
			age := e.At - started[e.Endpoint]
			could := j.could(e.Kind, age)
			if started[e.Endpoint] == 0 || could == 0 {
				break
			}
			sum, span := e.Value, int64(j.d.Rules.FallMs)*1000
			all[e.Endpoint] = slices.DeleteFunc(all[e.Endpoint], func(c came) bool { return c.at < e.At-span })
			for _, c := range all[e.Endpoint] {
				sum += c.work
			}
			all[e.Endpoint] = append(all[e.Endpoint], came{e.At, e.Value})
			used := sum / (j.d.Rules.FallMultiple * could * float64(span) / 1e6)
			j.v.Rules[3].Checked++
			if n := len(all[e.Endpoint]); used > 1 && n > 1 {
				j.fail(3, i+1, e.Request, "cold host %d was sent %.2f of what a sound one bears %d ms after its start, in %d legs", e.Endpoint, used, age/1000, n)
			}
		case record.SlowStartLoad:
			j.v.Rules[3].Checked++
			j.v.PeakSlowStartUse = max(j.v.PeakSlowStartUse, e.Value)
			if e.Value > 1 {
				j.fail(3, i+1, "", "cold host %d was sent %.2f of what it bears, in %d legs", e.Endpoint, e.Value, e.Count)
			}
		case record.ChatAtEmbedder:
			j.fail(2, i+1, e.Request, "chat was sent to host %d, which only embeds", e.Endpoint)
		case record.EndpointOverloaded:
			j.fail(3, i+1, "", "cold host %d fell over", e.Endpoint)
		}
	}
}

// could is the work a second that a host of a kind can do so long after its start; 0 where it is warm, or no group tells.
func (j *judge) could(kind string, age int64) float64 {
	r := j.d.Rules
	if j.d.Fleet == nil || age >= int64(r.ColdMs)*1000 {
		return 0
	}
	for _, g := range j.d.Fleet.Groups {
		if g.Kind != kind {
			continue
		}
		could := g.ReadTokensPerS
		for _, k := range j.d.Kinds {
			if k.Name == kind && k.Role == pb.Kind_WRITER {
				could = float64(g.Slots) * 1e6 / float64(g.StepUs+g.StepUsPerStream*g.Slots)
			}
		}
		warm := float64(r.ColdMs) * 1000 * 9 / 10
		return could * min(r.ColdFrom+(1-r.ColdFrom)*float64(age)/warm, 1)
	}
	return 0
}

// pinned is rule 5: no state waits for longer than it may while no leg of its generation is out.
func (j *judge) pinned(events []record.Event) {
	if len(events) == 0 {
		return
	}
	type held struct {
		line int
		e    record.Event
	}
	holds := map[string]held{}
	byHost := map[uint32]map[string]bool{}
	most := int64(j.d.Rules.LetGoMs)*1000 + j.slack
	close := func(h held, to int64) {
		j.v.Rules[4].Checked++
		if j.wasKilled(h.e.Dispatcher, h.e.At, to) {
			return
		}
		// The stretches in which no leg was out, between the ends and the beginnings of the others.
		free, longest := h.e.At, int64(0)
		for _, l := range j.legs[owner(h.e.Attempt)] {
			end := l.end
			if end == 0 {
				end = to
			}
			if l.event.At < to && end > free {
				longest = max(longest, j.waited(h.e.Dispatcher, free, l.event.At))
				free = end
			}
		}
		if longest = max(longest, j.waited(h.e.Dispatcher, free, to)); longest > most {
			j.fail(4, h.line, h.e.Request, "the state of leg %s waited for %d ms with no leg out", h.e.Attempt, longest/1000)
		}
	}
	for i, e := range events {
		switch e.Type {
		case record.StatePinned:
			holds[e.Attempt] = held{i + 1, e}
			if byHost[e.Endpoint] == nil {
				byHost[e.Endpoint] = map[string]bool{}
			}
			byHost[e.Endpoint][e.Attempt] = true
		case record.StateFetched, record.StateReleased, record.StateLeaseExpired:
			if h, some := holds[e.Attempt]; some {
				close(h, e.At)
				delete(holds, e.Attempt)
				delete(byHost[e.Endpoint], e.Attempt)
			}
		case record.EndpointDown:
			for name := range byHost[e.Endpoint] {
				close(holds[name], e.At)
				delete(holds, name)
			}
			delete(byHost, e.Endpoint)
		}
	}
	end := events[len(events)-1].At
	for _, name := range sortedKeys(holds) {
		close(holds[name], end)
	}
}

// service fills the table.
func (j *judge) service(events []record.Event) {
	rows := map[string]*Row{}
	row := func(name string) *Row {
		r := rows[name]
		if r == nil {
			r = &Row{Name: name, FirstToken: hdrhistogram.New(1, 60_000_000, 3)}
			rows[name] = r
			j.v.Rows = append(j.v.Rows, r)
		}
		return r
	}
	legs := map[string]int{}
	for _, e := range events {
		if e.Type == record.AttemptArrived {
			legs[e.Request]++
		}
	}
	var earned, asked float64
	for _, e := range events {
		if e.Type != record.RequestOver {
			continue
		}
		p := j.effects[e.Product]
		worth := 1.0
		if p != nil {
			worth = p.Revenue
		}
		asked += worth
		for _, r := range []*Row{row("all"), row("product " + e.Product), row("tenant " + e.Tenant)} {
			r.Asked++
			r.Attempts += legs[e.Request]
			switch e.Detail {
			case record.Completed:
				r.Completed++
				_ = r.FirstToken.RecordValue(max(e.Count, 1))
				if e.Exact {
					r.InSLO++
				}
			case record.Rejected:
				r.Rejected++
			case record.Failed:
				r.Failed++
			default:
				r.Lost++
			}
		}
		switch {
		case e.Detail == record.Completed && e.Exact:
			earned += worth
		case e.Detail == record.Completed && p != nil:
			earned += worth * p.LateShare
		}
	}
	sort.SliceStable(j.v.Rows, func(a, b int) bool { return j.v.Rows[a].Name < j.v.Rows[b].Name })
	if asked > 0 {
		j.v.Service = earned / asked
	}
}

// Text is the verdict as it is printed.
func (v *Verdict) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s %6s %9s %7s %9s %10s %6s %9s %9s %5s\n", "", "asked", "streamed", "in SLO", "throttled", "terminated",
		"other", "p50 ms", "p99 ms", "legs")
	for _, r := range v.Rows {
		n := float64(max(r.Asked, 1))
		fmt.Fprintf(&b, "%-24s %6d %9.3f %7.3f %9.3f %10.3f %6.3f %9.0f %9.0f %5.2f\n", r.Name, r.Asked, float64(r.Completed)/n,
			float64(r.InSLO)/n, float64(r.Rejected)/n, float64(r.Failed)/n, float64(r.Lost)/n,
			float64(r.FirstToken.ValueAtQuantile(50))/1000, float64(r.FirstToken.ValueAtQuantile(99))/1000, float64(r.Attempts)/n)
	}
	fmt.Fprintf(&b, "service %.3f (revenue in its SLO time, late by its share, over revenue asked for); cold budget used at most %.2f\n", v.Service, v.PeakSlowStartUse)
	for i, r := range v.Rules {
		if len(r.Violations) == 0 {
			fmt.Fprintf(&b, "rule %d, %s: kept (%d checked)\n", i+1, r.Name, r.Checked)
			continue
		}
		fmt.Fprintf(&b, "rule %d, %s: BROKEN %d times (%d checked)\n", i+1, r.Name, len(r.Violations), r.Checked)
		for k, x := range r.Violations {
			if k == breaksShown {
				fmt.Fprintf(&b, "  and %d more\n", len(r.Violations)-k)
				break
			}
			fmt.Fprintf(&b, "  line %d, generation %s: %s\n", x.Line, x.Request, x.Text)
		}
	}
	return b.String()
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
