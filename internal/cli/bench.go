package cli

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/gjson"
	"google.golang.org/protobuf/proto"

	"plumspindle/internal/chat"
	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sockets"
	"plumspindle/internal/sse"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/scenarios"
	"plumspindle/scheduler"
)

type benchCommand struct {
	Rate    float64       `default:"160" help:"Generations a second, half of them through the dispatcher and half straight to the hosts."`
	For     time.Duration `default:"15s" help:"How long to ask at that rate."`
	Streams int           `default:"5000" help:"Open streams whose memory, gaps and CPU are measured, beside a tenth of them; 0 leaves that part out."`
	Against string        `type:"existingfile" help:"Another build, whose open streams are measured beside this one's."`
	Binary  string        `type:"existingfile" help:"Program whose dispatcher is measured, such as an earlier build; this one if none is given."`
	Intents bool          `help:"Measure, in place of all else, what the record of intents adds to the time to first token, with it and without in the same run."`
	Profile string        `type:"path" help:"File for a CPU profile of the dispatcher at that rate."`
	Seed    int64         `default:"1" help:"Seed of all chance."`
}

// benchFleet has hosts whose own times are short and even, so that what the dispatcher adds can be seen.
func benchFleet(stepUs uint32, streams int) deployment.Deployment {
	d := deployment.Standard()
	d.Kinds = d.Kinds[:2]
	d.Kinds[0].MemoryTokens, d.Kinds[1].MemoryTokens = 1<<30, 1<<30
	slots := uint32(max(streams, 1000))
	d.Fleet.Groups = []*pb.Fleet_Group{
		{Kind: "prefill", HostsPerZone: 3, ReadTokensPerS: 2e6, Slots: slots, Queue: slots, StepUs: 2000},
		{Kind: "decode", HostsPerZone: 3, Slots: slots, Queue: slots, StepUs: stepUs}}
	d.Fleet.CellTokensPerS, d.Fleet.LinkTokensPerS, d.Fleet.FarFactor = 1e9, 1e9, 1
	for _, p := range d.Products {
		p.TimeLimitMs, p.SloMs, p.MostTokens = 120000, 60000, 40
	}
	d.Dispatching.Connections, d.Dispatching.Openings = 8192, 1000
	return d
}

// measured is a dispatcher's process under measurement, with hosts and clients of its own.
type measured struct {
	s       *surroundings
	d       deployment.Deployment
	key     string
	dir     string
	fleetAt *sockets.Loop
	fleet   *modelserver.Fleet
	asks    *sockets.Loop
	cmd     *exec.Cmd
	api     string
	log     string
}

