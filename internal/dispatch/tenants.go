package dispatch

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"

	"plumspindle/internal/deployment"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/frontend"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/subscribe"
	"plumspindle/internal/tenancy"
	"plumspindle/scheduler"
)

// firstStaticID is the first id of a tenant that the deployment names itself.
const firstStaticID tenancy.ID = 1 << 31

// queueGrace is how long before its client's deadline a request is given up that is still queued for admission.
const queueGrace = 30 * eventloop.Millisecond

// tenantSlot is a tenant's place in this dispatcher, and the identifier that the scheduler knows it by.
type tenantSlot struct {
	id          tenancy.ID
	name        string
	space       string // apart from all other tenants' texts and sessions
	schedulerID scheduler.TenantID
	active      bool
	removing    bool
	limits      tenancy.Limits
}

// FeedToken returns the token that a dispatcher shows to the administration, made from the secret of both.
func FeedToken(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("dispatcher"))
	return hex.EncodeToString(mac.Sum(nil))
}

// startTenants adds the deployment's own tenants and the cached ones, and subscribes to the administration's.
func (d *Dispatcher) startTenants() error {
	d.tenantSlots, d.staticKeys = map[string]*tenantSlot{}, map[[sha256.Size]byte]*tenantSlot{}
	d.admission = tenancy.NewAdmissionController(int(d.Deployment.Dispatching.Dispatchers))
	d.directory = tenancy.NewDirectory(d.config.Secret)
	d.usage = tenancy.NewUsageMeter()
	for i, tenant := range d.Deployment.Tenants {
		slot := d.addTenant(tenant.Name, firstStaticID+tenancy.ID(i))
		limits := tenancy.Limits{QuotaPerS: tenant.QuotaPerS}
		d.setTenant(slot, tenancy.TenantSettings{Limits: limits, Serving: true})
		for _, key := range tenant.KeySha256 {
			digest, err := hex.DecodeString(key)
			if err != nil || len(digest) != sha256.Size {
				return fmt.Errorf("tenant %s: a key's digest is malformed", tenant.Name)
			}
			d.staticKeys[[sha256.Size]byte(digest)] = slot
		}
	}
	if len(d.config.CachedTenants) > 0 {
		if err := d.applyTenants(d.config.CachedTenants); err != nil {
			d.config.Log.Error().Err(err).Msg("cached tenants unreadable")
		}
		d.resetDirectory() // the administration's first message has to name all of them
	}
	if d.config.Tenants != "" {
		d.subscribeTenants()
		d.loop.AfterFunc(usageReportInterval, d.reportUsage)
	}
	return nil
}

func (d *Dispatcher) resetDirectory() { d.directory.Epoch, d.directory.Version = "", 0 }

func (d *Dispatcher) subscribeTenants() {
	d.tenantFeed = subscribe.NewClient(d.loop, d.config.Seed+1, d.config.Tenants, subscribe.Options{
		Source: "administration",
		Fields: []string{"Authorization", "Bearer " + FeedToken(d.config.Secret), "x-dispatcher", d.config.Name},
		Target: func() string {
			since := strconv.FormatUint(d.directory.Version, 10)
			return "/internal/v1/tenants?epoch=" + d.directory.Epoch + "&since=" + since
		},
		OnReset:   d.resetDirectory,
		OnMessage: d.tenantsUpdated,
		Log:       d.config.Log,
	})
	d.tenantFeed.Subscribe()
}

// tenantsUpdated takes a message of the administration.
func (d *Dispatcher) tenantsUpdated(data []byte) error {
	if err := d.applyTenants(data); err != nil {
		return err
	}
	if d.config.CacheTenants != nil {
		d.config.CacheTenants(d.directory.Snapshot())
	}
	return nil
}

// addTenant gives a tenant a slot. The scheduler's identifiers of removed tenants are used again, so that its table
// does not grow.
func (d *Dispatcher) addTenant(name string, id tenancy.ID) *tenantSlot {
	slot := &tenantSlot{id: id, name: name, space: fmt.Sprintf("%d-%s", id, name)}
	if n := len(d.freeTenantIDs); n > 0 {
		slot.schedulerID = d.freeTenantIDs[n-1]
		d.freeTenantIDs = d.freeTenantIDs[:n-1]
	} else {
		slot.schedulerID = d.nextTenantID
		d.nextTenantID++
	}
	d.tenantSlots[name] = slot
	return slot
}

