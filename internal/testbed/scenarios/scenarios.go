// Package scenarios plays scripted days: dispatchers as real processes, killed outright where the script says so, against
// stand-in hosts whose troubles are those of a bench day, with load from an open-loop crowd.
package scenarios

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/sockets"
	"plumspindle/internal/tenancy"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/load"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/virtual"
)

// Ready is what a dispatcher, or the whole path, writes once it serves.
type Ready struct {
	API string `json:"api"`
	Key string `json:"key,omitempty"`

	Admin    string `json:"admin,omitempty"`
	AdminKey string `json:"admin_key,omitempty"`
}

// WriteReady writes it in one step, so that nobody reads half of it.
func WriteReady(path string, r Ready) error {
	if path == "" {
		return nil
	}
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	part := path + ".part"
	if err := os.WriteFile(part, append(b, '\n'), 0o600); err != nil {
		return fmt.Errorf("ready file: %w", err)
	}
	return os.Rename(part, path)
}

// Run is one playing of a day.
type Run struct {
	Script        *pb.Day
	Deployment    deployment.Deployment
	Dispatchers   int
	Seed          int64
	Binary        string // of this program
	RecordDir     string // folder that is kept; empty: none is
	Progress      io.Writer
	Keyed         bool            // clients send Idempotency-Keys and repeat, at the same dispatcher, what was cut off
	Intents       bool            // dispatchers keep intents across their lives
	Usage         []tenancy.Usage // what the dispatchers say was used, after a virtual day
	BatchClients  []*load.BatchClients
	OnLoadStarted func(addrs []string)    // over sockets: told where the dispatchers are, once the load has begun
	Mutant        *Mutant                 // virtual days only, as what follows
	AfterStep     func()                  // called after each step
	Delay         func() eventloop.Micros // how much longer each piece is on its way, once the load has begun
	Steps         int                     // of the world
	Reached       []lifecycle.Coverage    // by each dispatcher's last life

	world *virtual.Network
	all   []*lives

	dir     string
	book    *record.Recorder
	events  []record.Event
	failed  error
	fleetAt place
	crowdAt place
	fleet   *modelserver.Fleet
	crowd   *load.Generator
	servers []server
	rand    *rand.Rand
	keys    []string
	end     chan struct{}
}

// place is a loop as a day needs it, over sockets or in virtual time.
type place interface {
	eventloop.Loop
	Do(f func())
	Post(f func())
}

// server is one dispatcher of a day.
type server interface {
	crash(ctx context.Context, back eventloop.Micros)
	// squeeze leaves it so many descriptors beyond those that it has open, until the call that it gives.
	squeeze(left int) (undo func())
}

// process is one dispatcher.
type process struct {
	play   *Run
	target *load.Target
	no     int
	lives  int
	cmd    *exec.Cmd
	gone   chan struct{}
}

// Tenants adds some with keys of their own to a deployment.
func Tenants(d deployment.Deployment, names []string, quota float64, key func(i int) string) (keys []string) {
	d.Tenants = nil
	for i, n := range names {
		keys = append(keys, key(i))
		digest := sha256.Sum256([]byte(keys[i]))
		d.Tenants = append(d.Tenants, &pb.Tenant{Name: n, KeySha256: []string{hex.EncodeToString(digest[:])}, QuotaPerS: quota})
	}
	return keys
}

