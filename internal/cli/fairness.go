package cli

import (
	"fmt"
	"os"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/scenarios"
)

type fairnessCommand struct {
	Seeds       int       `default:"8" help:"Days of each sort, whose tenants' times are put together."`
	Rate        float64   `default:"18" help:"Generations a second of all three tenants without a flood."`
	Dispatchers []int     `default:"1,4" help:"Numbers of dispatchers to play with."`
	Times       []float64 `default:"10,100" help:"How many times its usual traffic the flooding tenant sends."`
	Sockets     bool      `help:"Play over loopback sockets, with dispatchers as processes of their own, in place of virtual time; days of each sort take turns."`
	Plot        string    `type:"path" help:"File, .svg or .png, for a plot of the others' times to the first token."`
}

// outcome is what the two tenants that do not flood got, over all seeds.
type outcome struct {
	asked, inSLO int
	first        *hdrhistogram.Histogram
	kept         bool
}

// Run plays days with and without a flood and compares.
func (c *fairnessCommand) Run(s *surroundings) error {
	p := plot.New()
	p.Title.Text = "Time to first token of the two tenants that do not flood"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share of generations"
	var lines []any
	where := "in virtual time"
	if c.Sockets {
		where = "over loopback sockets"
	}
	fmt.Fprintf(s.out, "three tenants, one floods for 12 of 20 s; the other two, stand-in hosts %s, %d days of each sort\n", where, c.Seeds)
	fmt.Fprintf(s.out, "%-12s %-8s %7s %8s %8s %8s %8s %8s\n", "dispatchers", "flood", "asked", "in SLO", "of calm", "p50 ms", "p99 ms", "of calm")
	broken := false
	for _, n := range c.Dispatchers {
		sorts := append([]float64{1}, c.Times...)
		got := make([]outcome, len(sorts))
		for i := range got {
			got[i] = outcome{first: hdrhistogram.New(1, 60_000_000, 3), kept: true}
		}
		// Days of all sorts take turns, so that what the machine does besides falls on all of them.
		var mu sync.Mutex
		var wg sync.WaitGroup
		var failed error
		room := make(chan struct{}, 4)
		if c.Sockets {
			room = make(chan struct{}, 1)
		}
		for seed := range c.Seeds {
			for i, times := range sorts {
				wg.Add(1)
				room <- struct{}{}
				go func() {
					defer func() { <-room; wg.Done() }()
					v, err := c.play(s, n, times, int64(seed+1))
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						failed = err
						return
					}
					got[i].add(v)
				}()
			}
		}
		wg.Wait()
		if failed != nil {
			return failed
		}
		for i, times := range sorts {
			o, calm := got[i], got[0]
			broken = broken || !o.kept
			share := func(o outcome) float64 { return float64(o.inSLO) / float64(max(o.asked, 1)) }
			p99 := func(o outcome) float64 { return float64(o.first.ValueAtQuantile(99)) / 1000 }
			fmt.Fprintf(s.out, "%-12d %-8v %7d %8.3f %8.3f %8.0f %8.0f %8.2f\n", n, times, o.asked, share(o), share(o)/share(calm),
				float64(o.first.ValueAtQuantile(50))/1000, p99(o), p99(o)/p99(calm))
			var xy plotter.XYs
			for q := 1.0; q < 100; q += 0.5 {
				xy = append(xy, plotter.XY{X: float64(o.first.ValueAtQuantile(q)) / 1000, Y: q / 100})
			}
			lines = append(lines, fmt.Sprintf("%d dispatchers, %v times", n, times), xy)
		}
	}
	if c.Plot != "" {
		if err := plotutil.AddLines(p, lines...); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		p.Legend.Top, p.Legend.Left = false, false
		if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, c.Plot); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	if broken {
		return errRules
	}
	return nil
}

func (o *outcome) add(v *audit.Verdict) {
	o.kept = o.kept && v.Passed()
	for _, r := range v.Rows {
		if r.Name == "tenant middle" || r.Name == "tenant south" {
			o.asked, o.inSLO = o.asked+r.Asked, o.inSLO+r.InSLO
			o.first.Merge(r.FirstToken)
		}
	}
}

func (c *fairnessCommand) play(s *surroundings, dispatchers int, times float64, seed int64) (*audit.Verdict, error) {
	text := fmt.Sprintf(`name: "flood" seconds: 20 rate: %v`, c.Rate)
	if times > 1 {
		text += fmt.Sprintf(` troubles { at_ms: 5000 kind: "tenant_burst" factor: %v for_ms: 12000 }`, times)
	}
	script, err := scenarios.ReadScript("flood", []byte(text))
	if err != nil {
		return nil, err
	}
	play := &scenarios.Run{Script: script, Deployment: deployment.Standard(), Dispatchers: dispatchers, Seed: seed}
	if !c.Sockets {
		v, _, _, err := play.RunVirtual(0)
		return v, err
	}
	if play.Binary, err = os.Executable(); err != nil {
		return nil, err
	}
	v, err := play.Run(s.ctx)
	if err == nil && !v.Passed() {
		fmt.Fprint(s.err, v.Text())
	}
	return v, err
}