func (c *benchCommand) start(s *surroundings, d deployment.Deployment) (m *measured, err error) {
	m = &measured{s: s, d: d, key: "sk-bench"}
	digest := sha256.Sum256([]byte(m.key))
	d.Tenants = []*pb.Tenant{{Name: "bench", KeySha256: []string{hex.EncodeToString(digest[:])}}}
	if m.dir, err = os.MkdirTemp("", "plumspindle-bench"); err != nil {
		return nil, err
	}
	file := filepath.Join(m.dir, "deployment.textproto")
	if err := os.WriteFile(file, d.Text(), 0o600); err != nil {
		return nil, err
	}
	if m.fleetAt, err = sockets.Start(); err != nil {
		return nil, err
	}
	if m.fleet, err = (&hostsCommand{Roster: "127.0.0.1:0", Seed: c.Seed}).start(m.fleetAt, d); err != nil {
		return nil, err
	}
	if m.asks, err = sockets.Start(); err != nil {
		return nil, err
	}
	binary := c.Binary
	if binary == "" {
		if binary, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	ready := filepath.Join(m.dir, "ready")
	m.log = filepath.Join(m.dir, "log")
	logs, err := os.Create(m.log)
	if err != nil {
		return nil, err
	}
	defer logs.Close()
	args := []string{"serve", "--deployment", file, "--roster", m.fleet.Discovery.Addr, "--listen", "127.0.0.1:0",
		"--ready-file", ready, "--seed", strconv.FormatInt(c.Seed, 10)}
	if c.Intents {
		args = append(args, "--state-dir", filepath.Join(m.dir, "state"))
	}
	if c.Profile != "" {
		args = append(args, "--profile", c.Profile)
		c.Profile = ""
	}
	m.cmd = exec.CommandContext(s.ctx, binary, args...)
	m.cmd.Stdout, m.cmd.Stderr = logs, logs
	if err := m.cmd.Start(); err != nil {
		return nil, err
	}
	for range 1000 {
		if b, err := os.ReadFile(ready); err == nil {
			var r scenarios.Ready
			if err := json.Unmarshal(b, &r); err != nil {
				return nil, err
			}
			m.api = strings.TrimPrefix(r.API, "http://")
			time.Sleep(200 * time.Millisecond) // for the first list
			return m, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, fmt.Errorf("bench: the dispatcher was not ready; its log is %s", m.log)
}

// close ends the dispatcher in good order and gives its last words and its CPU time.
func (m *measured) close() (last gjson.Result, cpu time.Duration) {
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	_ = m.cmd.Wait()
	cpu = m.cmd.ProcessState.UserTime() + m.cmd.ProcessState.SystemTime()
	text, _ := os.ReadFile(m.log)
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	last = gjson.ParseBytes(lines[len(lines)-1])
	m.asks.Stop()
	m.fleetAt.Stop()
	os.RemoveAll(m.dir)
	return last, cpu
}

// resident is the process's resident memory, in bytes.
func (m *measured) resident() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var total, pages int64
	_, _ = fmt.Sscan(string(b), &total, &pages)
	return pages * int64(os.Getpagesize())
}

// benchAsk is one generation through the dispatcher.
type benchAsk struct {
	conn    eventloop.Conn
	request []byte
	parser  http1.Parser
	events  sse.Parser
	first   func()
	token   func()
	end     func(ok bool)
	status  int
	begun   bool
	done    bool
}

func (a *benchAsk) Opened()                  { a.conn.Write(a.request) }
func (a *benchAsk) Drained()                 {}
func (a *benchAsk) Head(h *http1.Head) error { a.status = h.Status; return nil }
func (a *benchAsk) End() error               { return nil }
func (a *benchAsk) Data(b []byte)            { _ = a.parser.Feed(b, a) }
func (a *benchAsk) Closed(error) {
	if !a.done {
		a.done = true
		a.end(false)
	}
}
func (a *benchAsk) Body(b []byte) error {
	return a.events.Feed(b, func(data []byte) error {
		if string(data) == "[DONE]" && !a.done {
			a.done = true
			a.end(true)
			a.conn.Close()
			return nil
		}
		if !a.begun {
			a.begun = true
			a.first()
		}
		a.token()
		return nil
	})
}

func (m *measured) body(model string, most int) []byte {
	return []byte(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":%q},`+
		`{"role":"user","content":"why?"}]}`, model, most, strings.Repeat("the build log says ", 120)))
}

func (m *measured) ask(id string, most int, first, token func(), end func(bool)) *benchAsk {
	return m.askOf("explain", id, most, first, token, end)
}

func (m *measured) askOf(model, id string, most int, first, token func(), end func(bool), fields ...string) *benchAsk {
	a := &benchAsk{parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 1 << 20}, first: first, token: token, end: end}
	a.request = http1.AppendRequest(nil, http1.Request{Method: "POST", Target: "/v1/chat/completions", Host: m.api, Body: m.body(model, most)},
		append(fields, "Authorization", "Bearer "+m.key,
			"Content-Type", "application/json", "x-client-request-id", id, "Connection", "close")...)
	a.conn = m.asks.Dial(m.api, 5*eventloop.Second, a)
	return a
}

// Run measures and prints.
func (c *benchCommand) Run(s *surroundings) error {
	if c.Rate <= 0 || c.Rate > 5000 || c.Streams < 0 || c.Streams > 15000 {
		return fmt.Errorf("bench: the rate must be above 0 and at most 5000, the streams at most 15000")
	}
	if c.Intents {
		return c.intents(s)
	}
	if err := c.latency(s); err != nil {
		return err
	}
	if c.Streams > 0 {
		return c.crowds(s)
	}
	return nil
}

