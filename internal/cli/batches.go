package cli

import (
	"fmt"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/scenarios"
)

type batchesCommand struct {
	Rate   float64 `default:"12" help:"Generations of chat a second."`
	AtOnce int     `default:"40" help:"Calls for embeddings that wait for their answer at any time."`
	Inputs int     `default:"50" help:"Inputs of a call."`
	Tokens int     `default:"100" help:"Tokens of an input, about."`
	For    int     `default:"20" help:"Seconds of a day."`
	Part   int     `default:"0" help:"Tokens of a part; 0: as usual."`
	Seeds  int     `default:"4" help:"Days of each sort, put together."`
	Fixed  []int   `default:"1,8,64,1000" help:"Limits to compare with: parts at once for each dispatcher."`
	Plot   string  `type:"path" help:"File, .svg or .png, for a plot of throughput against chat's p99."`
}

// batchGot is what days of one sort gave.
type batchGot struct {
	asked, inSLO, tokens, wrong int
	first                       *hdrhistogram.Histogram
	kept                        bool
	broken                      []string
}

var batchDays = []struct{ name, troubles string }{
	{"quiet", ""},
	{"slow host", `troubles { at_ms: 4000 kind: "slow" share: 0.25 factor: 4 for_ms: 12000 }`},
	{"mass restart", `troubles { at_ms: 4000 kind: "mass_restart" share: 0.5 for_ms: 1000 }`},
}

// Run plays days of chat with a flood of batches, under limits that are learnt and fixed.
func (c *batchesCommand) Run(s *surroundings) error {
	if c.Rate < 0 || c.AtOnce < 1 || c.Inputs < 1 || c.Tokens < 8 || c.For < 1 || c.Seeds < 1 {
		return fmt.Errorf("batches: a number is too small")
	}
	d := deployment.Standard()
	capacity := 0.0
	for _, g := range d.Fleet.Groups {
		if g.Kind == "prefill" {
			capacity += g.ReadTokensPerS * float64(g.HostsPerZone) * float64(len(d.Zones))
		}
	}
	p := plot.New()
	p.Title.Text = "Chat's p99 to the first token against what batches read"
	p.X.Label.Text, p.Y.Label.Text = "tokens read for batches, of the readers' capacity", "p99, ms"
	var points []any
	fmt.Fprintf(s.out, "3 dispatchers, stand-in hosts in virtual time, %d days of each sort; chat %.0f generations a second; %d calls at once of %d inputs of %d tokens\n",
		c.Seeds, c.Rate, c.AtOnce, c.Inputs, c.Tokens)
	fmt.Fprintf(s.out, "%-14s %-12s %9s %9s %9s %9s %12s %12s\n", "day", "limit", "in SLO", "of none", "p99 ms", "of none", "tokens/s", "of capacity")
	kept := true
	for _, day := range batchDays {
		var none batchGot
		for i, limit := range append([]int{-1, 0}, c.Fixed...) {
			got, err := c.play(day.name, day.troubles, c.Rate, limit)
			if err != nil {
				return err
			}
			kept = kept && got.kept && got.wrong == 0
			for _, text := range got.broken {
				fmt.Fprintln(s.err, text)
			}
			if i == 0 {
				none = got
			}
			name := fmt.Sprint(limit)
			switch limit {
			case -1:
				name = "no batches"
			case 0:
				name = "learnt"
			}
			share := func(g batchGot) float64 { return float64(g.inSLO) / float64(max(g.asked, 1)) }
			p99 := func(g batchGot) float64 { return float64(g.first.ValueAtQuantile(99)) / 1000 }
			rate := float64(got.tokens) / float64(c.For*c.Seeds)
			fmt.Fprintf(s.out, "%-14s %-12s %9.3f %9.3f %9.0f %9.2f %12.0f %12.2f\n", day.name, name, share(got), share(got)/share(none), p99(got), p99(got)/p99(none),
				rate, rate/capacity)
			if limit >= 0 {
				points = append(points, day.name+", "+name, plotter.XYs{{X: rate / capacity, Y: p99(got)}})
			}
		}
	}
	idle, err := c.play("quiet", "", 0.01, 0)
	if err != nil {
		return err
	}
	rate := float64(idle.tokens) / float64(c.For*c.Seeds)
	fmt.Fprintf(s.out, "chat idle, learnt: %.0f tokens a second, %.2f of the readers' capacity\n", rate, rate/capacity)
	if c.Plot != "" {
		if err := plotutil.AddScatters(p, points...); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		p.Legend.Top, p.Legend.Left = true, true
		if err := p.Save(20*vg.Centimeter, 14*vg.Centimeter, c.Plot); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	if !kept || !idle.kept || idle.wrong > 0 {
		return errRules
	}
	fmt.Fprintln(s.out, "all five rules kept, every vector at its place")
	return nil
}

// play puts days together; limit -1 has no batches, 0 learns.
func (c *batchesCommand) play(name, troubles string, rate float64, limit int) (batchGot, error) {
	got := batchGot{first: hdrhistogram.New(1, 60_000_000, 3), kept: true}
	text := fmt.Sprintf("name: %q seconds: %d rate: %v %s", name, c.For, rate, troubles)
	if limit >= 0 {
		text += fmt.Sprintf(` batches { product: "embed" at_once: %d inputs: %d tokens: %d }`, c.AtOnce, c.Inputs, c.Tokens)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	room := make(chan struct{}, 4)
	for seed := range c.Seeds {
		script, err := scenarios.ReadScript(name, []byte(text))
		if err != nil {
			return got, err
		}
		d := deployment.Standard()
		d.Batches = &pb.Batches{FixedLimit: uint32(max(limit, 0)), PartTokens: uint32(c.Part)}
		wg.Add(1)
		room <- struct{}{}
		go func() {
			defer func() { <-room; wg.Done() }()
			play := &scenarios.Run{Script: script, Deployment: d, Dispatchers: 3, Seed: int64(seed + 1)}
			v, left, _, err := play.RunVirtual(0)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			if !v.Passed() || left > 0 {
				got.kept = false
				got.broken = append(got.broken, fmt.Sprintf("%s, limit %d, seed %d, %d left over:\n%s", name, limit, seed+1, left, v.Text()))
			}
			for _, p := range d.Products {
				for _, r := range v.Rows {
					if p.Form == pb.Product_CHAT && r.Name == "product "+p.Name {
						got.asked, got.inSLO = got.asked+r.Asked, got.inSLO+r.InSLO
						got.first.Merge(r.FirstToken)
					}
				}
			}
			for _, b := range play.BatchClients {
				got.tokens, got.wrong = got.tokens+b.TokensRead, got.wrong+b.Wrong
			}
		}()
	}
	wg.Wait()
	return got, failed
}
