package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"

	"plumspindle/internal/deployment/pb"
)

// maxNames bounds the zones, kinds and products: the scheduler identifies each by one byte.
const maxNames = 250

// Bounds of what the settings of batches may ask for.
const (
	maxBatchBytes  = 1 << 30
	maxPartInputs  = 4096
	maxFixedLimit  = 1 << 20
	maxDimensions  = 16384
	minMaxAttempts = 2 // a prefill and a decode
)

// deploymentChecks are the checks of a deployment by its sections, in the order in which their errors are reported.
var deploymentChecks = []func(*validator, *pb.Deployment){
	(*validator).checkNames,
	(*validator).checkProducts,
	(*validator).checkKinds,
	(*validator).checkTenants,
	(*validator).checkRules,
	(*validator).checkDispatching,
	(*validator).checkBatches,
	(*validator).checkDoors,
	(*validator).checkFleet,
}

// checkDeployment checks the values against each other and against what can be served.
func (v *validator) checkDeployment(m *pb.Deployment) {
	for _, check := range deploymentChecks {
		check(v, m)
	}
}

func (v *validator) checkNames(m *pb.Deployment) {
	if len(m.Zones) == 0 {
		v.fail("zones", "there must be one at least")
	}
	if len(m.Zones) > maxNames || len(m.Kinds) > maxNames || len(m.Products) > maxNames {
		v.fail("zones", "more than %d zones, kinds or products can't be told apart", maxNames)
	}
	v.unique("zones", len(m.Zones), func(i int) string { return m.Zones[i] })
	v.unique("products", len(m.Products), func(i int) string { return m.Products[i].Name })
	v.unique("kinds", len(m.Kinds), func(i int) string { return m.Kinds[i].Name })
	v.unique("tenants", len(m.Tenants), func(i int) string { return m.Tenants[i].Name })
}

func (v *validator) checkProducts(m *pb.Deployment) {
	if len(m.Products) == 0 {
		v.fail("products", "there must be one at least")
	}
	for i, product := range m.Products {
		v.checkProduct(index("products", i), product)
	}
}

func (v *validator) checkProduct(path string, product *pb.Product) {
	fields := map[string]float64{
		"slo_ms":        float64(product.SloMs),
		"time_limit_ms": float64(product.TimeLimitMs),
		"revenue":       product.Revenue,
	}
	if product.Form == pb.Product_CHAT {
		fields["token_slo_ms"], fields["most_tokens"] = float64(product.TokenSloMs), float64(product.MostTokens)
	}
	v.positive(path, fields)
	v.share(path+".late_share", product.LateShare)
	if product.Effect == pb.Product_EFFECT_UNSPECIFIED {
		v.fail(path+".effect", "must be stated: IDEMPOTENT, DEDUPLICATED or SIDE_EFFECTING")
	}
	if product.Form != pb.Product_CHAT && product.Effect != pb.Product_IDEMPOTENT {
		v.fail(path+".effect", "must be IDEMPOTENT: what is only read may always be read again")
	}
	if (product.Dimensions > 0) != (product.Form == pb.Product_EMBEDDING) || product.Dimensions > maxDimensions {
		v.fail(path+".dimensions", "is for products of form EMBEDDING, and those must have 1 to %d", maxDimensions)
	}
	if product.Intent != pb.Product_WITH_READ && product.Effect == pb.Product_IDEMPOTENT {
		v.fail(path+".intent",
			"is for products that may not simply run again; nothing is written down of an IDEMPOTENT one")
	}
	if product.TimeLimitMs < product.SloMs {
		v.fail(path+".time_limit_ms", "is below slo_ms")
	}
	if (product.WindowMs > 0) != (product.Effect == pb.Product_DEDUPLICATED) {
		v.fail(path+".window_ms", "is for DEDUPLICATED products, and those must have one")
	}
	if product.Group != pb.Product_ALL_HOSTS && product.Effect != pb.Product_DEDUPLICATED {
		v.fail(path+".group", "is for DEDUPLICATED products")
	}
}

func (v *validator) checkKinds(m *pb.Deployment) {
	prefills, decodes := false, false
	for i, kind := range m.Kinds {
		path := index("kinds", i)
		v.positive(path, map[string]float64{"memory_tokens": float64(kind.MemoryTokens)})
		switch kind.Role {
		case pb.Kind_READER:
			prefills = true
		case pb.Kind_WRITER:
			decodes = true
		case pb.Kind_MIXED:
			prefills, decodes = true, true
		case pb.Kind_EMBEDDER: // serves no chat; prefill endpoints can do what it does
		default:
			v.fail(path+".role", "must be stated: READER, WRITER or MIXED")
		}
	}
	if !prefills || !decodes {
		v.fail("kinds", "no kind reads, or none writes")
	}
}