func (c *benchCommand) latency(s *surroundings) error {
	m, err := c.start(s, benchFleet(4000, 0))
	if err != nil {
		return err
	}
	direct, through := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	var asked, failed, open int
	m.asks.Do(func() {
		chance := rand.New(rand.NewSource(c.Seed))
		e := engine.New(m.asks, "bench", m.d.Zones[0], engine.Limits{ConnectTimeout: eventloop.Second, IdleTimeout: 20 * eventloop.Second, StreamIdleTimeout: 30 * eventloop.Second, MaxPerEndpoint: 8192, MaxOpening: 1000})
		var readers, writers []scheduler.EndpointID
		for _, h := range m.fleet.Endpoints {
			id := scheduler.EndpointID(h.ID)
			e.SetAddress(id, h.Addr)
			if h.Kind() == "prefill" {
				readers = append(readers, id)
			} else {
				writers = append(writers, id)
			}
		}
		plain, problem := chat.ParseRequest(m.body("explain", 40), "bench", nil)
		if problem != nil {
			err = problem
			return
		}
		until := m.asks.Now() + eventloop.Micros(c.For.Microseconds())
		var next func()
		next = func() {
			if m.asks.Now() >= until {
				return
			}
			m.asks.AfterFunc(eventloop.Micros(chance.ExpFloat64()/c.Rate*1e6), next)
			asked++
			open++
			began := m.asks.Now()
			warm := began > until-eventloop.Micros(c.For.Microseconds())*9/10
			id := fmt.Sprintf("b%d", asked)
			end := func(ok bool) {
				open--
				if !ok {
					failed++
				}
			}
			first := func(h *hdrhistogram.Histogram) func() {
				return func() {
					if warm {
						_ = h.RecordValue(int64(m.asks.Now() - began))
					}
				}
			}
			if chance.Intn(2) == 0 {
				m.ask(id, 40, first(through), func() {}, end)
				return
			}
			begun := false
			hear := engine.Callbacks{Event: func([]byte) {
				if !begun {
					begun = true
					first(direct)()
				}
			}, Ended: func(o engine.Result) { end(o.Outcome == scheduler.Completed) }}
			target := func(endpoint scheduler.EndpointID, attempt scheduler.AttemptNo) engine.Target {
				name := e.AttemptName(scheduler.RequestID(asked), attempt)
				return engine.Target{Endpoint: endpoint, RequestID: name, ClientID: id, Timeout: 10 * eventloop.Second}
			}
			e.Prefill(target(readers[asked%len(readers)], 0), plain, engine.Callbacks{Ended: func(o engine.Result) {
				if o.Outcome != scheduler.PrefillDone {
					end(false)
					return
				}
				e.Decode(target(writers[asked%len(writers)], 1), engine.DecodeRequest{Chat: plain, KVParams: o.State, MaxTokens: 40}, hear)
			}})
		}
		next()
	})
	if err != nil {
		return err
	}
	for left := 1; left > 0; {
		time.Sleep(250 * time.Millisecond)
		m.asks.Do(func() { left = open })
	}
	last, cpu := m.close()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(s.out, "time to first token, ms, stand-in hosts, %.0f generations a second, %d asked, %d failed\n", c.Rate, asked, failed)
	fmt.Fprintf(s.out, "  %-24s p50 %7.2f  p90 %7.2f  p99 %7.2f  (%d)\n", "straight to the hosts", ms(direct, 50), ms(direct, 90), ms(direct, 99), direct.TotalCount())
	fmt.Fprintf(s.out, "  %-24s p50 %7.2f  p90 %7.2f  p99 %7.2f  (%d)\n", "through the dispatcher", ms(through, 50), ms(through, 90), ms(through, 99), through.TotalCount())
	fmt.Fprintf(s.out, "  added                    p50 %7.2f  p90 %7.2f  p99 %7.2f\n", ms(through, 50)-ms(direct, 50), ms(through, 90)-ms(direct, 90), ms(through, 99)-ms(direct, 99))
	events, gens := last.Get("events").Float(), last.Get("taken").Float()
	fmt.Fprintf(s.out, "dispatcher: %.3f of a core at %.0f generations a second through it (%.0f events a second), %.0f µs a generation\n",
		cpu.Seconds()/c.For.Seconds(), gens/c.For.Seconds(), events/c.For.Seconds(), cpu.Seconds()*1e6/max(gens, 1))
	fmt.Fprintf(s.out, "allocations: %.1f a streamed event, all of a generation's other work included\n", last.Get("allocations").Float()/max(events, 1))
	return nil
}

