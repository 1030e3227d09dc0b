package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"

	"plumspindle/internal/deployment/pb"
)

// maxNames is the largest number of zones, of kinds and of products, as the scheduler identifies each by one byte.
const maxNames = 250

// Bounds for the values of settings.
const (
	maxBatchBytes  = 1 << 30
	maxPartInputs  = 4096
	maxFixedLimit  = 1 << 20
	maxDimensions  = 16384
	minMaxAttempts = 2 // one for the prefill and one for the decode
)

// deploymentChecks are the checks of the sections of a deployment, in the order in which their errors are reported.
var deploymentChecks = []func(*validator, *pb.Deployment){
	(*validator).checkNames,
	(*validator).checkProducts,
	(*validator).checkKinds,
	(*validator).checkTenants,
	(*validator).checkRules,
	(*validator).checkDispatching,
	(*validator).checkBatches,
	(*validator).checkClientLimits,
	(*validator).checkFleet,
}

// checkDeployment runs all checks of a deployment. They compare its values with each other and with what the program
// can serve.
func (v *validator) checkDeployment(m *pb.Deployment) {
	for _, check := range deploymentChecks {
		check(v, m)
	}
}

func (v *validator) checkNames(m *pb.Deployment) {
	if len(m.Zones) == 0 {
		v.fail("zones", "there must be at least one")
	}
	if len(m.Zones) > maxNames || len(m.Kinds) > maxNames || len(m.Products) > maxNames {
		v.fail("zones", "there may be at most %d zones, kinds or products", maxNames)
	}
	v.checkNamesUnique("zones", len(m.Zones), func(i int) string { return m.Zones[i] })
	v.checkNamesUnique("products", len(m.Products), func(i int) string { return m.Products[i].Name })
	v.checkNamesUnique("kinds", len(m.Kinds), func(i int) string { return m.Kinds[i].Name })
	v.checkNamesUnique("tenants", len(m.Tenants), func(i int) string { return m.Tenants[i].Name })
}

func (v *validator) checkProducts(m *pb.Deployment) {
	if len(m.Products) == 0 {
		v.fail("products", "there must be at least one")
	}
	for i, product := range m.Products {
		v.checkProduct(elementPath("products", i), product)
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
	v.checkPositive(path, fields)
	v.checkShare(path+".late_share", product.LateShare)
	if product.Effect == pb.Product_EFFECT_UNSPECIFIED {
		v.fail(path+".effect", "must be set to IDEMPOTENT, DEDUPLICATED or SIDE_EFFECTING")
	}
	if product.Form != pb.Product_CHAT && product.Effect != pb.Product_IDEMPOTENT {
		v.fail(path+".effect", "must be IDEMPOTENT unless form is CHAT: requests of other forms can always be repeated")
	}
	if (product.Dimensions > 0) != (product.Form == pb.Product_EMBEDDING) || product.Dimensions > maxDimensions {
		v.fail(path+".dimensions", "must be 1 to %d for form EMBEDDING, and 0 for other forms", maxDimensions)
	}
	if product.Intent != pb.Product_WITH_READ && product.Effect == pb.Product_IDEMPOTENT {
		v.fail(path+".intent",
			"must not be set for IDEMPOTENT products: their requests can be repeated, so no intent is recorded")
	}
	if product.TimeLimitMs < product.SloMs {
		v.fail(path+".time_limit_ms", "must not be below slo_ms")
	}
	if (product.WindowMs > 0) != (product.Effect == pb.Product_DEDUPLICATED) {
		v.fail(path+".window_ms", "must be above 0 for DEDUPLICATED products, and 0 for other products")
	}
	if product.Group != pb.Product_ALL_HOSTS && product.Effect != pb.Product_DEDUPLICATED {
		v.fail(path+".group", "must not be set except for DEDUPLICATED products")
	}
}

func (v *validator) checkKinds(m *pb.Deployment) {
	prefills, decodes := false, false
	for i, kind := range m.Kinds {
		path := elementPath("kinds", i)
		v.checkPositive(path, map[string]float64{"memory_tokens": float64(kind.MemoryTokens)})
		switch kind.Role {
		case pb.Kind_READER:
			prefills = true
		case pb.Kind_WRITER:
			decodes = true
		case pb.Kind_MIXED:
			prefills, decodes = true, true
		case pb.Kind_EMBEDDER: // serves no chat; it is optional, as prefill endpoints can serve the same requests
		default:
			v.fail(path+".role", "must be set to READER, WRITER, MIXED or EMBEDDER")
		}
	}
	if !prefills || !decodes {
		v.fail("kinds", "must include a kind that can prefill and one that can decode")
	}
}

func (v *validator) checkTenants(m *pb.Deployment) {
	digests := map[string]bool{}
	for i, tenant := range m.Tenants {
		path := elementPath("tenants", i)
		if len(tenant.KeySha256) == 0 {
			v.fail(path, "must have at least one key_sha256")
		}
		for j, digest := range tenant.KeySha256 {
			field := elementPath(path+".key_sha256", j)
			normal := strings.ToLower(digest)
			// The error does not contain the value, as that could be a key in plain text.
			if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
				v.fail(field, "must be 64 hexadecimal digits")
			} else if digests[normal] {
				v.fail(field, "duplicate key")
			}
			digests[normal] = true
		}
		if !(tenant.QuotaPerS >= 0) || math.IsInf(tenant.QuotaPerS, 0) {
			v.fail(path+".quota_per_s", "must be finite and not below 0")
		}
	}
}

