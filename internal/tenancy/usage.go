package tenancy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Used is what one tenant used of one product on one day.
type Used struct {
	Tenant     string `json:"tenant"`
	Product    string `json:"product"`
	Day        string `json:"day"` // UTC
	Taken      uint64 `json:"taken"`
	Streamed   uint64 `json:"streamed"`
	Throttled  uint64 `json:"throttled"`
	Terminated uint64 `json:"terminated"`
	Left       uint64 `json:"left"`
	Prompt     uint64 `json:"prompt_tokens"`
	Answer     uint64 `json:"answer_tokens"`
}

func (u Used) key() line { return line{u.Tenant, u.Product, u.Day} }

type line struct{ tenant, product, day string }

func (u *Used) add(o Used) {
	u.Taken += o.Taken
	u.Streamed += o.Streamed
	u.Throttled += o.Throttled
	u.Terminated += o.Terminated
	u.Left += o.Left
	u.Prompt += o.Prompt
	u.Answer += o.Answer
}

// Day is the day that a time, in microseconds since 1970, lies in.
func Day(now Micros) string { return time.UnixMicro(int64(now)).UTC().Format("2006-01-02") }

// Meter is a dispatcher's count of what was used and not yet reported. A report is numbered and repeated until it is
// taken, so that none is lost and none counts twice; what a killed dispatcher had not reported is lost.
type Meter struct {
	next    map[line]*Used
	out     *Report
	number  uint64
	noneRun []string // removed tenants of which nothing runs here any more
}

// Report is one.
type Report struct {
	Dispatcher string   `json:"dispatcher"`
	Number     uint64   `json:"number"`
	Used       []Used   `json:"used"`
	Ended      []string `json:"ended,omitempty"`
}

// NewMeter makes one.
func NewMeter() *Meter { return &Meter{next: map[line]*Used{}} }

// Add counts.
func (m *Meter) Add(u Used) {
	if have := m.next[u.key()]; have != nil {
		have.add(u)
		return
	}
	m.next[u.key()] = &u
}

// Ended notes that nothing of a removed tenant runs here.
func (m *Meter) Ended(name string) {
	if !slices.Contains(m.noneRun, name) {
		m.noneRun = append(m.noneRun, name)
	}
}

// Report is what is to be sent now: the one that is out, or all that came since. There is one even where nothing was
// used, as it tells that this dispatcher lives.
func (m *Meter) Report(dispatcher string) *Report {
	if m.out != nil {
		return m.out
	}
	m.number++
	m.out = &Report{Dispatcher: dispatcher, Number: m.number, Ended: m.noneRun}
	for _, u := range m.next {
		m.out.Used = append(m.out.Used, *u)
	}
	sortUsed(m.out.Used)
	m.next, m.noneRun = map[line]*Used{}, nil
	return m.out
}

// Some tells that something waits to be reported.
func (m *Meter) Some() bool { return m.out != nil || len(m.next)+len(m.noneRun) > 0 }

// Taken tells that a report has been taken.
func (m *Meter) Taken(number uint64) {
	if m.out != nil && m.out.Number == number {
		m.out = nil
	}
}

func sortUsed(all []Used) {
	slices.SortFunc(all, func(a, b Used) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Day, b.Day), cmp.Compare(a.Product, b.Product))
	})
}

// Ledger is the sum of all reports.
type Ledger struct {
	Sums    map[string]Used   `json:"sums"`
	Numbers map[string]uint64 `json:"numbers"` // the last report of each dispatcher
	heard   map[string]Micros
	ended   map[string]map[string]bool // tenant, dispatcher
}

// NewLedger makes an empty one.
func NewLedger() *Ledger {
	return &Ledger{Sums: map[string]Used{}, Numbers: map[string]uint64{}, heard: map[string]Micros{}, ended: map[string]map[string]bool{}}
}

// dispatcherRest is how long a dispatcher that reports nothing still counts as one that may serve.
const dispatcherRest = 10 * second

// Key names the line that a use is summed in.
func (u Used) Key() string { return u.Tenant + "\x00" + u.Day + "\x00" + u.Product }

// With is the sums that a report changes, as they will be; none where it has counted already.
func (l *Ledger) With(r *Report) []Used {
	if r.Number <= l.Numbers[r.Dispatcher] {
		return nil
	}
	sums := map[string]Used{}
	for _, u := range r.Used {
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

// Take adds a report, once.
func (l *Ledger) Take(now Micros, r *Report) {
	l.heard[r.Dispatcher] = now
	for _, t := range r.Ended {
		if l.ended[t] == nil {
			l.ended[t] = map[string]bool{}
		}
		l.ended[t][r.Dispatcher] = true
	}
	if r.Number <= l.Numbers[r.Dispatcher] {
		return
	}
	for _, u := range l.With(r) {
		l.Sums[u.Key()] = u
	}
	l.Numbers[r.Dispatcher] = r.Number
}

// EndedEverywhere tells whether each dispatcher that lives has said that nothing of a tenant runs there.
func (l *Ledger) EndedEverywhere(now Micros, tenant string) bool {
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

// Forget drops who has said that a tenant ended, once it has everywhere.
func (l *Ledger) Forget(tenant string) { delete(l.ended, tenant) }

// Of is what a tenant used, by day and product; all tenants for an empty name.
func (l *Ledger) Of(tenant string) []Used {
	all := []Used{}
	for _, u := range l.Sums {
		if tenant == "" || u.Tenant == tenant {
			all = append(all, u)
		}
	}
	sortUsed(all)
	return all
}
