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

// StoredRecords holds the records in an embedded store in a folder. The administration has a loop of its own, which waits for the
// disk: a change is answered only once it is durable, and the next one begins from there.
type StoredRecords struct {
	*store.Store
	files  *store.Files
	posted chan func()
	within time.Duration
}

// diskWithin is how long the disk may take for one change before the store counts as failed.
const diskWithin = 20 * time.Second

// OpenStoredRecords opens a folder's store, or makes it. Records of before the store, one file tenants.json with a log of changes
// beside it, are moved in, all or nothing, and the files get names that end in .moved.
func OpenStoredRecords(dir string) (*StoredRecords, error) {
	k := &StoredRecords{posted: make(chan func(), 1024), within: diskWithin}
	var err error
	if k.files, err = store.OpenFiles(dir, func(f func()) { k.posted <- f }); err != nil {
		return nil, err
	}
	if k.Store, err = store.Open(k.files, store.DefaultLimits); err != nil {
		k.files.Close()
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	if err := k.move(dir); err != nil {
		k.files.Close()
		return nil, fmt.Errorf("%s: the records of before can't be moved into the store: %w", dir, err)
	}
	return k, nil
}

// move takes over what an earlier version kept. A crash between the commit and the renaming does no harm: what is in the
// store counts, and the files are not read again.
func (k *StoredRecords) move(dir string) error {
	old, log := filepath.Join(dir, "tenants.json"), filepath.Join(dir, "changes.ndjson")
	b, err := os.ReadFile(old)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if k.Len() == 0 {
		was := kept{}
		if err := json.Unmarshal(b, &was); err != nil || was.Registry == nil || was.Registry.Epoch == "" || was.Ledger == nil {
			return fmt.Errorf("%s is not a whole record: %v", old, err)
		}
		lines, err := os.ReadFile(log)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		ops := []store.Op{headOp(was.Registry)}
		for _, name := range was.Registry.Names() {
			ops = append(ops, tenantOp(was.Registry, name))
		}
		for _, u := range was.Ledger.UsageOf("") {
			ops = append(ops, usedOp(u))
		}
		for d, n := range was.Ledger.Numbers {
			ops = append(ops, numberOp(d, n))
		}
		for repeat, id := range was.Made {
			ops = append(ops, store.Op{Key: madeKey + repeat, Value: []byte(id)})
		}
		for i := 0; ; i++ {
			line, rest, whole := bytes.Cut(lines, []byte("\n"))
			if !whole { // a last line that was cut off told of nothing that counts
				break
			}
			ops = append(ops, store.Op{Key: changeKey(uint64(i)), Value: line})
			lines = rest
		}
		if err := k.Save(ops); err != nil {
			return err
		}
	}
	for _, name := range []string{old, log} {
		if err := os.Rename(name, name+".moved"); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// Save commits changes together and waits until they are durable. A store that has failed is healed first, if its disk takes
// writes again: nobody has to restart the administration.
func (k *StoredRecords) Save(ops []store.Op) error {
	if k.Err() != nil {
		if err := k.wait(func(done func(error)) error { k.Repair(done); return nil }); err != nil {
			return err
		}
	}
	return k.wait(func(done func(error)) error { return k.Commit(ops, nil, false, done) })
}

// wait asks the store for something and waits for the disk's answer.
func (k *StoredRecords) wait(ask func(done func(error)) error) error {
	var answered bool
	var failed error
	if err := ask(func(err error) { answered, failed = true, err }); err != nil {
		return err
	}
	for late := time.After(k.within); !answered; {
		select {
		case f := <-k.posted:
			f()
		case <-late:
			return errors.New("the disk does not answer; whether the change is kept shows at the next start")
		}
	}
	for { // what else the disk has answered meanwhile: a snapshot's end
		select {
		case f := <-k.posted:
			f()
		default:
			return failed
		}
	}
}

// Close gives the folder back.
func (k *StoredRecords) Close() { k.files.Close() }

// MemoryRecords keeps the records for as long as the process lives, for trying things out.
type MemoryRecords struct {
	store.Index
	// SaveError, where it is set, is the error of the next Save.
	SaveError error
}

// Save changes them.
func (m *MemoryRecords) Save(ops []store.Op) error {
	if m.SaveError != nil {
		return m.SaveError
	}
	for _, o := range ops {
		if o.Value == nil {
			m.Delete(o.Key)
		} else {
			m.Set(o.Key, o.Value)
		}
	}
	return nil
}

// Keys of the records. A name never holds a zero byte; what comes from clients comes last.
const (
	headKey   = "registry"
	tenantKey = "tenant/"
	usedKey   = "used/"   // tenant, zero, day, zero, product
	numberKey = "number/" // dispatcher: its last report that counts
	madeKey   = "made/"   // tenant, zero, Idempotency-Key: the id of the key that was made
	logKey    = "change/" // number, 16 hexadecimal digits
)

// kept is the one file of versions before the store.
type kept struct {
	Registry *tenancy.Registry    `json:"registry"`
	Ledger   *tenancy.UsageLedger `json:"ledger"`
	Made     map[string]string    `json:"made_keys"`
}

// keptTenant is one tenant with the registry's version at its last change.
type keptTenant struct {
	Changed uint64          `json:"changed"`
	Tenant  *tenancy.Tenant `json:"tenant"`
}

func changeKey(n uint64) string { return fmt.Sprintf("%s%016x", logKey, n) }

// marshal is for our own records, which can always be written.
func marshal(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

// headOp is all of a registry but its tenants.
func headOp(r *tenancy.Registry) store.Op {
	head := *r
	head.Tenants, head.ChangedIn = nil, nil
	return store.Op{Key: headKey, Value: marshal(head)}
}

func tenantOp(r *tenancy.Registry, name string) store.Op {
	return store.Op{Key: tenantKey + name, Value: marshal(keptTenant{r.ChangedIn[name], r.Tenants[name]})}
}

func usedOp(u tenancy.Usage) store.Op { return store.Op{Key: usedKey + u.Key(), Value: marshal(u)} }

func numberOp(dispatcher string, n uint64) store.Op {
	return store.Op{Key: numberKey + dispatcher, Value: marshal(n)}
}

// difference is what takes the records from one registry to the next.
func difference(before, next *tenancy.Registry) []store.Op {
	ops := []store.Op{headOp(next)}
	for _, name := range next.Names() {
		if next.ChangedIn[name] > before.Version {
			ops = append(ops, tenantOp(next, name))
		}
	}
	for _, name := range before.Names() {
		if next.Tenants[name] == nil {
			ops = append(ops, store.Op{Key: tenantKey + name})
		}
	}
	return ops
}

// restore builds the state from the records.
func (a *Server) restore() error {
	var fault error
	each := func(prefix string, into func(rest string, value []byte) error) {
		a.records.ScanFrom(prefix, prefix, func(key string, value []byte) bool {
			if err := into(key[len(prefix):], value); err != nil {
				fault = fmt.Errorf("record %q: %w", key, err)
			}
			return fault == nil
		})
	}
	each(headKey, func(_ string, value []byte) error {
		r := tenancy.NewRegistry("")
		if err := json.Unmarshal(value, r); err != nil {
			return err
		}
		if r.Epoch == "" {
			return errors.New("a registry without an epoch")
		}
		a.registry = r
		a.registry.Tenants, a.registry.ChangedIn = map[string]*tenancy.Tenant{}, map[string]uint64{}
		return nil
	})
	each(tenantKey, func(name string, value []byte) error {
		var t keptTenant
		if err := json.Unmarshal(value, &t); err != nil {
			return err
		}
		if t.Tenant == nil || t.Tenant.Name != name || a.registry == nil || t.Changed > a.registry.Version {
			return errors.New("it does not belong to this registry")
		}
		a.registry.Tenants[name], a.registry.ChangedIn[name] = t.Tenant, t.Changed
		return nil
	})
	each(usedKey, func(key string, value []byte) error {
		var u tenancy.Usage
		if err := json.Unmarshal(value, &u); err != nil {
			return err
		}
		if u.Key() != key {
			return errors.New("it is another's usage")
		}
		a.ledger.Sums[key] = u
		return nil
	})
	each(numberKey, func(dispatcher string, value []byte) error {
		var n uint64
		err := json.Unmarshal(value, &n)
		a.ledger.Numbers[dispatcher] = n
		return err
	})
	each(logKey, func(string, []byte) error { a.changes++; return nil })
	return fault
}

// ReadSecret reads a file that nobody but its owner may read.
func ReadSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("secret: %s can be read by others (mode %o); it must have mode 600", path, info.Mode().Perm())
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	if b = bytes.TrimSpace(b); len(b) < 32 {
		return nil, fmt.Errorf("secret: %s has %d bytes; it needs 32 at least", path, len(b))
	}
	return b, nil
}
