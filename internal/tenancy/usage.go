package tenancy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Usage is what one tenant used of one product on one day.
type Usage struct {
	Tenant       string `json:"tenant"`
	Product      string `json:"product"`
	Day          string `json:"day"` // UTC
	Accepted     uint64 `json:"taken"`
	Completed    uint64 `json:"streamed"`
	Rejected     uint64 `json:"throttled"`
	Failed       uint64 `json:"terminated"`
	Disconnected uint64 `json:"left"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"answer_tokens"`
}

func (u Usage) key() line { return line{u.Tenant, u.Product, u.Day} }

type line struct{ tenant, product, day string }

func (u *Usage) add(o Usage) {
	u.Accepted += o.Accepted
	u.Completed += o.Completed
	u.Rejected += o.Rejected
	u.Failed += o.Failed
	u.Disconnected += o.Disconnected
	u.PromptTokens += o.PromptTokens
	u.OutputTokens += o.OutputTokens
}

// Day is the day that a time, in microseconds since 1970, lies in.
func Day(now Micros) string { return time.UnixMicro(int64(now)).UTC().Format("2006-01-02") }

// UsageMeter is a dispatcher's count of what was used and not yet reported. A report is numbered and repeated until it is
// taken, so that none is lost and none counts twice; what a killed dispatcher had not reported is lost.
type UsageMeter struct {
	next    map[line]*Usage
	out     *UsageReport
	number  uint64
	noneRun []string // removed tenants of which nothing runs here any more
}

// UsageReport is one.
type UsageReport struct {
	Dispatcher     string   `json:"dispatcher"`
	Number         uint64   `json:"number"`
	Usage          []Usage  `json:"used"`
	RemovedTenants []string `json:"ended,omitempty"`
}

// NewUsageMeter makes one.
func NewUsageMeter() *UsageMeter { return &UsageMeter{next: map[line]*Usage{}} }

// Add counts.
func (m *UsageMeter) Add(u Usage) {
	if have := m.next[u.key()]; have != nil {
		have.add(u)
		return
	}
	m.next[u.key()] = &u
}

// TenantEnded notes that nothing of a removed tenant runs here.
func (m *UsageMeter) TenantEnded(name string) {
	if !slices.Contains(m.noneRun, name) {
		m.noneRun = append(m.noneRun, name)
	}
}

// Report is what is to be sent now: the one that is out, or all that came since. There is one even where nothing was
// used, as it tells that this dispatcher lives.
func (m *UsageMeter) Report(dispatcher string) *UsageReport {
	if m.out != nil {
		return m.out
	}
	m.number++
	m.out = &UsageReport{Dispatcher: dispatcher, Number: m.number, RemovedTenants: m.noneRun}
	for _, u := range m.next {
		m.out.Usage = append(m.out.Usage, *u)
	}
	sortUsed(m.out.Usage)
	m.next, m.noneRun = map[line]*Usage{}, nil
	return m.out
}

// Pending tells that something waits to be reported.
func (m *UsageMeter) Pending() bool { return m.out != nil || len(m.next)+len(m.noneRun) > 0 }

// Acknowledge tells that a report has been taken.
func (m *UsageMeter) Acknowledge(number uint64) {
	if m.out != nil && m.out.Number == number {
		m.out = nil
	}
}

func sortUsed(all []Usage) {
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Day, b.Day), cmp.Compare(a.Product, b.Product))
	})
}

// UsageLedger is the sum of all reports.
type UsageLedger struct {
	Sums    map[string]Usage  `json:"sums"`
	Numbers map[string]uint64 `json:"numbers"` // the last report of each dispatcher
	heard   map[string]Micros
	ended   map[string]map[string]bool // tenant, dispatcher
}

// NewUsageLedger makes an empty one.
func NewUsageLedger() *UsageLedger {
	return &UsageLedger{Sums: map[string]Usage{}, Numbers: map[string]uint64{}, heard: map[string]Micros{}, ended: map[string]map[string]bool{}}
}

// dispatcherRest is how long a dispatcher that reports nothing still counts as one that may serve.
const dispatcherRest = 10 * second

// Key names the line that a use is summed in.
func (u Usage) Key() string { return u.Tenant + "\x00" + u.Day + "\x00" + u.Product }

// Preview is the sums that a report changes, as they will be; none where it has counted already.
func (l *UsageLedger) Preview(r *UsageReport) []Usage {
	if r.Number <= l.Numbers[r.Dispatcher] {
		return nil
	}
	sums := map[string]Usage{}
	for _, u := range r.Usage {
		k := u.Key()
		sum, some := sums[k]
		if !some {
			sum = l.Sums[k]
		}
		sum.Tenant, sum.Product, sum.Day = u.Tenant, u.Product, u.Day
		sum.add(u)
		sums[k] = sum
	}
	all := slices.Collect(maps.Values(sums))
	sortUsed(all)
	return all
}

// Add adds a report, once.
func (l *UsageLedger) Add(now Micros, r *UsageReport) {
	l.heard[r.Dispatcher] = now
	for _, t := range r.RemovedTenants {
		if l.ended[t] == nil {
			l.ended[t] = map[string]bool{}
		}
		l.ended[t][r.Dispatcher] = true
	}
	if r.Number <= l.Numbers[r.Dispatcher] {
		return
	}
	for _, u := range l.Preview(r) {
		l.Sums[u.Key()] = u
	}
	l.Numbers[r.Dispatcher] = r.Number
}

// RemovedEverywhere tells whether each dispatcher that lives has said that nothing of a tenant runs there.
func (l *UsageLedger) RemovedEverywhere(now Micros, tenant string) bool {
	for d, at := range l.heard {
		if now-at > dispatcherRest {
			delete(l.heard, d)
			continue
		}
		if !l.ended[tenant][d] {
			return false
		}
	}
	return true
}

// ForgetRemoval drops who has said that a tenant ended, once it has everywhere.
func (l *UsageLedger) ForgetRemoval(tenant string) { delete(l.ended, tenant) }

// UsageOf is what a tenant used, by day and product; all tenants for an empty name.
func (l *UsageLedger) UsageOf(tenant string) []Usage {
	all := []Usage{}
	for _, u := range l.Sums {
		if tenant == "" || u.Tenant == tenant {
			all = append(all, u)
		}
	}
	sortUsed(all)
	return all
}
