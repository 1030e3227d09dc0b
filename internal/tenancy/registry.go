package tenancy

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"reflect"
	"slices"
)

// State is a stage of a tenant's life.
type State string

// States of a tenant.
const (
	StateActive    State = "active"
	StateSuspended State = "suspended" // new requests are rejected; running ones continue
	StateRemoving  State = "removing"  // keys are invalid; running requests continue or are stopped, by the policy
	StateRemoved   State = "removed"   // only its name and its usage are left
)

// RemovalPolicy says what happens to the running requests of a tenant that is removed.
type RemovalPolicy string

// Policies of removal.
const (
	RemovalFinish RemovalPolicy = "finish" // they are completed
	RemovalStop   RemovalPolicy = "stop"   // they are ended at once
)

// Tenant is one customer, as it is stored and as it is shown. Times are in seconds since 1970.
type Tenant struct {
	ID        ID                `json:"id"`
	Name      string            `json:"name"`
	State     State             `json:"state"`
	Version   uint64            `json:"version"` // grows with each change of the tenant
	Limits    Limits            `json:"limits"`
	Products  map[string]Limits `json:"products,omitempty"`
	Keys      []KeyRecord       `json:"keys,omitempty"`
	CreatedAt int64             `json:"created_s"`
	Removal   RemovalPolicy     `json:"removal,omitempty"`
	RemovedAt int64             `json:"removed_s,omitempty"`
}

// removed reports whether the tenant can't be changed any more.
func (t *Tenant) removed() bool { return t.State == StateRemoving || t.State == StateRemoved }

// nameReuseDelay is how many seconds the name of a removed tenant can't be used again: reports and updates that
// are still in transit under that name must not be taken for those of another tenant.
const nameReuseDelay = 24 * 3600

// Registry is the record of all tenants. Its version counts the changes; followers ask for what has changed
// since one.
type Registry struct {
	Epoch       string             `json:"epoch"` // versions of different epochs can't be compared
	Version     uint64             `json:"version"`
	LastID      ID                 `json:"last_id"`
	Tenants     map[string]*Tenant `json:"tenants"` // by name
	PublicTexts []string           `json:"public_texts,omitempty"`
	ChangedIn   map[string]uint64  `json:"changed"` // the registry's version at each tenant's last change
}

// NewRegistry returns an empty registry.
func NewRegistry(epoch string) *Registry {
	return &Registry{Epoch: epoch, Tenants: map[string]*Tenant{}, ChangedIn: map[string]uint64{}}
}

// Clone returns a deep copy, for dry runs and for changes that may fail.
func (r *Registry) Clone() *Registry {
	clone := NewRegistry("")
	encoded, _ := json.Marshal(r) // its fields can always be encoded, as limits are finite
	_ = json.Unmarshal(encoded, clone)
	return clone
}

// Names returns the names of all tenants in order.
func (r *Registry) Names() []string { return slices.Sorted(maps.Keys(r.Tenants)) }

// changed counts a change of a tenant.
func (r *Registry) changed(t *Tenant) {
	r.Version++
	t.Version++
	r.ChangedIn[t.Name] = r.Version
}

// Create adds a tenant. A repeated creation, as after a lost answer, changes nothing. An error is a
// *ChangeError, as with all changes.
func (r *Registry) Create(now int64, name string, limits Limits, products map[string]Limits) (
	t *Tenant, created bool, err error,
) {
	if err := checkName(name); err != nil {
		return nil, false, err
	}
	if err := checkLimits(&limits, products); err != nil {
		return nil, false, err
	}
	old := r.Tenants[name]
	if old != nil {
		reusable := old.State == StateRemoved && now-old.RemovedAt >= nameReuseDelay
		switch {
		case reusable:
		case old.removed():
			return nil, false, conflict(CodeNameReserved, "name",
				"the name was a removed tenant's and rests for %d hours", nameReuseDelay/3600)
		case old.Limits == limits && equalProducts(old.Products, products):
			return old, false, nil
		default:
			return nil, false, conflict(CodeExists, "name", "there is a tenant %q", name)
		}
	}
	r.LastID++
	t = &Tenant{ID: r.LastID, Name: name, State: StateActive, Limits: limits, Products: products, CreatedAt: now}
	if old != nil {
		t.Version = old.Version
	}
	r.Tenants[name] = t
	r.changed(t)
	return t, true, nil
}

