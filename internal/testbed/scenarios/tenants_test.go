package scenarios

import (
	"fmt"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/audit"
	"plumspindle/internal/testbed/record"
)

// floodScenario is a scenario in which the first of three tenants multiplies its usual traffic by factor. With factor 1
// no tenant floods.
type floodScenario struct {
	rate, dispatchers int
	factor            float64
	seed              int64
}

// rowsOfOthers runs the scenario and returns the audit's rows for the two tenants that do not flood.
func (f floodScenario) rowsOfOthers(t *testing.T) (others []*audit.Row) {
	t.Helper()
	text := fmt.Sprintf(`name: "flood" seconds: 20 rate: %d`, f.rate)
	if f.factor > 1 {
		text += fmt.Sprintf(` troubles { at_ms: 5000 kind: "tenant_burst" factor: %v for_ms: 12000 }`, f.factor)
	}
	run := &Run{Script: parseScript(t, text), Deployment: deployment.Standard(), Dispatchers: f.dispatchers, Seed: f.seed}
	verdict, _ := runCleanly(t, run, 0)
	for _, row := range verdict.Rows {
		if row.Name == "tenant middle" || row.Name == "tenant south" {
			others = append(others, row)
		}
	}
	return others
}

// One tenant floods with ten times its traffic. The share of requests within the SLO of the other two must hardly drop,
// and their time to the first token must not double. The published figures come from many runs (plumspindle fairness,
// docs/status.md).
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	const minShareOfService, maxLatencyFactor = 0.97, 2.0
	for _, dispatchers := range []int{1, 4} {
		calm := floodScenario{rate: 15, dispatchers: dispatchers, factor: 1, seed: 3}.rowsOfOthers(t)
		flooded := floodScenario{rate: 15, dispatchers: dispatchers, factor: 10, seed: 3}.rowsOfOthers(t)
		for i, row := range flooded {
			before, now := float64(calm[i].InSLO)/float64(calm[i].Requests), float64(row.InSLO)/float64(row.Requests)
			p75Before, p75 := calm[i].FirstToken.ValueAtQuantile(75), row.FirstToken.ValueAtQuantile(75)
			if now < minShareOfService*before || float64(p75) > maxLatencyFactor*float64(p75Before) {
				t.Errorf("%d dispatchers, %s: in SLO %.3f, was %.3f; p75 %d, was %d ms (%d asked)",
					dispatchers, row.Name, now, before, p75/1000, p75Before/1000, row.Requests)
			}
		}
	}
}

// usageSums is the usage of one product by one tenant.
type usageSums struct{ completed, rejected, failed, tokens int64 }

// reportedUsage returns the usage that the dispatchers report, by tenant and product.
func reportedUsage(run *Run) map[string]usageSums {
	reported := map[string]usageSums{}
	for _, usage := range run.Usage {
		name := usage.Tenant + " " + usage.Product
		sums := reported[name]
		sums.completed += int64(usage.Completed)
		sums.rejected += int64(usage.Rejected)
		sums.failed += int64(usage.Failed)
		if usage.Failed == 0 { // the counts of broken streams differ: clients count tokens received, endpoints tokens written
			sums.tokens += int64(usage.OutputTokens)
		}
		reported[name] = sums
	}
	return reported
}

// observedUsage returns the usage that clients observed, by tenant and product. It also returns the pairs of tenant and
// product that had a failed request.
func observedUsage(run *Run) (observed map[string]usageSums, broken map[string]bool) {
	observed, broken = map[string]usageSums{}, map[string]bool{}
	for _, event := range run.events {
		if event.Type != record.FinalAnswer {
			continue
		}
		name := event.Tenant + " " + event.Product
		sums := observed[name]
		switch event.Detail {
		case record.Completed:
			sums.completed++
			sums.tokens += event.Count
		case record.Rejected:
			sums.rejected++
		case record.Failed:
			sums.failed++
			broken[name] = true
		}
		observed[name] = sums
	}
	return observed, broken
}

