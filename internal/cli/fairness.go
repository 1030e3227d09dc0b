package cli

import (
	"context"
	"fmt"
	"os"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/scenarios"
)

type fairnessCommand struct {
	Seeds        int       `default:"8" help:"Runs of each variant, whose results are combined."`
	Rate         float64   `default:"18" help:"Requests a second of all three tenants together, without the flood."`
	Dispatchers  []int     `default:"1,4" help:"Numbers of dispatchers to run with."`
	FloodFactors []float64 `name:"times" default:"10,100" help:"Factors by which the flooding tenant multiplies its usual traffic."`
	Sockets      bool      `help:"Run over loopback sockets, with each dispatcher in its own process, instead of in virtual time. Runs of different variants alternate."`
	Plot         string    `type:"path" help:"File, .svg or .png, for a plot of the other tenants' time to first token."`
}

// fairnessResult combines the results of the two tenants that do not flood, over all seeds.
type fairnessResult struct {
	requests, withinSLO int
	firstToken          *hdrhistogram.Histogram
	passed              bool
}

// Run runs scenarios with and without a flood, for each number of dispatchers, and compares the results.
func (c *fairnessCommand) Run(ctx context.Context, env *environment) error {
	where := "in virtual time"
	if c.Sockets {
		where = "over loopback sockets"
	}
	env.printf("three tenants, one of which floods for 12 of 20 s; results of the other two, stand-in endpoints %s, "+
		"%d runs of each variant\n",
		where, c.Seeds)
	env.printf("%-12s %-8s %7s %8s %8s %8s %8s %8s\n",
		"dispatchers", "flood", "sent", "in SLO", "vs none", "p50 ms", "p99 ms", "vs none")
	var curves []any
	passed := true
	floodFactors := append([]float64{1}, c.FloodFactors...)
	for _, dispatchers := range c.Dispatchers {
		results, err := c.compare(ctx, env, dispatchers, floodFactors)
		if err != nil {
			return err
		}
		for i, floodFactor := range floodFactors {
			passed = passed && results[i].passed
			results[i].print(env, dispatchers, floodFactor, results[0])
			curves = append(curves, fmt.Sprintf("%d dispatchers, %v times", dispatchers, floodFactor), results[i].distribution())
		}
	}
	p := plot.New()
	p.Title.Text = "Time to first token of the two tenants that do not flood"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share of requests"
	if err := savePlot(c.Plot, p, plotSize{width: 18, height: 11}, plotutil.AddLines, curves); err != nil {
		return err
	}
	if !passed {
		return errRuleViolated
	}
	return nil
}

// compare runs all seeds with each flood factor. Runs with different factors alternate, so that other load on the
// machine affects all of them alike.
func (c *fairnessCommand) compare(ctx context.Context, env *environment, dispatchers int, floodFactors []float64) (
	[]fairnessResult, error) {
	results := make([]fairnessResult, len(floodFactors))
	for i := range results {
		results[i] = fairnessResult{firstToken: newLatencyHistogram(), passed: true}
	}
	var mu sync.Mutex
	var jobs []func() error
	for seed := range c.Seeds {
		for i, floodFactor := range floodFactors {
			jobs = append(jobs, func() error {
				verdict, err := c.runOnce(ctx, env, dispatchers, floodFactor, int64(seed+1))
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				results[i].add(verdict)
				return nil
			})
		}
	}
	limit := defaultParallelRuns
	if c.Sockets {
		limit = 1
	}
	return results, runParallel(limit, jobs)
}

// add adds the results of one run for the two tenants that do not flood.
func (r *fairnessResult) add(verdict *audit.Verdict) {
	r.passed = r.passed && verdict.Passed()
	for _, row := range verdict.Rows {
		if row.Name == "tenant middle" || row.Name == "tenant south" {
			r.requests += row.Requests
			r.withinSLO += row.InSLO
			r.firstToken.Merge(row.FirstToken)
		}
	}
}

// shareWithinSLO returns the share of requests within their SLO.
func (r *fairnessResult) shareWithinSLO() float64 {
	return float64(r.withinSLO) / float64(max(r.requests, 1))
}

// print prints a line that compares a result with the result without a flood.
func (r *fairnessResult) print(env *environment, dispatchers int, floodFactor float64, baseline fairnessResult) {
	p99 := p99Millis(r.firstToken)
	env.printf("%-12d %-8v %7d %8.3f %8.3f %8.0f %8.0f %8.2f\n", dispatchers, floodFactor, r.requests, r.shareWithinSLO(),
		r.shareWithinSLO()/baseline.shareWithinSLO(), quantileMillis(r.firstToken, 50),
		p99, p99/p99Millis(baseline.firstToken))
}

// distribution returns the cumulative distribution of the time to first token.
func (r *fairnessResult) distribution() plotter.XYs {
	var points plotter.XYs
	for percent := 1.0; percent < 100; percent += 0.5 {
		points = append(points, plotter.XY{X: quantileMillis(r.firstToken, percent), Y: percent / 100})
	}
	return points
}

// runOnce runs one scenario in virtual time or over sockets. If floodFactor is above 1, one tenant sends that many
// times its usual traffic for part of the scenario.
func (c *fairnessCommand) runOnce(
	ctx context.Context, env *environment, dispatchers int, floodFactor float64, seed int64,
) (*audit.Verdict, error) {
	text := fmt.Sprintf(`name: "flood" seconds: 20 rate: %v`, c.Rate)
	if floodFactor > 1 {
		text += fmt.Sprintf(` troubles { at_ms: 5000 kind: "tenant_burst" factor: %v for_ms: 12000 }`, floodFactor)
	}
	script, err := scenarios.ReadScript("flood", []byte(text))
	if err != nil {
		return nil, err
	}
	run := &scenarios.Run{Script: script, Deployment: deployment.Standard(), Dispatchers: dispatchers, Seed: seed}
	if !c.Sockets {
		outcome, err := run.RunVirtual(0)
		if err != nil {
			return nil, err
		}
		return outcome.Verdict, nil
	}
	if run.Binary, err = os.Executable(); err != nil {
		return nil, fmt.Errorf("path of this program: %w", err)
	}
	verdict, err := run.Run(ctx)
	if err == nil && !verdict.Passed() {
		env.reportf("%s", verdict.Text())
	}
	return verdict, err
}
