// Package audit judges a day by the record of what clients and stand-ins saw on their sockets. It knows the rules
// and nothing of the dispatcher.
package audit

import (
	"fmt"
	"sort"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/lab/record"
)

// Break is one breach of a rule: the line of the record that shows it, and whose it is.
type Break struct {
	Line int
	Gen  string
	Text string
}

// Rule is the verdict on one.
type Rule struct {
	Name    string
	Checked int
	Breaks  []Break
}

// Row is the service of one product, or one tenant.
type Row struct {
	Name                                            string
	Asked, Streamed, InSLO, Throttled, Failed, Lost int
	Legs                                            int
	First                                           *hdrhistogram.Histogram // µs to the first token
}

// Verdict is all that is said of a day.
type Verdict struct {
	Rules    [5]Rule
	Rows     []*Row
	ColdMost float64 // the most of a cold host's budget that was used
	Service  float64 // revenue in the SLO time, and late by its share, over revenue asked for
}

// Kept tells that no rule was broken.
func (v *Verdict) Kept() bool {
	for _, r := range v.Rules {
		if len(r.Breaks) > 0 {
			return false
		}
	}
	return true
}

const (
	// slack is for what two sockets' events may be apart in one process's record, µs.
	slack       = 50_000
	breaksShown = 20
)

type leg struct {
	line  int
	event record.Event
	end   int64
}

type tried struct {
	line, finals int
	how          string
	at, final    int64
}

type judge struct {
	d       deployment.Deployment
	v       *Verdict
	effects map[string]*pb.Product
	away    map[string][][2]int64 // when dispatchers did nothing, or were cut off from what they would have had to hear
	killed  map[string][]int64    // when dispatchers were killed or told to end, by name
	tries   map[string]*tried
	order   []string
	legs    map[string][]*leg // by the dispatcher's generation
	byLeg   map[string]*leg
	ran     map[string][]int // lines, by the client's generation
}

// Judge reads a record.
func Judge(d deployment.Deployment, events []record.Event) *Verdict {
	j := &judge{d: d, v: &Verdict{}, effects: map[string]*pb.Product{}, killed: map[string][]int64{}, away: map[string][][2]int64{},
		tries: map[string]*tried{}, legs: map[string][]*leg{}, byLeg: map[string]*leg{}, ran: map[string][]int{}}
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
	r.Breaks = append(r.Breaks, Break{line, gen, fmt.Sprintf(format, args...)})
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
		switch e.What {
		case "away":
			j.away[e.Dispatcher] = append(j.away[e.Dispatcher], [2]int64{e.At, e.At + e.N})
		case "killed":
			j.killed[e.Dispatcher] = append(j.killed[e.Dispatcher], e.At)
		case "leg":
			if l := j.byLeg[e.Leg]; l != nil {
				j.fail(1, i+1, e.Gen, "leg %s was sent twice (first on line %d)", e.Leg, l.line)
				continue
			}
			l := &leg{line: i + 1, event: e}
			j.byLeg[e.Leg] = l
			j.legs[owner(e.Leg)] = append(j.legs[owner(e.Leg)], l)
			at[e.Host] = append(at[e.Host], l)
		case "quit", "answered", "left":
			if l := j.byLeg[e.Leg]; l != nil && l.end == 0 {
				l.end = e.At
			}
		case "down":
			for _, l := range at[e.Host] {
				if l.end == 0 {
					l.end = e.At
				}
			}
			at[e.Host] = nil
		case "ran":
			j.ran[e.Gen] = append(j.ran[e.Gen], i+1)
		}
	}
}

// wasAway tells whether a dispatcher did nothing, or could not hear or be heard, at some time in a span.
func (j *judge) wasAway(dispatcher string, from, to int64) bool {
	for _, a := range j.away[dispatcher] {
		if a[1]+slack >= from && a[0]-slack <= to {
			return true
		}
	}
	return false
}

// wasKilled tells whether a dispatcher could not do what it owed in a span: it was killed, or away.
func (j *judge) wasKilled(dispatcher string, from, to int64) bool {
	if j.wasAway(dispatcher, from, to) {
		return true
	}
	for _, at := range j.killed[dispatcher] {
		if at >= from-slack && at <= to+slack {
			return true
		}
	}
	return false
}