// Run plays the day and judges it.
func (p *Run) Run(ctx context.Context) (v *audit.Verdict, err error) {
	for i, t := range p.Script.Troubles {
		if inVirtualTime[t.Kind] != nil {
			return nil, fmt.Errorf("day %s: troubles[%d]: %s can be played in virtual time only", p.Script.Name, i, t.Kind)
		}
	}
	p.end = make(chan struct{})
	text := p.prepare()
	if err := p.fits(); err != nil {
		return nil, err
	}
	if p.dir, err = os.MkdirTemp("", "plumspindle-day"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(p.dir)
	if err := os.WriteFile(filepath.Join(p.dir, "deployment.textproto"), text, 0o600); err != nil {
		return nil, err
	}
	if p.book, err = openRecord(p.RecordDir, text); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // a dispatcher that comes back too late for the day's end goes with it
	if err := p.play(ctx); err != nil {
		_, _ = p.book.Close()
		return nil, err
	}
	events, err := p.book.Close()
	if err != nil {
		return nil, err
	}
	p.events = events
	return audit.Judge(p.Deployment, events), nil
}

// prepare gives the day its own tenants and its number of dispatchers.
func (p *Run) prepare() (text []byte) {
	p.rand = rand.New(rand.NewSource(p.Seed))
	p.keys = Tenants(p.Deployment, []string{"north", "middle", "south"}, 0.4*p.Script.Rate,
		func(i int) string { return fmt.Sprintf("sk-day-%d-%016x", i, p.rand.Uint64()) })
	p.Deployment.Dispatching.Dispatchers = uint32(p.Dispatchers)
	return p.Deployment.Text()
}

// fits tells whether the deployment has what the script asks for.
func (p *Run) fits() error {
	for i, b := range p.Script.Batches {
		fine := false
		for _, product := range p.Deployment.Products {
			fine = fine || product.Name == b.Product && product.Form != pb.Product_CHAT
		}
		switch {
		case !fine:
			return fmt.Errorf("day %s: batches[%d].product: the deployment has no product %q for batches", p.Script.Name, i, b.Product)
		case int(b.Tenant) >= len(p.Deployment.Tenants):
			return fmt.Errorf("day %s: batches[%d].tenant: there are %d tenants, numbered from 0", p.Script.Name, i, len(p.Deployment.Tenants))
		case b.Inputs < 1 || b.Inputs > 2048 || b.Tokens < 8 || b.Tokens > 8000:
			return fmt.Errorf("day %s: batches[%d]: a call has 1 to 2048 inputs of 8 to 8000 tokens", p.Script.Name, i)
		}
	}
	return nil
}

// openRecord begins a record in a folder, beside the deployment that it is judged by; with no folder it is kept in
// memory only.
func openRecord(dir string, text []byte) (*record.Recorder, error) {
	if dir == "" {
		return record.Open("")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "deployment.textproto"), text, 0o644); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return record.Open(filepath.Join(dir, "record.ndjson"))
}

// JudgeRecorded judges a recorded day.
func JudgeRecorded(dir string) (*audit.Verdict, error) {
	d, err := deployment.Load(filepath.Join(dir, "deployment.textproto"))
	if err != nil {
		return nil, err
	}
	events, err := record.Read(filepath.Join(dir, "record.ndjson"))
	if err != nil {
		return nil, err
	}
	return audit.Judge(d, events), nil
}

const (
	startWithin = 15 * time.Second
	endWithin   = 30 * time.Second
)

func (p *Run) play(ctx context.Context) (err error) {
	fleetAt, err := sockets.Start()
	if err != nil {
		return err
	}
	defer fleetAt.Stop()
	crowdAt, err := sockets.Start()
	if err != nil {
		return err
	}
	defer crowdAt.Stop()
	p.fleetAt, p.crowdAt = fleetAt, crowdAt
	p.fleetAt.Do(func() {
		p.fleet, err = modelserver.Start(p.fleetAt, p.Deployment, p.Seed, "127.0.0.1:0", p.book)
	})
	if err != nil {
		return err
	}
	defer p.fleetAt.Do(p.fleet.Close)
	var procs []*process
	defer func() { _ = p.stopAll(procs) }()
	var targets []*load.Target
	for i := range p.Dispatchers {
		pr := &process{play: p, no: i + 1, target: &load.Target{Zone: p.Deployment.Zones[i%len(p.Deployment.Zones)],
			Addr: "127.0.0.1:0", Alive: true}}
		procs = append(procs, pr)
		p.servers = append(p.servers, pr)
		targets = append(targets, pr.target)
		if err := pr.start(ctx); err != nil {
			return err
		}
	}
	p.begin(ctx, targets)
	if p.OnLoadStarted != nil {
		var addrs []string
		for _, t := range targets {
			addrs = append(addrs, t.Addr)
		}
		p.OnLoadStarted(addrs)
	}
	if err := p.wait(ctx, time.Now()); err != nil {
		return err
	}
	return p.stopAll(procs)
}

