package tenancy

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"plumspindle/internal/subscribe"
)

// States of a tenant.
const (
	StateActive    = "active"
	StateSuspended = "suspended" // nothing new; what runs goes on
	StateRemoving  = "removing"  // it is gone for its clients; what runs goes on, or is stopped
	StateRemoved   = "removed"   // nothing of it is left but its name and what it has used
)

// Policies of removal.
const (
	RemovalFinish = "finish" // what runs goes on to its end
	RemovalStop   = "stop"   // what runs is given its one final answer now
)

// Scopes of a key.
const (
	ScopeChat  = "chat"  // generations
	ScopeAdmin = "admin" // the tenant's own page of the administration
)

// Tenant is one customer, as it is kept and as it is shown.
type Tenant struct {
	ID        ID                `json:"id"`
	Name      string            `json:"name"`
	State     string            `json:"state"`
	Version   uint64            `json:"version"` // of this record; it changes with each change
	Limits    Limits            `json:"limits"`
	Products  map[string]Limits `json:"products,omitempty"`
	Keys      []KeyRecord       `json:"keys,omitempty"`
	CreatedAt int64             `json:"created_s"`
	Removal   string            `json:"removal,omitempty"`
	RemovedAt int64             `json:"removed_s,omitempty"`
}

// KeyRecord is what is kept of a key: never the key itself.
type KeyRecord struct {
	ID        string   `json:"id"`
	MAC       string   `json:"mac,omitempty"`
	Label     string   `json:"label,omitempty"`
	Scopes    []string `json:"scopes"`
	CreatedAt int64    `json:"created_s"`
	ExpiresAt int64    `json:"expires_s,omitempty"` // 0 = never
	RevokedAt int64    `json:"revoked_s,omitempty"`
	Limits    Limits   `json:"limits"`
}

// ChangeError is a change that can't be made.
type ChangeError struct {
	Status int
	Code   string
	Field  string
	Reason string
}

func (f *ChangeError) Error() string { return f.Reason }

func refuse(status int, code, field, format string, args ...any) *ChangeError {
	return &ChangeError{status, code, field, fmt.Sprintf(format, args...)}
}

// NameReuseDelay is how long the name of a removed tenant can't be taken again, s: what is still on its way under that name
// must not be taken for another's.
const NameReuseDelay = 24 * 3600

// Registry is all tenants. Version counts its changes; followers ask for what has changed since one.
type Registry struct {
	Epoch       string             `json:"epoch"`
	Version     uint64             `json:"version"`
	LastID      ID                 `json:"last_id"`
	Tenants     map[string]*Tenant `json:"tenants"`
	PublicTexts []string           `json:"public_texts,omitempty"` // digests of shared texts that tenants may share
	// ChangedIn is the registry's version at each tenant's last change.
	ChangedIn map[string]uint64 `json:"changed"`
}

// NewRegistry makes an empty one.
func NewRegistry(epoch string) *Registry {
	return &Registry{Epoch: epoch, Tenants: map[string]*Tenant{}, ChangedIn: map[string]uint64{}}
}

// Load reads a kept one.
func Load(kept []byte) (*Registry, error) {
	r := NewRegistry("")
	if err := json.Unmarshal(kept, r); err != nil {
		return nil, fmt.Errorf("tenants' records: %w", err)
	}
	if r.Epoch == "" || r.Tenants == nil || r.ChangedIn == nil {
		return nil, fmt.Errorf("tenants' records: not a whole registry")
	}
	return r, nil
}

// Clone is for dry runs and for changes that may fail half way.
func (r *Registry) Clone() *Registry {
	b, _ := json.Marshal(r)
	c, err := Load(b)
	if err != nil {
		return NewRegistry(r.Epoch)
	}
	return c
}

func (r *Registry) touch(t *Tenant) {
	r.Version++
	t.Version++
	r.ChangedIn[t.Name] = r.Version
}

func nameFault(name string) *ChangeError {
	if len(name) < 1 || len(name) > 63 {
		return refuse(422, "invalid_name", "name", "a name has 1 to 63 characters")
	}
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') {
			return refuse(422, "invalid_name", "name", "a name has small letters, digits and hyphens, not %q", c)
		}
	}
	return nil
}

