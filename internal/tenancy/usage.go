package tenancy

import (
	"cmp"
	"slices"
	"time"
)

// Usage is the usage of one product by one tenant on one day.
type Usage struct {
	Tenant       string `json:"tenant"`
	Product      string `json:"product"`
	Day          string `json:"day"`   // UTC, as Day returns it
	Accepted     uint64 `json:"taken"` // requests; each of them has one of the next four outcomes
	Completed    uint64 `json:"streamed"`
	Rejected     uint64 `json:"throttled"`
	Failed       uint64 `json:"terminated"`
	Disconnected uint64 `json:"left"` // by the client
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"answer_tokens"`
}

// Key returns the tenant, day and product as one string. Usages with equal keys are added up.
func (u Usage) Key() string { return u.Tenant + "\x00" + u.Day + "\x00" + u.Product }

// Add adds the counts of another usage.
func (u *Usage) Add(other Usage) {
	u.Accepted += other.Accepted
	u.Completed += other.Completed
	u.Rejected += other.Rejected
	u.Failed += other.Failed
	u.Disconnected += other.Disconnected
	u.PromptTokens += other.PromptTokens
	u.OutputTokens += other.OutputTokens
}

func sortUsage(all []Usage) {
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Day, b.Day), cmp.Compare(a.Product, b.Product))
	})
}

// Day returns the UTC day of a time since 1970.
func Day(now Micros) string { return time.UnixMicro(int64(now)).UTC().Format(time.DateOnly) }

// UsageReport is a dispatcher's report of usage to the administration.
type UsageReport struct {
	Dispatcher     string   `json:"dispatcher"`
	Number         uint64   `json:"number"` // counts from 1; a repeated report keeps its number
	Usage          []Usage  `json:"used"`
	RemovedTenants []string `json:"ended,omitempty"` // removed tenants without running requests at the dispatcher
}

// UsageMeter counts the usage in a dispatcher until it is reported. Each report has a number and is repeated until it
// is acknowledged, so that no report is lost or counts twice. If a dispatcher is killed, its unreported usage is lost.
type UsageMeter struct {
	unreported     map[string]*Usage // by Usage.Key
	removedTenants []string          // names that are not reported yet
	outstanding    *UsageReport      // the report that is not acknowledged yet
	lastNumber     uint64            // number of the last report
}

// NewUsageMeter returns an empty meter.
func NewUsageMeter() *UsageMeter { return &UsageMeter{unreported: map[string]*Usage{}} }

// Add counts a usage for the next report.
func (m *UsageMeter) Add(u Usage) {
	if sum := m.unreported[u.Key()]; sum != nil {
		sum.Add(u)
		return
	}
	m.unreported[u.Key()] = &u
}

// RecordTenantRemoved records that this dispatcher has no running requests of a removed tenant.
func (m *UsageMeter) RecordTenantRemoved(name string) {
	if !slices.Contains(m.removedTenants, name) {
		m.removedTenants = append(m.removedTenants, name)
	}
}

// Report returns the report to send now: the one that is not acknowledged yet, or else a new one. A new report may be
// empty, as reports are also the dispatcher's heartbeat.
func (m *UsageMeter) Report(dispatcher string) *UsageReport {
	if m.outstanding != nil {
		return m.outstanding
	}
	m.lastNumber++
	report := &UsageReport{Dispatcher: dispatcher, Number: m.lastNumber, RemovedTenants: m.removedTenants}
	for _, u := range m.unreported {
		report.Usage = append(report.Usage, *u)
	}
	sortUsage(report.Usage)
	m.outstanding = report
	m.unreported, m.removedTenants = map[string]*Usage{}, nil
	return report
}

// Pending reports whether anything still has to be reported or acknowledged.
func (m *UsageMeter) Pending() bool {
	return m.outstanding != nil || len(m.unreported) > 0 || len(m.removedTenants) > 0
}

// Acknowledge records that the administration has received a report.
func (m *UsageMeter) Acknowledge(number uint64) {
	if m.outstanding != nil && m.outstanding.Number == number {
		m.outstanding = nil
	}
}
