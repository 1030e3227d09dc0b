package tenancy

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what one tenant used of one product on one day.
type Usage struct {
	Tenant       string `json:"tenant"`
	Product      string `json:"product"`
	Day          string `json:"day"`   // UTC, as Day returns it
	Accepted     uint64 `json:"taken"` // requests, of which each has one of the next four outcomes
	Completed    uint64 `json:"streamed"`
	Rejected     uint64 `json:"throttled"`
	Failed       uint64 `json:"terminated"`
	Disconnected uint64 `json:"left"` // by their clients
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"answer_tokens"`
}

// Key identifies the sum that a usage is added to.
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

// UsageReport is what a dispatcher sends to the administration.
type UsageReport struct {
	Dispatcher     string   `json:"dispatcher"`
	Number         uint64   `json:"number"` // from 1 on; a report that is sent again has the same
	Usage          []Usage  `json:"used"`
	RemovedTenants []string `json:"ended,omitempty"` // of which nothing runs at the dispatcher
}

// UsageMeter is a dispatcher's count of what was used and not yet reported. A report is numbered and repeated
// until it is acknowledged, so that none is lost and none counts twice. What a killed dispatcher had not
// reported is lost.
type UsageMeter struct {
	unreported     map[string]*Usage // by their keys
	removedTenants []string          // not yet reported
	outstanding    *UsageReport      // sent and not yet acknowledged
	number         uint64            // of the last report
}

// NewUsageMeter returns a meter that has counted nothing.
func NewUsageMeter() *UsageMeter { return &UsageMeter{unreported: map[string]*Usage{}} }

// Add counts a usage.
func (m *UsageMeter) Add(u Usage) {
	if sum := m.unreported[u.Key()]; sum != nil {
		sum.Add(u)
		return
	}
	m.unreported[u.Key()] = &u
}

// TenantEnded records that nothing of a removed tenant runs here.
func (m *UsageMeter) TenantEnded(name string) {
	if !slices.Contains(m.removedTenants, name) {
		m.removedTenants = append(m.removedTenants, name)
	}
}

// Report returns the report to send now: the one that is not acknowledged yet, or else a new one. There is
// always one, as it is also the dispatcher's heartbeat.
func (m *UsageMeter) Report(dispatcher string) *UsageReport {
	if m.outstanding != nil {
		return m.outstanding
	}
	m.number++
	report := &UsageReport{Dispatcher: dispatcher, Number: m.number, RemovedTenants: m.removedTenants}
	for _, u := range m.unreported {
		report.Usage = append(report.Usage, *u)
	}
	sortUsage(report.Usage)
	m.outstanding = report
	m.unreported, m.removedTenants = map[string]*Usage{}, nil
	return report
}

// Pending reports whether anything is not reported and acknowledged yet.
func (m *UsageMeter) Pending() bool {
	return m.outstanding != nil || len(m.unreported) > 0 || len(m.removedTenants) > 0
}

// Acknowledge records that the administration has received a report.
func (m *UsageMeter) Acknowledge(number uint64) {
	if m.outstanding != nil && m.outstanding.Number == number {
		m.outstanding = nil
	}
}
