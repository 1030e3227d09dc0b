package scenarios

import (
	"context"
	"errors"
	"fmt"

	"github.com/rs/zerolog"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

// lives is one dispatcher of a virtual day, over all its lives.
type lives struct {
	play   *Run
	world  *virtual.Network
	target *load.Target
	no, n  int
	loop   *virtual.Loop
	x      *dispatch.Dispatcher
	kept   []byte
	skew   eventloop.Micros
	down   bool
	back   eventloop.Micros // it can do nothing before this
	folder *virtual.Disk
}

func (l *lives) start() (err error) {
	p := l.play
	l.n++
	l.down = false
	name := fmt.Sprintf("d%d.%d", l.no, l.n)
	l.loop = l.world.NewLoop(name)
	l.loop.StepClock(l.skew)
	var at eventloop.Loop = l.loop
	if p.Mutant != nil && p.Mutant.Loop != nil {
		at = p.Mutant.Loop(l.loop)
	}
	post := dispatch.Config{Name: name, Mutation: p.Mutant.dispatcher(), Zone: l.target.Zone, Seed: p.Seed*100 + int64(l.no*10+l.n), Discovery: p.fleet.Discovery.Addr,
		CachedEndpoints: [][]byte{l.kept}, CacheEndpoints: func(b []byte) { l.kept = b }, Log: zerolog.Nop()}
	l.loop.Do(func() {
		if p.Mutant != nil && p.Mutant.Disk != nil {
			p.Mutant.Disk(l.folder)
		}
		if p.Intents {
			if post.Intents, err = store.Open(l.folder.AttachTo(l.loop), store.DefaultLimits); err != nil {
				return
			}
		}
		if l.x, err = dispatch.Start(at, p.Deployment, post); err != nil {
			return
		}
		ln, e := at.Listen(l.target.Addr, l.x.Front().Accept)
		if e != nil {
			err = e
			return
		}
		l.target.Addr, l.target.Name = ln.Addr(), name
	})
	return err
}

func (l *lives) crash(_ context.Context, back eventloop.Micros) {
	p := l.play
	if l.down {
		return
	}
	l.down = true
	p.book.Add(record.Event{At: int64(l.world.Now()), Type: "killed", Dispatcher: l.target.Name})
	l.loop.Kill()
	p.fleetAt.AfterFunc(back, func() {
		if err := l.start(); err != nil {
			p.failed = errors.Join(p.failed, fmt.Errorf("dispatcher %d did not come back: %w", l.no, err))
		}
	})
}

func (l *lives) squeeze(left int) func() {
	at := l.loop
	at.DescriptorLimit = at.OpenConnections() + left
	return func() { at.DescriptorLimit = 0 }
}

// RunVirtual plays the day in virtual time, in this one process: the dispatchers' own code, the same stand-ins, the
// same clients. It gives the verdict, what is left in the dispatchers, and the hash of all that happened.
func (p *Run) RunVirtual(segment int) (v *audit.Verdict, left int, trace uint64, err error) {
	text := p.prepare()
	if err := p.fits(); err != nil {
		return nil, 0, 0, err
	}
	if p.book, err = openRecord(p.RecordDir, text); err != nil {
		return nil, 0, 0, err
	}
	w := virtual.NewNetwork(p.Seed)
	w.MaxSegment = segment
	if v := p.Script.World; v != nil {
		w.Latency, w.MaxSegment = max(eventloop.Micros(v.LatencyUs), 1), int(v.Segment)
	}
	p.world = w
	p.book.Add(record.Event{At: int64(w.Now()), Type: "world", Count: int64(w.Latency)})
	fleetAt, crowdAt := w.NewLoop("fleet"), w.NewLoop("crowd")
	p.fleetAt, p.crowdAt = fleetAt, crowdAt
	fleetAt.Do(func() { p.fleet, err = modelserver.Start(fleetAt, p.Deployment, p.Seed, "127.0.0.1:0", p.book) })
	if err != nil {
		return nil, 0, 0, err
	}
	var all []*lives
	var targets []*load.Target
	for i := range p.Dispatchers {
		l := &lives{play: p, world: w, no: i + 1, folder: w.NewDisk(), target: &load.Target{Zone: p.Deployment.Zones[i%len(p.Deployment.Zones)],
			Addr: "127.0.0.1:0", Alive: true}}
		if err := l.start(); err != nil {
			return nil, 0, 0, err
		}
		all = append(all, l)
		p.servers = append(p.servers, l)
		targets = append(targets, l.target)
	}
	w.Run(100 * eventloop.Millisecond)
	p.all = all
	w.AfterStep, w.ExtraLatency = p.AfterStep, p.Delay
	p.begin(context.Background(), targets)
	w.Run(eventloop.Micros(p.Script.Seconds) * eventloop.Second)
	crowdAt.Do(p.stop)
	w.RunUntil(eventloop.Micros(endWithin.Microseconds()), func() bool { return p.open() == 0 })
	w.Run(eventloop.Second) // what was held is let go by then
	p.Steps = w.Steps
	for _, l := range all {
		p.Reached = append(p.Reached, l.x.Coverage)
		p.Usage = append(p.Usage, l.x.Usage()...)
		left += l.x.OpenRequests()
		for _, line := range l.x.DescribeOpen() {
			if p.Progress != nil {
				fmt.Fprintln(p.Progress, line)
			}
		}
	}
	events, err := p.book.Close()
	if err = errors.Join(err, p.failed); err != nil {
		return nil, left, w.TraceHash, err
	}
	p.events = events
	return audit.Judge(p.Deployment, events), left, w.TraceHash, nil
}

// Check asks each dispatcher that lives whether its own state is what it should be.
func (p *Run) Check() error {
	for _, l := range p.all {
		if l.down || l.world.Now() < l.back+100*eventloop.Millisecond {
			continue
		}
		if err := l.x.Check(); err != nil {
			return fmt.Errorf("dispatcher %s: %w", l.target.Name, err)
		}
	}
	return nil
}

// Summary is what is under way in the dispatchers and at the hosts.
func (p *Run) Summary() (lines []string) {
	for _, l := range p.all {
		lines = append(lines, l.target.Name)
		if !l.down {
			lines = append(lines, l.x.DescribeOpen()...)
		}
	}
	return append(lines, p.fleet.Summary()...)
}

// Mutant is a fault that is planted on purpose, to see that it is found out.
type Mutant struct {
	Name       string
	Dispatcher func() *dispatch.Mutation
	Loop       func(*virtual.Loop) eventloop.Loop
	Disk       func(*virtual.Disk)
	Run        func(*Run)
}

func (t *Mutant) dispatcher() *dispatch.Mutation {
	if t == nil || t.Dispatcher == nil {
		return nil
	}
	return t.Dispatcher()
}

// away notes that a dispatcher can't do what it owes for a while: it stands still, or is cut off from its hosts.
func (l *lives) away(how string, span eventloop.Micros) {
	l.back = max(l.back, l.world.Now()+span)
	l.play.book.Add(record.Event{At: int64(l.world.Now()), Type: "away", Dispatcher: l.target.Name, Detail: how, Count: int64(span)})
}

// picked are dispatchers drawn by chance, one at least.
func (p *Run) picked(share float64) (some []*lives) {
	n := max(int(share*float64(len(p.all))+0.5), 1)
	for _, i := range p.rand.Perm(len(p.all))[:min(n, len(p.all))] {
		some = append(some, p.all[i])
	}
	return some
}

// Troubles that need a world in virtual time.
var inVirtualTime = map[string]func(p *Run, t *pb.Day_Trouble, span eventloop.Micros){
	// One dispatcher dies between two things that happen, wherever that is.
	"kill_at": func(p *Run, t *pb.Day_Trouble, span eventloop.Micros) {
		l := p.picked(0)[0]
		p.world.AtStep(int(t.Step), func() { l.crash(context.Background(), max(span, eventloop.Millisecond)) })
	},
	"freeze": func(p *Run, t *pb.Day_Trouble, span eventloop.Micros) {
		for _, l := range p.picked(t.Share) {
			l.away("stands", span)
			l.loop.Freeze(span)
		}
	},
	// One way between a dispatcher and all hosts is cut, the other is open.
	"half_cut": func(p *Run, t *pb.Day_Trouble, span eventloop.Micros) {
		hosts, _ := p.fleetAt.(*virtual.Loop)
		for i, l := range p.picked(t.Share) {
			l.away("cut", span)
			if i%2 == 0 {
				p.world.Block(hosts, l.loop, span)
			} else {
				p.world.Block(l.loop, hosts, span)
			}
		}
	},
	// The machine's clock is set while a dispatcher is down: within its life its own time goes on evenly, whatever that clock does.
	"clock_step": func(p *Run, t *pb.Day_Trouble, span eventloop.Micros) {
		for _, l := range p.picked(t.Share) {
			l.skew += eventloop.Micros(t.Factor * float64(eventloop.Second))
			l.crash(context.Background(), max(span, eventloop.Millisecond))
		}
	},
	// Writes fail, and leave a part of themselves.
	"disk_fault": func(p *Run, t *pb.Day_Trouble, span eventloop.Micros) {
		for _, l := range p.picked(t.Share) {
			l.folder.Failure, l.folder.PartialWrites = errors.New("input/output error"), true
			p.fleetAt.AfterFunc(span, func() { l.folder.Failure = nil })
		}
	},
	// The disk has room for a few bytes more.
	"disk_full": func(p *Run, t *pb.Day_Trouble, span eventloop.Micros) {
		for _, l := range p.picked(t.Share) {
			l.folder.Capacity = l.folder.Used() + int(t.Factor) + 1
			p.fleetAt.AfterFunc(span, func() { l.folder.Capacity = 0 })
		}
	},
	// Each write takes so many seconds; 0.15 if none are given.
	"slow_disk": func(p *Run, t *pb.Day_Trouble, span eventloop.Micros) {
		for _, l := range p.picked(t.Share) {
			if l.folder.SyncTime = 150 * eventloop.Millisecond; t.Factor > 0 {
				l.folder.SyncTime = eventloop.Micros(t.Factor * float64(eventloop.Second))
			}
			p.fleetAt.AfterFunc(span, func() { l.folder.SyncTime = 2 * eventloop.Millisecond })
		}
	},
}
