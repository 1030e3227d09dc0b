package cli

import (
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/scenarios"
)

type batchesCommand struct {
	Rate            float64 `default:"12" help:"Chat requests a second."`
	ConcurrentCalls int     `name:"at-once" default:"40" help:"Embeddings calls that are in flight at any time."`
	Inputs          int     `default:"50" help:"Inputs of each call."`
	Tokens          int     `default:"100" help:"Approximate number of tokens of each input."`
	Seconds         int     `name:"for" default:"20" help:"Length of each run in seconds."`
	PartTokens      int     `name:"part" default:"0" help:"Tokens of each part that a call is split into; 0 for the default."`
	Seeds           int     `default:"4" help:"Runs of each variant, whose results are combined."`
	FixedLimits     []int   `name:"fixed" default:"1,8,64,1000" help:"Fixed limits to compare with: parts in flight for each dispatcher."`
	Plot            string  `type:"path" help:"File, .svg or .png, for a plot of batch throughput against the p99 time to first token of chat."`
}

// Special values of batchVariant.limit. Any other value is a fixed number of parts.
const (
	noBatches     = -1
	adaptiveLimit = 0
)

const (
	batchDispatchers = 3
	idleRate         = 0.01 // chat requests a second, so few that batches can use the whole capacity of the endpoints
)

// batchScenario is a scenario that the command runs with each limit.
type batchScenario struct{ name, faults string }

var batchScenarios = []batchScenario{
	{"quiet", ""},
	{"slow host", `troubles { at_ms: 4000 kind: "slow" share: 0.25 factor: 4 for_ms: 12000 }`},
	{"mass restart", `troubles { at_ms: 4000 kind: "mass_restart" share: 0.5 for_ms: 1000 }`},
}

// batchVariant is a combination of scenario and limit that is compared with others.
type batchVariant struct {
	scenario batchScenario
	limit    int // noBatches, adaptiveLimit, or else the number of parts in flight for each dispatcher
}

// batchResult combines the results of all runs of one variant.
type batchResult struct {
	requests, withinSLO int // chat requests, and those of them within their SLO
	tokens              int // prefilled for batches
	wrongVectors        int // vectors that do not belong to their inputs
	firstToken          *hdrhistogram.Histogram
	violations          []string
}

func (r *batchResult) passed() bool { return len(r.violations) == 0 && r.wrongVectors == 0 }

// shareWithinSLO returns the share of chat requests within their SLO.
func (r *batchResult) shareWithinSLO() float64 {
	return float64(r.withinSLO) / float64(max(r.requests, 1))
}

// Run runs chat alone, and then beside a flood of batches with adaptive and with fixed limits. It compares the results.
func (c *batchesCommand) Run(env *environment) error {
	if c.Rate < 0 || c.ConcurrentCalls < 1 || c.Inputs < 1 || c.Tokens < 8 || c.Seconds < 1 || c.Seeds < 1 {
		return errors.New("batches: a flag is below its minimum")
	}
	env.printf("%d dispatchers, stand-in endpoints in virtual time, %d runs of each variant; "+
		"chat %.0f requests a second; %d concurrent calls of %d inputs of %d tokens\n",
		batchDispatchers, c.Seeds, c.Rate, c.ConcurrentCalls, c.Inputs, c.Tokens)
	env.printf("%-14s %-12s %9s %9s %9s %9s %12s %12s\n",
		"day", "limit", "in SLO", "vs none", "p99 ms", "vs none", "tokens/s", "of capacity")
	capacity := prefillCapacity(deployment.Standard())
	var points []any
	passed := true
	for _, scenario := range batchScenarios {
		var baseline *batchResult
		for _, limit := range append([]int{noBatches, adaptiveLimit}, c.FixedLimits...) {
			variant := batchVariant{scenario, limit}
			result, err := c.runVariant(variant, c.Rate)
			if err != nil {
				return err
			}
			passed = passed && result.passed()
			for _, violation := range result.violations {
				env.reportf("%s\n", violation)
			}
			if limit == noBatches {
				baseline = result
			}
			c.print(env, variant, result, baseline)
			if limit != noBatches {
				point := plotter.XYs{{X: c.tokensPerSecond(result) / capacity, Y: p99Millis(result.firstToken)}}
				points = append(points, scenario.name+", "+limitName(limit), point)
			}
		}
	}
	idle, err := c.runVariant(batchVariant{batchScenarios[0], adaptiveLimit}, idleRate)
	if err != nil {
		return err
	}
	rate := c.tokensPerSecond(idle)
	env.printf("chat idle, learnt: %.0f tokens a second, %.2f of the prefill capacity\n", rate, rate/capacity)
	if err := c.plot(points); err != nil {
		return err
	}
	if !passed || !idle.passed() {
		return errRuleViolated
	}
	env.print("none of the five rules violated, every vector matched its input", "\n")
	return nil
}

