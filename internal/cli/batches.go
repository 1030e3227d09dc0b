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
	Rate   float64 `default:"12" help:"Chat requests a second."`
	AtOnce int     `default:"40" help:"Calls for embeddings that are in flight at any time."`
	Inputs int     `default:"50" help:"Inputs of a call."`
	Tokens int     `default:"100" help:"Tokens of an input, about."`
	For    int     `default:"20" help:"Seconds of a run."`
	Part   int     `default:"0" help:"Tokens of a part; 0: as usual."`
	Seeds  int     `default:"4" help:"Runs of each sort, put together."`
	Fixed  []int   `default:"1,8,64,1000" help:"Limits to compare with: parts at once for each dispatcher."`
	Plot   string  `type:"path" help:"File, .svg or .png, for a plot of throughput against chat's p99."`
}

// Limits that are not a fixed number of parts.
const (
	noBatches   = -1
	learntLimit = 0
)

const (
	batchDispatchers = 3
	idleRate         = 0.01 // chat requests a second that leave the endpoints to batches
)

// batchScenario is a scenario that is run under each limit.
type batchScenario struct{ name, faults string }

var batchScenarios = []batchScenario{
	{"quiet", ""},
	{"slow host", `troubles { at_ms: 4000 kind: "slow" share: 0.25 factor: 4 for_ms: 12000 }`},
	{"mass restart", `troubles { at_ms: 4000 kind: "mass_restart" share: 0.5 for_ms: 1000 }`},
}

// batchSort is one sort of run that is compared with others.
type batchSort struct {
	scenario batchScenario
	limit    int // parts at once for each dispatcher, noBatches or learntLimit
}

// batchResult is what runs of one sort gave.
type batchResult struct {
	asked, inSLO int // of chat
	tokens       int // read for batches
	misplaced    int // vectors that were not those of their inputs
	firstToken   *hdrhistogram.Histogram
	violations   []string
}

func (r *batchResult) passed() bool { return len(r.violations) == 0 && r.misplaced == 0 }

func (r *batchResult) shareInSLO() float64 { return float64(r.inSLO) / float64(max(r.asked, 1)) }

// Run runs chat with a flood of batches, under limits that are learnt and fixed.
func (c *batchesCommand) Run(env *environment) error {
	if c.Rate < 0 || c.AtOnce < 1 || c.Inputs < 1 || c.Tokens < 8 || c.For < 1 || c.Seeds < 1 {
		return errors.New("batches: a number is too small")
	}
	env.printf("%d dispatchers, stand-in hosts in virtual time, %d days of each sort; chat %.0f generations a second; "+
		"%d calls at once of %d inputs of %d tokens\n", batchDispatchers, c.Seeds, c.Rate, c.AtOnce, c.Inputs, c.Tokens)
	env.printf("%-14s %-12s %9s %9s %9s %9s %12s %12s\n",
		"day", "limit", "in SLO", "of none", "p99 ms", "of none", "tokens/s", "of capacity")
	capacity := prefillCapacity(deployment.Standard())
	var points []any
	passed := true
	for _, scenario := range batchScenarios {
		var without *batchResult
		for _, limit := range append([]int{noBatches, learntLimit}, c.Fixed...) {
			sort := batchSort{scenario, limit}
			result, err := c.runSort(sort, c.Rate)
			if err != nil {
				return err
			}
			passed = passed && result.passed()
			for _, violation := range result.violations {
				env.reportf("%s\n", violation)
			}
			if limit == noBatches {
				without = result
			}
			c.print(env, sort, result, without)
			if limit != noBatches {
				point := plotter.XYs{{X: c.tokensPerSecond(result) / capacity, Y: p99Millis(result.firstToken)}}
				points = append(points, scenario.name+", "+limitName(limit), point)
			}
		}
	}
	idle, err := c.runSort(batchSort{batchScenarios[0], learntLimit}, idleRate)
	if err != nil {
		return err
	}
	rate := c.tokensPerSecond(idle)
	env.printf("chat idle, learnt: %.0f tokens a second, %.2f of the readers' capacity\n", rate, rate/capacity)
	if err := c.plot(points); err != nil {
		return err
	}
	if !passed || !idle.passed() {
		return errRuleBroken
	}
	env.print("all five rules kept, every vector at its place", "\n")
	return nil
}

