package tenancy

import (
	"testing"

	"pgregory.net/rapid"
)

// All usage counts exactly once, also if reports are lost, repeated or arrive twice.
func TestUsageCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewUsageLedger()
		meters := map[string]*UsageMeter{"a": NewUsageMeter(), "b": NewUsageMeter()}
		var used uint64
		for range 60 {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dispatcher")
			meter := meters[name]
			if rapid.Bool().Draw(t, "use") {
				used += 7
				meter.Add(Usage{Tenant: "x", Product: "p", Day: "d", OutputTokens: 7})
			}
			report := meter.Report(name)
			for range rapid.IntRange(0, 2).Draw(t, "arrives") {
				ledger.Add(1, report)
				if rapid.Bool().Draw(t, "acknowledged") {
					meter.Acknowledge(report.Number)
				}
			}
		}
		for name, meter := range meters {
			for meter.Pending() {
				report := meter.Report(name)
				ledger.Add(1, report)
				meter.Acknowledge(report.Number)
			}
		}
		if sum := ledger.UsageOf("x"); used > 0 && (len(sum) != 1 || sum[0].OutputTokens != used) {
			t.Fatalf("used %d, counted %+v", used, sum)
		}
	})
}
