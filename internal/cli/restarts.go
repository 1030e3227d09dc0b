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
	Ages        []time.Duration `default:"1s,1m,1h,24h" help:"Ages of the cached endpoint lists at the restart."`
	Replaced    []float64       `default:"0,0.2,0.8" help:"Shares of the endpoints that were replaced by others during the downtime."`
	Dispatchers int             `default:"3" help:"Number of dispatchers, all of which restart at once."`
	Seeds       int             `default:"4" help:"Restarts of each variant, whose results are combined."`
	Rate        float64         `default:"40" help:"Requests a second after the restart."`
	Seconds     int             `name:"for" default:"30" help:"Length of the measurement after the restart, in seconds."`
	Plot        string          `type:"path" help:"File, .svg or .png, for a plot of the share of requests within the SLO in each second."`
}

const (
	plottedReplacedShare = 0.2 // restarts with this share of replaced endpoints are plotted
	initialSeconds       = 5   // the results of these first seconds are printed beside those of the whole run
	fleetSizeFactor      = 3   // size of the fleet relative to the standard deployment
)

// restartVariant is a combination of conditions whose restarts are compared with others.
type restartVariant struct {
	age       time.Duration // of the cached endpoint lists
	replaced  float64       // share of the endpoints that were replaced during the downtime
	discovery bool          // whether discovery is reachable
}

// restartResult combines the results of all restarts of one variant. Its slices have an element for each second after
// the restart.
type restartResult struct {
	requests, withinSLO []int
	violations          []string
}

// shareWithinSLO returns the share of requests within the SLO in a range of seconds, without the second that ends it.
func (r *restartResult) shareWithinSLO(from, to int) float64 {
	requests, withinSLO := 0, 0
	for second := from; second < to && second < len(r.requests); second++ {
		requests += r.requests[second]
		withinSLO += r.withinSLO[second]
	}
	return float64(withinSLO) / float64(max(requests, 1))
}

// curve returns the share of requests within the SLO for each second.
func (r *restartResult) curve(seconds int) plotter.XYs {
	var points plotter.XYs
	for second := range seconds {
		points = append(points, plotter.XY{X: float64(second), Y: r.shareWithinSLO(second, second+1)})
	}
	return points
}

// Run restarts all dispatchers at once in virtual time, with discovery up and with discovery down. It compares the
// results.
func (c *restartsCommand) Run(env *environment) error {
	if c.Seconds < 1 || c.Seeds < 1 || c.Dispatchers < 1 || c.Rate <= 0 {
		return errors.New("restarts: --for, --seeds, --dispatchers and --rate must be above 0")
	}
	env.printf("%d dispatchers restart at once, stand-in endpoints in virtual time, %d restarts of each variant, "+
		"%.0f requests a second;\n"+
		"share answered within the SLO, of the requests sent in the first %d s (and in the first 5 s)\n",
		c.Dispatchers, c.Seeds, c.Rate, c.Seconds)
	env.printf("%-10s %-10s %20s %20s %10s\n",
		"list age", "replaced", "discovery down", "discovery up", "down/up")
	var curves []any
	var violations []string
	for _, age := range c.Ages {
		for _, share := range c.Replaced {
			down, err := c.runVariant(restartVariant{age: age, replaced: share, discovery: false})
			if err != nil {
				return err
			}
			up, err := c.runVariant(restartVariant{age: age, replaced: share, discovery: true})
			if err != nil {
				return err
			}
			violations = append(append(violations, down.violations...), up.violations...)
			c.print(env, age, share, down, up)
			if share != plottedReplacedShare {
				continue
			}
			curves = append(curves, fmt.Sprintf("list of %v, discovery down", age), down.curve(c.Seconds))
			if age == c.Ages[len(c.Ages)-1] {
				curves = append(curves, fmt.Sprintf("list of %v, discovery up", age), up.curve(c.Seconds))
			}
		}
	}
	if err := c.plot(curves); err != nil {
		return err
	}
	if len(violations) > 0 {
		env.print(strings.Join(violations, "\n"), "\n")
		return errRuleViolated
	}
	env.print("none of the five rules violated in any run, no request left open", "\n")
	return nil
}

// print prints a line that compares the results with discovery down and with discovery up.
func (c *restartsCommand) print(env *environment, age time.Duration, share float64, down, up *restartResult) {
	shareDown, shareUp := down.shareWithinSLO(0, c.Seconds), up.shareWithinSLO(0, c.Seconds)
	env.printf("%-10v %-10v %11.3f (%.3f)   %9.3f (%.3f)   %8.2f\n", age, share,
		shareDown, down.shareWithinSLO(0, initialSeconds), shareUp, up.shareWithinSLO(0, initialSeconds),
		shareDown/max(shareUp, 0.001))
}

func (c *restartsCommand) plot(curves []any) error {
	p := plot.New()
	p.Title.Text = "After a restart of all dispatchers at once, a fifth of the endpoints replaced"
	p.X.Label.Text, p.Y.Label.Text = "s after the restart", "share answered within the SLO"
	p.Y.Min, p.Y.Max = 0, 1
	return savePlot(c.Plot, p, plotSize{width: 18, height: 11}, plotutil.AddLines, curves)
}

// runVariant runs the restarts of one variant, one for each seed.
func (c *restartsCommand) runVariant(variant restartVariant) (*restartResult, error) {
	result := &restartResult{requests: make([]int, c.Seconds+1), withinSLO: make([]int, c.Seconds+1)}
	var mu sync.Mutex
	var jobs []func() error
	for seed := range c.Seeds {
		jobs = append(jobs, func() error { return c.runOnce(variant, int64(seed+1), result, &mu) })
	}
	return result, runParallel(defaultParallelRuns, jobs)
}

// runOnce runs one restart and adds it to the result, which mu guards.
func (c *restartsCommand) runOnce(variant restartVariant, seed int64, result *restartResult, mu *sync.Mutex) error {
	text := fmt.Sprintf(`name: "restart" seconds: %d rate: %v`, c.Seconds, c.Rate)
	script, err := scenarios.ReadScript("restart", []byte(text))
	if err != nil {
		return err
	}
	dep := deployment.Standard()
	for _, group := range dep.Fleet.Groups {
		group.HostsPerZone *= fleetSizeFactor
	}
	run := &scenarios.Run{Script: script, Deployment: dep, Dispatchers: c.Dispatchers, Seed: seed}
	outcome, err := run.RunRestart(scenarios.Restart{
		Downtime:      eventloop.Micros(variant.age.Microseconds()),
		ReplacedShare: variant.replaced,
		DiscoveryDown: !variant.discovery,
	})
	if err != nil {
		return err
	}
	mu.Lock()
	defer mu.Unlock()
	if !outcome.Passed() {
		result.violations = append(result.violations,
			fmt.Sprintf("list of %v, %v replaced, discovery %v, seed %d, %d requests left open:\n%s",
				variant.age, variant.replaced, variant.discovery, seed, outcome.OpenRequests, outcome.Verdict.Text()))
	}
	requests, withinSLO := run.WithinSLOBySecond()
	for second := range requests {
		result.requests[second] += requests[second]
		result.withinSLO[second] += withinSLO[second]
	}
	return nil
}