// crowd is what many open streams were seen to cost.
type crowd struct {
	asked, begun, ended int
	tokens              float64 // a second, to the clients
	gap50, gap99        float64 // ms beyond the hosts' own step, between two tokens of a stream
	cpu                 float64 // µs of the dispatcher's CPU for each token
	bytes               float64 // of its resident memory for each stream
}

const streamStep = 500_000 // µs between two tokens of an open stream

// open has many streams run at once and watches them for some seconds. Some clients stop reading once they have begun.
func (c *benchCommand) open(s *surroundings, binary string, n, stalled int, step, tokenBytes uint32, watch time.Duration) (crowd, error) {
	var got crowd // the loop's until the end
	d := benchFleet(step, n)
	for _, g := range d.Fleet.Groups {
		g.TokenBytes = tokenBytes
	}
	d.Doors.StallMs = 600000 // a client that stalls is to stay
	m, err := c.with(binary).start(s, d)
	if err != nil {
		return got, err
	}
	defer m.close()
	before := m.resident()
	gaps := hdrhistogram.New(1, 60_000_000, 3)
	watching := false
	var tokens int
	m.asks.Do(func() {
		asked := 0
		var next func()
		next = func() {
			for range 10 {
				if asked == n {
					return
				}
				asked++
				var last eventloop.Micros
				var a *benchAsk
				mute := asked <= stalled
				a = m.ask(fmt.Sprintf("s%d", asked), 200_000, func() { got.begun++ }, func() {
					now := m.asks.Now()
					if watching && last > 0 {
						_ = gaps.RecordValue(max(int64(now-last)-int64(step), 1))
					}
					last = now
					tokens++
					if mute {
						a.conn.Pause(true)
					}
				}, func(bool) { got.ended++ })
			}
			m.asks.AfterFunc(10*eventloop.Millisecond, next)
		}
		next()
	})
	for range 160 {
		time.Sleep(250 * time.Millisecond)
		var have int
		m.asks.Do(func() { have = got.begun })
		if have >= n*99/100 {
			break
		}
	}
	time.Sleep(2 * time.Second)
	from, at, used := 0, time.Now(), m.used()
	m.asks.Do(func() { watching, from = true, tokens })
	time.Sleep(watch)
	var begun, ended int
	m.asks.Do(func() { watching, begun, ended = false, got.begun, got.ended })
	took, cpu := time.Since(at), m.used()-used
	moved := float64(tokens - from)
	got.asked, got.begun, got.ended = n, begun, ended
	got.tokens = moved / took.Seconds()
	got.gap50, got.gap99 = float64(gaps.ValueAtQuantile(50))/1000, float64(gaps.ValueAtQuantile(99))/1000
	got.cpu = float64(cpu.Microseconds()) / max(moved, 1)
	got.bytes = float64(m.resident()-before) / float64(max(got.begun, 1))
	last := got
	_ = m.cmd.Process.Kill()
	return last, nil
}

func (c benchCommand) with(binary string) *benchCommand {
	if binary != "" {
		c.Binary = binary
	}
	return &c
}