// answers is rule 1: one final answer for each try that a running dispatcher took, in time, nothing after.
func (j *judge) answers(events []record.Event) {
	for i, e := range events {
		key := fmt.Sprintf("%s/%d", e.Gen, e.Try)
		switch e.What {
		case "ask":
			if j.tries[key] == nil {
				j.tries[key] = &tried{line: i + 1, at: e.At}
				j.order = append(j.order, key)
			}
		case "final":
			t := j.tries[key]
			if t == nil {
				j.fail(0, i+1, e.Gen, "an answer to what was never asked")
				continue
			}
			if t.finals++; t.finals > 1 {
				j.fail(0, i+1, e.Gen, "a second final answer (%s after %s) to try %d", e.How, t.how, e.Try)
				continue
			}
			t.how, t.final = e.How, e.At
			switch {
			case e.How == "streamed" && !e.Exact:
				j.fail(0, i+1, e.Gen, "streamed, but not byte for byte what the writer gave")
			case e.How == "streamed" || e.How == "throttled" || e.How == "terminated":
			case (e.How == "broken" || e.How == "gave_up") && j.wasKilled(e.Dispatcher, t.at, e.At):
			default:
				j.fail(0, i+1, e.Gen, "no final answer to try %d: %s", e.Try, e.How)
			}
		case "after":
			j.fail(0, i+1, e.Gen, "something came after the final answer (%s)", e.How)
		case "malformed":
			j.fail(0, i+1, e.Gen, "malformed: %s", e.How)
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
			if t := j.tries[fmt.Sprintf("%s/%d", gen, n)]; t != nil && t.how == "throttled" && t.final+slack > first.At && t.at < first.At {
				j.fail(1, lines[0], gen, "throttled (try %d), though it ran", n)
			}
		}
	}
	for _, own := range sortedKeys(j.legs) {
		legs := j.legs[own]
		for i, l := range legs[1:] {
			if before := legs[i]; before.end == 0 || l.event.At < before.end-slack {
				j.fail(1, l.line, l.event.Gen, "leg %s while %s was out", l.event.Leg, before.event.Leg)
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
	grace := int64(j.d.Rules.DrainGraceMs)*1000 + slack
	for i, e := range events {
		key := pair{e.Dispatcher, e.Host}
		switch e.What {
		case "told":
			if e.How == "ready" {
				delete(told, key)
			} else if _, before := told[key]; !before {
				told[key] = e
			}
		case "leg":
			j.v.Rules[2].Checked++
			if t, bound := told[key]; bound && e.At > t.At+grace && !j.wasAway(e.Dispatcher, t.At, e.At) {
				j.fail(2, i+1, e.Gen, "sent to host %d, %d ms after %s was told that it is %s", e.Host, (e.At-t.At)/1000, e.Dispatcher, t.How)
			}
		}
	}
}

// cold is rule 4.
func (j *judge) cold(events []record.Event) {
	for i, e := range events {
		switch e.What {
		case "cold":
			j.v.Rules[3].Checked++
			j.v.ColdMost = max(j.v.ColdMost, e.Value)
			if e.Value > 1 {
				j.fail(3, i+1, "", "cold host %d was sent %.2f of what it bears, in %d legs", e.Host, e.Value, e.N)
			}
		case "misled":
			j.fail(2, i+1, e.Gen, "chat was sent to host %d, which only embeds", e.Host)
		case "fell":
			j.fail(3, i+1, "", "cold host %d fell over", e.Host)
		}
	}
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
	most := int64(j.d.Rules.LetGoMs)*1000 + slack
	close := func(h held, to int64) {
		j.v.Rules[4].Checked++
		if j.wasKilled(h.e.Dispatcher, h.e.At, to) {
			return
		}
		// The stretches in which no leg was out, between the ends and the beginnings of the others.
		free := h.e.At
		for _, l := range j.legs[owner(h.e.Leg)] {
			end := l.end
			if end == 0 {
				end = to
			}
			if l.event.At < to && end > free {
				if l.event.At-free > most {
					break
				}
				free = end
			}
		}
		if to-free > most {
			j.fail(4, h.line, h.e.Gen, "the state of leg %s waited for %d ms with no leg out", h.e.Leg, (to-free)/1000)
		}
	}
	for i, e := range events {
		switch e.What {
		case "hold":
			holds[e.Leg] = held{i + 1, e}
			if byHost[e.Host] == nil {
				byHost[e.Host] = map[string]bool{}
			}
			byHost[e.Host][e.Leg] = true
		case "took", "released", "lease":
			if h, some := holds[e.Leg]; some {
				close(h, e.At)
				delete(holds, e.Leg)
				delete(byHost[e.Host], e.Leg)
			}
		case "down":
			for name := range byHost[e.Host] {
				close(holds[name], e.At)
				delete(holds, name)
			}
			delete(byHost, e.Host)
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
			r = &Row{Name: name, First: hdrhistogram.New(1, 60_000_000, 3)}
			rows[name] = r
			j.v.Rows = append(j.v.Rows, r)
		}
		return r
	}
	legs := map[string]int{}
	for _, e := range events {
		if e.What == "leg" {
			legs[e.Gen]++
		}
	}
	var earned, asked float64
	for _, e := range events {
		if e.What != "over" {
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
			r.Legs += legs[e.Gen]
			switch e.How {
			case "streamed":
				r.Streamed++
				_ = r.First.RecordValue(max(e.N, 1))
				if e.Exact {
					r.InSLO++
				}
			case "throttled":
				r.Throttled++
			case "terminated":
				r.Failed++
			default:
				r.Lost++
			}
		}
		switch {
		case e.How == "streamed" && e.Exact:
			earned += worth
		case e.How == "streamed" && p != nil:
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
		fmt.Fprintf(&b, "%-24s %6d %9.3f %7.3f %9.3f %10.3f %6.3f %9.0f %9.0f %5.2f\n", r.Name, r.Asked, float64(r.Streamed)/n,
			float64(r.InSLO)/n, float64(r.Throttled)/n, float64(r.Failed)/n, float64(r.Lost)/n,
			float64(r.First.ValueAtQuantile(50))/1000, float64(r.First.ValueAtQuantile(99))/1000, float64(r.Legs)/n)
	}
	fmt.Fprintf(&b, "service %.3f (revenue in its SLO time, late by its share, over revenue asked for); cold budget used at most %.2f\n", v.Service, v.ColdMost)
	for i, r := range v.Rules {
		if len(r.Breaks) == 0 {
			fmt.Fprintf(&b, "rule %d, %s: kept (%d checked)\n", i+1, r.Name, r.Checked)
			continue
		}
		fmt.Fprintf(&b, "rule %d, %s: BROKEN %d times (%d checked)\n", i+1, r.Name, len(r.Breaks), r.Checked)
		for k, x := range r.Breaks {
			if k == breaksShown {
				fmt.Fprintf(&b, "  and %d more\n", len(r.Breaks)-k)
				break
			}
			fmt.Fprintf(&b, "  line %d, generation %s: %s\n", x.Line, x.Gen, x.Text)
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