func (l Limits) fault(field string) *ChangeError {
	for name, v := range map[string]float64{"share_per_s": l.SharePerS, "weight": l.Weight, "per_s": l.PerS, "tokens_per_s": l.TokensPerS,
		"burst_s": l.BurstS, "concurrent": float64(l.Concurrent), "largest_prompt": float64(l.LargestPrompt), "waiting": float64(l.Waiting)} {
		if !(v >= 0 && v <= 1e9) {
			return refuse(422, "invalid_limit", field+"."+name, "must be from 0 to 1000000000")
		}
	}
	return nil
}

// Create adds a tenant. The same creation again, as after an answer that was lost, changes nothing.
func (r *Registry) Create(now int64, name string, limits Limits, products map[string]Limits) (t *Tenant, made bool, fault *ChangeError) {
	if fault := nameFault(name); fault != nil {
		return nil, false, fault
	}
	if fault := limits.fault("limits"); fault != nil {
		return nil, false, fault
	}
	for p, l := range products {
		if fault := l.fault("products." + p); fault != nil {
			return nil, false, fault
		}
	}
	old := r.Tenants[name]
	switch {
	case old == nil:
	case old.State == StateRemoved && now-old.RemovedAt >= NameReuseDelay:
	case old.State == StateRemoved || old.State == StateRemoving:
		return nil, false, refuse(409, "name_resting", "name", "the name was a removed tenant's and rests for %d hours", NameReuseDelay/3600)
	case old.Limits == limits && len(old.Products) == len(products) && (len(products) == 0 || reflect.DeepEqual(old.Products, products)):
		return old, false, nil
	default:
		return nil, false, refuse(409, "exists", "name", "there is a tenant %q", name)
	}
	r.LastID++
	t = &Tenant{ID: r.LastID, Name: name, State: StateActive, Limits: limits, Products: products, CreatedAt: now}
	if old != nil {
		t.Version = old.Version
	}
	r.Tenants[name] = t
	r.touch(t)
	return t, true, nil
}

// find looks a tenant up for a change that was made against a version of it; 0 is any.
func (r *Registry) find(name string, version uint64) (*Tenant, *ChangeError) {
	t := r.Tenants[name]
	switch {
	case t == nil:
		return nil, refuse(404, "no_tenant", "", "there is no tenant %q", name)
	case version != 0 && version != t.Version:
		return nil, refuse(412, "changed_meanwhile", "", "the tenant was changed meanwhile: it has version %d, not %d", t.Version, version)
	}
	return t, nil
}

// SetLimits sets limits.
func (r *Registry) SetLimits(name string, version uint64, limits *Limits, products map[string]Limits) (*Tenant, *ChangeError) {
	t, fault := r.find(name, version)
	if fault != nil {
		return nil, fault
	}
	if t.State == StateRemoving || t.State == StateRemoved {
		return nil, refuse(409, "removed", "", "the tenant is %s", t.State)
	}
	if limits != nil {
		if fault := limits.fault("limits"); fault != nil {
			return nil, fault
		}
	}
	for p, l := range products {
		if fault := l.fault("products." + p); fault != nil {
			return nil, fault
		}
	}
	if limits != nil {
		t.Limits = *limits
	}
	if products != nil {
		t.Products = products
	}
	r.touch(t)
	return t, nil
}

// SetServing suspends a tenant, or takes it into service again.
func (r *Registry) SetServing(name string, version uint64, on bool) (*Tenant, *ChangeError) {
	t, fault := r.find(name, version)
	if fault != nil {
		return nil, fault
	}
	want := map[bool]string{true: StateActive, false: StateSuspended}[on]
	if t.State == StateRemoving || t.State == StateRemoved {
		return nil, refuse(409, "removed", "", "the tenant is %s", t.State)
	}
	if t.State != want {
		t.State = want
		r.touch(t)
	}
	return t, nil
}

// Remove begins a tenant's end. All of its keys are worth nothing from now on.
func (r *Registry) Remove(name string, version uint64, policy string) (*Tenant, *ChangeError) {
	t, fault := r.find(name, version)
	if fault != nil {
		return nil, fault
	}
	if policy != RemovalFinish && policy != RemovalStop {
		return nil, refuse(422, "invalid_policy", "policy", "must be %q or %q", RemovalFinish, RemovalStop)
	}
	switch {
	case t.State == StateRemoved, t.State == StateRemoving && (t.Removal == policy || policy == RemovalFinish):
		return t, nil
	}
	t.State, t.Removal, t.Keys = StateRemoving, policy, nil
	r.touch(t)
	return t, nil
}

