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

// reportReceipt acknowledges a report.
type reportReceipt struct {
	Number uint64 `json:"taken"`
}

// addReport adds a dispatcher's usage report. The sums are saved together with the report's number before they count
// and before the report is acknowledged, so that it counts exactly once: a report that could not be saved is sent again
// and is then new.
func (s *Server) addReport(body []byte) response {
	var report tenancy.UsageReport
	if err := json.Unmarshal(body, &report); err != nil || report.Dispatcher == "" || report.Number == 0 {
		return failed(malformed("", "not a report"))
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

// usageList is the usage of one tenant or of all.
type usageList struct {
	Usage []tenancy.Usage `json:"usage"`
}

func (s *Server) getTenantUsage(r *request) response {
	return okResponse(usageList{s.ledger.UsageOf(r.tenant)})
}

func (s *Server) getUsage(*request) response { return okResponse(usageList{s.ledger.UsageOf("")}) }

const (
	// maxTenantSeries bounds how many tenants have metrics of their own; the others are summed, so that the metrics do
	// not grow with them.
	maxTenantSeries = 50
	otherTenants    = "(others)"
)

// usageMetrics are the counters of each tenant.
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

// metrics returns the usage of all days in the text format of Prometheus.
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

// usageByTenant returns the tenants' sums, the busiest first. Those past maxTenantSeries are added up in the last one.
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
