package tenancy

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"reflect"
	"slices"
)

// State is a tenant's position in its life cycle.
type State string

// States of a tenant.
const (
	StateActive    State = "active"
	StateSuspended State = "suspended" // new requests are rejected; running ones continue
	StateRemoving  State = "removing"  // keys are deleted; running requests continue or are stopped, as the policy says
	StateRemoved   State = "removed"   // keys and limits are deleted; name and usage are kept
)

// RemovalPolicy determines what happens to the running requests of a tenant that is removed.
type RemovalPolicy string

// Policies of removal.
const (
	RemovalFinish RemovalPolicy = "finish" // running requests continue to their end
	RemovalStop   RemovalPolicy = "stop"   // running requests are stopped at once
)

// Tenant is one customer of the service. Its JSON form is stored and, without the MACs of the keys, returned in API
// answers. Times are in seconds since 1970.
type Tenant struct {
	ID        ID                `json:"id"`
	Name      string            `json:"name"`
	State     State             `json:"state"`
	Version   uint64            `json:"version"` // incremented by each change of the tenant
	Limits    Limits            `json:"limits"`
	Products  map[string]Limits `json:"products,omitempty"`
	Keys      []KeyRecord       `json:"keys,omitempty"`
	CreatedAt int64             `json:"created_s"`
	Removal   RemovalPolicy     `json:"removal,omitempty"`
	RemovedAt int64             `json:"removed_s,omitempty"`
}

// removalBegun reports whether the tenant is being removed or has been removed. If so, its limits and keys can't be
// changed.
func (t *Tenant) removalBegun() bool { return t.State == StateRemoving || t.State == StateRemoved }

// nameReuseDelay is how many seconds the name of a removed tenant stays reserved. Reports and updates that are still in
// transit under the name must not be taken for those of a new tenant.
const nameReuseDelay = 24 * 3600

// Registry holds all tenants. Its version counts the changes, so that followers can ask for the changes since a
// version.
type Registry struct {
	Epoch       string             `json:"epoch"` // versions of different epochs can't be compared
	Version     uint64             `json:"version"`
	LastID      ID                 `json:"last_id"`
	Tenants     map[string]*Tenant `json:"tenants"` // by name
	PublicTexts []string           `json:"public_texts,omitempty"`
	ChangedIn   map[string]uint64  `json:"changed"` // by tenant: the registry's version after the tenant's last change
}

// NewRegistry returns an empty registry.
func NewRegistry(epoch string) *Registry {
	return &Registry{Epoch: epoch, Tenants: map[string]*Tenant{}, ChangedIn: map[string]uint64{}}
}

// Clone returns a deep copy, for dry runs and for changes that may fail.
func (r *Registry) Clone() *Registry {
	clone := NewRegistry("")
	encoded, _ := json.Marshal(r) // can't fail, as all limits are finite numbers
	_ = json.Unmarshal(encoded, clone)
	return clone
}

// Names returns the sorted names of all tenants.
func (r *Registry) Names() []string { return slices.Sorted(maps.Keys(r.Tenants)) }

// recordChange increments the versions of the registry and of a tenant after a change of the tenant.
func (r *Registry) recordChange(t *Tenant) {
	r.Version++
	t.Version++
	r.ChangedIn[t.Name] = r.Version
}

// Create adds a tenant. If the tenant exists with equal limits, Create changes nothing, so that a client that has
// missed the answer can repeat its request. Create and all other methods that change the registry return their errors
// as *ChangeError.
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
		case old.removalBegun():
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
	r.recordChange(t)
	return t, true, nil
}

func equalProducts(a, b map[string]Limits) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// find returns a tenant to change. It returns an error if the tenant does not have the given version. Version 0 stands
// for any version.
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

// findNotRemoved is like find, and also returns an error if the removal of the tenant has begun.
func (r *Registry) findNotRemoved(name string, version uint64) (*Tenant, error) {
	t, err := r.find(name, version)
	if err != nil {
		return nil, err
	}
	if t.removalBegun() {
		return nil, conflict(CodeRemoved, "", "the tenant is %s", t.State)
	}
	return t, nil
}

// SetLimits replaces the limits of a tenant and of its products. A nil argument leaves the limits that it stands for
// unchanged.
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
	r.recordChange(t)
	return t, nil
}

// Suspend makes dispatchers reject new requests of a tenant.
func (r *Registry) Suspend(name string, version uint64) (*Tenant, error) {
	return r.setState(name, version, StateSuspended)
}

// Resume ends the suspension of a tenant.
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
		r.recordChange(t)
	}
	return t, nil
}

// Remove begins the removal of a tenant and deletes its keys, which makes them invalid.
func (r *Registry) Remove(name string, version uint64, policy RemovalPolicy) (*Tenant, error) {
	t, err := r.find(name, version)
	if err != nil {
		return nil, err
	}
	if policy != RemovalFinish && policy != RemovalStop {
		return nil, invalid(CodeInvalidPolicy, "policy", "must be %q or %q", RemovalFinish, RemovalStop)
	}
	// The policy of a removal in progress can change from finish to stop, but not back.
	inProgress := t.State == StateRemoving && (t.Removal == policy || policy == RemovalFinish)
	if t.State == StateRemoved || inProgress {
		return t, nil
	}
	t.State, t.Removal, t.Keys = StateRemoving, policy, nil
	r.recordChange(t)
	return t, nil
}

// CompleteRemoval deletes the limits of a tenant that is being removed. Callers call it once no request of the tenant
// is running. The name stays reserved for nameReuseDelay.
func (r *Registry) CompleteRemoval(now int64, name string) {
	t := r.Tenants[name]
	if t == nil || t.State != StateRemoving {
		return
	}
	t.State, t.RemovedAt, t.Limits, t.Products = StateRemoved, now, Limits{}, nil
	r.recordChange(t)
}
