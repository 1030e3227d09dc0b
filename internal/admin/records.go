package admin

import (
	"encoding/json"
	"errors"
	"fmt"

	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// Keys, or prefixes of keys, of the records. The comments tell what follows a prefix. A zero byte separates the parts
// of a key. Names contain no zero byte, and texts from clients are the last part.
const (
	registryKey        = "registry"
	tenantPrefix       = "tenant/" // tenant name
	usagePrefix        = "used/"   // tenant name, zero byte, day, zero byte, product
	reportNumberPrefix = "number/" // dispatcher name; the value is the number of its last report that was added
	idempotencyPrefix  = "made/"   // tenant name, zero byte, Idempotency-Key; the value is the id of the created key
	auditPrefix        = "change/" // number of the entry in 16 hexadecimal digits
)

// tenantRecord is the stored form of a tenant.
type tenantRecord struct {
	ChangedIn uint64          `json:"changed"` // the registry's version after the tenant's last change
	Tenant    *tenancy.Tenant `json:"tenant"`
}

func auditRecordKey(number uint64) string { return fmt.Sprintf("%s%016x", auditPrefix, number) }

func idempotencyRecordKey(tenant, idempotencyKey string) string {
	return idempotencyPrefix + tenant + "\x00" + idempotencyKey
}

// encode encodes a record as JSON, which can't fail for the types of records.
func encode(record any) []byte {
	encoded, _ := json.Marshal(record)
	return encoded
}

// registryOp stores a registry without its tenants, which have records of their own.
func registryOp(r *tenancy.Registry) store.Op {
	withoutTenants := *r
	withoutTenants.Tenants, withoutTenants.ChangedIn = nil, nil
	return store.Op{Key: registryKey, Value: encode(withoutTenants)}
}

func tenantOp(r *tenancy.Registry, name string) store.Op {
	record := tenantRecord{ChangedIn: r.ChangedIn[name], Tenant: r.Tenants[name]}
	return store.Op{Key: tenantPrefix + name, Value: encode(record)}
}

func usageOp(u tenancy.Usage) store.Op { return store.Op{Key: usagePrefix + u.Key(), Value: encode(u)} }

func reportNumberOp(dispatcher string, number uint64) store.Op {
	return store.Op{Key: reportNumberPrefix + dispatcher, Value: encode(number)}
}

// changedRecords returns the operations that update the records from one state of the registry to the next.
func changedRecords(before, next *tenancy.Registry) []store.Op {
	ops := []store.Op{registryOp(next)}
	for _, name := range next.Names() {
		if next.ChangedIn[name] > before.Version {
			ops = append(ops, tenantOp(next, name))
		}
	}
	for _, name := range before.Names() {
		if next.Tenants[name] == nil {
			ops = append(ops, store.Op{Key: tenantPrefix + name})
		}
	}
	return ops
}

// restore restores the state of the server from the records. The registry stays nil if there are no records.
func (s *Server) restore() error {
	for _, kind := range []struct {
		prefix  string
		restore func(suffix string, value []byte) error
	}{
		{registryKey, s.restoreRegistry},
		{tenantPrefix, s.restoreTenant},
		{usagePrefix, s.restoreUsage},
		{reportNumberPrefix, s.restoreReportNumber},
		{auditPrefix, s.countAuditEntry},
	} {
		var failure error
		s.records.ScanFrom(kind.prefix, kind.prefix, func(key string, value []byte) bool {
			if err := kind.restore(key[len(kind.prefix):], value); err != nil {
				failure = fmt.Errorf("record %q: %w", key, err)
			}
			return failure == nil
		})
		if failure != nil {
			return failure
		}
	}
	return nil
}

func (s *Server) restoreRegistry(_ string, value []byte) error {
	registry := tenancy.NewRegistry("")
	if err := json.Unmarshal(value, registry); err != nil {
		return err
	}
	if registry.Epoch == "" {
		return errors.New("the registry has no epoch")
	}
	registry.Tenants, registry.ChangedIn = map[string]*tenancy.Tenant{}, map[string]uint64{}
	s.registry = registry
	return nil
}

func (s *Server) restoreTenant(name string, value []byte) error {
	var record tenantRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	named := record.Tenant != nil && record.Tenant.Name == name
	if !named || s.registry == nil || record.ChangedIn > s.registry.Version {
		return errors.New("the tenant does not belong to this registry")
	}
	s.registry.Tenants[name], s.registry.ChangedIn[name] = record.Tenant, record.ChangedIn
	return nil
}

func (s *Server) restoreUsage(key string, value []byte) error {
	var u tenancy.Usage
	if err := json.Unmarshal(value, &u); err != nil {
		return err
	}
	if u.Key() != key {
		return errors.New("it is another's usage")
	}
	s.ledger.Sums[key] = u
	return nil
}

func (s *Server) restoreReportNumber(dispatcher string, value []byte) error {
	var number uint64
	err := json.Unmarshal(value, &number)
	s.ledger.LastNumbers[dispatcher] = number
	return err
}

func (s *Server) countAuditEntry(string, []byte) error {
	s.auditEntries++
	return nil
}

// MemoryRecords are records in memory, for tests and local trials. They are lost when the process ends.
type MemoryRecords struct {
	store.Index
	// SaveError, if not nil, makes Save return it and change nothing.
	SaveError error
}

// Save applies the changes in memory.
func (m *MemoryRecords) Save(ops []store.Op) error {
	if m.SaveError != nil {
		return m.SaveError
	}
	for _, op := range ops {
		if op.Value == nil {
			m.Delete(op.Key)
		} else {
			m.Set(op.Key, op.Value)
		}
	}
	return nil
}