func equalProducts(a, b map[string]Limits) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// find returns a tenant to change. It must have the version that the change was made for; 0 is any version.
func (r *Registry) find(name string, version uint64) (*Tenant, error) {
	t := r.Tenants[name]
	if t == nil {
		return nil, notFound(CodeNoTenant, "there is no tenant %q", name)
	}
	if version != 0 && version != t.Version {
		reason := fmt.Sprintf("the tenant was changed meanwhile: it has version %d, not %d", t.Version, version)
		return nil, &ChangeError{http.StatusPreconditionFailed, CodeVersionMismatch, "", reason}
	}
	return t, nil
}

// findNotRemoved is find for changes that a removed tenant can't have.
func (r *Registry) findNotRemoved(name string, version uint64) (*Tenant, error) {
	t, err := r.find(name, version)
	if err != nil {
		return nil, err
	}
	if t.removed() {
		return nil, conflict(CodeRemoved, "", "the tenant is %s", t.State)
	}
	return t, nil
}

// SetLimits replaces a tenant's limits and those of its products; nil leaves them as they are.
func (r *Registry) SetLimits(name string, version uint64, limits *Limits, products map[string]Limits) (*Tenant, error) {
	t, err := r.findNotRemoved(name, version)
	if err != nil {
		return nil, err
	}
	if err := checkLimits(limits, products); err != nil {
		return nil, err
	}
	if limits != nil {
		t.Limits = *limits
	}
	if products != nil {
		t.Products = products
	}
	r.changed(t)
	return t, nil
}

// Suspend takes a tenant out of service: new requests are rejected.
func (r *Registry) Suspend(name string, version uint64) (*Tenant, error) {
	return r.setState(name, version, StateSuspended)
}

// Resume takes a suspended tenant back into service.
func (r *Registry) Resume(name string, version uint64) (*Tenant, error) {
	return r.setState(name, version, StateActive)
}

func (r *Registry) setState(name string, version uint64, state State) (*Tenant, error) {
	t, err := r.findNotRemoved(name, version)
	if err != nil {
		return nil, err
	}
	if t.State != state {
		t.State = state
		r.changed(t)
	}
	return t, nil
}

// Remove begins the removal of a tenant. All of its keys are invalid from now on.
func (r *Registry) Remove(name string, version uint64, policy RemovalPolicy) (*Tenant, error) {
	t, err := r.find(name, version)
	if err != nil {
		return nil, err
	}
	if policy != RemovalFinish && policy != RemovalStop {
		return nil, invalid(CodeInvalidPolicy, "policy", "must be %q or %q", RemovalFinish, RemovalStop)
	}
	// A removal in progress can be made stricter, not milder.
	inProgress := t.State == StateRemoving && (t.Removal == policy || policy == RemovalFinish)
	if t.State == StateRemoved || inProgress {
		return t, nil
	}
	t.State, t.Removal, t.Keys = StateRemoving, policy, nil
	r.changed(t)
	return t, nil
}

// CompleteRemoval drops the data of a tenant that is being removed, once none of its requests runs. Its
// name stays reserved for a while.
func (r *Registry) CompleteRemoval(now int64, name string) {
	t := r.Tenants[name]
	if t == nil || t.State != StateRemoving {
		return
	}
	t.State, t.RemovedAt, t.Limits, t.Products = StateRemoved, now, Limits{}, nil
	r.changed(t)
}
