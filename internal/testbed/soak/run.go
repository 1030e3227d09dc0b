package soak

import (
	"bufio"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plumspindle/internal/platform/guard"
	"plumspindle/internal/schedulerhost"
	"plumspindle/internal/testbed/syscallfaults"
)

// Plan is one run.
type Plan struct {
	Seed                           int64
	Dispatchers, Prefills, Decodes int
	Clients                        int // processes
	Duration                       time.Duration
	MeanFaultInterval              time.Duration // between troubles, in the mean
	Binary, Library, Dir           string
	SyscallFaults, ClockSteps      bool
}

// Report is what came of it.
type Report struct {
	Findings   []Finding
	Requests   int
	Processes  int
	Faults     map[string]int
	Violations []string // lines of the dispatchers' own guards
}

const (
	descriptors = 512
	// After SIGTERM what was taken is answered by its deadline; a stream that had begun may fall silent then, and is ended 4.2 s later.
	stopPatience = deadline + 700*time.Millisecond + 5*time.Second
)

// run is one that is under way.
type run struct {
	Plan
	chance      *rand.Rand
	block       int // of loopback's addresses
	record      *Record
	dispatchers []*dispatcher
	proxies     []*process
	hosts       []*process
	agents      []*process
	clients     []*process
	records     []string
	drains      [2]int // prefill and decode hosts that drain
	drained     map[int]bool
	started     map[int]int64 // when a host was started again, by the wall clock
	restarts    int
	discovery   []int // the agent that each dispatcher's configuration names
	report      Report
	mu          sync.Mutex // guards findings, and what follows of stops that are under way
	stops       sync.WaitGroup
}

func (r *run) address(kind, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.block, kind, number+1, port)
}

// The kinds of addresses in a run's block.
const (
	hostAddress = iota
	proxyAddress
	agentAddress
	sourceAddress
	dispatcherAddress
)

// Run plays a plan and judges it.
func (p Plan) Run() (*Report, error) {
	r := &run{Plan: p, chance: rand.New(rand.NewSource(p.Seed)), block: 2 + os.Getpid()%250, drained: map[int]bool{}, started: map[int]int64{}}
	r.report.Faults = map[string]int{}
	var err error
	if r.record, err = newRecord(r.recordOf("conductor")); err != nil {
		return nil, err
	}
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	r.trouble()
	time.Sleep(lateAnswer + time.Second) // the last requests are answered
	r.finish()
	return &r.report, r.judge()
}

func (r *run) recordOf(name string) string {
	path := filepath.Join(r.Dir, name+".jsonl")
	r.records = append(r.records, path)
	return path
}

func (r *run) kindOf(host int) string {
	if host < r.Prefills {
		return "prefill"
	}
	return "decode"
}

func (r *run) role(kind, name string, setup Setup, to *[]*process) error {
	setup.Name, setup.Record, setup.Seed = name, r.recordOf(kind+"-"+name), r.chance.Int63()
	p, err := startRole(kind, setup)
	if err == nil {
		*to = append(*to, p)
	}
	return err
}

func (r *run) startAll() error {
	many := r.Prefills + r.Decodes
	var hosts, agents []string
	for h := range many {
		hosts = append(hosts, r.address(hostAddress, h, 7000))
		if err := r.role("host", fmt.Sprint("h", h), Setup{Kind: r.kindOf(h), Listen: hosts[h:]}, &r.hosts); err != nil {
			return err
		}
	}
	var listens, places []string
	for d := range r.Dispatchers {
		var front []string
		for h := range many {
			front = append(front, r.address(proxyAddress, d, 7000+h))
		}
		source := strings.TrimSuffix(r.address(sourceAddress, d, 0), ":0")
		if err := r.role("proxy", source, Setup{Listen: front, Targets: hosts}, &r.proxies); err != nil {
			return err
		}
		places = append(places, strings.TrimSuffix(r.address(proxyAddress, d, 0), ":0"))
		listens = append(listens, r.address(dispatcherAddress, d, 7070))
	}
	for a := range 2 {
		agents = nil
		for d := range r.Dispatchers {
			agents = append(agents, r.address(agentAddress, d, 8500+a))
		}
		if err := r.role("discovery", fmt.Sprint("a", a), Setup{Listen: agents, Targets: places}, &r.agents); err != nil {
			return err
		}
	}
	for h := range many {
		r.tell(h, "SERVING")
	}
	for d := range r.Dispatchers {
		if err := r.startDispatcher(d); err != nil {
			return err
		}
	}
	time.Sleep(time.Second) // for them to be ready
	for k := range r.Clients {
		if err := r.role("clients", fmt.Sprint("c", k), Setup{Targets: listens, Duration: r.Duration}, &r.clients); err != nil {
			return err
		}
	}
	r.report.Processes = len(r.hosts) + len(r.proxies) + len(r.agents) + len(r.dispatchers) + len(r.clients)
	return nil
}

