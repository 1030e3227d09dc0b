package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// StoredRecords are records in an embedded store in a folder. Save blocks the administration's event loop until the
// changes are durable: only then is a call answered and the next change begun.
type StoredRecords struct {
	*store.Store

	files   *store.Files
	posted  chan func() // results of the disk
	timeout time.Duration
}

const (
	diskTimeout   = 20 * time.Second // of one change
	postedResults = 1024             // that are buffered
)

// ErrDiskTimeout is the error of a change that the disk did not confirm in time.
var ErrDiskTimeout = errors.New("the disk does not answer; whether the change is kept shows at the next start")

// OpenStoredRecords opens the store of a folder, or creates it. Records of versions without a store are migrated.
func OpenStoredRecords(dir string) (*StoredRecords, error) {
	r := &StoredRecords{posted: make(chan func(), postedResults), timeout: diskTimeout}
	var err error
	if r.files, err = store.OpenFiles(dir, func(answer func()) { r.posted <- answer }); err != nil {
		return nil, err
	}
	if r.Store, err = store.Open(r.files, store.DefaultLimits); err != nil {
		r.files.Close()
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	if err := r.migrate(dir); err != nil {
		r.files.Close()
		return nil, fmt.Errorf("%s: the records of before can't be moved into the store: %w", dir, err)
	}
	return r, nil
}

// Close releases the folder.
func (r *StoredRecords) Close() { r.files.Close() }

// Save commits the changes in one transaction and waits until they are durable. A store that has failed is repaired
// first, so that the administration need not be restarted once its disk accepts writes again.
func (r *StoredRecords) Save(ops []store.Op) error {
	if r.Err() != nil {
		err := r.wait(func(done func(error)) error {
			r.Repair(done)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return r.wait(func(done func(error)) error { return r.Commit(ops, nil, store.WriteNow, done) })
}

// wait starts an operation of the store and waits for its end.
func (r *StoredRecords) wait(start func(done func(error)) error) error {
	var ended bool
	var result error
	err := start(func(err error) { ended, result = true, err })
	if err != nil {
		return err
	}
	for timeout := time.After(r.timeout); !ended; {
		select {
		case answer := <-r.posted:
			answer()
		case <-timeout:
			return ErrDiskTimeout
		}
	}
	r.handlePosted()
	return result
}

// handlePosted handles the other results that have arrived meanwhile, such as the end of a snapshot.
func (r *StoredRecords) handlePosted() {
	for {
		select {
		case answer := <-r.posted:
			answer()
		default:
			return
		}
	}
}

// Files of versions without a store, and the suffix of their names after the migration.
const (
	legacyRecordsFile = "tenants.json"
	legacyAuditFile   = "changes.ndjson"
	migratedSuffix    = ".moved"
)

// legacyRecords is the content of legacyRecordsFile.
type legacyRecords struct {
	Registry    *tenancy.Registry    `json:"registry"`
	Ledger      *tenancy.UsageLedger `json:"ledger"`
	CreatedKeys map[string]string    `json:"made_keys"` // ids by tenant, zero, Idempotency-Key
}

func (l legacyRecords) complete() bool {
	return l.Registry != nil && l.Registry.Epoch != "" && l.Ledger != nil
}

// migrate moves the records of a version without a store into it in one transaction, and renames the files. A
// crash in between does no harm: once the store is not empty, the files are not read again.
func (r *StoredRecords) migrate(dir string) error {
	recordsPath, auditPath := filepath.Join(dir, legacyRecordsFile), filepath.Join(dir, legacyAuditFile)
	encoded, err := os.ReadFile(recordsPath)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if r.Len() == 0 {
		var legacy legacyRecords
		if err := json.Unmarshal(encoded, &legacy); err != nil {
			return fmt.Errorf("%s is not a whole record: %w", recordsPath, err)
		}
		if !legacy.complete() {
			return fmt.Errorf("%s is not a whole record: it has no registry, epoch or ledger", recordsPath)
		}
		audit, err := os.ReadFile(auditPath)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		if err := r.Save(legacy.ops(audit)); err != nil {
			return err
		}
	}
	for _, path := range []string{recordsPath, auditPath} {
		if err := os.Rename(path, path+migratedSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// ops returns the records in the form of the store.
func (l legacyRecords) ops(audit []byte) []store.Op {
	ops := []store.Op{registryOp(l.Registry)}
	for _, name := range l.Registry.Names() {
		ops = append(ops, tenantOp(l.Registry, name))
	}
	for _, u := range l.Ledger.UsageOf("") {
		ops = append(ops, usageOp(u))
	}
	for dispatcher, number := range l.Ledger.Numbers {
		ops = append(ops, reportNumberOp(dispatcher, number))
	}
	for key, id := range l.CreatedKeys {
		ops = append(ops, store.Op{Key: createdKeyPrefix + key, Value: []byte(id)})
	}
	for number := uint64(0); ; number++ {
		line, rest, complete := bytes.Cut(audit, []byte("\n"))
		if !complete { // an incomplete last line belongs to a change that was not made
			return ops
		}
		ops = append(ops, store.Op{Key: auditRecord(number), Value: line})
		audit = rest
	}
}
