package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/tenancy"
	"plumspindle/internal/virtual"
)

// A report that could not be saved counts once when the dispatcher repeats it.
func TestUnsavedReportCountsWhenRepeated(t *testing.T) {
	records := &MemoryRecords{}
	network := virtual.NewNetwork(1)
	start := func(loop string) *Server {
		t.Helper()
		config := Config{Secret: secret, Records: records, Random: deterministicRandom(1), Log: zerolog.Nop()}
		s, err := Start(network.NewLoop(loop), config)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := start("x")
	report, err := json.Marshal(tenancy.UsageReport{Dispatcher: "d1", Number: 1, Usage: []tenancy.Usage{
		{Tenant: "a", Product: "p", Day: "d", Accepted: 3},
		{Tenant: "a", Product: "p", Day: "d", Accepted: 2},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{http.StatusInternalServerError, http.StatusOK, http.StatusOK} {
		records.SaveError = nil
		if want != http.StatusOK {
			records.SaveError = errors.New("disk full")
		}
		if got := s.addReport(report); got.status != want {
			t.Errorf("attempt %d: %+v", i, got)
		}
		saved := start("y").ledger.UsageOf("")
		if want != http.StatusOK && len(saved) > 0 {
			t.Errorf("attempt %d: saved usage %+v", i, saved)
		}
		if want == http.StatusOK && (len(saved) != 1 || saved[0].Accepted != 5) {
			t.Errorf("attempt %d: saved usage %+v", i, saved)
		}
	}
}
