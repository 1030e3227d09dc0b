package tenancy

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"plumspindle/internal/subscribe"
)

// Directory is a dispatcher's copy of the registry, built from encoded updates.
type Directory struct {
	Epoch   string
	Version uint64

	secret      []byte
	tenants     map[string]*Tenant // by name
	keys        map[string]keyOwner
	publicTexts map[string]bool
}

type keyOwner struct {
	tenant *Tenant
	key    KeyRecord
}

// NewDirectory returns an empty directory. The secret must be the one that the MACs of the keys were computed with.
func NewDirectory(secret []byte) *Directory {
	return &Directory{
		secret:      secret,
		tenants:     map[string]*Tenant{},
		keys:        map[string]keyOwner{},
		publicTexts: map[string]bool{},
	}
}

// Apply applies an encoded Update and returns the tenants that have changed. If the update is complete, it also returns
// the known tenants that the update does not list, with the state StateRemoved. A stale update changes nothing. The
// error is a *subscribe.GapError if the update is not complete and does not start from the directory's epoch and
// version.
func (d *Directory) Apply(data []byte) (changed []*Tenant, err error) {
	var update Update
	if err := json.Unmarshal(data, &update); err != nil {
		return nil, fmt.Errorf("decode tenant update: %w", err)
	}
	sameEpoch := update.Epoch == d.Epoch
	if sameEpoch && (update.Version < d.Version || update.Version == d.Version && !update.Complete) {
		return nil, nil
	}
	if !update.Complete && (!sameEpoch || update.Since != d.Version) {
		return nil, &subscribe.GapError{Have: d.Version, Since: update.Since}
	}
	for _, t := range update.Tenants {
		if t == nil || t.Name == "" {
			return nil, errors.New("the update has a tenant without a name")
		}
	}
	if update.Complete {
		update.Tenants = append(update.Tenants, d.missingIn(update.Tenants)...)
	}
	for _, t := range update.Tenants {
		changed = append(changed, d.replace(t)...)
	}
	clear(d.publicTexts)
	for _, digest := range update.PublicTexts {
		d.publicTexts[digest] = true
	}
	d.Epoch, d.Version = update.Epoch, update.Version
	return changed, nil
}

// missingIn returns the known tenants that a complete list does not have, with the state StateRemoved.
func (d *Directory) missingIn(listed []*Tenant) (removed []*Tenant) {
	names := map[string]bool{}
	for _, t := range listed {
		names[t.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(d.tenants)) {
		if names[name] {
			continue
		}
		t := *d.tenants[name]
		t.State, t.Keys = StateRemoved, nil
		removed = append(removed, &t)
	}
	return removed
}

// replace stores a tenant under its name and returns the tenants that have changed. If the name belonged to another
// tenant, the other tenant comes first, with the state StateRemoving and the policy RemovalStop, which stops its
// running requests.
func (d *Directory) replace(t *Tenant) (changed []*Tenant) {
	if old := d.tenants[t.Name]; old != nil {
		if old.ID != t.ID {
			stopped := *old
			stopped.State, stopped.Removal, stopped.Keys = StateRemoving, RemovalStop, nil
			changed = append(changed, &stopped)
		}
		for _, key := range old.Keys {
			delete(d.keys, key.ID)
		}
	}
	if t.State == StateRemoved {
		delete(d.tenants, t.Name)
	} else {
		d.tenants[t.Name] = t
		for _, key := range t.Keys {
			d.keys[key.ID] = keyOwner{t, key}
		}
	}
	return append(changed, t)
}

// IsPublicText reports whether the operator has listed the text with this digest as public. Tenants may share the
// prompt state of public texts.
func (d *Directory) IsPublicText(digest string) bool { return d.publicTexts[digest] }

// Authenticate returns the tenant and the record of a valid key. It stores nothing about unknown keys.
func (d *Directory) Authenticate(now int64, text string) (*Tenant, *KeyRecord, bool) {
	id, ok := KeyID(text)
	if !ok {
		return nil, nil, false
	}
	owner, found := d.keys[id]
	if !found || !owner.key.Matches(d.secret, text, now) {
		return nil, nil, false
	}
	return owner.tenant, &owner.key, true
}

// Snapshot returns the directory as an encoded complete Update, for a cache that survives a restart of the dispatcher.
func (d *Directory) Snapshot() []byte {
	update := Update{
		Epoch:       d.Epoch,
		Version:     d.Version,
		Complete:    true,
		PublicTexts: slices.Sorted(maps.Keys(d.publicTexts)),
	}
	for _, name := range slices.Sorted(maps.Keys(d.tenants)) {
		update.Tenants = append(update.Tenants, d.tenants[name])
	}
	encoded, _ := json.Marshal(update) // can't fail, as all limits are finite numbers
	return encoded
}
