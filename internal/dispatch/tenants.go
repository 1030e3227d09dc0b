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

// firstStaticID is the id of the first tenant that the deployment itself lists. All ids from firstStaticID on are
// reserved for the tenants that the deployment lists.
const firstStaticID tenancy.ID = 1 << 31

// queueGrace is the time before the client's deadline at which a request that is still queued for admission is
// rejected.
const queueGrace = 30 * eventloop.Millisecond

// tenantSlot is the dispatcher's state of one tenant, with the identifier that the scheduler knows the tenant by.
type tenantSlot struct {
	id          tenancy.ID
	name        string
	namespace   string // separates the tenant's prompts and sessions from those of all other tenants
	schedulerID scheduler.TenantID
	active      bool
	removing    bool
	limits      tenancy.Limits
}

// FeedToken returns the token by which a dispatcher authenticates to the administration. The token is derived from the
// secret that the dispatcher and the administration share.
func FeedToken(secret []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("dispatcher"))
	return hex.EncodeToString(mac.Sum(nil))
}

// startTenants adds the tenants that the deployment lists and the cached ones, and subscribes to the administration.
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
		d.resetDirectory() // makes the administration's first message list all tenants
	}
	if d.config.AdminAddr != "" {
		d.subscribeTenants()
		d.loop.AfterFunc(usageReportInterval, d.reportUsage)
	}
	return nil
}

func (d *Dispatcher) resetDirectory() { d.directory.Epoch, d.directory.Version = "", 0 }

func (d *Dispatcher) subscribeTenants() {
	d.tenantFeed = subscribe.NewClient(d.loop, d.config.Seed+1, d.config.AdminAddr, subscribe.Options{
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

// tenantsUpdated applies a message from the administration, and caches the resulting tenants.
func (d *Dispatcher) tenantsUpdated(data []byte) error {
	if err := d.applyTenants(data); err != nil {
		return err
	}
	if d.config.CacheTenants != nil {
		d.config.CacheTenants(d.directory.Snapshot())
	}
	return nil
}

// addTenant adds a slot for a tenant. It reuses the scheduler's identifiers of removed tenants, so that the scheduler's
// table does not grow.
func (d *Dispatcher) addTenant(name string, id tenancy.ID) *tenantSlot {
	slot := &tenantSlot{id: id, name: name, namespace: fmt.Sprintf("%d-%s", id, name)}
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

// applyTenants applies a message from the administration or the cached tenants.
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
	if slot != nil && slot.id != tenant.ID { // the slot belongs to another tenant of the same name
		if slot.id >= firstStaticID {
			d.config.Log.Error().Str("tenant", tenant.Name).Msg("tenant name is taken by the deployment")
			return
		}
		d.removeTenant(slot, stopRunning || tenant.State != tenancy.StateRemoving)
		slot = nil
	}
	if tenant.State == tenancy.StateRemoving || tenant.State == tenancy.StateRemoved {
		if slot == nil {
			d.usage.RecordTenantRemoved(tenant.Name)
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

// removeTenant stops serving a tenant. Its running requests go on, or stop if stopRunning is true. The slot is freed
// once the tenant has no request left.
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
	d.usage.RecordTenantRemoved(slot.name)
}

// Identify returns the tenant that an API key belongs to.
func (d *Dispatcher) Identify(key string) (frontend.Identity, bool) {
	if slot := d.staticKeys[sha256.Sum256([]byte(key))]; slot != nil {
		return frontend.Identity{Tenant: slot.name, Namespace: slot.namespace, Active: true}, true
	}
	tenant, tenantKey, known := d.directory.Authenticate(int64(d.loop.Now()/eventloop.Second), key)
	if !known || !slices.Contains(tenantKey.Scopes, tenancy.ScopeChat) {
		return frontend.Identity{}, false
	}
	slot := d.tenantSlots[tenant.Name]
	if slot == nil || slot.id != tenant.ID {
		return frontend.Identity{}, false
	}
	return frontend.Identity{Tenant: slot.name, Key: tenantKey.ID, Namespace: slot.namespace, Active: slot.active}, true
}
