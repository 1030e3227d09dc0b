package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/faultsearch"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/testbed/record"
	"plumspindle/internal/testbed/scenarios"
)

type simCommand struct {
	Run    simRun    `cmd:"" help:"Play days whose faults are drawn from seeds, and check every rule."`
	Replay simReplay `cmd:"" help:"Play one day again, from its seed or its script."`
	Shrink simShrink `cmd:"" help:"Cut a day that fails down to the least that still fails in the same way, and write its script."`
	Cover  simCover  `cmd:"" help:"Play days and say what of the path's table, and which pairs of troubles within a second, they reached."`
	Orders simOrders `cmd:"" help:"Play a small world in all orders of its first deliveries."`
	Large  simLarge  `cmd:"" help:"Play a world of the grown size, and say how fast."`
	Plants simPlants `cmd:"" help:"Plant faults on purpose, one after another, and count the seeds until each is found."`
}

type (
	simRun struct {
		Seeds string  `default:"1-300" help:"Seeds, as FIRST-LAST."`
		Jobs  int     `default:"0" help:"Days at once; 0: as many as there are processors."`
		Twice bool    `help:"Play each day twice and compare all that happened."`
		Rate  float64 `default:"12" help:"Generations a second, about."`
		For   int     `default:"7" help:"Seconds of a day."`
		Save  string  `type:"path" help:"Folder that the scripts of days that fail are written to."`
	}
	simReplay struct {
		Day   string  `arg:"" help:"Seed, or file of a script."`
		Plant string  `help:"Fault that is planted, by its name or number."`
		Trace string  `help:"Generation (as g17) or host (as host:104) whose events are printed."`
		Rate  float64 `default:"12" help:"Generations a second, about, where a seed is given."`
		For   int     `default:"7" help:"Seconds of a day, where a seed is given."`
	}
	simShrink struct {
		Day   string  `arg:"" help:"Seed, or file of a script."`
		Plant string  `help:"Fault that is planted, by its name or number."`
		Out   string  `type:"path" help:"File that the script is written to; it is printed otherwise."`
		Rate  float64 `default:"12" help:"Generations a second, about, where a seed is given."`
		For   int     `default:"7" help:"Seconds of a day, where a seed is given."`
	}
	simCover struct {
		Seeds string `default:"1-300" help:"Seeds, as FIRST-LAST."`
	}
	simOrders struct {
		Depth   int    `default:"12" help:"Deliveries whose order is tried both ways."`
		Late    int64  `default:"4000" help:"By how much one of them is late, µs."`
		Trouble string `help:"Trouble on top, such as crash, drain or kill_at; none if not given."`
	}
	simLarge struct {
		Dispatchers int     `default:"160" help:"Dispatchers."`
		Rate        float64 `default:"160" help:"Generations a second."`
		For         int     `default:"10" help:"Seconds of the day."`
		Restart     bool    `help:"All readers restart at once in mid-day."`
	}
	simPlants struct {
		Most  int    `default:"1000" help:"Seeds to try for each."`
		Only  string `help:"One fault only, by its name or number."`
		Small bool   `help:"Shrink the day that finds each, and say how many troubles are left."`
	}
)

func seeds(text string) (from, to int64, err error) {
	a, b, ok := strings.Cut(text, "-")
	if !ok {
		b = a
	}
	from, e1 := strconv.ParseInt(a, 10, 64)
	to, e2 := strconv.ParseInt(b, 10, 64)
	if e1 != nil || e2 != nil || from < 0 || to < from {
		return 0, 0, fmt.Errorf("seeds %q: want FIRST-LAST", text)
	}
	return from, to, nil
}

// day is a seed's, or a file's.
func day(text string, size faultsearch.Size) (*pb.Day, error) {
	if seed, err := strconv.ParseInt(text, 10, 64); err == nil {
		return faultsearch.Draw(seed, size), nil
	}
	b, err := os.ReadFile(text)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	return scenarios.ReadScript(filepath.Base(text), b)
}

func planted(text string) (*scenarios.Mutant, error) {
	if text == "" {
		return nil, nil
	}
	for i, p := range faultsearch.Mutants() {
		if p.Name == text || strconv.Itoa(i+1) == text {
			return p, nil
		}
	}
	return nil, fmt.Errorf("there is no plant %q", text)
}