// CompleteRemoval tells that nothing of a tenant runs any more: its data go, its name rests.
func (r *Registry) CompleteRemoval(now int64, name string) {
	if t := r.Tenants[name]; t != nil && t.State == StateRemoving {
		t.State, t.RemovedAt, t.Limits, t.Products = StateRemoved, now, Limits{}, nil
		r.touch(t)
	}
}

// IssueKey is a new key for a tenant; text is the key itself, which is never seen again.
func (r *Registry) IssueKey(now int64, name string, version uint64, secret, random []byte, label string, scopes []string, expires int64,
	limits Limits) (text string, k *KeyRecord, t *Tenant, fault *ChangeError) {
	t, fault = r.find(name, version)
	if fault != nil {
		return "", nil, nil, fault
	}
	if t.State != StateActive && t.State != StateSuspended {
		return "", nil, nil, refuse(409, "removed", "", "the tenant is %s", t.State)
	}
	if len(scopes) == 0 {
		scopes = []string{ScopeChat}
	}
	for _, s := range scopes {
		if s != ScopeChat && s != ScopeAdmin {
			return "", nil, nil, refuse(422, "invalid_scope", "scopes", "there is no scope %q; there are %s and %s", s, ScopeChat, ScopeAdmin)
		}
	}
	if expires != 0 && expires <= now {
		return "", nil, nil, refuse(422, "invalid_expiry", "expires_s", "lies in the past")
	}
	if fault := limits.fault("limits"); fault != nil {
		return "", nil, nil, fault
	}
	if len(random) < 30 {
		return "", nil, nil, refuse(500, "no_random", "", "too little randomness")
	}
	id := hex.EncodeToString(random[:6])
	text = "sk-" + id + "-" + hex.EncodeToString(random[6:30])
	k = &KeyRecord{ID: id, MAC: seal(secret, text), Label: label, Scopes: scopes, CreatedAt: now, ExpiresAt: expires, Limits: limits}
	t.Keys = append(t.Keys, *k)
	r.touch(t)
	return text, k, t, nil
}

// RevokeKey ends a key at once, or at a time, so that a new one can overlap with it.
func (r *Registry) RevokeKey(now int64, name string, version uint64, id string, at int64) (*Tenant, *ChangeError) {
	t, fault := r.find(name, version)
	if fault != nil {
		return nil, fault
	}
	for i := range t.Keys {
		k := &t.Keys[i]
		if k.ID != id {
			continue
		}
		if at > now {
			k.ExpiresAt = at
		} else if k.RevokedAt == 0 {
			k.RevokedAt = now
		}
		r.touch(t)
		return t, nil
	}
	return nil, refuse(404, "no_key", "", "the tenant has no key %q", id)
}

// Names are all tenants in order.
func (r *Registry) Names() []string { return slices.Sorted(maps.Keys(r.Tenants)) }

// seal is what a key is kept as: an HMAC with the server's secret. The keys are random and long, so that a slow hash
// would add nothing but its cost on the path.
func seal(secret []byte, key string) string {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte(key))
	return hex.EncodeToString(m.Sum(nil))
}

// --- What followers are told ---

// Update is one message to those that follow the registry: all of it, or what has changed since a version.
type Update struct {
	Epoch       string    `json:"epoch"`
	Version     uint64    `json:"version"`
	Since       uint64    `json:"since,omitempty"`
	Complete    bool      `json:"whole,omitempty"`
	Tenants     []*Tenant `json:"tenants"`
	PublicTexts []string  `json:"public_texts"`
}

// UpdateSince is what a follower of a version has missed; all, where it followed another epoch.
func (r *Registry) UpdateSince(epoch string, version uint64) Update {
	n := Update{Epoch: r.Epoch, Version: r.Version, Since: version, PublicTexts: r.PublicTexts, Complete: epoch != r.Epoch || version == 0 || version > r.Version}
	for _, name := range r.Names() {
		if t := r.Tenants[name]; n.Complete && t.State != StateRemoved || !n.Complete && r.ChangedIn[name] > version {
			n.Tenants = append(n.Tenants, t)
		}
	}
	return n
}