// restartHost kills a host, and starts it anew: connections are reset, and what it held is gone.
func (r *run) restartHost(h int) error {
	r.record.add(Event{Kind: Killed, Endpoint: fmt.Sprint("h", h)})
	_ = r.hosts[h].cmd.Process.Kill()
	<-r.hosts[h].ended
	r.restarts++
	setup := Setup{Name: fmt.Sprint("h", h), Kind: r.kindOf(h), Listen: []string{r.address(hostAddress, h, 7000)}, Seed: r.chance.Int63(),
		Record: r.recordOf(fmt.Sprintf("host-h%d-%d", h, r.restarts))}
	p, err := startRole("host", setup)
	if err != nil {
		return err
	}
	r.hosts[h] = p
	r.started[h] = time.Now().UnixMilli()
	r.tell(h, "SERVING")
	return nil
}

// tell has discovery tell the state of a host.
func (r *run) tell(host int, state string) {
	entry := fmt.Sprintf(`{"id":"h%d","addr":"%%s:%d","zone":"west","kind":%q,"cell":0,"state":%q,"weight":1.0,"started_ms":%d}`,
		host, 7000+host, r.kindOf(host), state, r.started[host])
	if state == "DRAINING" {
		r.record.add(Event{Kind: Drained, Endpoint: fmt.Sprint("h", host)})
	}
	for _, a := range r.agents {
		a.order("entry h%d %s %s", host, state, entry)
	}
}

const settingsText = `{"group_size": %d, "tick": 4000000, "zone": 0, "localities": ["west"], "host_types": ["prefill", "decode"],
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [900000, 900000], "token_aim": [50000000, 50000000, 50000000], "let_go_by": %d, "local_read": true},
"limits": {"send_cap": %d, "may_cancel": %v, "retry_after": true, "max_retry_after": 1000000000, "connect_timeout": 250000000, "conn_idle": 4000000000},
"obligations": {"cold": 8000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [{"name": "chat", "aim": 500000000, "deadline": 3000000000, "repeat": "read_like", "points": 1.0, "late_share": 0.5},
 {"name": "note", "aim": 500000000, "deadline": 3000000000, "repeat": "idempotency_key", "group": "all", "window": %d, "points": 2.0, "late_share": 0.5},
 {"name": "post", "aim": 500000000, "deadline": 3000000000, "repeat": "non_idempotent", "points": 3.0, "late_share": 0.5}]}`

