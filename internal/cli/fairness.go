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
	Seeds       int       `default:"8" help:"Runs of each sort, whose tenants' times are put together."`
	Rate        float64   `default:"18" help:"Requests a second of all three tenants without a flood."`
	Dispatchers []int     `default:"1,4" help:"Numbers of dispatchers to run with."`
	Times       []float64 `default:"10,100" help:"How many times its usual traffic the flooding tenant sends."`
	Sockets     bool      `help:"Run over loopback sockets, with dispatchers as processes of their own, in place of virtual time; runs of each sort alternate."`
	Plot        string    `type:"path" help:"File, .svg or .png, for a plot of the others' times to the first token."`
}

// fairnessResult is what the two tenants that do not flood got, over all seeds.
type fairnessResult struct {
	asked, inSLO int
	firstToken   *hdrhistogram.Histogram
	passed       bool
}

// Run runs scenarios with and without a flood and compares.
func (c *fairnessCommand) Run(ctx context.Context, env *environment) error {
	where := "in virtual time"
	if c.Sockets {
		where = "over loopback sockets"
	}
	env.printf("three tenants, one floods for 12 of 20 s; the other two, stand-in hosts %s, %d days of each sort\n",
		where, c.Seeds)
	env.printf("%-12s %-8s %7s %8s %8s %8s %8s %8s\n",
		"dispatchers", "flood", "asked", "in SLO", "of calm", "p50 ms", "p99 ms", "of calm")
	var curves []any
	passed := true
	floods := append([]float64{1}, c.Times...)
	for _, dispatchers := range c.Dispatchers {
		results, err := c.compare(ctx, env, dispatchers, floods)
		if err != nil {
			return err
		}
		for i, times := range floods {
			passed = passed && results[i].passed
			results[i].print(env, dispatchers, times, results[0])
			curves = append(curves, fmt.Sprintf("%d dispatchers, %v times", dispatchers, times), results[i].distribution())
		}
	}
	p := plot.New()
	p.Title.Text = "Time to first token of the two tenants that do not flood"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share of generations"
	if err := savePlot(c.Plot, p, plotSize{width: 18, height: 11}, plotutil.AddLines, curves); err != nil {
		return err
	}
	if !passed {
		return errRuleBroken
	}
	return nil
}

// compare runs all seeds with each flood. Runs with different floods alternate, so that what the machine does besides
// affects all of them.
func (c *fairnessCommand) compare(ctx context.Context, env *environment, dispatchers int, floods []float64) (
	[]fairnessResult, error) {
	results := make([]fairnessResult, len(floods))
	for i := range results {
		results[i] = fairnessResult{firstToken: newLatencyHistogram(), passed: true}
	}
	var mu sync.Mutex
	var jobs []func() error
	for seed := range c.Seeds {
		for i, times := range floods {
			jobs = append(jobs, func() error {
				verdict, err := c.runOnce(ctx, env, dispatchers, times, int64(seed+1))
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
	limit := parallelRuns
	if c.Sockets {
		limit = 1
	}
	return results, runParallel(limit, jobs)
}

func (r *fairnessResult) add(verdict *audit.Verdict) {
	r.passed = r.passed && verdict.Passed()
	for _, row := range verdict.Rows {
		if row.Name == "tenant middle" || row.Name == "tenant south" {
			r.asked += row.Asked
			r.inSLO += row.InSLO
			r.firstToken.Merge(row.FirstToken)
		}
	}
}

func (r *fairnessResult) shareInSLO() float64 { return float64(r.inSLO) / float64(max(r.asked, 1)) }

// print prints a line that compares with the result without a flood.
func (r *fairnessResult) print(env *environment, dispatchers int, times float64, calm fairnessResult) {
	p99 := p99Millis(r.firstToken)
	env.printf("%-12d %-8v %7d %8.3f %8.3f %8.0f %8.0f %8.2f\n", dispatchers, times, r.asked, r.shareInSLO(),
		r.shareInSLO()/calm.shareInSLO(), quantileMillis(r.firstToken, 50), p99, p99/p99Millis(calm.firstToken))
}

// distribution returns the curve of the times to first token.
func (r *fairnessResult) distribution() plotter.XYs {
	var points plotter.XYs
	for percent := 1.0; percent < 100; percent += 0.5 {
		points = append(points, plotter.XY{X: quantileMillis(r.firstToken, percent), Y: percent / 100})
	}
	return points
}

func (c *fairnessCommand) runOnce(ctx context.Context, env *environment, dispatchers int, times float64, seed int64) (
	*audit.Verdict, error) {
	text := fmt.Sprintf(`name: "flood" seconds: 20 rate: %v`, c.Rate)
	if times > 1 {
		text += fmt.Sprintf(` troubles { at_ms: 5000 kind: "tenant_burst" factor: %v for_ms: 12000 }`, times)
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
