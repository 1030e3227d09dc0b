package admin

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/tenancy"
	"plumspindle/internal/virtual"
)

// legacyFolder is a folder with the records of a version without a store.
type legacyFolder struct {
	t   *testing.T
	dir string
}

func (f legacyFolder) write(name, text string) {
	f.t.Helper()
	err := errors.Join(os.MkdirAll(f.dir, 0o700), os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600))
	if err != nil {
		f.t.Fatal(err)
	}
}

// legacyText returns the content of legacyRecordsFile with two tenants, the usage of one report and one created key.
func legacyText(t *testing.T) string {
	t.Helper()
	registry := tenancy.NewRegistry("e1")
	for _, name := range []string{"a", "b"} {
		if _, _, err := registry.Create(5, name, tenancy.Limits{RequestsPerS: 3}, nil); err != nil {
			t.Fatal(err)
		}
	}
	ledger := tenancy.NewUsageLedger()
	ledger.Add(0, &tenancy.UsageReport{Dispatcher: "d1", Number: 7, Usage: []tenancy.Usage{
		{Tenant: "a", Product: "explain", Day: "2026-01-01", Completed: 4},
	}})
	encoded, err := json.Marshal(legacyRecords{registry, ledger, map[string]string{"a\x00k1": "id1"}})
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// The records of a version without a store are migrated into the store once and completely, also if a crash ended an
// earlier migration before it renamed the files. A repeated migration does not undo later changes. A second process and
// a damaged file are rejected.
func TestLegacyRecordsAreMigratedOnce(t *testing.T) {
	folder := legacyFolder{t, filepath.Join(t.TempDir(), "deep", "er")}
	folder.write(legacyRecordsFile, "{")
	if _, err := OpenStoredRecords(folder.dir); err == nil || !strings.Contains(err.Error(), legacyRecordsFile) {
		t.Fatalf("opening a damaged file: error %v", err)
	}
	legacy := legacyText(t)
	folder.write(legacyRecordsFile, legacy)
	folder.write(legacyAuditFile, `{"who":"ann"}`+"\n"+`{"who":"bob"}`+"\n"+`{"who":"cut o`)
	network := virtual.NewNetwork(1)
	for restarts := range uint64(3) {
		records, err := OpenStoredRecords(folder.dir)
		if err != nil {
			t.Fatal(restarts, err)
		}
		if _, err := OpenStoredRecords(folder.dir); err == nil || !strings.Contains(err.Error(), "in use") {
			t.Errorf("opening a folder that is in use: error %v", err)
		}
		config := Config{Secret: secret, Records: records, Random: deterministicRandom(1), Log: zerolog.Nop()}
		s, err := Start(network.NewLoop("x"), config)
		if err != nil {
			t.Fatal(err)
		}
		checkMigrated(t, s, restarts)
		r := &request{query: map[string]string{}, caller: caller{name: "ann"}, path: []string{"tenants", "a"}}
		got := s.change(r, "suspended", func(registry *tenancy.Registry) (response, error) {
			registry.Version++
			return response{status: 200}, nil
		})
		if got.status != 200 {
			t.Errorf("change after %d restarts: %+v", restarts, got)
		}
		records.Close()
		folder.write(legacyRecordsFile, legacy) // as after a crash before the files were renamed
	}
	records, err := OpenStoredRecords(folder.dir)
	if err != nil {
		t.Fatal(err)
	}
	records.Close()
	if _, err := os.Stat(filepath.Join(folder.dir, legacyRecordsFile+migratedSuffix)); err != nil {
		t.Error(err)
	}
}

// checkMigrated checks the state after a number of restarts. One change was made before each restart.
func checkMigrated(t *testing.T, s *Server, restarts uint64) {
	t.Helper()
	id, _ := s.records.Get(idempotencyRecordKey("a", "k1"))
	if string(id) != "id1" {
		t.Errorf("after %d restarts: id of the created key %q", restarts, id)
	}
	registry := s.registry
	if registry.Epoch != "e1" || registry.Version != 2+restarts || registry.Tenants["b"].Limits.RequestsPerS != 3 {
		t.Errorf("after %d restarts: registry %+v", restarts, registry)
	}
	if s.auditEntries != 2+restarts {
		t.Errorf("after %d restarts: %d entries in the audit log", restarts, s.auditEntries)
	}
	used := s.ledger.UsageOf("a")
	if s.ledger.LastNumbers["d1"] != 7 || len(used) != 1 || used[0].Completed != 4 {
		t.Errorf("after %d restarts: ledger %+v", restarts, s.ledger)
	}
}