// prefillCapacity returns the number of tokens a second that all prefill endpoints together can process.
func prefillCapacity(dep deployment.Deployment) float64 {
	capacity := 0.0
	for _, group := range dep.Fleet.Groups {
		if group.Kind == "prefill" {
			capacity += group.ReadTokensPerS * float64(group.HostsPerZone) * float64(len(dep.Zones))
		}
	}
	return capacity
}

// limitName returns the name of a limit in the printed table and the plot.
func limitName(limit int) string {
	switch limit {
	case noBatches:
		return "no batches"
	case adaptiveLimit:
		return "learnt"
	}
	return strconv.Itoa(limit)
}

// tokensPerSecond returns the average number of batch tokens that were prefilled in each second of the runs.
func (c *batchesCommand) tokensPerSecond(result *batchResult) float64 {
	return float64(result.tokens) / float64(c.Seconds*c.Seeds)
}

// print prints a line that compares a result with the result without batches.
func (c *batchesCommand) print(env *environment, variant batchVariant, result, baseline *batchResult) {
	share, p99, rate := result.shareWithinSLO(), p99Millis(result.firstToken), c.tokensPerSecond(result)
	env.printf("%-14s %-12s %9.3f %9.3f %9.0f %9.2f %12.0f %12.2f\n", variant.scenario.name, limitName(variant.limit),
		share, share/baseline.shareWithinSLO(), p99, p99/p99Millis(baseline.firstToken),
		rate, rate/prefillCapacity(deployment.Standard()))
}

func (c *batchesCommand) plot(points []any) error {
	p := plot.New()
	p.Title.Text = "p99 time to first token of chat against batch throughput"
	p.X.Label.Text, p.Y.Label.Text = "batch tokens as a share of the prefill capacity", "p99, ms"
	p.Legend.Top, p.Legend.Left = true, true
	return savePlot(c.Plot, p, plotSize{width: 20, height: 14}, plotutil.AddScatters, points)
}

// runVariant runs the scenario of a variant with its limit, once for each seed.
func (c *batchesCommand) runVariant(variant batchVariant, rate float64) (*batchResult, error) {
	result := &batchResult{firstToken: newLatencyHistogram()}
	text := fmt.Sprintf("name: %q seconds: %d rate: %v %s",
		variant.scenario.name, c.Seconds, rate, variant.scenario.faults)
	if variant.limit != noBatches {
		text += fmt.Sprintf(` batches { product: "embed" at_once: %d inputs: %d tokens: %d }`,
			c.ConcurrentCalls, c.Inputs, c.Tokens)
	}
	var mu sync.Mutex
	var jobs []func() error
	for seed := range c.Seeds {
		jobs = append(jobs, func() error {
			script, err := scenarios.ReadScript(variant.scenario.name, []byte(text))
			if err != nil {
				return err
			}
			dep := deployment.Standard()
			dep.Batches = &pb.Batches{FixedLimit: uint32(max(variant.limit, 0)), PartTokens: uint32(c.PartTokens)}
			run := &scenarios.Run{Script: script, Deployment: dep, Dispatchers: batchDispatchers, Seed: int64(seed + 1)}
			outcome, err := run.RunVirtual(0)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if !outcome.Passed() {
				result.violations = append(result.violations, fmt.Sprintf("%s, limit %d, seed %d, %d requests left open:\n%s",
					variant.scenario.name, variant.limit, seed+1, outcome.OpenRequests, outcome.Verdict.Text()))
			}
			result.add(run, outcome.Verdict)
			return nil
		})
	}
	return result, runParallel(defaultParallelRuns, jobs)
}

// add adds the results of one run.
func (r *batchResult) add(run *scenarios.Run, verdict *audit.Verdict) {
	for _, product := range run.Deployment.Products {
		for _, row := range verdict.Rows {
			if product.Form == pb.Product_CHAT && row.Name == "product "+product.Name {
				r.requests += row.Requests
				r.withinSLO += row.InSLO
				r.firstToken.Merge(row.FirstToken)
			}
		}
	}
	for _, clients := range run.BatchClients {
		r.tokens += clients.TokensAnswered
		r.wrongVectors += clients.WrongAnswers
	}
}
