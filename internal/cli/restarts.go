package cli

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
)

type restartsCommand struct {
	Ages        []time.Duration `default:"1s,1m,1h,24h" help:"How old the kept lists are when the dispatchers come back."`
	Replaced    []float64       `default:"0,0.2,0.8" help:"Shares of the hosts that were replaced by others, elsewhere, meanwhile."`
	Dispatchers int             `default:"3" help:"Dispatchers, all of which restart together."`
	Seeds       int             `default:"4" help:"Restarts of each sort, put together."`
	Rate        float64         `default:"40" help:"Generations a second after the return."`
	For         int             `default:"30" help:"Seconds after the return that are looked at."`
	Plot        string          `type:"path" help:"File, .svg or .png, for a plot of the service second by second."`
}

// restarted is what the clients got after restarts of one sort.
type restarted struct {
	asked, in []int
	broken    []string
}

func (r *restarted) share(from, to int) float64 {
	asked, in := 0, 0
	for s := from; s < to && s < len(r.asked); s++ {
		asked, in = asked+r.asked[s], in+r.in[s]
	}
	return float64(in) / float64(max(asked, 1))
}

// Run restarts all dispatchers at once in virtual time, with discovery up and down.
func (c *restartsCommand) Run(s *surroundings) error {
	if c.For < 1 || c.Seeds < 1 || c.Dispatchers < 1 || c.Rate <= 0 {
		return fmt.Errorf("restarts: the times, seeds, dispatchers and rate must be above 0")
	}
	p := plot.New()
	p.Title.Text = "After all dispatchers restarted together without discovery; a fifth of the hosts were replaced"
	p.X.Label.Text, p.Y.Label.Text = "s after the return", "share answered in the SLO time"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	var broken []string
	fmt.Fprintf(s.out, "%d dispatchers restart together, stand-in hosts in virtual time, %d restarts of each sort, %.0f generations a second;\n"+
		"share answered in the SLO time, of those asked for in the first %d s (and in the first 5 s)\n", c.Dispatchers, c.Seeds, c.Rate, c.For)
	fmt.Fprintf(s.out, "%-10s %-10s %20s %20s %10s\n", "list's age", "replaced", "discovery down", "discovery up", "down/up")
	for _, age := range c.Ages {
		for _, share := range c.Replaced {
			var got [2]restarted
			for i := range got {
				if err := c.play(age, share, i == 1, &got[i]); err != nil {
					return err
				}
				broken = append(broken, got[i].broken...)
			}
			down, up := got[0].share(0, c.For), got[1].share(0, c.For)
			fmt.Fprintf(s.out, "%-10v %-10v %11.3f (%.3f)   %9.3f (%.3f)   %8.2f\n", age, share, down, got[0].share(0, 5), up, got[1].share(0, 5), down/max(up, 0.001))
			if share != 0.2 {
				continue
			}
			for i, name := range []string{"down", "up"} {
				if i == 1 && age != c.Ages[len(c.Ages)-1] {
					continue
				}
				var xy plotter.XYs
				for t := range c.For {
					xy = append(xy, plotter.XY{X: float64(t), Y: got[i].share(t, t+1)})
				}
				lines = append(lines, fmt.Sprintf("list of %v, discovery %s", age, name), xy)
			}
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
	if len(broken) > 0 {
		fmt.Fprintln(s.out, strings.Join(broken, "\n"))
		return errRules
	}
	fmt.Fprintln(s.out, "all five rules kept in all of them, nothing left over")
	return nil
}

func (c *restartsCommand) play(age time.Duration, share float64, discovery bool, got *restarted) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	room := make(chan struct{}, 4)
	got.asked, got.in = make([]int, c.For+1), make([]int, c.For+1)
	for seed := range c.Seeds {
		script, err := scenarios.ReadScript("restart", []byte(fmt.Sprintf(`name: "restart" seconds: %d rate: %v`, c.For, c.Rate)))
		if err != nil {
			return err
		}
		d := deployment.Standard()
		for _, g := range d.Fleet.Groups {
			g.HostsPerZone *= 3
		}
		wg.Add(1)
		room <- struct{}{}
		go func() {
			defer func() { <-room; wg.Done() }()
			play := &scenarios.Run{Script: script, Deployment: d, Dispatchers: c.Dispatchers, Seed: int64(seed + 1)}
			v, left, err := play.RunRestart(eventloop.Micros(age.Microseconds()), share, discovery)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			if !v.Passed() || left > 0 {
				got.broken = append(got.broken, fmt.Sprintf("list of %v, %v replaced, discovery %v, seed %d, %d left over:\n%s", age, share, discovery, seed+1, left, v.Text()))
			}
			asked, in := play.WithinSLOBySecond()
			for i := range asked {
				got.asked[i], got.in[i] = got.asked[i]+asked[i], got.in[i]+in[i]
			}
		}()
	}
	wg.Wait()
	return failed
}