// begin sets the crowd going and the troubles down for their times.
func (p *Run) begin(ctx context.Context, targets []*load.Target) {
	p.crowdAt.Do(func() {
		p.crowd = load.New(p.crowdAt, p.Deployment, p.Seed, p.keys, targets, p.book)
		p.crowd.Rate, p.crowd.Keyed = p.Script.Rate, p.Keyed
		p.crowd.Run()
	})
	for _, b := range p.Script.Batches {
		p.crowdAt.Do(func() {
			l := &load.BatchClients{Generator: p.crowd, Tenant: int(b.Tenant), Concurrency: int(b.AtOnce), Inputs: int(b.Inputs), Tokens: int(b.Tokens), Calls: int(b.Calls)}
			for _, product := range p.Deployment.Products {
				if product.Name == b.Product {
					l.Product = product
				}
			}
			p.BatchClients = append(p.BatchClients, l)
			p.crowdAt.AfterFunc(eventloop.Micros(b.FromMs)*eventloop.Millisecond, l.Run)
			if b.ForMs > 0 {
				p.crowdAt.AfterFunc(eventloop.Micros(b.FromMs+b.ForMs)*eventloop.Millisecond, l.Stop)
			}
		})
	}
	for _, t := range p.Script.Troubles {
		after := eventloop.Micros(t.AtMs) * eventloop.Millisecond
		p.fleetAt.Do(func() { p.fleetAt.AfterFunc(after, func() { p.trouble(ctx, t) }) })
	}
}

// stop: nothing more is asked.
func (p *Run) stop() {
	p.crowd.Stop()
	for _, b := range p.BatchClients {
		b.Stop()
	}
}

// open is what waits for its answer.
func (p *Run) open() int {
	n := p.crowd.Open
	for _, b := range p.BatchClients {
		n += b.Open
	}
	return n
}

// wait lets the day pass, and what is out at its end.
func (p *Run) wait(ctx context.Context, started time.Time) error {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	day := time.Duration(p.Script.Seconds) * time.Second
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
		}
		passed := time.Since(started)
		var asked, open int
		p.crowdAt.Do(func() {
			if passed >= day {
				p.stop()
			}
			asked, open = p.crowd.Asked, p.open()
		})
		if n%10 == 9 && p.Progress != nil {
			fmt.Fprintf(p.Progress, "%s: %d of %d s, %d asked, %d open\n", p.Script.Name, int(passed.Seconds()), p.Script.Seconds, asked, open)
		}
		if passed > day && (open == 0 || passed > day+endWithin) {
			return nil
		}
	}
}

// start brings the dispatcher's process up, at the address that it had before if it had one.
func (pr *process) start(ctx context.Context) error {
	p := pr.play
	pr.lives++
	name := fmt.Sprintf("d%d.%d", pr.no, pr.lives)
	ready := filepath.Join(p.dir, name+".ready")
	logs, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return err
	}
	defer logs.Close()
	args := []string{"serve", "--deployment", filepath.Join(p.dir, "deployment.textproto"),
		"--roster", p.fleet.Discovery.Addr, "--zone", pr.target.Zone, "--listen", pr.target.Addr, "--name", name,
		"--ready-file", ready, "--list-file", filepath.Join(p.dir, fmt.Sprintf("list%d", pr.no)),
		"--seed", strconv.FormatInt(p.Seed*100+int64(pr.no*10+pr.lives), 10)}
	if p.Intents {
		args = append(args, "--state-dir", filepath.Join(p.dir, fmt.Sprintf("state%d", pr.no)))
	}
	pr.cmd = exec.CommandContext(ctx, p.Binary, args...)
	pr.cmd.Stdout, pr.cmd.Stderr = logs, logs
	if err := pr.cmd.Start(); err != nil {
		return fmt.Errorf("dispatcher %s: %w", name, err)
	}
	pr.gone = make(chan struct{})
	go func(cmd *exec.Cmd, gone chan struct{}) {
		_ = cmd.Wait()
		close(gone)
	}(pr.cmd, pr.gone)
	for waited := time.Duration(0); waited < startWithin; waited += 10 * time.Millisecond {
		if b, err := os.ReadFile(ready); err == nil {
			var r Ready
			if err := json.Unmarshal(b, &r); err != nil {
				return fmt.Errorf("dispatcher %s: ready file: %w", name, err)
			}
			pr.target.Addr = r.API[len("http://"):]
			pr.target.Name = name
			return nil
		}
		select {
		case <-pr.gone:
			text, _ := os.ReadFile(logs.Name())
			return fmt.Errorf("dispatcher %s ended at its start: %s", name, text)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("dispatcher %s was not ready within %v", name, startWithin)
}

// crash kills the process outright and brings it back after a while.
func (pr *process) crash(ctx context.Context, back eventloop.Micros) {
	p := pr.play
	name := pr.target.Name
	killed := func() { p.book.Add(record.Event{At: int64(p.fleetAt.Now()), Type: "killed", Dispatcher: name}) }
	killed()
	_ = pr.cmd.Process.Kill()
	go func() {
		<-pr.gone
		killed() // on a busy machine a process outlives the signal by more than the audit's slack
		select {
		case <-ctx.Done():
		case <-p.end:
		case <-time.After(time.Duration(back) * time.Microsecond):
			target := *pr.target
			// The new life's name is used by clients only once it serves.
			next := &process{play: p, no: pr.no, lives: pr.lives, target: &target}
			if err := next.start(ctx); err != nil && p.Progress != nil {
				fmt.Fprintln(p.Progress, err)
				return
			}
			p.crowdAt.Do(func() { *pr.target = target })
			p.fleetAt.Do(func() { pr.cmd, pr.gone, pr.lives = next.cmd, next.gone, next.lives })
		}
	}()
}

func (pr *process) squeeze(left int) func() {
	pid := pr.cmd.Process.Pid
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	var was unix.Rlimit
	if err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &was) != nil {
		return func() {} // it has just died
	}
	less := unix.Rlimit{Cur: min(uint64(len(fds)+left), was.Max), Max: was.Max}
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &less, nil)
	return func() { _ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &was, nil) }
}