// Directory is a dispatcher's copy: who a key is, and what has to change at the gate. It shares nothing with the registry.
type Directory struct {
	Epoch   string
	Version uint64
	secret  []byte
	tenants map[string]*Tenant
	keys    map[string]known
	public  map[string]bool
}

type known struct {
	tenant *Tenant
	key    KeyRecord
}

// NewDirectory makes an empty one.
func NewDirectory(secret []byte) *Directory {
	return &Directory{secret: secret, tenants: map[string]*Tenant{}, keys: map[string]known{}, public: map[string]bool{}}
}

// Apply reads one message. It gives the tenants that have changed, those that are gone from a whole list as removed.
func (d *Directory) Apply(data []byte) (changed []*Tenant, err error) {
	var n Update
	if err := json.Unmarshal(data, &n); err != nil {
		return nil, fmt.Errorf("not the tenants' news: %w", err)
	}
	same := n.Epoch == d.Epoch
	switch {
	case same && n.Version < d.Version, same && !n.Complete && n.Version == d.Version:
		return nil, nil
	case !n.Complete && (!same || n.Since != d.Version):
		return nil, &subscribe.GapError{Have: d.Version, Since: n.Since}
	}
	named := map[string]bool{}
	for _, t := range n.Tenants {
		if t == nil || t.Name == "" {
			return nil, fmt.Errorf("a tenant without a name")
		}
		named[t.Name] = true
	}
	if n.Complete {
		for _, name := range slices.Sorted(maps.Keys(d.tenants)) {
			if !named[name] {
				gone := *d.tenants[name]
				gone.State, gone.Keys = StateRemoved, nil
				n.Tenants = append(n.Tenants, &gone)
			}
		}
	}
	for _, t := range n.Tenants {
		if old := d.tenants[t.Name]; old != nil {
			if old.ID != t.ID {
				end := *old
				end.State, end.Removal, end.Keys = StateRemoving, RemovalStop, nil
				changed = append(changed, &end) // the name is another's now
			}
			for _, k := range old.Keys {
				delete(d.keys, k.ID)
			}
		}
		if t.State == StateRemoved {
			delete(d.tenants, t.Name)
		} else {
			d.tenants[t.Name] = t
			for _, k := range t.Keys {
				d.keys[k.ID] = known{t, k}
			}
		}
		changed = append(changed, t)
	}
	clear(d.public)
	for _, p := range n.PublicTexts {
		d.public[p] = true
	}
	d.Epoch, d.Version = n.Epoch, n.Version
	return changed, nil
}

// IsPublicText tells whether the operator lets tenants share a text, by its digest.
func (d *Directory) IsPublicText(digest string) bool { return d.public[digest] }

// Authenticate finds the tenant and the key record of a key's text. It takes the same time for a key that is nearly right as
// for one that is not; an unknown one costs a look-up and leaves nothing.
func (d *Directory) Authenticate(now int64, text string) (*Tenant, *KeyRecord, bool) {
	id, _, ok := strings.Cut(strings.TrimPrefix(text, "sk-"), "-")
	if !ok || !strings.HasPrefix(text, "sk-") {
		return nil, nil, false
	}
	k, some := d.keys[id]
	if !some || !k.key.Matches(d.secret, text, now) {
		return nil, nil, false
	}
	return k.tenant, &k.key, true
}

// Matches tells whether a text is this key, and the key is worth something now.
func (k *KeyRecord) Matches(secret []byte, text string, now int64) bool {
	return hmac.Equal([]byte(k.MAC), []byte(seal(secret, text))) && k.RevokedAt == 0 && (k.ExpiresAt == 0 || now < k.ExpiresAt)
}

// Snapshot is the directory as it is known, for keeping.
func (d *Directory) Snapshot() []byte {
	n := Update{Epoch: d.Epoch, Version: d.Version, Complete: true, PublicTexts: slices.Sorted(maps.Keys(d.public))}
	for _, name := range slices.Sorted(maps.Keys(d.tenants)) {
		n.Tenants = append(n.Tenants, d.tenants[name])
	}
	b, _ := json.Marshal(n)
	return b
}
