package days

import (
	"context"
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"plumspindle/internal/dispatch"
	"plumspindle/internal/lab/audit"
	"plumspindle/internal/lab/hosts"
	"plumspindle/internal/lab/load"
	"plumspindle/internal/lab/record"
	"plumspindle/internal/seam"
	"plumspindle/internal/store"
	"plumspindle/internal/virtual"
)

// lives is one dispatcher of a virtual day, over all its lives.
type lives struct {
	play   *Play
	world  *virtual.World
	target *load.Target
	no, n  int
	loop   *virtual.Loop
	x      *dispatch.Dispatcher
	kept   []byte
	folder *virtual.Folder
}

func (l *lives) start() (err error) {
	p := l.play
	l.n++
	name := fmt.Sprintf("d%d.%d", l.no, l.n)
	l.loop = l.world.Loop(name)
	post := dispatch.Post{Name: name, Zone: l.target.Zone, Seed: p.Seed*100 + int64(l.no*10+l.n), Roster: p.fleet.Roster.Addr,
		Kept: [][]byte{l.kept}, Keep: func(b []byte) { l.kept = b }, Log: zerolog.Nop()}
	l.loop.Do(func() {
		if p.Intents {
			if post.Intents, err = store.Open(l.folder.For(l.loop), store.Usual); err != nil {
				return
			}
		}
		if l.x, err = dispatch.Start(l.loop, p.Deployment, post); err != nil {
			return
		}
		ln, e := l.loop.Listen(l.target.Addr, l.x.Front().Accept)
		if e != nil {
			err = e
			return
		}
		l.target.Addr, l.target.Name = ln.Addr(), name
	})
	return err
}

func (l *lives) crash(_ context.Context, back seam.Micros) {
	p := l.play
	p.book.Add(record.Event{At: int64(l.world.Now()), What: "killed", Dispatcher: l.target.Name})
	l.loop.Kill()
	p.fleetAt.After(back, func() {
		if err := l.start(); err != nil {
			p.failed = errors.Join(p.failed, fmt.Errorf("dispatcher %d did not come back: %w", l.no, err))
		}
	})
}

// Virtual plays the day in virtual time, in this one process: the dispatchers' own code, the same stand-ins, the
// same clients. It gives the verdict, what is left in the dispatchers, and the hash of all that happened.
func (p *Play) Virtual(segment int) (v *audit.Verdict, left int, trace uint64, err error) {
	text := p.prepare()
	if err := p.fits(); err != nil {
		return nil, 0, 0, err
	}
	if p.book, err = openRecord(p.Record, text); err != nil {
		return nil, 0, 0, err
	}
	w := virtual.New(p.Seed)
	w.Segment = segment
	fleetAt, crowdAt := w.Loop("fleet"), w.Loop("crowd")
	p.fleetAt, p.crowdAt = fleetAt, crowdAt
	fleetAt.Do(func() { p.fleet, err = hosts.Start(fleetAt, p.Deployment, p.Seed, "127.0.0.1:0", p.book) })
	if err != nil {
		return nil, 0, 0, err
	}
	var all []*lives
	var targets []*load.Target
	for i := range p.Dispatchers {
		l := &lives{play: p, world: w, no: i + 1, folder: w.Folder(), target: &load.Target{Zone: p.Deployment.Zones[i%len(p.Deployment.Zones)],
			Addr: "127.0.0.1:0", Alive: true}}
		if err := l.start(); err != nil {
			return nil, 0, 0, err
		}
		all = append(all, l)
		p.servers = append(p.servers, l)
		targets = append(targets, l.target)
	}
	w.Run(100 * seam.Millisecond)
	p.begin(context.Background(), targets)
	w.Run(seam.Micros(p.Script.Seconds) * seam.Second)
	crowdAt.Do(p.stop)
	w.Until(seam.Micros(endWithin.Microseconds()), func() bool { return p.open() == 0 })
	w.Run(seam.Second) // what was held is let go by then
	for _, l := range all {
		p.Used = append(p.Used, l.x.Usage()...)
		left += l.x.Running()
		for _, line := range l.x.Remains() {
			if p.Progress != nil {
				fmt.Fprintln(p.Progress, line)
			}
		}
	}
	events, err := p.book.Close()
	if err = errors.Join(err, p.failed); err != nil {
		return nil, left, w.Trace, err
	}
	p.events = events
	return audit.Judge(p.Deployment, events), left, w.Trace, nil
}
