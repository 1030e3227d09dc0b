package audit

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"plumspindle/internal/testbed/record"
)

const (
	maxFirstToken      = 60 * second // longer times to first token are not counted
	latencyDigits      = 3           // significant digits
	maxShownViolations = 20          // of each rule
)

// summariseService sums up the finished requests by product and by tenant, and the revenue that was earned.
func (c *checker) summariseService(events []record.Event) {
	attempts := map[string]int{} // by request
	for _, event := range events {
		if event.Type == record.AttemptArrived {
			attempts[event.Request]++
		}
	}
	rows := map[string]*Row{}
	var earned, asked float64
	for _, event := range events {
		if event.Type != record.RequestFinished {
			continue
		}
		revenue, lateShare := 1.0, 0.0
		if product := c.products[event.Product]; product != nil {
			revenue, lateShare = product.Revenue, product.LateShare
		}
		asked += revenue
		switch {
		case event.Detail == record.Completed && event.Exact:
			earned += revenue
		case event.Detail == record.Completed:
			earned += revenue * lateShare
		}
		for _, name := range []string{"all", "product " + event.Product, "tenant " + event.Tenant} {
			if rows[name] == nil {
				rows[name] = &Row{Name: name, FirstToken: hdrhistogram.New(1, maxFirstToken, latencyDigits)}
			}
			rows[name].add(event, attempts[event.Request])
		}
	}
	for _, name := range sortedKeys(rows) {
		c.verdict.Rows = append(c.verdict.Rows, rows[name])
	}
	if asked > 0 {
		c.verdict.RevenueShare = earned / asked
	}
}

// add counts a finished request.
func (r *Row) add(event record.Event, attempts int) {
	r.Requests++
	r.Attempts += attempts
	switch event.Detail {
	case record.Completed:
		r.Completed++
		_ = r.FirstToken.RecordValue(max(event.Count, 1)) // an error means that the time is above the histogram's range
		if event.Exact {
			r.InSLO++
		}
	case record.Rejected:
		r.Rejected++
	case record.Failed:
		r.Failed++
	default:
		r.OtherOutcomes++
	}
}

// Text returns the verdict as it is printed.
func (v *Verdict) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-24s %6s %9s %7s %9s %10s %6s %9s %9s %5s\n", "", "asked", "streamed", "in SLO", "throttled",
		"terminated", "other", "p50 ms", "p99 ms", "legs")
	for _, row := range v.Rows {
		text.WriteString(row.text())
	}
	fmt.Fprintf(&text, "service %.3f (share of the revenue that was earned; a late answer earns its late share); "+
		"slow-start budget used at most %.2f\n", v.RevenueShare, v.PeakSlowStartUse)
	for i, rule := range v.Rules {
		text.WriteString(rule.text(i + 1))
	}
	text.WriteString(v.Evidence)
	return text.String()
}

func (r *Row) text() string {
	asked := float64(max(r.Requests, 1))
	share := func(count int) float64 { return float64(count) / asked }
	millis := func(percent float64) float64 { return float64(r.FirstToken.ValueAtQuantile(percent)) / millisecond }
	return fmt.Sprintf("%-24s %6d %9.3f %7.3f %9.3f %10.3f %6.3f %9.0f %9.0f %5.2f\n", r.Name, r.Requests,
		share(r.Completed), share(r.InSLO), share(r.Rejected), share(r.Failed), share(r.OtherOutcomes),
		millis(50), millis(99), share(r.Attempts))
}

func (r RuleResult) text(number int) string {
	if len(r.Violations) == 0 {
		return fmt.Sprintf("rule %d, %s: passed (%d checked)\n", number, r.Name, r.Checked)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "rule %d, %s: BROKEN %d times (%d checked)\n", number, r.Name, len(r.Violations), r.Checked)
	for i, violation := range r.Violations {
		if i == maxShownViolations {
			fmt.Fprintf(&text, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(&text, "  line %d, request %s: %s\n", violation.Line, violation.Request, violation.Text)
	}
	return text.String()
}
