package tenancy

import (
	"maps"
	"slices"
)

// dispatcherTimeout is after how long without a report a dispatcher counts as dead.
const dispatcherTimeout = 10 * second

// UsageLedger is the administration's sum of all usage reports.
type UsageLedger struct {
	Sums    map[string]Usage  `json:"sums"`    // by their keys
	Numbers map[string]uint64 `json:"numbers"` // of the last report of each dispatcher

	lastReport map[string]Micros          // by dispatcher
	ended      map[string]map[string]bool // by removed tenant: the dispatchers without running requests of it
}

// NewUsageLedger returns an empty ledger.
func NewUsageLedger() *UsageLedger {
	return &UsageLedger{
		Sums:       map[string]Usage{},
		Numbers:    map[string]uint64{},
		lastReport: map[string]Micros{},
		ended:      map[string]map[string]bool{},
	}
}

// counted reports whether a report was added before.
func (l *UsageLedger) counted(report *UsageReport) bool {
	return report.Number <= l.Numbers[report.Dispatcher]
}

// Preview returns the new values of the sums that a report changes; none if it was added before.
func (l *UsageLedger) Preview(report *UsageReport) []Usage {
	if l.counted(report) {
		return nil
	}
	sums := map[string]Usage{}
	for _, u := range report.Usage {
		key := u.Key()
		sum, found := sums[key]
		if !found {
			sum = l.Sums[key]
		}
		sum.Tenant, sum.Product, sum.Day = u.Tenant, u.Product, u.Day
		sum.Add(u)
		sums[key] = sum
	}
	all := slices.Collect(maps.Values(sums))
	sortUsage(all)
	return all
}

// Add adds a report. One that was added before counts as a heartbeat only.
func (l *UsageLedger) Add(now Micros, report *UsageReport) {
	l.lastReport[report.Dispatcher] = now
	for _, tenant := range report.RemovedTenants {
		if l.ended[tenant] == nil {
			l.ended[tenant] = map[string]bool{}
		}
		l.ended[tenant][report.Dispatcher] = true
	}
	if l.counted(report) {
		return
	}
	for _, sum := range l.Preview(report) {
		l.Sums[sum.Key()] = sum
	}
	l.Numbers[report.Dispatcher] = report.Number
}

// RemovedEverywhere reports whether each live dispatcher has reported that a removed tenant has no running requests.
func (l *UsageLedger) RemovedEverywhere(now Micros, tenant string) bool {
	maps.DeleteFunc(l.lastReport, func(_ string, at Micros) bool { return now-at > dispatcherTimeout })
	for dispatcher := range l.lastReport {
		if !l.ended[tenant][dispatcher] {
			return false
		}
	}
	return true
}

// ForgetRemoval drops what dispatchers reported of a removed tenant, once its removal is complete.
func (l *UsageLedger) ForgetRemoval(tenant string) { delete(l.ended, tenant) }

// UsageOf returns what a tenant used, by day and product; that of all tenants for an empty name.
func (l *UsageLedger) UsageOf(tenant string) []Usage {
	all := []Usage{}
	for _, u := range l.Sums {
		if tenant == "" || u.Tenant == tenant {
			all = append(all, u)
		}
	}
	sortUsage(all)
	return all
}
