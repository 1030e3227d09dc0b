package tenancy

const (
	maxNameLength = 63
	maxLimit      = 1e9
)

func checkName(name string) error {
	if len(name) < 1 || len(name) > maxNameLength {
		return invalid(CodeInvalidName, "name", "a name has 1 to %d characters", maxNameLength)
	}
	for _, c := range name {
		letter, digit := c >= 'a' && c <= 'z', c >= '0' && c <= '9'
		if !letter && !digit && c != '-' {
			return invalid(CodeInvalidName, "name", "a name has small letters, digits and hyphens, not %q", c)
		}
	}
	return nil
}

// checkLimits checks the limits of a tenant, if there are any, and of its products.
func checkLimits(limits *Limits, products map[string]Limits) error {
	if limits != nil {
		if err := limits.check("limits"); err != nil {
			return err
		}
	}
	for product, productLimits := range products {
		if err := productLimits.check("products." + product); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for the first limit that is out of range. field is the name of the request's field that
// contains the limits. The error names the limit as a member of that field.
func (l Limits) check(field string) error {
	for _, limit := range []struct {
		name  string
		value float64
	}{
		{"share_per_s", l.QuotaPerS},
		{"weight", l.Weight},
		{"per_s", l.RequestsPerS},
		{"tokens_per_s", l.TokensPerS},
		{"burst_s", l.BurstS},
		{"concurrent", float64(l.MaxConcurrent)},
		{"largest_prompt", float64(l.MaxPromptTokens)},
		{"waiting", float64(l.MaxQueued)},
	} {
		inRange := limit.value >= 0 && limit.value <= maxLimit // false for NaN
		if !inRange {
			return invalid(CodeInvalidLimit, field+"."+limit.name, "must be from 0 to 1000000000")
		}
	}
	return nil
}
