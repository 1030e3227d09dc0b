// Package cli is the command line: each command puts parts together on loops and runs them until it is told
// to end.
package cli

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"

	"plumspindle/internal/admin"
	"plumspindle/internal/deployment"
	"plumspindle/internal/dispatch"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/platform/launch"
	"plumspindle/internal/sockets"
	"plumspindle/internal/store"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/modelserver"
	"plumspindle/internal/testbed/scenarios"
)

type commands struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Least level of what is logged, on standard error: ${enum}."`

	Up       upCommand       `cmd:"" help:"Run the whole path on this machine: stand-in hosts with their roster, and one dispatcher."`
	Serve    serveCommand    `cmd:"" help:"Run one dispatcher."`
	Platform platformCommand `cmd:"" help:"Run one dispatcher on the users' platform, as its environment (BALANCER_CONFIG and others) says."`
	Admin    adminCommand    `cmd:"" help:"Run the administration that tenants are added, limited and removed by."`
	Tenant   tenantCommand   `cmd:"" help:"Add, limit and remove tenants, and make their keys, over the administration's API."`
	Hosts    hostsCommand    `cmd:"" help:"Run the stand-in hosts of a deployment, with their roster."`
	Roster   rosterCommand   `cmd:"" help:"Serve a list of hosts from a file, and push what changes in it."`
	Day      dayCommand      `cmd:"" help:"Play a scripted day with dispatchers as processes of their own, and judge it."`
	Audit    auditCommand    `cmd:"" help:"Judge a recorded day again."`
	Bench    benchCommand    `cmd:"" help:"Measure what the dispatcher adds, against the same hosts called directly."`
	Fairness fairnessCommand `cmd:"" help:"Play days on which one tenant floods, in virtual time or over sockets, and compare what the others get."`
	Restarts restartsCommand `cmd:"" help:"Restart all dispatchers at once, in virtual time, with and without discovery, from lists of several ages."`
	Batches  batchesCommand  `cmd:"" help:"Play days of chat with a flood of calls for embeddings, under limits that are learnt and fixed, and compare."`
	Sim      simCommand      `cmd:"" help:"Play days in virtual time whose faults are drawn from seeds; find, shrink and replay those that fail."`
	Store    storeCommand    `cmd:"" help:"Look at an embedded store."`
	Check    checkCommand    `cmd:"" help:"Check a deployment and name every fault."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// surroundings are what commands work in.
type surroundings struct {
	ctx context.Context
	out io.Writer
	err io.Writer
	log zerolog.Logger
}

// errRules is a day on which a rule was broken.
var errRules = errors.New("a rule was broken")

// Main runs the command line and gives the exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	code := -1
	k, err := kong.New(&c, kong.Name("plumspindle"), kong.Writers(out, errOut), kong.Exit(func(n int) { code = n }),
		kong.Description("A router for language-model serving with reading and writing on separate engines."),
		kong.UsageOnError(), kong.Vars{"days": strings.Join(scenarios.Names(), ", "), "troubles": strings.Join(scenarios.FaultKinds(), ", ")})
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	parsed, err := k.Parse(args)
	if code >= 0 {
		return code // --help
	}
	if err != nil {
		k.Errorf("%s", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	level, _ := zerolog.ParseLevel(c.LogLevel)
	logs := newLogWriter(errOut)
	var to io.Writer = logs
	if f, ok := errOut.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		to = zerolog.ConsoleWriter{Out: logs, TimeFormat: time.TimeOnly}
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	s := &surroundings{ctx, out, errOut, zerolog.New(to).Level(level).With().Timestamp().Logger()}
	words := strings.Fields(parsed.Command())
	if len(words) > 1 && words[0] == "tenant" {
		parsed.Bind(kongPath(words[1]), &c.Tenant)
	}
	err = parsed.Run(s)
	logs.flush()
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

func load(path string) (deployment.Deployment, error) {
	if path == "" {
		return deployment.Standard(), nil
	}
	return deployment.Load(path)
}

// seed draws one where none was given.
func seed(given int64) int64 {
	if given != 0 {
		return given
	}
	return rand.Int63()
}

// --- platform ---

type platformCommand struct{}

func (platformCommand) Run(s *surroundings) error { return launch.Run(s.log, os.Getenv) }

// --- serve ---

type serveCommand struct {
	Deployment string        `type:"existingfile" help:"Deployment, as protobuf text format; the built-in one if none is given."`
	Listen     string        `default:"127.0.0.1:8080" help:"Address for clients, loopback only; port 0 picks one."`
	Roster     string        `help:"Address of the roster that pushes the list of hosts."`
	Zone       string        `help:"Zone that this dispatcher stands in; the deployment's first if none is given."`
	Name       string        `help:"Name that tells this dispatcher apart from all others and from its own earlier lives; drawn by chance if none is given."`
	ReadyFile  string        `help:"File that is written, as JSON, once the dispatcher serves."`
	ListFile   string        `help:"File that the list of hosts is kept in, and started with while the roster is away."`
	Seed       int64         `help:"Seed of all chance; drawn if 0."`
	Tenants    string        `help:"Address of the administration, whose tenants are served."`
	Secret     string        `type:"path" help:"File with the secret that the administration seals keys with, mode 600; needed with --tenants."`
	TenantFile string        `help:"File that the tenants are kept in, and started with while the administration is away."`
	EndWithin  time.Duration `default:"30s" help:"At the end, how long what runs may go on."`
	StateDir   string        `type:"path" help:"Folder that keeps which generations with an Idempotency-Key may have run, so that a restart does not forget them."`
	Profile    string        `type:"path" help:"File that a CPU profile of the whole run is written to."`

	secret  []byte
	files   *store.Files
	keepers []*keeper
}

func (c *serveCommand) keeper(path string, spare bool, fault func(error)) func([]byte) {
	k := newKeeper(path, spare, fault)
	c.keepers = append(c.keepers, k)
	return k.Keep
}

// Run serves until it is told to end.
func (c *serveCommand) Run(s *surroundings) error {
	d, err := load(c.Deployment)
	if err != nil {
		return err
	}
	if c.Roster == "" && c.ListFile == "" {
		return errors.New("serve: neither --roster nor --list-file is given, so no host could ever be known")
	}
	if c.Profile != "" {
		f, err := os.Create(c.Profile)
		if err != nil {
			return fmt.Errorf("profile: %w", err)
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return fmt.Errorf("profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	x, ln, err := c.start(s, loop, d)
	if err != nil {
		return err
	}
	addr := ln.Addr()
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: "http://" + addr}); err != nil {
		return err
	}
	defer func() {
		for _, k := range c.keepers {
			k.Close()
		}
		if c.files != nil {
			c.files.Close()
		}
	}()
	s.log.Info().Str("api", "http://"+addr).Str("name", c.Name).Str("zone", c.Zone).Msg("serving")
	<-s.ctx.Done()
	return leave(s, loop, x, ln, c.EndWithin)
}

// start puts a dispatcher onto a loop.
func (c *serveCommand) start(s *surroundings, loop *sockets.Loop, d deployment.Deployment) (x *dispatch.Dispatcher, ln eventloop.Listener, err error) {
	if c.Zone == "" {
		c.Zone = d.Zones[0]
	}
	c.Seed = seed(c.Seed)
	if c.Name == "" {
		c.Name = "d" + strconv.FormatUint(uint64(c.Seed)%(1<<40), 36)
	}
	post := dispatch.Config{Name: c.Name, Zone: c.Zone, Seed: c.Seed, Discovery: c.Roster, Log: s.log}
	if c.ListFile != "" {
		for _, name := range []string{c.ListFile, c.ListFile + ".1"} {
			kept, err := os.ReadFile(name)
			if err != nil && !errors.Is(err, os.ErrNotExist) {
				s.log.Error().Err(err).Msg("a kept list can't be read")
			}
			post.CachedEndpoints = append(post.CachedEndpoints, kept)
		}
		post.CacheEndpoints = c.keeper(c.ListFile, true, func(err error) { s.log.Error().Err(err).Msg("the list is not kept; it is tried again") })
	}
	loop.OverloadResponse = frontend.BusyResponse()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		post.Descriptors = int(min(limit.Cur, 1<<20))
	}
	post.Tenants, post.Secret = c.Tenants, c.secret
	if c.Secret != "" {
		if post.Secret, err = admin.ReadSecret(c.Secret); err != nil {
			return nil, nil, err
		}
	}
	if c.Tenants != "" && len(post.Secret) == 0 {
		return nil, nil, errors.New("serve: --tenants needs --secret")
	}
	if c.TenantFile != "" {
		if post.CachedTenants, err = os.ReadFile(c.TenantFile); err != nil && !errors.Is(err, os.ErrNotExist) {
			s.log.Error().Err(err).Msg("the kept tenants can't be read")
		}
		post.CacheTenants = c.keeper(c.TenantFile, false, func(err error) { s.log.Error().Err(err).Msg("the tenants are not kept; it is tried again") })
	}
	err = nil
	if c.StateDir != "" {
		if c.files, err = store.OpenFiles(c.StateDir, loop.Post); err != nil {
			return nil, nil, err
		}
		if post.Intents, err = store.Open(c.files, store.DefaultLimits); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", c.StateDir, err)
		}
	}
	loop.Do(func() {
		if x, err = dispatch.Start(loop, d, post); err != nil {
			return
		}
		ln, err = loop.Listen(c.Listen, x.Front().Accept)
	})
	return x, ln, err
}

// leave lets what runs end.
func leave(s *surroundings, loop *sockets.Loop, x *dispatch.Dispatcher, ln eventloop.Listener, within time.Duration) error {
	done := make(chan struct{})
	loop.Do(func() {
		ln.Close()
		x.Shutdown(func() { close(done) })
	})
	var counts dispatch.Counts
	var running int
	select {
	case <-done:
	case <-time.After(within):
	}
	loop.Do(func() { counts, running = x.Counts, x.OpenRequests() })
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s.log.Info().Uint64("events", counts.Events).Uint64("allocations", mem.Mallocs).Uint64("taken", counts.Accepted).Uint64("streamed", counts.Completed).Uint64("throttled", counts.Rejected).
		Uint64("terminated", counts.Failed).Uint64("left", counts.Disconnected).Uint64("legs", counts.Attempts).Int("running", running).Msg("ended")
	if running > 0 {
		return fmt.Errorf("%d generations were still running after %v", running, within)
	}
	return nil
}

// --- hosts and up ---

type hostsCommand struct {
	Deployment string `type:"existingfile" help:"Deployment with a fleet; the built-in one if none is given."`
	Roster     string `default:"127.0.0.1:8090" help:"Address that the roster listens on, loopback only; port 0 picks one. Empty: no roster, for use with --list-out."`
	ListOut    string `type:"path" help:"File that the list of hosts is written to, for a roster of its own."`
	ReadyFile  string `help:"File that is written, as JSON, once all hosts serve."`
	Seed       int64  `help:"Seed of all chance; drawn if 0."`
}

// Run runs them until it is told to end.
func (c *hostsCommand) Run(s *surroundings) error {
	d, err := load(c.Deployment)
	if err != nil {
		return err
	}
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	fleet, err := c.start(loop, d)
	if err != nil {
		return err
	}
	if c.ListOut != "" {
		list, err := json.Marshal(endpoints.Update{Complete: true, Endpoints: fleet.Entries()})
		if err != nil {
			return err
		}
		if err := replace(c.ListOut, list); err != nil {
			return err
		}
	}
	addr := ""
	if fleet.Discovery != nil {
		addr = "http://" + fleet.Discovery.Addr
	}
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: addr}); err != nil {
		return err
	}
	for _, h := range fleet.Endpoints {
		s.log.Info().Uint32("host", h.ID).Str("zone", h.Zone).Uint16("cell", h.Cell).Str("addr", h.Addr).Msg("stand-in host")
	}
	s.log.Info().Str("roster", addr).Msg("serving")
	<-s.ctx.Done()
	loop.Do(fleet.Close)
	return nil
}

func (c *hostsCommand) start(loop *sockets.Loop, d deployment.Deployment) (fleet *modelserver.Fleet, err error) {
	loop.Do(func() { fleet, err = modelserver.Start(loop, d, seed(c.Seed), c.Roster, nil) })
	return fleet, err
}

type rosterCommand struct {
	List      string `arg:"" type:"existingfile" help:"File with the list of hosts, as JSON: {\"hosts\":[{\"id\":1,\"addr\":\"127.0.0.1:9001\",\"zone\":...,\"kind\":...,\"cell\":0,\"condition\":\"ready\"}]}. It is read again when it changes."`
	Listen    string `default:"127.0.0.1:8090" help:"Address that the roster listens on, loopback only; port 0 picks one."`
	ReadyFile string `help:"File that is written, as JSON, once it serves."`
}

const lookEvery = 300 * time.Millisecond

// Run serves until it is told to end.
func (c *rosterCommand) Run(s *surroundings) error {
	entries, err := readList(c.List)
	if err != nil {
		return err
	}
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	var r *modelserver.Discovery
	loop.Do(func() { r, err = modelserver.NewDiscovery(loop, c.Listen, entries, nil) })
	if err != nil {
		return err
	}
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: "http://" + r.Addr}); err != nil {
		return err
	}
	s.log.Info().Str("roster", "http://"+r.Addr).Int("hosts", len(entries)).Msg("serving")
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	var last os.FileInfo
	for {
		select {
		case <-s.ctx.Done():
			loop.Do(r.Close)
			return nil
		case <-look.C:
		}
		info, err := os.Stat(c.List)
		if err != nil || last != nil && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size() {
			continue // a file that is away changes nothing: emptiness is not believed
		}
		last = info
		if entries, err = readList(c.List); err != nil {
			s.log.Error().Err(err).Msg("the list can't be read; the one before stands")
			continue
		}
		loop.Do(func() {
			if n := r.Replace(entries); n > 0 {
				s.log.Info().Int("changes", n).Msg("the list has changed")
			}
		})
	}
}

// readList reads a list and checks it as a dispatcher would.
func readList(path string) ([]endpoints.Entry, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	var l endpoints.Update
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("list %s: %w", path, err)
	}
	l.Epoch, l.Version, l.Complete = "x", 1, true
	b, err = json.Marshal(l)
	if err != nil {
		return nil, err
	}
	f := endpoints.View{}
	entries, _, err := f.Apply(b)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", path, err)
	}
	return entries, nil
}

type upCommand struct {
	Listen    string `default:"127.0.0.1:8080" help:"Address for clients, loopback only; port 0 picks one."`
	Admin     string `default:"127.0.0.1:0" help:"Address of the administration, loopback only; port 0 picks one."`
	ReadyFile string `help:"File that is written, as JSON with both addresses and a key for each, once the path serves."`
	Seed      int64  `help:"Seed of all chance; drawn if 0."`
}

// Run runs the whole path until it is told to end.
func (c *upCommand) Run(s *surroundings) error {
	d := deployment.Standard()
	var secret [48]byte
	if _, err := crand.Read(secret[:]); err != nil {
		return err
	}
	keys := scenarios.Tenants(d, []string{"local"}, 0, func(int) string { return "sk-local-" + hex.EncodeToString(secret[30:]) })
	adminAt, err := sockets.Start()
	if err != nil {
		return err
	}
	defer adminAt.Stop()
	operator := "op-" + hex.EncodeToString(secret[:9])
	adminLn, err := startAdmin(s, adminAt, c.Admin, secret[:], []admin.Staff{{Name: "local", Role: admin.Operator, Digest: sha256.Sum256([]byte(operator))}}, &admin.MemoryRecords{})
	if err != nil {
		return err
	}
	fleetAt, err := sockets.Start()
	if err != nil {
		return err
	}
	defer fleetAt.Stop()
	fleet, err := (&hostsCommand{Roster: "127.0.0.1:0", Seed: c.Seed}).start(fleetAt, d)
	if err != nil {
		return err
	}
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	serve := &serveCommand{Listen: c.Listen, Roster: fleet.Discovery.Addr, Seed: c.Seed, Tenants: adminLn.Addr(), secret: secret[:]}
	x, ln, err := serve.start(s, loop, d)
	if err != nil {
		return err
	}
	addr := ln.Addr()
	for ready := false; !ready; {
		loop.Do(func() { ready = x.Ready() })
		select {
		case <-s.ctx.Done():
			return nil
		case <-time.After(2 * time.Millisecond):
		}
	}
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: "http://" + addr, Key: keys[0], Admin: "http://" + adminLn.Addr(), AdminKey: operator}); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "Tenants: PLUMSPINDLE_ADMIN=http://%s PLUMSPINDLE_ADMIN_KEY=%s plumspindle tenant add NAME\n\n", adminLn.Addr(), operator)
	fmt.Fprintf(s.out, "Serving at http://%s with %d stand-in hosts. Try:\n\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' -d '{\"model\":\"explain\",\"stream\":true,\"max_tokens\":24,"+
		"\"messages\":[{\"role\":\"user\",\"content\":\"Why did the build fail?\"}]}'\n\n", addr, len(fleet.Endpoints), addr, keys[0])
	<-s.ctx.Done()
	return leave(s, loop, x, ln, 30*time.Second)
}

// --- day and audit ---

type dayCommand struct {
	Name        string `arg:"" help:"A built-in day (${days}) or a file with a day's script. Troubles that a script may name: ${troubles}."`
	Seed        int64  `default:"1" help:"Seed of all chance."`
	Record      string `type:"path" help:"Folder that the record of the day is kept in."`
	Dispatchers int    `default:"3" help:"Number of dispatchers, each a process of its own."`
	Virtual     bool   `help:"Play in virtual time, in this one process: the same code, no real waiting, the same day from the same seed."`
	Keyed       bool   `help:"Clients send Idempotency-Keys and repeat what was cut off, at the same dispatcher."`
	Intents     bool   `help:"Dispatchers keep intents across their lives."`
	Segment     int    `help:"With --virtual: bytes that arrive in one piece at most, cut by chance; 0 for no cuts."`
	Deployment  string `type:"existingfile" help:"Deployment with a fleet; the built-in one if none is given. Its tenants are replaced by three of the day's own."`
}

// Run plays the day; a broken rule is an error.
func (c *dayCommand) Run(s *surroundings) error {
	script, err := scenarios.Find(c.Name)
	if err != nil {
		return err
	}
	if c.Dispatchers < 1 || c.Dispatchers > 64 {
		return fmt.Errorf("day: %d dispatchers; from 1 to 64 can be played on one machine", c.Dispatchers)
	}
	d, err := load(c.Deployment)
	if err != nil {
		return err
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	play := &scenarios.Run{Script: script, Deployment: d, Dispatchers: c.Dispatchers, Seed: c.Seed, Binary: binary,
		RecordDir: c.Record, Progress: s.err, Keyed: c.Keyed, Intents: c.Intents}
	var v *audit.Verdict
	if c.Virtual {
		var left int
		var trace uint64
		if v, left, trace, err = play.RunVirtual(c.Segment); err == nil {
			fmt.Fprintf(s.out, "in virtual time, trace %016x\n", trace)
			if left > 0 {
				err = fmt.Errorf("%d generations were left over in the dispatchers", left)
			}
		}
	} else {
		v, err = play.Run(s.ctx)
	}
	if v != nil {
		fmt.Fprint(s.out, v.Text())
	}
	if err != nil {
		return err
	}
	if !v.Passed() {
		return errRules
	}
	return nil
}

type auditCommand struct {
	Dir string `arg:"" type:"existingdir" help:"Folder that a day was recorded in."`
}

// Run judges the record.
func (c *auditCommand) Run(s *surroundings) error {
	v, err := scenarios.JudgeRecorded(c.Dir)
	if err != nil {
		return err
	}
	fmt.Fprint(s.out, v.Text())
	if !v.Passed() {
		return errRules
	}
	return nil
}

// --- check and version ---

type checkCommand struct {
	File string `arg:"" help:"Deployment, as protobuf text format."`
}

// Run names every fault.
func (c *checkCommand) Run(s *surroundings) error {
	d, err := deployment.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: without fault: %d zones, %d products, %d kinds, %d tenants\n", c.File, len(d.Zones), len(d.Products),
		len(d.Kinds), len(d.Tenants))
	return nil
}

type versionCommand struct{}

// Run prints what the build knows of itself.
func (versionCommand) Run(s *surroundings) error {
	version, revision := "unreleased", ""
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, set := range b.Settings {
			if set.Key == "vcs.revision" && len(set.Value) >= 12 {
				revision = " " + set.Value[:12]
			}
		}
	}
	fmt.Fprintf(s.out, "plumspindle %s%s\n", version, revision)
	return nil
}