func (v *validator) checkTenants(m *pb.Deployment) {
	digests := map[string]bool{}
	for i, tenant := range m.Tenants {
		path := index("tenants", i)
		if len(tenant.KeySha256) == 0 {
			v.fail(path, "has no key")
		}
		for j, digest := range tenant.KeySha256 {
			field := index(path+".key_sha256", j)
			normal := strings.ToLower(digest)
			// The value stays out of the error: it may be a key.
			if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
				v.fail(field, "must be 64 hexadecimal digits")
			} else if digests[normal] {
				v.fail(field, "the key is given twice")
			}
			digests[normal] = true
		}
		if !(tenant.QuotaPerS >= 0) || math.IsInf(tenant.QuotaPerS, 0) {
			v.fail(path+".quota_per_s", "must not be below 0")
		}
	}
}

func (v *validator) checkRules(m *pb.Deployment) {
	rules := m.Rules
	if rules == nil {
		v.fail("rules", "is missing")
		return
	}
	v.positive("rules", map[string]float64{
		"drain_grace_ms": float64(rules.DrainGraceMs),
		"let_go_ms":      float64(rules.LetGoMs),
		"cold_ms":        float64(rules.ColdMs),
		"cold_from":      rules.ColdFrom,
		"fall_multiple":  rules.FallMultiple,
		"fall_ms":        float64(rules.FallMs),
	})
	v.share("rules.cold_from", rules.ColdFrom)
	v.share("rules.over_share_worth", rules.OverShareWorth)
}

func (v *validator) checkDispatching(m *pb.Deployment) {
	dispatching := m.Dispatching
	if dispatching == nil {
		v.fail("dispatching", "is missing")
		return
	}
	v.positive("dispatching", map[string]float64{
		"dispatchers": float64(dispatching.Dispatchers),
		"connect_ms":  float64(dispatching.ConnectMs),
		"idle_ms":     float64(dispatching.IdleMs),
		"silence_ms":  float64(dispatching.SilenceMs),
		"connections": float64(dispatching.Connections),
		"openings":    float64(dispatching.Openings),
	})
	if dispatching.LegLimit < minMaxAttempts {
		v.fail("dispatching.leg_limit", "must be 2 at least: a read and a write")
	}
}

func (v *validator) checkBatches(m *pb.Deployment) {
	b := m.Batches
	if b == nil {
		return
	}
	if b.BodyMost > maxBatchBytes || b.Window > maxBatchBytes ||
		b.PartInputs > maxPartInputs || b.FixedLimit > maxFixedLimit {
		v.fail("batches", "a bound is beyond what can be kept: "+
			"body_most and window are 1 GiB at most, part_inputs %d, fixed_limit %d", maxPartInputs, maxFixedLimit)
	}
}

func (v *validator) checkDoors(m *pb.Deployment) {
	doors := m.Doors
	if doors == nil {
		v.fail("doors", "is missing")
		return
	}
	v.positive("doors", map[string]float64{
		"open_most":      float64(doors.OpenMost),
		"body_most":      float64(doors.BodyMost),
		"head_most":      float64(doors.HeadMost),
		"message_ms":     float64(doors.MessageMs),
		"stall_ms":       float64(doors.StallMs),
		"unsent_most":    float64(doors.UnsentMost),
		"remember_most":  float64(doors.RememberMost),
		"remember_bytes": float64(doors.RememberBytes),
		"remember_ms":    float64(doors.RememberMs),
	})
}

func (v *validator) checkFleet(message *pb.Deployment) {
	fleet := message.Fleet
	if fleet == nil {
		return
	}
	v.positive("fleet", map[string]float64{
		"cells_per_zone":    float64(fleet.CellsPerZone),
		"cell_tokens_per_s": fleet.CellTokensPerS,
		"link_tokens_per_s": fleet.LinkTokensPerS,
		"far_factor":        fleet.FarFactor,
		"lease_ms":          float64(fleet.LeaseMs),
	})
	kinds := map[string]bool{}
	for _, kind := range message.Kinds {
		kinds[kind.Name] = true
	}
	for i, group := range fleet.Groups {
		path := index("fleet.groups", i)
		if group.Kind == "" || !kinds[group.Kind] {
			v.fail(path+".kind", "there is no kind %q", group.Kind)
		}
		v.positive(path, map[string]float64{
			"hosts_per_zone": float64(group.HostsPerZone),
			"slots":          float64(group.Slots),
			"step_us":        float64(group.StepUs),
		})
	}
}
