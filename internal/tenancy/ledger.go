package tenancy

import (
	"maps"
	"slices"
)

// dispatcherTimeout is the time without a report after which a dispatcher is considered dead.
const dispatcherTimeout = 10 * second

// UsageLedger adds up, in the administration, the usage reports that all dispatchers send.
type UsageLedger struct {
	Sums        map[string]Usage  `json:"sums"`    // by Usage.Key
	LastNumbers map[string]uint64 `json:"numbers"` // by dispatcher: the number of the last report that was added

	lastReport map[string]Micros          // by dispatcher: when the last report arrived
	drained    map[string]map[string]bool // by removed tenant: the dispatchers without running requests of the tenant
}

// NewUsageLedger returns an empty ledger.
func NewUsageLedger() *UsageLedger {
	return &UsageLedger{
		Sums:        map[string]Usage{},
		LastNumbers: map[string]uint64{},
		lastReport:  map[string]Micros{},
		drained:     map[string]map[string]bool{},
	}
}

// counted reports whether a report was added before.
func (l *UsageLedger) counted(report *UsageReport) bool {
	return report.Number <= l.LastNumbers[report.Dispatcher]
}

// Preview returns the new values of the sums that a report would change. It returns nil if the report was added before.
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

// Add adds a report. A report that was added before changes no sums, but still counts as a heartbeat of its dispatcher.
func (l *UsageLedger) Add(now Micros, report *UsageReport) {
	l.lastReport[report.Dispatcher] = now
	for _, tenant := range report.RemovedTenants {
		if l.drained[tenant] == nil {
			l.drained[tenant] = map[string]bool{}
		}
		l.drained[tenant][report.Dispatcher] = true
	}
	if l.counted(report) {
		return
	}
	for _, sum := range l.Preview(report) {
		l.Sums[sum.Key()] = sum
	}
	l.LastNumbers[report.Dispatcher] = report.Number
}

// RemovedEverywhere reports whether each live dispatcher has reported that a removed tenant has no running requests.
func (l *UsageLedger) RemovedEverywhere(now Micros, tenant string) bool {
	maps.DeleteFunc(l.lastReport, func(_ string, at Micros) bool { return now-at > dispatcherTimeout })
	for dispatcher := range l.lastReport {
		if !l.drained[tenant][dispatcher] {
			return false
		}
	}
	return true
}

// ForgetRemoval deletes the dispatchers' reports about the removal of a tenant, once the removal is complete.
func (l *UsageLedger) ForgetRemoval(tenant string) { delete(l.drained, tenant) }

// UsageOf returns the usage of a tenant by day and product. An empty name returns the usage of all tenants.
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