// The usage that dispatchers report must equal what clients observed on their sockets, to the request and the token.
func TestUsageEqualsTheRecord(t *testing.T) {
	const tenantsAndProducts = 9
	script, err := Find("fast_errors")
	if err != nil {
		t.Fatal(err)
	}
	run := &Run{Script: script, Deployment: deployment.Standard(), Dispatchers: 3, Seed: 8}
	if _, err := run.RunVirtual(0); err != nil {
		t.Fatal(err)
	}
	reported := reportedUsage(run)
	observed, broken := observedUsage(run)
	if len(observed) != tenantsAndProducts {
		t.Fatalf("usage of %d pairs of tenant and product was observed", len(observed))
	}
	for name, want := range observed {
		got := reported[name]
		if broken[name] {
			got.tokens = want.tokens
		}
		if got != want {
			t.Errorf("%s: the dispatchers report %+v, the clients observed %+v", name, got, want)
		}
	}
}

// Dispatchers are killed every 900 ms, and clients retry broken requests with their idempotency keys. With stored
// intents no request with side effects may be decoded twice. Without stored intents some such requests must be decoded
// twice, which shows that the test can fail.
func TestIntentsPreventSecondRunsThroughKills(t *testing.T) {
	text := `name: "kills" seconds: 16 rate: 22`
	for at := 1500; at < 15000; at += 900 {
		text += fmt.Sprintf(` troubles { at_ms: %d kind: "balancer_crash" share: 0.3 for_ms: 500 }`, at)
	}
	secondRuns := map[bool]int{}
	for _, intents := range []bool{true, false} {
		for seed := int64(1); seed <= 4; seed++ {
			secondRuns[intents] += secondRunsThroughKills(t, text, intents, seed)
		}
	}
	t.Logf("run twice: %d with stored intents, %d without", secondRuns[true], secondRuns[false])
	if secondRuns[true] > 0 || secondRuns[false] == 0 {
		t.Errorf("run twice: %d with stored intents, %d without", secondRuns[true], secondRuns[false])
	}
}

// secondRunsThroughKills runs the scenario and returns the number of violations of the second rule, that no request
// with side effects runs twice. Violations of other rules fail the test.
func secondRunsThroughKills(t *testing.T, text string, intents bool, seed int64) (secondRuns int) {
	t.Helper()
	const segment = 600
	run := &Run{Script: parseScript(t, text), Deployment: deployment.Standard(), Dispatchers: 3, Seed: seed,
		UseIdempotencyKeys: true, StoreIntents: intents}
	outcome, err := run.RunVirtual(segment)
	if err != nil {
		t.Fatal(err)
	}
	for i, rule := range outcome.Verdict.Rules {
		if i == 1 {
			secondRuns = len(rule.Violations)
		} else if len(rule.Violations) > 0 {
			t.Errorf("intents %v, seed %d: %d requests open\n%s",
				intents, seed, outcome.OpenRequests, outcome.Verdict.Text())
		}
	}
	return secondRuns
}

// Each dispatcher enforces its part of a tenant's share. With four dispatchers, a tenant that stays within its share
// may by chance exceed the part of one dispatcher, which then queues the tenant's requests as surplus. In a scenario
// without a flood this queueing must add little latency (readiness-review.md, F28).
func TestShareSplitOverFourDispatchersAddsLittleLatency(t *testing.T) {
	const maxLatencyFactor = 1.5
	p99 := map[int]float64{}
	for _, dispatchers := range []int{1, 4} {
		firstToken := hdrhistogram.New(1, 60_000_000, 3)
		for seed := int64(1); seed <= 4; seed++ {
			for _, row := range (floodScenario{rate: 18, dispatchers: dispatchers, factor: 1, seed: seed}).rowsOfOthers(t) {
				firstToken.Merge(row.FirstToken)
			}
		}
		p99[dispatchers] = float64(firstToken.ValueAtQuantile(99)) / 1000
	}
	t.Logf("p99 to the first token: %.0f ms at one dispatcher, %.0f at four", p99[1], p99[4])
	if p99[4] > maxLatencyFactor*p99[1] {
		t.Errorf("p99 to the first token: %.0f ms at one dispatcher, %.0f at four", p99[1], p99[4])
	}
}