func (r *run) writeConfig(d *dispatcher) error {
	settings := fmt.Sprintf(settingsText, r.Dispatchers, letGoBy.Nanoseconds(), 3+r.Seed%4, r.Seed%3 != 0, repeatWindow.Nanoseconds())
	text := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1.0,"memory_mb":112,"sockets":%d},"settings":%s}`,
		d.number, d.listen, r.address(agentAddress, d.number, 8500+r.discovery[d.number]), r.Seed+int64(d.number), descriptors, settings)
	part := d.config + ".part"
	if err := os.WriteFile(part, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(part, d.config)
}

func (r *run) startDispatcher(number int) error {
	logs, err := newStampedLog(filepath.Join(r.Dir, fmt.Sprintf("n%d.log", number)))
	if err != nil {
		return err
	}
	d := &dispatcher{number: number, listen: r.address(dispatcherAddress, number, 7070), config: filepath.Join(r.Dir, fmt.Sprintf("n%d.json", number)), logs: logs}
	r.dispatchers, r.discovery = append(r.dispatchers, d), append(r.discovery, 0)
	if r.SyscallFaults && number%2 == 0 {
		faults := syscallfaults.Faults{Seed: r.Seed + int64(number), Short: 30, Interrupted: 20, Errors: 5}
		if r.ClockSteps && number%4 == 0 {
			steps := []time.Duration{-time.Hour, time.Hour, -3 * time.Second, 3 * time.Second}
			faults.ClockStep, faults.ClockStepAfter = steps[r.chance.Intn(len(steps))], time.Duration(r.chance.Int63n(int64(r.Duration)))
		}
		d.environment = faults.Environment(r.Library)
	}
	if err := r.writeConfig(d); err != nil {
		return err
	}
	return d.start(r.Binary)
}

func (r *run) found(rule, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Findings = append(r.report.Findings, Finding{rule, fmt.Sprintf(format, arguments...)})
}

// trouble draws what happens until the time is over; two or three overlap.
func (r *run) trouble() {
	for end := now() + r.Duration.Microseconds(); now() < end; {
		time.Sleep(r.MeanFaultInterval/2 + time.Duration(r.chance.Int63n(int64(r.MeanFaultInterval))))
		t := troubles[r.chance.Intn(len(troubles))]
		lasts := time.Duration(200+r.chance.Intn(1800)) * time.Millisecond
		if t.do(r, lasts) {
			r.report.Faults[t.name]++
		}
	}
	r.stops.Wait()
}

// begin notes a trouble for the audit.
func (r *run) begin(e Event, lasts time.Duration) {
	e.Kind, e.Value = FaultBegan, lasts.Microseconds()
	r.record.add(e)
}

// finish ends all in good order.
func (r *run) finish() {
	for _, d := range r.dispatchers {
		r.stops.Go(func() { r.stop(d, false) })
	}
	r.stops.Wait()
	for _, list := range [][]*process{r.clients, r.hosts, r.proxies, r.agents} {
		for _, p := range list {
			p.end()
		}
	}
	r.record.flush()
}

// stop tells a dispatcher to end, and waits for it.
func (r *run) stop(d *dispatcher, again bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.process
	r.record.add(Event{Kind: Stopped, Dispatcher: d.listen})
	_ = d.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		if p.err != nil {
			r.found("crash", "dispatcher %d ended with %v", d.number, p.err)
		}
	case <-time.After(stopPatience):
		r.found("one answer", "dispatcher %d has not ended %v after SIGTERM", d.number, stopPatience)
		r.kill(d)
	}
	r.record.add(Event{Kind: Ended, Dispatcher: d.listen})
	if again {
		r.restart(d)
	}
}

// kill ends a dispatcher at once; its lock is held.
func (r *run) kill(d *dispatcher) {
	r.record.add(Event{Kind: Killed, Dispatcher: d.listen})
	_ = d.process.cmd.Process.Kill()
	<-d.process.ended
}

func (r *run) restart(d *dispatcher) {
	cmd := d.process
	d.mu.Unlock()
	err := d.start(r.Binary)
	d.mu.Lock()
	if err != nil {
		d.process = cmd
		r.found("crash", "dispatcher %d was not started again: %v", d.number, err)
	}
}

// stopAll ends what is left of a run that broke off.
func (r *run) stopAll() {
	for _, d := range r.dispatchers {
		_ = d.process.cmd.Process.Kill()
	}
	for _, list := range [][]*process{r.clients, r.hosts, r.proxies, r.agents} {
		for _, p := range list {
			_ = p.cmd.Process.Kill()
		}
	}
}

// judge audits the records and reads the dispatchers' own counts.
func (r *run) judge() error {
	var events []Event
	for _, path := range r.records {
		some, err := readRecord(path)
		if err != nil {
			return err
		}
		events = append(events, some...)
	}
	audit := NewAudit(events)
	r.report.Findings = append(r.report.Findings, audit.Judge()...)
	for _, t := range audit.trails {
		if t.sent != nil {
			r.report.Requests++
		}
	}
	for _, d := range r.dispatchers {
		if err := r.readLog(d, audit); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads what a dispatcher's own guard reports. That a KV state could not be released while no endpoint could be
// reached is no fault.
func (r *run) readLog(d *dispatcher, audit *Audit) error {
	f, err := os.Open(d.logs.file.Name())
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Buffer(nil, 1<<20); lines.Scan(); {
		stamp, text, _ := strings.Cut(lines.Text(), " ")
		at, _ := strconv.ParseInt(stamp, 10, 64)
		leaseOverrun := strings.Contains(text, strconv.Quote(guard.StateLease.String()))
		if leaseOverrun && audit.cutOff(fmt.Sprint(d.number+1), at-(letGoBy+heldSlack+slack).Microseconds(), at) {
			continue
		}
		if strings.Contains(text, guard.ViolationMessage) || strings.Contains(text, schedulerhost.SendBlocked) {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("n%d: %s", d.number, text))
		}
		if strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
			r.found("crash", "n%d: %s", d.number, text)
		}
	}
	return lines.Err()
}

// fewDescriptors leaves a process only those that it has, for a while.
func fewDescriptors(pid int, lasts time.Duration) error {
	if err := syscallfaults.NoDescriptors(pid); err != nil {
		return err
	}
	time.AfterFunc(lasts, func() { _ = syscallfaults.LimitDescriptors(pid, descriptors) })
	return nil
}
