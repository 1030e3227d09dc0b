package scenarios

import (
	"context"
	"errors"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

// RunRestart plays one restart of all dispatchers in virtual time: they keep their lists, die together, and come back after a
// while in which a share of the hosts has been replaced by others elsewhere, with discovery answering or not. The script's
// seconds and rate are those after the return.
func (p *Run) RunRestart(away eventloop.Micros, replaced float64, discovery bool) (v *audit.Verdict, left int, err error) {
	text := p.prepare()
	if p.book, err = openRecord(p.RecordDir, text); err != nil {
		return nil, 0, err
	}
	w := virtual.NewNetwork(p.Seed)
	fleetAt, crowdAt := w.NewLoop("fleet"), w.NewLoop("crowd")
	p.fleetAt, p.crowdAt = fleetAt, crowdAt
	fleetAt.Do(func() { p.fleet, err = modelserver.Start(fleetAt, p.Deployment, p.Seed, "127.0.0.1:0", p.book) })
	if err != nil {
		return nil, 0, err
	}
	var all []*lives
	var targets []*load.Target
	for i := range p.Dispatchers {
		l := &lives{play: p, world: w, no: i + 1, folder: w.NewDisk(), target: &load.Target{Zone: p.Deployment.Zones[i%len(p.Deployment.Zones)],
			Addr: "127.0.0.1:0", Alive: true}}
		if err := l.start(); err != nil {
			return nil, 0, err
		}
		all = append(all, l)
		targets = append(targets, l.target)
	}
	w.Run(3 * eventloop.Second) // for the list, and for its keeping
	for _, l := range all {
		if len(l.kept) == 0 {
			return nil, 0, errors.New("a dispatcher kept no list")
		}
		p.book.Add(record.Event{At: int64(w.Now()), Type: "killed", Dispatcher: l.target.Name})
		l.loop.Kill()
	}
	w.Run(away / 2)
	fleetAt.Do(func() {
		err = p.fleet.Replace(replaced)
		if !discovery {
			p.fleet.Discovery.Close()
		}
	})
	if err != nil {
		return nil, 0, err
	}
	w.Run(away - away/2)
	for _, l := range all {
		if err := l.start(); err != nil {
			return nil, 0, err
		}
	}
	p.begin(context.Background(), targets)
	w.Run(eventloop.Micros(p.Script.Seconds) * eventloop.Second)
	crowdAt.Do(p.crowd.Stop)
	w.RunUntil(eventloop.Micros(endWithin.Microseconds()), func() bool { return p.crowd.Open == 0 })
	w.Run(eventloop.Second)
	for _, l := range all {
		left += l.x.OpenRequests()
	}
	events, err := p.book.Close()
	if err = errors.Join(err, p.failed); err != nil {
		return nil, left, err
	}
	p.events = events
	return audit.Judge(p.Deployment, events), left, nil
}

// Events are what clients and hosts saw on a played day.
func (p *Run) Events() []record.Event { return p.events }

// CompletedInSecond is how many generations were first asked for in one second of the day, and how many of them were streamed.
func (p *Run) CompletedInSecond(second int) (asked, streamed int) {
	in, first := map[string]bool{}, int64(0)
	for _, e := range p.events {
		if e.Type == "ask" && e.ClientAttempt == 1 {
			if first == 0 {
				first = e.At
			}
			if (e.At-first)/1e6 == int64(second) {
				in[e.Request] = true
			}
		}
	}
	for _, e := range p.events {
		if e.Type == "over" && in[e.Request] {
			if asked++; e.Detail == "streamed" {
				streamed++
			}
		}
	}
	return asked, streamed
}

// WithinSLOBySecond gives, for each second of a played day's load, how many generations were asked for and how many of them got their
// answer within the SLO time.
func (p *Run) WithinSLOBySecond() (asked, in []int) {
	at, first := map[string]int64{}, int64(0)
	for _, e := range p.events {
		if e.Type == "ask" && e.ClientAttempt == 1 {
			if first == 0 {
				first = e.At
			}
			at[e.Request] = (e.At - first) / 1e6
		}
	}
	asked, in = make([]int, p.Script.Seconds+1), make([]int, p.Script.Seconds+1)
	for _, e := range p.events {
		if s, some := at[e.Request]; e.Type == "over" && some && int(s) < len(asked) {
			asked[s]++
			if e.Detail == "streamed" && e.Exact {
				in[s]++
			}
		}
	}
	return asked, in
}
