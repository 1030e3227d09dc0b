package deployment

import (
	"plumspindle/internal/deployment/pb"
	"plumspindle/scheduler"
)

// UnlimitedQuota is the quota, in requests per second, of a tenant without one. It is finite because infinity
// multiplied by a duration of 0 is NaN.
const UnlimitedQuota = 1e9

// tickInterval is the scheduler's Config.TickInterval. The scheduler answers a request at the latest two tick intervals
// before the request's deadline.
const tickInterval = 4 * millisecond

const millisecond scheduler.Micros = 1000

var roles = map[pb.Kind_Role]scheduler.Role{
	pb.Kind_READER:   scheduler.Prefill,
	pb.Kind_WRITER:   scheduler.Decode,
	pb.Kind_MIXED:    scheduler.Mixed,
	pb.Kind_EMBEDDER: scheduler.Embedder,
}

var effects = map[pb.Product_Effect]scheduler.Effect{
	pb.Product_IDEMPOTENT:     scheduler.Idempotent,
	pb.Product_DEDUPLICATED:   scheduler.Deduplicated,
	pb.Product_SIDE_EFFECTING: scheduler.NonIdempotent,
}

var groups = map[pb.Product_Group]scheduler.Group{
	pb.Product_ALL_HOSTS: scheduler.AllEndpoints,
	pb.Product_SAME_ZONE: scheduler.SameZone,
	pb.Product_SAME_CELL: scheduler.SameCell,
}

func micros(ms uint32) scheduler.Micros { return scheduler.Micros(ms) * millisecond }

// SchedulerConfig returns the scheduler's configuration for the deployment.
func (d Deployment) SchedulerConfig() scheduler.Config {
	config := scheduler.Config{
		Dispatchers:     int(d.Dispatching.Dispatchers),
		OverQuotaWeight: d.Rules.OverShareWorth,
		DecodePrefills:  d.Dispatching.WritersRead,
		MaxAttempts:     int(d.Dispatching.LegLimit),
		CancelAllowed:   d.Dispatching.MayCancel,
		MaxRetryAfter:   micros(d.Dispatching.MaxComeBackMs),
		TickInterval:    tickInterval,
		IdleTimeout:     micros(d.Dispatching.IdleMs),
		ConnectTimeout:  micros(d.Dispatching.ConnectMs),
		WarmUp:          micros(d.Rules.ColdMs),
		SlowStartFactor: d.Rules.ColdFrom,
		OverloadWindow:  micros(d.Rules.FallMs),
		OverloadFactor:  d.Rules.FallMultiple,
	}
	for _, product := range d.Products {
		config.Classes = append(config.Classes, schedulerClass(product))
	}
	for _, kind := range d.Kinds {
		config.Kinds = append(config.Kinds, scheduler.Kind{Role: roles[kind.Role], Memory: float64(kind.MemoryTokens)})
	}
	for _, tenant := range d.Tenants {
		quota := tenant.QuotaPerS
		if quota == 0 {
			quota = UnlimitedQuota
		}
		config.Quotas = append(config.Quotas, quota)
	}
	return config
}

func schedulerClass(p *pb.Product) scheduler.Class {
	return scheduler.Class{
		SLO:              micros(p.SloMs),
		SLOPer1000Tokens: micros(p.SloMsPer_1000Tokens),
		TokenSLO:         micros(p.TokenSloMs),
		DedupWindow:      micros(p.WindowMs),
		Revenue:          p.Revenue,
		LateRevenueShare: p.LateShare,
		Effect:           effects[p.Effect],
		Group:            groups[p.Group],
		PrefillOnly:      p.Form != pb.Product_CHAT,
	}
}