func script(d *pb.Day) []byte {
	b, _ := prototext.MarshalOptions{Multiline: true}.Marshal(d)
	return b
}

// each plays seeds in several goroutines; every day is a world of its own.
func each(from, to int64, jobs int, do func(seed int64) error) error {
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	next := from
	for range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				seed := next
				next++
				stop := failed != nil || seed > to
				mu.Unlock()
				if stop {
					return
				}
				if err := do(seed); err != nil {
					mu.Lock()
					failed = errors.Join(failed, err)
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return failed
}

func (c *simRun) Run(s *surroundings) error {
	from, to, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	if c.For < 4 || c.Rate <= 0 {
		return fmt.Errorf("sim: a day has 4 s at least, and a rate above 0")
	}
	began, told := time.Now(), time.Now()
	var mu sync.Mutex
	done, steps, bad, asked := 0, 0, 0, 0
	pairs := map[string]*[2]int{}
	all := uint64(0)
	err = each(from, to, c.Jobs, func(seed int64) error {
		d := faultsearch.Draw(seed, faultsearch.Size{Seconds: c.For, Rate: c.Rate})
		o, err := faultsearch.Run(d, nil)
		if err != nil {
			return err
		}
		if c.Twice {
			again, err := faultsearch.Run(d, nil)
			if err != nil {
				return err
			}
			if again.Trace != o.Trace {
				o.Faults = append(o.Faults, fmt.Sprintf("not the same twice: %x and %x", o.Trace, again.Trace))
			}
		}
		mu.Lock()
		defer mu.Unlock()
		done++
		steps += o.Steps
		all ^= o.Trace * uint64(seed*2+1)
		for _, r := range o.Verdict.Rows {
			if r.Name == "all" {
				asked += r.Asked
			}
		}
		for _, p := range pairsOf(d) {
			if pairs[p] == nil {
				pairs[p] = &[2]int{}
			}
			pairs[p][0]++
			if len(o.Faults) > 0 {
				pairs[p][1]++
			}
		}
		if len(o.Faults) > 0 {
			bad++
			fmt.Fprintf(s.out, "seed %d: %s\n", seed, o.Faults[0])
			if c.Save != "" {
				if err := errors.Join(os.MkdirAll(c.Save, 0o755), os.WriteFile(filepath.Join(c.Save, d.Name+".day.textproto"), script(d), 0o644)); err != nil {
					return err
				}
			}
		}
		if time.Since(told) > 5*time.Second {
			told = time.Now()
			fmt.Fprintf(s.err, "%d of %d days, %d failed, %.0f s\n", done, to-from+1, bad, time.Since(began).Seconds())
		}
		return s.ctx.Err()
	})
	if err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Fprintf(s.out, "%d days, %d generations, %d steps in %.1f s (%.0f times as fast as real, %.0f steps a second); %d failed; all that happened: %016x\n",
		done, asked, steps, took.Seconds(), float64(done*c.For)/took.Seconds(), float64(steps)/took.Seconds(), bad, all)
	var names []string
	for p, n := range pairs {
		if n[1] > 0 {
			names = append(names, p)
		}
	}
	sort.Slice(names, func(a, b int) bool {
		return pairs[names[a]][1] > pairs[names[b]][1] || pairs[names[a]][1] == pairs[names[b]][1] && names[a] < names[b]
	})
	fmt.Fprintf(s.out, "%d pairs of troubles within a second were played\n", len(pairs))
	for _, p := range names[:min(len(names), 12)] {
		fmt.Fprintf(s.out, "  %-34s in %4d days, of which %d failed\n", p, pairs[p][0], pairs[p][1])
	}
	if bad > 0 {
		return errRules
	}
	return nil
}

// pairsOf are the sorts of troubles that began within a second of each other.
func pairsOf(d *pb.Day) (pairs []string) {
	for i, a := range d.Troubles {
		for _, b := range d.Troubles[i+1:] {
			if b.AtMs-a.AtMs <= 1000 {
				both := []string{a.Kind, b.Kind}
				slices.Sort(both)
				if p := strings.Join(both, " + "); !slices.Contains(pairs, p) {
					pairs = append(pairs, p)
				}
			}
		}
	}
	return pairs
}

func (c *simReplay) Run(s *surroundings) error {
	d, err := day(c.Day, faultsearch.Size{Seconds: c.For, Rate: c.Rate})
	if err != nil {
		return err
	}
	plant, err := planted(c.Plant)
	if err != nil {
		return err
	}
	o, err := faultsearch.Run(d, plant)
	if err != nil {
		return err
	}
	if c.Trace != "" {
		events := o.Run.Events()
		first := int64(0)
		if len(events) > 0 {
			first = events[0].At
		}
		for i, e := range events {
			if e.Request == c.Trace || "host:"+strconv.Itoa(int(e.Endpoint)) == c.Trace || e.Type == "trouble" || e.Type == "killed" {
				fmt.Fprintf(s.out, "%6d %10.3f ms  %s\n", i+1, float64(e.At-first)/1000, timeline(e))
			}
		}
	}
	fmt.Fprint(s.out, string(script(d)), o.Verdict.Text())
	fmt.Fprintf(s.out, "%d steps, all that happened: %016x\n", o.Steps, o.Trace)
	for _, f := range o.Faults {
		fmt.Fprintln(s.out, f)
	}
	if len(o.Faults) > 0 {
		return errRules
	}
	return nil
}

func timeline(e record.Event) string {
	text := fmt.Sprintf("%-9s", e.Type)
	for _, v := range [][2]string{{"generation", e.Request}, {"leg", e.Attempt}, {"dispatcher", e.Dispatcher}, {"kind", e.Kind}, {"how", e.Detail}} {
		if v[1] != "" {
			text += " " + v[0] + " " + v[1]
		}
	}
	if e.Endpoint > 0 {
		text += fmt.Sprintf(" host %d", e.Endpoint)
	}
	return text
}

func (c *simShrink) Run(s *surroundings) error {
	d, err := day(c.Day, faultsearch.Size{Seconds: c.For, Rate: c.Rate})
	if err != nil {
		return err
	}
	plant, err := planted(c.Plant)
	if err != nil {
		return err
	}
	least, tried, err := faultsearch.Shrink(d, plant, func(n int, d *pb.Day) {
		fmt.Fprintf(s.err, "%d tried: %d troubles, %d s, %.1f generations a second\n", n, len(d.Troubles), d.Seconds, d.Rate)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.err, "%d days were tried; %d troubles are left of %d\n", tried, len(least.Troubles), len(d.Troubles))
	if c.Out != "" {
		return os.WriteFile(c.Out, script(least), 0o644)
	}
	fmt.Fprint(s.out, string(script(least)))
	return nil
}

func (c *simCover) Run(s *surroundings) error {
	from, to, err := seeds(c.Seeds)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var reached lifecycle.Coverage
	pairs := map[string]int{}
	if err := each(from, to, 0, func(seed int64) error {
		d := faultsearch.Draw(seed, faultsearch.DefaultSize)
		o, err := faultsearch.Run(d, nil)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		for st := range reached {
			for e := range reached[st] {
				reached[st][e] += o.Reached[st][e]
			}
		}
		for _, p := range pairsOf(d) {
			pairs[p]++
		}
		return nil
	}); err != nil {
		return err
	}
	cells, got := 0, 0
	for st := range lifecycle.Transitions {
		for e, step := range lifecycle.Transitions[st] {
			if step.Defined {
				if cells++; reached[st][e] > 0 {
					got++
				} else {
					fmt.Fprintf(s.out, "never: %v in %v\n", lifecycle.Event(e), lifecycle.State(st))
				}
			}
		}
	}
	kinds := len(scenarios.FaultKinds())
	fmt.Fprintf(s.out, "%d of the path's %d cells reached; %d of %d pairs of troubles within a second played\n", got, cells, len(pairs), kinds*(kinds+1)/2)
	return nil
}

func (c *simOrders) Run(s *surroundings) error {
	if c.Depth < 1 || c.Depth > 24 || c.Late < 1 {
		return fmt.Errorf("sim: a depth of 1 to 24, and a delay above 0")
	}
	var troubles []*pb.Day_Trouble
	if c.Trouble != "" {
		if !slices.Contains(scenarios.FaultKinds(), c.Trouble) {
			return fmt.Errorf("sim: there is no trouble %q", c.Trouble)
		}
		troubles = append(troubles, &pb.Day_Trouble{Kind: c.Trouble, AtMs: 300, ForMs: 200, Share: 0.4, Factor: 0.5, Step: 30})
	}
	began, told := time.Now(), time.Now()
	o, err := faultsearch.Explore(c.Depth, eventloop.Micros(c.Late), troubles, func(o *faultsearch.Interleavings) {
		if time.Since(told) > 5*time.Second {
			told = time.Now()
			fmt.Fprintf(s.err, "%d days, %d states, %d faults\n", o.Days, o.States, len(o.Faults))
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%d days in %.1f s, %d states told apart, %d choices not followed as their state was known; %d faults\n", o.Days,
		time.Since(began).Seconds(), o.States, o.Pruned, len(o.Faults))
	for _, f := range o.Faults[:min(len(o.Faults), 5)] {
		fmt.Fprintln(s.out, f)
	}
	if len(o.Faults) > 0 {
		return errRules
	}
	return nil
}

func (c *simLarge) Run(s *surroundings) error {
	if c.Dispatchers < 1 || c.Rate <= 0 || c.For < 1 {
		return fmt.Errorf("sim: the numbers must be above 0")
	}
	d := deployment.Standard()
	for _, g := range d.Fleet.Groups {
		g.HostsPerZone = map[string]uint32{"prefill": 11, "decode": 11, "mixed": 5}[g.Kind]
	}
	sc := &pb.Day{Name: "large", Seconds: uint32(c.For), Rate: c.Rate}
	if c.Restart {
		sc.Troubles = append(sc.Troubles, &pb.Day_Trouble{Kind: "mass_restart", HostKind: "prefill", Share: 1, AtMs: uint32(c.For) * 300, ForMs: 1000})
	}
	play := &scenarios.Run{Script: sc, Deployment: d, Dispatchers: c.Dispatchers, Seed: 1}
	began := time.Now()
	v, left, _, err := play.RunVirtual(0)
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	fmt.Fprint(s.out, v.Text())
	fmt.Fprintf(s.out, "%d dispatchers, 54 hosts, %.0f generations a second for %d s: %.1f s, %.1f times as fast as real; %d steps, %.0f a second; %d left over\n",
		c.Dispatchers, c.Rate, c.For, took, float64(c.For)/took, play.Steps, float64(play.Steps)/took, left)
	if !v.Passed() || left > 0 {
		return errRules
	}
	return nil
}

func (c *simPlants) Run(s *surroundings) error {
	missed := 0
	for i, p := range faultsearch.Mutants() {
		if c.Only != "" && c.Only != p.Name && c.Only != strconv.Itoa(i+1) {
			continue
		}
		var mu sync.Mutex
		found, how := int64(0), ""
		err := each(1, int64(c.Most), 0, func(seed int64) error {
			mu.Lock()
			over := found > 0 && found < seed
			mu.Unlock()
			if over {
				return nil
			}
			o, err := faultsearch.Run(faultsearch.Draw(seed, faultsearch.DefaultSize), faultsearch.Mutants()[i])
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if len(o.Faults) > 0 && (found == 0 || seed < found) {
				found, how = seed, o.Faults[0]
			}
			return nil
		})
		if err != nil {
			return err
		}
		if found == 0 {
			missed++
			fmt.Fprintf(s.out, "%2d %-46s not found in %d seeds\n", i+1, p.Name, c.Most)
			continue
		}
		fmt.Fprintf(s.out, "%2d %-46s seed %d: %.110s\n", i+1, p.Name, found, how)
		if c.Small {
			least, tried, err := faultsearch.Shrink(faultsearch.Draw(found, faultsearch.DefaultSize), faultsearch.Mutants()[i], nil)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "   shrunk in %d days to %d troubles, %d s, %.1f generations a second\n", tried, len(least.Troubles), least.Seconds, least.Rate)
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d planted faults were not found", missed)
	}
	return nil
}
