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

// StoredRecords are records in an embedded store, whose files are in one folder. Save blocks the event loop of the
// server until the changes are durable. The server answers the request and begins the next change only after Save has
// returned.
type StoredRecords struct {
	*store.Store

	files       *store.Files
	diskResults chan func() // each function handles the result of a disk operation
	timeout     time.Duration
}

const (
	diskTimeout        = 20 * time.Second // for one change
	maxBufferedResults = 1024
)

// ErrDiskTimeout is returned for a change that the disk has not confirmed within the timeout. The change may still
// become durable later.
var ErrDiskTimeout = errors.New("the disk does not answer; whether the change is kept shows at the next start")

// OpenStoredRecords opens the store in a folder, or creates it. It migrates the records of versions without a store.
func OpenStoredRecords(dir string) (*StoredRecords, error) {
	r := &StoredRecords{diskResults: make(chan func(), maxBufferedResults), timeout: diskTimeout}
	var err error
	if r.files, err = store.OpenFiles(dir, func(handle func()) { r.diskResults <- handle }); err != nil {
		return nil, err
	}
	if r.Store, err = store.Open(r.files, store.DefaultLimits); err != nil {
		r.files.Close()
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	if err := r.migrate(dir); err != nil {
		r.files.Close()
		return nil, fmt.Errorf("%s: migrate the records of an earlier version into the store: %w", dir, err)
	}
	return r, nil
}

// Close closes the store's files and unlocks the folder.
func (r *StoredRecords) Close() { r.files.Close() }

// Save commits the changes in one transaction and waits until they are durable. If the store has failed before, Save
// repairs it first, so that the server need not be restarted once the disk accepts writes again.
func (r *StoredRecords) Save(ops []store.Op) error {
	if r.Err() != nil {
		err := r.runAndWait(func(done func(error)) error {
			r.Repair(done)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return r.runAndWait(func(done func(error)) error { return r.Commit(ops, nil, store.WriteNow, done) })
}

// runAndWait starts an operation of the store and waits until it has ended or the timeout has passed.
func (r *StoredRecords) runAndWait(start func(done func(error)) error) error {
	var ended bool
	var result error
	err := start(func(err error) { ended, result = true, err })
	if err != nil {
		return err
	}
	for timeout := time.After(r.timeout); !ended; {
		select {
		case handle := <-r.diskResults:
			handle()
		case <-timeout:
			return ErrDiskTimeout
		}
	}
	r.handleDiskResults()
	return result
}

// handleDiskResults handles the results of other disk operations that have ended meanwhile, such as those of a
// snapshot.
func (r *StoredRecords) handleDiskResults() {
	for {
		select {
		case handle := <-r.diskResults:
			handle()
		default:
			return
		}
	}
}

// Names of the files of versions without a store, and the suffix that the migration adds to the names.
const (
	legacyRecordsFile = "tenants.json"
	legacyAuditFile   = "changes.ndjson"
	migratedSuffix    = ".moved"
)

// legacyRecords is the JSON content of legacyRecordsFile.
type legacyRecords struct {
	Registry    *tenancy.Registry    `json:"registry"`
	Ledger      *tenancy.UsageLedger `json:"ledger"`
	CreatedKeys map[string]string    `json:"made_keys"` // key ids by tenant name, zero byte, Idempotency-Key
}

func (l legacyRecords) complete() bool {
	return l.Registry != nil && l.Registry.Epoch != "" && l.Ledger != nil
}

// migrate copies the records of a version without a store into the store in one transaction, and then renames the
// files. A crash in between does no harm: if the store is not empty at the next start, migrate only renames the files.
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
			return fmt.Errorf("%s is not a complete record: %w", recordsPath, err)
		}
		if !legacy.complete() {
			return fmt.Errorf("%s is not a complete record: the registry, its epoch or the ledger is missing", recordsPath)
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

// ops returns the operations that store the records, and the entries of an audit log with one entry in each line.
func (l legacyRecords) ops(audit []byte) []store.Op {
	ops := []store.Op{registryOp(l.Registry)}
	for _, name := range l.Registry.Names() {
		ops = append(ops, tenantOp(l.Registry, name))
	}
	for _, u := range l.Ledger.UsageOf("") {
		ops = append(ops, usageOp(u))
	}
	for dispatcher, number := range l.Ledger.LastNumbers {
		ops = append(ops, reportNumberOp(dispatcher, number))
	}
	for key, id := range l.CreatedKeys {
		ops = append(ops, store.Op{Key: idempotencyPrefix + key, Value: []byte(id)})
	}
	for number := uint64(0); ; number++ {
		line, rest, complete := bytes.Cut(audit, []byte("\n"))
		if !complete { // an incomplete last line belongs to a change that was never made
			return ops
		}
		ops = append(ops, store.Op{Key: auditRecordKey(number), Value: line})
		audit = rest
	}
}