func (v *validator) checkRules(m *pb.Deployment) {
	rules := m.Rules
	if rules == nil {
		v.fail("rules", "is missing")
		return
	}
	v.checkPositive("rules", map[string]float64{
		"drain_grace_ms": float64(rules.DrainGraceMs),
		"let_go_ms":      float64(rules.LetGoMs),
		"cold_ms":        float64(rules.ColdMs),
		"cold_from":      rules.ColdFrom,
		"fall_multiple":  rules.FallMultiple,
		"fall_ms":        float64(rules.FallMs),
	})
	v.checkShare("rules.cold_from", rules.ColdFrom)
	v.checkShare("rules.over_share_worth", rules.OverShareWorth)
}

func (v *validator) checkDispatching(m *pb.Deployment) {
	dispatching := m.Dispatching
	if dispatching == nil {
		v.fail("dispatching", "is missing")
		return
	}
	v.checkPositive("dispatching", map[string]float64{
		"dispatchers": float64(dispatching.Dispatchers),
		"connect_ms":  float64(dispatching.ConnectMs),
		"idle_ms":     float64(dispatching.IdleMs),
		"silence_ms":  float64(dispatching.SilenceMs),
		"connections": float64(dispatching.Connections),
		"openings":    float64(dispatching.Openings),
	})
	if dispatching.LegLimit < minMaxAttempts {
		v.fail("dispatching.leg_limit", "must be at least 2: one attempt for the prefill and one for the decode")
	}
}

func (v *validator) checkBatches(m *pb.Deployment) {
	b := m.Batches
	if b == nil {
		return
	}
	if b.BodyMost > maxBatchBytes || b.Window > maxBatchBytes ||
		b.PartInputs > maxPartInputs || b.FixedLimit > maxFixedLimit {
		v.fail("batches", "a limit is too large: body_most and window may be at most 1 GiB, "+
			"part_inputs at most %d, fixed_limit at most %d", maxPartInputs, maxFixedLimit)
	}
}

// checkClientLimits checks the section "doors", which limits what clients may do.
func (v *validator) checkClientLimits(m *pb.Deployment) {
	limits := m.Doors
	if limits == nil {
		v.fail("doors", "is missing")
		return
	}
	v.checkPositive("doors", map[string]float64{
		"open_most":      float64(limits.OpenMost),
		"body_most":      float64(limits.BodyMost),
		"head_most":      float64(limits.HeadMost),
		"message_ms":     float64(limits.MessageMs),
		"stall_ms":       float64(limits.StallMs),
		"unsent_most":    float64(limits.UnsentMost),
		"remember_most":  float64(limits.RememberMost),
		"remember_bytes": float64(limits.RememberBytes),
		"remember_ms":    float64(limits.RememberMs),
	})
}

func (v *validator) checkFleet(message *pb.Deployment) {
	fleet := message.Fleet
	if fleet == nil {
		return
	}
	v.checkPositive("fleet", map[string]float64{
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
		path := elementPath("fleet.groups", i)
		if group.Kind == "" || !kinds[group.Kind] {
			v.fail(path+".kind", "unknown kind %q", group.Kind)
		}
		v.checkPositive(path, map[string]float64{
			"hosts_per_zone": float64(group.HostsPerZone),
			"slots":          float64(group.Slots),
			"step_us":        float64(group.StepUs),
		})
	}
}