// prefillCapacity returns how many tokens a second the prefill endpoints read.
func prefillCapacity(dep deployment.Deployment) float64 {
	capacity := 0.0
	for _, group := range dep.Fleet.Groups {
		if group.Kind == "prefill" {
			capacity += group.ReadTokensPerS * float64(group.HostsPerZone) * float64(len(dep.Zones))
		}
	}
	return capacity
}

func limitName(limit int) string {
	switch limit {
	case noBatches:
		return "no batches"
	case learntLimit:
		return "learnt"
	}
	return strconv.Itoa(limit)
}

func (c *batchesCommand) tokensPerSecond(result *batchResult) float64 {
	return float64(result.tokens) / float64(c.For*c.Seeds)
}

// print prints a line that compares with the result without batches.
func (c *batchesCommand) print(env *environment, sort batchSort, result, without *batchResult) {
	share, p99, rate := result.shareInSLO(), p99Millis(result.firstToken), c.tokensPerSecond(result)
	env.printf("%-14s %-12s %9.3f %9.3f %9.0f %9.2f %12.0f %12.2f\n", sort.scenario.name, limitName(sort.limit), share,
		share/without.shareInSLO(), p99, p99/p99Millis(without.firstToken), rate, rate/prefillCapacity(deployment.Standard()))
}

func (c *batchesCommand) plot(points []any) error {
	p := plot.New()
	p.Title.Text = "Chat's p99 to the first token against what batches read"
	p.X.Label.Text, p.Y.Label.Text = "tokens read for batches, of the readers' capacity", "p99, ms"
	p.Legend.Top, p.Legend.Left = true, true
	return savePlot(c.Plot, p, plotSize{width: 20, height: 14}, plotutil.AddScatters, points)
}

// runSort runs the scenario under its limit, once for each seed.
func (c *batchesCommand) runSort(sort batchSort, rate float64) (*batchResult, error) {
	result := &batchResult{firstToken: newLatencyHistogram()}
	text := fmt.Sprintf("name: %q seconds: %d rate: %v %s", sort.scenario.name, c.For, rate, sort.scenario.faults)
	if sort.limit != noBatches {
		text += fmt.Sprintf(` batches { product: "embed" at_once: %d inputs: %d tokens: %d }`, c.AtOnce, c.Inputs, c.Tokens)
	}
	var mu sync.Mutex
	var jobs []func() error
	for seed := range c.Seeds {
		jobs = append(jobs, func() error {
			script, err := scenarios.ReadScript(sort.scenario.name, []byte(text))
			if err != nil {
				return err
			}
			dep := deployment.Standard()
			dep.Batches = &pb.Batches{FixedLimit: uint32(max(sort.limit, 0)), PartTokens: uint32(c.Part)}
			run := &scenarios.Run{Script: script, Deployment: dep, Dispatchers: batchDispatchers, Seed: int64(seed + 1)}
			outcome, err := run.RunVirtual(0)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if !outcome.Passed() {
				result.violations = append(result.violations, fmt.Sprintf("%s, limit %d, seed %d, %d left over:\n%s",
					sort.scenario.name, sort.limit, seed+1, outcome.OpenRequests, outcome.Verdict.Text()))
			}
			result.add(run, outcome.Verdict)
			return nil
		})
	}
	return result, runParallel(parallelRuns, jobs)
}

// add adds what one run gave.
func (r *batchResult) add(run *scenarios.Run, verdict *audit.Verdict) {
	for _, product := range run.Deployment.Products {
		for _, row := range verdict.Rows {
			if product.Form == pb.Product_CHAT && row.Name == "product "+product.Name {
				r.asked += row.Asked
				r.inSLO += row.InSLO
				r.firstToken.Merge(row.FirstToken)
			}
		}
	}
	for _, clients := range run.BatchClients {
		r.tokens += clients.TokensRead
		r.misplaced += clients.Wrong
	}
}