// stopAll ends the dispatchers in good order.
func (p *Run) stopAll(procs []*process) error {
	select {
	case <-p.end:
		return nil
	default:
		close(p.end)
	}
	var faults []error
	for _, pr := range procs {
		if pr.cmd == nil || pr.cmd.Process == nil || pr.gone == nil {
			continue
		}
		_ = pr.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, pr := range procs {
		if pr.gone == nil {
			continue
		}
		select {
		case <-pr.gone:
			if code := pr.cmd.ProcessState.ExitCode(); code != 0 && code != -1 {
				text, _ := os.ReadFile(filepath.Join(p.dir, pr.target.Name+".log"))
				faults = append(faults, fmt.Errorf("dispatcher %s ended with %d: %.2000s", pr.target.Name, code, text[max(len(text)-2000, 0):]))
			}
		case <-time.After(20 * time.Second):
			_ = pr.cmd.Process.Kill()
			faults = append(faults, fmt.Errorf("dispatcher %s did not end when told to", pr.target.Name))
		}
	}
	return errors.Join(faults...)
}

// --- Troubles ---

type effect func(p *Run, ctx context.Context, t *pb.Day_Trouble, span eventloop.Micros, picked []*modelserver.Endpoint)

func each(f func(h *modelserver.Endpoint, t *pb.Day_Trouble, span eventloop.Micros)) effect {
	return func(_ *Run, _ context.Context, t *pb.Day_Trouble, span eventloop.Micros, picked []*modelserver.Endpoint) {
		for _, h := range picked {
			f(h, t, span)
		}
	}
}

// crowdChange alters what clients do, for a while.
func crowdChange(change func(c *load.Generator, t *pb.Day_Trouble) (undo func())) effect {
	return func(p *Run, _ context.Context, t *pb.Day_Trouble, span eventloop.Micros, _ []*modelserver.Endpoint) {
		p.crowdAt.Post(func() {
			undo := change(p.crowd, t)
			p.crowdAt.AfterFunc(span, undo)
		})
	}
}

var troubles = map[string]effect{
	"crash":        each(func(h *modelserver.Endpoint, _ *pb.Day_Trouble, span eventloop.Micros) { h.Crash(span) }),
	"vanish":       each(func(h *modelserver.Endpoint, _ *pb.Day_Trouble, span eventloop.Micros) { h.Blackhole(span) }),
	"hang":         each(func(h *modelserver.Endpoint, _ *pb.Day_Trouble, span eventloop.Micros) { h.Hang(span) }),
	"pauses":       each(func(h *modelserver.Endpoint, _ *pb.Day_Trouble, span eventloop.Micros) { h.Pause(span) }),
	"mass_restart": each(func(h *modelserver.Endpoint, _ *pb.Day_Trouble, span eventloop.Micros) { h.Crash(span) }),
	"flush":        each(func(h *modelserver.Endpoint, _ *pb.Day_Trouble, _ eventloop.Micros) { h.ClearPrefixCache() }),
	"drain":        each(func(h *modelserver.Endpoint, _ *pb.Day_Trouble, span eventloop.Micros) { h.Drain(span, span) }),
	"slow": each(func(h *modelserver.Endpoint, t *pb.Day_Trouble, span eventloop.Micros) {
		h.SlowDown(max(t.Factor, 1), span)
	}),
	"neighbour": each(func(h *modelserver.Endpoint, t *pb.Day_Trouble, span eventloop.Micros) {
		h.SlowDown(max(t.Factor, 1), span)
	}),
	"fast_errors": each(func(h *modelserver.Endpoint, t *pb.Day_Trouble, span eventloop.Micros) {
		h.FailAttempts(t.Factor, span)
	}),
	"handshake_slow": each(func(h *modelserver.Endpoint, t *pb.Day_Trouble, span eventloop.Micros) {
		h.DelayConnections(eventloop.Micros(t.Factor*float64(eventloop.Millisecond)), span)
	}),
	"report_late": each(func(h *modelserver.Endpoint, t *pb.Day_Trouble, span eventloop.Micros) {
		h.DelayLoadReports(eventloop.Micros(t.Factor*float64(eventloop.Second)), span)
	}),
	"throttle": func(p *Run, _ context.Context, t *pb.Day_Trouble, span eventloop.Micros, picked []*modelserver.Endpoint) {
		product := t.Product
		if product == "" {
			product = p.Deployment.Products[0].Name
		}
		for _, h := range picked {
			h.RejectProduct(product, span)
		}
	},
	"zone_cut": func(p *Run, _ context.Context, t *pb.Day_Trouble, span eventloop.Micros, _ []*modelserver.Endpoint) {
		zone := t.Zone
		if zone == "" {
			zone = p.Deployment.Zones[len(p.Deployment.Zones)-1]
		}
		p.fleet.Partition(zone, span)
	},
	"balancer_crash": func(p *Run, ctx context.Context, t *pb.Day_Trouble, span eventloop.Micros, _ []*modelserver.Endpoint) {
		n := max(int(t.Share*float64(len(p.servers))+0.5), 1)
		for _, i := range p.rand.Perm(len(p.servers))[:min(n, len(p.servers))] {
			p.servers[i].crash(ctx, span)
		}
	},
	// Dispatchers have but a few descriptors beyond those that they have open.
	"descriptors": func(p *Run, _ context.Context, t *pb.Day_Trouble, span eventloop.Micros, _ []*modelserver.Endpoint) {
		n := max(int(t.Share*float64(len(p.servers))+0.5), 1)
		for _, i := range p.rand.Perm(len(p.servers))[:min(n, len(p.servers))] {
			p.fleetAt.AfterFunc(span, p.servers[i].squeeze(int(t.Factor)))
		}
	},
	"burst": crowdChange(func(c *load.Generator, t *pb.Day_Trouble) func() {
		c.Rate *= max(t.Factor, 0.01)
		return func() { c.Rate /= max(t.Factor, 0.01) }
	}),
	"tenant_burst": crowdChange(func(c *load.Generator, t *pb.Day_Trouble) func() {
		before := c.Rate
		own := c.Rate / float64(len(c.TenantShares))
		c.TenantShares[0], c.Rate = max(t.Factor, 0.01), c.Rate+own*(t.Factor-1)
		return func() { c.TenantShares[0], c.Rate = 1, before }
	}),
	"give_up": crowdChange(func(c *load.Generator, t *pb.Day_Trouble) func() {
		before := c.MinPatience
		c.MinPatience = max(t.Factor, 0.05)
		return func() { c.MinPatience = before }
	}),
}

// FaultKinds are the sorts of trouble that can be played.
func FaultKinds() []string {
	return slices.Sorted(func(yield func(string) bool) {
		for k := range troubles {
			if !yield(k) {
				return
			}
		}
		for k := range inVirtualTime {
			if !yield(k) {
				return
			}
		}
	})
}

// trouble begins one; it runs on the fleet's loop.
func (p *Run) trouble(ctx context.Context, t *pb.Day_Trouble) {
	p.book.Add(record.Event{At: int64(p.fleetAt.Now()), Type: "trouble", Kind: t.Kind, Detail: t.String(), Value: t.Share})
	share := t.Share
	if t.Kind == "neighbour" && share == 0 {
		share = 0.25
	}
	if only, some := inVirtualTime[t.Kind]; some && p.world != nil {
		only(p, t, eventloop.Micros(t.ForMs)*eventloop.Millisecond)
		return
	}
	troubles[t.Kind](p, ctx, t, eventloop.Micros(t.ForMs)*eventloop.Millisecond, p.fleet.Pick(t.HostKind, share))
}

// builtin are the days that come with the program: one for each sort of trouble, a quiet and a bad one.
var builtin = map[string]string{
	"quiet":          ``,
	"crash":          `troubles { at_ms: 4000 kind: "crash" share: 0.24 for_ms: 4000 }`,
	"vanish":         `troubles { at_ms: 4000 kind: "vanish" share: 0.2 for_ms: 6000 }`,
	"hang":           `troubles { at_ms: 4000 kind: "hang" share: 0.19 for_ms: 6000 }`,
	"slow":           `troubles { at_ms: 4000 kind: "slow" share: 0.25 factor: 5 for_ms: 7000 }`,
	"fast_errors":    `troubles { at_ms: 4000 kind: "fast_errors" share: 0.18 factor: 0.8 for_ms: 7000 }`,
	"pauses":         `troubles { at_ms: 4000 kind: "pauses" share: 0.3 for_ms: 900 } troubles { at_ms: 9000 kind: "pauses" share: 0.3 for_ms: 2500 }`,
	"flush":          `troubles { at_ms: 6000 kind: "flush" share: 0.9 }`,
	"zone_cut":       `troubles { at_ms: 4000 kind: "zone_cut" for_ms: 6000 }`,
	"balancer_crash": `troubles { at_ms: 4000 kind: "balancer_crash" share: 0.45 for_ms: 2000 } troubles { at_ms: 11000 kind: "balancer_crash" share: 0.3 for_ms: 1500 }`,
	"burst":          `troubles { at_ms: 5000 kind: "burst" factor: 2.5 for_ms: 5000 }`,
	"tenant_burst":   `troubles { at_ms: 5000 kind: "tenant_burst" factor: 5 for_ms: 6000 }`,
	"mass_restart":   `troubles { at_ms: 5000 kind: "mass_restart" host_kind: "prefill" share: 1 for_ms: 1500 }`,
	"neighbour":      `troubles { at_ms: 4000 kind: "neighbour" share: 0.3 factor: 2 for_ms: 8000 }`,
	"handshake_slow": `troubles { at_ms: 4000 kind: "handshake_slow" share: 1 factor: 150 for_ms: 6000 }`,
	"give_up":        `troubles { at_ms: 4000 kind: "give_up" factor: 0.15 for_ms: 8000 }`,
	"report_late":    `troubles { at_ms: 2000 kind: "report_late" share: 1 factor: 5 for_ms: 12000 }`,
	"throttle":       `troubles { at_ms: 4000 kind: "throttle" share: 0.4 for_ms: 7000 }`,
	"drain":          `troubles { at_ms: 4000 kind: "drain" share: 0.2 for_ms: 3000 } troubles { at_ms: 8000 kind: "drain" share: 0.2 for_ms: 3000 }`,
	"bad": `
		troubles { at_ms: 3000 kind: "crash" share: 0.15 for_ms: 3000 }
		troubles { at_ms: 5000 kind: "balancer_crash" share: 0.34 for_ms: 1500 }
		troubles { at_ms: 6000 kind: "fast_errors" share: 0.1 factor: 0.7 for_ms: 5000 }
		troubles { at_ms: 8000 kind: "pauses" share: 0.2 for_ms: 1200 }
		troubles { at_ms: 9000 kind: "burst" factor: 1.8 for_ms: 4000 }
		troubles { at_ms: 11000 kind: "hang" share: 0.1 for_ms: 4000 }
		troubles { at_ms: 12000 kind: "drain" share: 0.1 for_ms: 2000 }
		troubles { at_ms: 13000 kind: "zone_cut" for_ms: 2500 }
		troubles { at_ms: 17000 kind: "balancer_crash" share: 0.34 for_ms: 1000 }
		troubles { at_ms: 18000 kind: "vanish" share: 0.1 for_ms: 3000 }`,
}

// Names are the built-in days.
func Names() []string { return slices.Sorted(maps.Keys(builtin)) }

// Find is a built-in day by its name, or one from a file.
func Find(name string) (*pb.Day, error) {
	text, known := builtin[name]
	if known {
		seconds := 16
		if name == "bad" {
			seconds = 24
		}
		text = fmt.Sprintf("name: %q seconds: %d rate: 22\n%s", name, seconds, text)
		return ReadScript(name, []byte(text))
	}
	file, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("no built-in day and no readable file: %w", err)
	}
	return ReadScript(name, file)
}

// ReadScript reads a day's text.
func ReadScript(name string, text []byte) (*pb.Day, error) {
	d, err := deployment.ReadDay(name, text, FaultKinds())
	if err != nil {
		return nil, err
	}
	return d, nil
}
