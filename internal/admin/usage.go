package admin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// reportReceipt is the answer that acknowledges a usage report.
type reportReceipt struct {
	Number uint64 `json:"taken"`
}

// addReport adds a dispatcher's usage report. It saves the new sums together with the report's number before it adds
// the report to the ledger and acknowledges it. Each report therefore counts exactly once: a report that could not be
// saved is not in the ledger, and counts when the dispatcher repeats it.
func (s *Server) addReport(body []byte) response {
	var report tenancy.UsageReport
	if err := json.Unmarshal(body, &report); err != nil || report.Dispatcher == "" || report.Number == 0 {
		return responseForError(malformed("", "not a report"))
	}
	if sums := s.ledger.Preview(&report); len(sums) > 0 {
		ops := []store.Op{reportNumberOp(report.Dispatcher, report.Number)}
		for _, sum := range sums {
			ops = append(ops, usageOp(sum))
		}
		if err := s.records.Save(ops); err != nil {
			s.log.Error().Err(err).Str("dispatcher", report.Dispatcher).Msg("usage report not saved")
			return notSaved("the report could not be kept")
		}
	}
	s.ledger.Add(s.loop.Now(), &report)
	s.completeRemovals()
	return okResponse(reportReceipt{report.Number})
}

// usageList is the answer to a request for the usage of one tenant or of all tenants.
type usageList struct {
	Usage []tenancy.Usage `json:"usage"`
}

func (s *Server) getTenantUsage(r *request) response {
	return okResponse(usageList{s.ledger.UsageOf(r.tenant)})
}

func (s *Server) getUsage(*request) response { return okResponse(usageList{s.ledger.UsageOf("")}) }

const (
	// maxTenantSeries is the maximum number of tenants with metrics of their own. The other tenants are added up, so that
	// the size of the metrics is bounded.
	maxTenantSeries = 50
	otherTenants    = "(others)"
)

// usageMetrics are the counters that metrics exports for each tenant.
var usageMetrics = []struct {
	name  string
	value func(tenancy.Usage) uint64
}{
	{"generations_taken", func(u tenancy.Usage) uint64 { return u.Accepted }},
	{"generations_streamed", func(u tenancy.Usage) uint64 { return u.Completed }},
	{"generations_throttled", func(u tenancy.Usage) uint64 { return u.Rejected }},
	{"generations_terminated", func(u tenancy.Usage) uint64 { return u.Failed }},
	{"prompt_tokens", func(u tenancy.Usage) uint64 { return u.PromptTokens }},
	{"answer_tokens", func(u tenancy.Usage) uint64 { return u.OutputTokens }},
}

func (s *Server) getMetrics(*request) response {
	return response{status: http.StatusOK, text: s.metrics(), contentType: "text/plain; version=0.0.4"}
}

// metrics returns the usage of all time and the numbers of tenants and followers, in the Prometheus text format.
func (s *Server) metrics() []byte {
	tenants := s.usageByTenant()
	var text strings.Builder
	for _, metric := range usageMetrics {
		fmt.Fprintf(&text, "# TYPE plumspindle_%s_total counter\n", metric.name)
		for _, u := range tenants {
			fmt.Fprintf(&text, "plumspindle_%s_total{tenant=%q} %d\n", metric.name, u.Tenant, metric.value(u))
		}
	}
	fmt.Fprintf(&text, "# TYPE plumspindle_tenants gauge\nplumspindle_tenants %d\n", len(s.registry.Tenants))
	fmt.Fprintf(&text, "# TYPE plumspindle_followers gauge\nplumspindle_followers %d\n", len(s.followers))
	return []byte(text.String())
}

// usageByTenant returns the total usage of each tenant, in descending order of accepted requests. Tenants beyond the
// first maxTenantSeries are added up in one last element.
func (s *Server) usageByTenant() []tenancy.Usage {
	sums := map[string]tenancy.Usage{}
	for _, u := range s.ledger.UsageOf("") {
		sum := sums[u.Tenant]
		sum.Tenant = u.Tenant
		sum.Add(u)
		sums[u.Tenant] = sum
	}
	var tenants []tenancy.Usage
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		tenants = append(tenants, sums[name])
	}
	slices.SortStableFunc(tenants, func(a, b tenancy.Usage) int { return int(b.Accepted) - int(a.Accepted) })
	if len(tenants) <= maxTenantSeries {
		return tenants
	}
	others := tenancy.Usage{Tenant: otherTenants}
	for _, u := range tenants[maxTenantSeries:] {
		others.Add(u)
	}
	return append(tenants[:maxTenantSeries], others)
}