func (d *Dispatcher) setTenant(slot *tenantSlot, settings tenancy.TenantSettings) {
	slot.limits, slot.active = settings.Limits, settings.Serving
	d.admission.SetTenant(slot.id, settings)
	quota := settings.Limits.QuotaPerS
	if quota == 0 {
		quota = deployment.UnlimitedQuota
	}
	d.scheduler.QuotaChanged(d.loop.Now(), slot.schedulerID, quota)
}

// applyTenants takes a message of the administration, or a cached one.
func (d *Dispatcher) applyTenants(data []byte) error {
	changed, err := d.directory.Apply(data)
	if err != nil {
		return err
	}
	for _, tenant := range changed {
		d.applyTenant(tenant)
	}
	return nil
}

func (d *Dispatcher) applyTenant(tenant *tenancy.Tenant) {
	slot := d.tenantSlots[tenant.Name]
	stopRunning := tenant.Removal == tenancy.RemovalStop
	if slot != nil && slot.id != tenant.ID { // another tenant of the same name
		if slot.id >= firstStaticID {
			d.config.Log.Error().Str("tenant", tenant.Name).Msg("tenant name is taken by the deployment")
			return
		}
		d.removeTenant(slot, stopRunning || tenant.State != tenancy.StateRemoving)
		slot = nil
	}
	if tenant.State == tenancy.StateRemoving || tenant.State == tenancy.StateRemoved {
		if slot == nil {
			d.usage.TenantEnded(tenant.Name)
			return
		}
		d.removeTenant(slot, stopRunning || tenant.State == tenancy.StateRemoved)
		return
	}
	if slot == nil {
		slot = d.addTenant(tenant.Name, tenant.ID)
	}
	keys := map[string]tenancy.Limits{}
	for _, key := range tenant.Keys {
		keys[key.ID] = key.Limits
	}
	d.setTenant(slot, tenancy.TenantSettings{
		Limits:   tenant.Limits,
		Keys:     keys,
		Products: tenant.Products,
		Serving:  tenant.State == tenancy.StateActive,
	})
}

// removeTenant stops serving a tenant. What runs of it goes on, or is stopped; the slot is freed once nothing does.
func (d *Dispatcher) removeTenant(slot *tenantSlot, stopRunning bool) {
	slot.removing, slot.active = true, false
	if d.tenantSlots[slot.name] == slot {
		d.admission.SetTenant(slot.id, tenancy.TenantSettings{Limits: slot.limits})
	}
	if stopRunning {
		for _, ticket := range d.admission.OpenTickets(slot.id) {
			d.fireWith(ticket.Owner.(*request), lifecycle.TenantStopped, eventDetails{reason: "The tenant was removed."})
		}
	}
	d.freeTenantSlot(slot)
}

func (d *Dispatcher) freeTenantSlot(slot *tenantSlot) {
	if !slot.removing || d.tenantSlots[slot.name] != slot || !d.admission.RemoveTenant(slot.id) {
		return
	}
	delete(d.tenantSlots, slot.name)
	d.scheduler.QuotaChanged(d.loop.Now(), slot.schedulerID, 0)
	d.freeTenantIDs = append(d.freeTenantIDs, slot.schedulerID)
	d.usage.TenantEnded(slot.name)
}

// Identify finds the owner of a key.
func (d *Dispatcher) Identify(key string) (frontend.Identity, bool) {
	if slot := d.staticKeys[sha256.Sum256([]byte(key))]; slot != nil {
		return frontend.Identity{Tenant: slot.name, Space: slot.space, Active: true}, true
	}
	tenant, tenantKey, known := d.directory.Authenticate(int64(d.loop.Now()/eventloop.Second), key)
	if !known || !slices.Contains(tenantKey.Scopes, tenancy.ScopeChat) {
		return frontend.Identity{}, false
	}
	slot := d.tenantSlots[tenant.Name]
	if slot == nil || slot.id != tenant.ID {
		return frontend.Identity{}, false
	}
	return frontend.Identity{Tenant: slot.name, Key: tenantKey.ID, Space: slot.space, Active: slot.active}, true
}
