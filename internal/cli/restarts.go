package cli

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/scenarios"
)

type restartsCommand struct {
	Ages        []time.Duration `default:"1s,1m,1h,24h" help:"How old the cached lists are when the dispatchers come back."`
	Replaced    []float64       `default:"0,0.2,0.8" help:"Shares of the endpoints that were replaced by others meanwhile."`
	Dispatchers int             `default:"3" help:"Dispatchers, all of which restart together."`
	Seeds       int             `default:"4" help:"Restarts of each sort, put together."`
	Rate        float64         `default:"40" help:"Requests a second after the return."`
	For         int             `default:"30" help:"Seconds after the return that are looked at."`
	Plot        string          `type:"path" help:"File, .svg or .png, for a plot of the service second by second."`
}

const (
	plottedReplacement = 0.2 // the share of replaced endpoints whose restarts are plotted
	firstSeconds       = 5   // that are printed beside the whole time
	roomyFleetFactor   = 3   // endpoints against the standard fleet's
)

// restartSort is one sort of restart that is compared with others.
type restartSort struct {
	age       time.Duration // of the cached lists
	replaced  float64       // share of the endpoints
	discovery bool          // whether it answers
}

// restartResult is what the clients got after restarts of one sort, by the second after the return.
type restartResult struct {
	asked, inSLO []int
	violations   []string
}

// shareInSLO returns that of some seconds.
func (r *restartResult) shareInSLO(from, to int) float64 {
	asked, inSLO := 0, 0
	for second := from; second < to && second < len(r.asked); second++ {
		asked += r.asked[second]
		inSLO += r.inSLO[second]
	}
	return float64(inSLO) / float64(max(asked, 1))
}

// curve returns the service second by second.
func (r *restartResult) curve(seconds int) plotter.XYs {
	var points plotter.XYs
	for second := range seconds {
		points = append(points, plotter.XY{X: float64(second), Y: r.shareInSLO(second, second+1)})
	}
	return points
}

// Run restarts all dispatchers at once in virtual time, with discovery up and down.
func (c *restartsCommand) Run(env *environment) error {
	if c.For < 1 || c.Seeds < 1 || c.Dispatchers < 1 || c.Rate <= 0 {
		return errors.New("restarts: the times, seeds, dispatchers and rate must be above 0")
	}
	env.printf("%d dispatchers restart together, stand-in hosts in virtual time, %d restarts of each sort, "+
		"%.0f generations a second;\n"+
		"share answered in the SLO time, of those asked for in the first %d s (and in the first 5 s)\n",
		c.Dispatchers, c.Seeds, c.Rate, c.For)
	env.printf("%-10s %-10s %20s %20s %10s\n",
		"list's age", "replaced", "discovery down", "discovery up", "down/up")
	var curves []any
	var violations []string
	for _, age := range c.Ages {
		for _, share := range c.Replaced {
			down, err := c.runSort(restartSort{age: age, replaced: share, discovery: false})
			if err != nil {
				return err
			}
			up, err := c.runSort(restartSort{age: age, replaced: share, discovery: true})
			if err != nil {
				return err
			}
			violations = append(append(violations, down.violations...), up.violations...)
			c.print(env, age, share, down, up)
			if share != plottedReplacement {
				continue
			}
			curves = append(curves, fmt.Sprintf("list of %v, discovery down", age), down.curve(c.For))
			if age == c.Ages[len(c.Ages)-1] {
				curves = append(curves, fmt.Sprintf("list of %v, discovery up", age), up.curve(c.For))
			}
		}
	}
	if err := c.plot(curves); err != nil {
		return err
	}
	if len(violations) > 0 {
		env.print(strings.Join(violations, "\n"), "\n")
		return errRuleBroken
	}
	env.print("all five rules kept in all of them, nothing left over", "\n")
	return nil
}

func (c *restartsCommand) print(env *environment, age time.Duration, share float64, down, up *restartResult) {
	shareDown, shareUp := down.shareInSLO(0, c.For), up.shareInSLO(0, c.For)
	env.printf("%-10v %-10v %11.3f (%.3f)   %9.3f (%.3f)   %8.2f\n", age, share,
		shareDown, down.shareInSLO(0, firstSeconds), shareUp, up.shareInSLO(0, firstSeconds), shareDown/max(shareUp, 0.001))
}

func (c *restartsCommand) plot(curves []any) error {
	p := plot.New()
	p.Title.Text = "After all dispatchers restarted together without discovery; a fifth of the hosts were replaced"
	p.X.Label.Text, p.Y.Label.Text = "s after the return", "share answered in the SLO time"
	p.Y.Min, p.Y.Max = 0, 1
	return savePlot(c.Plot, p, plotSize{width: 18, height: 11}, plotutil.AddLines, curves)
}

// runSort runs the restarts of one sort, one for each seed.
func (c *restartsCommand) runSort(sort restartSort) (*restartResult, error) {
	result := &restartResult{asked: make([]int, c.For+1), inSLO: make([]int, c.For+1)}
	var mu sync.Mutex
	var jobs []func() error
	for seed := range c.Seeds {
		jobs = append(jobs, func() error { return c.runOnce(sort, int64(seed+1), result, &mu) })
	}
	return result, runParallel(parallelRuns, jobs)
}

// runOnce adds one restart to the result, which the mutex guards.
func (c *restartsCommand) runOnce(sort restartSort, seed int64, result *restartResult, mu *sync.Mutex) error {
	text := fmt.Sprintf(`name: "restart" seconds: %d rate: %v`, c.For, c.Rate)
	script, err := scenarios.ReadScript("restart", []byte(text))
	if err != nil {
		return err
	}
	dep := deployment.Standard()
	for _, group := range dep.Fleet.Groups {
		group.HostsPerZone *= roomyFleetFactor
	}
	run := &scenarios.Run{Script: script, Deployment: dep, Dispatchers: c.Dispatchers, Seed: seed}
	outcome, err := run.RunRestart(scenarios.Restart{
		Downtime:      eventloop.Micros(sort.age.Microseconds()),
		Replaced:      sort.replaced,
		DiscoveryDown: !sort.discovery,
	})
	if err != nil {
		return err
	}
	mu.Lock()
	defer mu.Unlock()
	if !outcome.Passed() {
		result.violations = append(result.violations,
			fmt.Sprintf("list of %v, %v replaced, discovery %v, seed %d, %d left over:\n%s",
				sort.age, sort.replaced, sort.discovery, seed, outcome.OpenRequests, outcome.Verdict.Text()))
	}
	asked, inSLO := run.WithinSLOBySecond()
	for second := range asked {
		result.asked[second] += asked[second]
		result.inSLO[second] += inSLO[second]
	}
	return nil
}