// used is the CPU time that the dispatcher's process has used; the clock of the kernel's count has steps of 10 ms.
func (m *measured) used() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// crowds compares few and many streams, and this build with another.
func (c *benchCommand) crowds(s *surroundings) error {
	fmt.Fprintf(s.out, "open streams, one token each %d ms, %v watched\n", streamStep/1000, c.For)
	fmt.Fprintf(s.out, "  %-14s %7s %7s %7s %10s %12s %12s %12s %12s\n", "", "asked", "begun", "ended", "tokens/s", "gap p50 +ms", "gap p99 +ms", "CPU us/token", "bytes/stream")
	builds := []string{""}
	if c.Against != "" {
		builds = append(builds, c.Against)
	}
	for _, n := range []int{max(c.Streams/10, 1), c.Streams} {
		for i, b := range builds {
			got, err := c.open(s, b, n, 0, streamStep, 0, c.For)
			if err != nil {
				return err
			}
			got.print(s, []string{"this build", "the other"}[i])
		}
	}
	fmt.Fprintf(s.out, "100 streams of 4 kB tokens each 20 ms, some of whose clients do not read\n")
	for _, stalled := range []int{0, 1, 10, 0} {
		got, err := c.open(s, "", 100, stalled, 20000, 4096, c.For)
		if err != nil {
			return err
		}
		got.print(s, fmt.Sprintf("%d stalled", stalled))
	}
	return nil
}

func (g crowd) print(s *surroundings, name string) {
	fmt.Fprintf(s.out, "  %-14s %7d %7d %7d %10.0f %12.2f %12.2f %12.1f %12.0f\n", name, g.asked, g.begun, g.ended, g.tokens, g.gap50, g.gap99, g.cpu, g.bytes)
}

// intents compares generations that are written down before they may run with others that are not, through one dispatcher.
func (c *benchCommand) intents(s *surroundings) error {
	d := benchFleet(4000, 0)
	for _, p := range d.Products {
		if p.Name == "review-post" {
			late := proto.Clone(p).(*pb.Product)
			late.Name, late.Intent = "late", pb.Product_BEFORE_WRITE
			d.Products = append(d.Products, late)
		}
	}
	m, err := c.start(s, d)
	if err != nil {
		return err
	}
	sorts := []struct {
		name, model string
		keyed       bool
		first       *hdrhistogram.Histogram
	}{{"no key, no record", "review-post", false, nil}, {"record while it is read", "review-post", true, nil}, {"record before the write", "late", true, nil}}
	for i := range sorts {
		sorts[i].first = hdrhistogram.New(1, 60_000_000, 3)
	}
	var asked, failed, open int
	m.asks.Do(func() {
		chance := rand.New(rand.NewSource(c.Seed))
		until := m.asks.Now() + eventloop.Micros(c.For.Microseconds())
		var next func()
		next = func() {
			began := m.asks.Now()
			if began >= until {
				return
			}
			m.asks.AfterFunc(eventloop.Micros(chance.ExpFloat64()/c.Rate*1e6), next)
			asked++
			open++
			sort := &sorts[chance.Intn(len(sorts))]
			id := fmt.Sprintf("b%d", asked)
			var fields []string
			if sort.keyed {
				fields = []string{"Idempotency-Key", id}
			}
			m.askOf(sort.model, id, 40, func() { _ = sort.first.RecordValue(int64(m.asks.Now() - began)) }, func() {}, func(ok bool) {
				open--
				if !ok {
					failed++
				}
			}, fields...)
		}
		next()
	})
	for left := 1; left > 0; {
		time.Sleep(250 * time.Millisecond)
		m.asks.Do(func() { left = open })
	}
	m.close()
	fmt.Fprintf(s.out, "time to first token, ms, stand-in hosts, %.0f generations a second, %d asked, %d failed\n", c.Rate, asked, failed)
	for _, sort := range sorts {
		h := sort.first
		fmt.Fprintf(s.out, "  %-24s p50 %7.2f  p90 %7.2f  p99 %7.2f  (%d)\n", sort.name, float64(h.ValueAtQuantile(50))/1000,
			float64(h.ValueAtQuantile(90))/1000, float64(h.ValueAtQuantile(99))/1000, h.TotalCount())
	}
	return nil
}
