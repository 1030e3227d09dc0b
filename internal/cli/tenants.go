package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

type tenantCommand struct {
	Admin  string `default:"http://127.0.0.1:8070" env:"PLUMSPINDLE_ADMIN" help:"Address of the administration."`
	Key    string `required:"" env:"PLUMSPINDLE_ADMIN_KEY" help:"An operator's key; better given by the environment than on the command line."`
	DryRun bool   `help:"Say what would be, and change nothing."`

	Add     tenantAdd     `cmd:"" help:"Add a tenant."`
	List    tenantList    `cmd:"" help:"List tenants."`
	Show    tenantShow    `cmd:"" help:"Show one tenant."`
	Limit   tenantLimit   `cmd:"" help:"Change a tenant's limits; those not named stay."`
	Suspend tenantSuspend `cmd:"" help:"Admit nothing new from a tenant."`
	Resume  tenantResume  `cmd:"" help:"Admit a tenant again."`
	Remove  tenantRemove  `cmd:"" help:"Remove a tenant."`
	Usage   tenantUsage   `cmd:"" help:"Show what a tenant used, by day and product."`
	KeyAdd  keyAdd        `cmd:"" name:"key-add" help:"Make a key; it is shown this once."`
	KeyEnd  keyRevoke     `cmd:"" name:"key-revoke" help:"Revoke a key."`
}

// limitFlags are those of a tenant's limits; a limit that is not named is left as it is.
type limitFlags struct {
	Share         *float64 `help:"Requests a second that come before all others' surplus, over all dispatchers; 0 for no limit."`
	Weight        *float64 `help:"Weight of its turns for what is beyond the shares."`
	PerS          *float64 `name:"per-s" help:"Requests a second, at most; 0 for no limit."`
	TokensPerS    *float64 `name:"tokens-per-s" help:"Tokens a second, prompt and answer, at most; 0 for no limit."`
	BurstS        *float64 `name:"burst-s" help:"Seconds of both that may come at once."`
	Concurrent    *int     `help:"Requests at once, at most; 0 for no limit."`
	LargestPrompt *int     `help:"Tokens of a prompt, at most; 0 for no limit."`
	Waiting       *int     `help:"Requests that may be queued."`
}

// tenantLimits are the limits of a tenant as the administration's API has them; nil: not set.
type tenantLimits struct {
	BurstS        *float64 `json:"burst_s,omitempty"`
	Concurrent    *int     `json:"concurrent,omitempty"`
	LargestPrompt *int     `json:"largest_prompt,omitempty"`
	PerS          *float64 `json:"per_s,omitempty"`
	SharePerS     *float64 `json:"share_per_s,omitempty"`
	TokensPerS    *float64 `json:"tokens_per_s,omitempty"`
	Waiting       *int     `json:"waiting,omitempty"`
	Weight        *float64 `json:"weight,omitempty"`
}

// override returns the limits with those replaced that the flags name.
func (f limitFlags) override(limits tenantLimits) tenantLimits {
	overrideOne(&limits.BurstS, f.BurstS)
	overrideOne(&limits.Concurrent, f.Concurrent)
	overrideOne(&limits.LargestPrompt, f.LargestPrompt)
	overrideOne(&limits.PerS, f.PerS)
	overrideOne(&limits.SharePerS, f.Share)
	overrideOne(&limits.TokensPerS, f.TokensPerS)
	overrideOne(&limits.Waiting, f.Waiting)
	overrideOne(&limits.Weight, f.Weight)
	return limits
}

func overrideOne[T any](limit **T, given *T) {
	if given != nil {
		*limit = given
	}
}

type (
	tenantAdd struct {
		Name string `arg:"" help:"Small letters, digits and hyphens."`
		limitFlags
	}
	tenantList struct{}
	tenantShow struct {
		Name string `arg:""`
	}
	tenantLimit struct {
		Name string `arg:""`
		limitFlags
	}
	tenantSuspend struct {
		Name string `arg:""`
	}
	tenantResume struct {
		Name string `arg:""`
	}
	tenantRemove struct {
		Name   string `arg:""`
		Policy string `enum:"finish,stop" default:"finish" help:"finish: what runs goes on to its end. stop: it is given its final answer now."`
	}
	tenantUsage struct {
		Name string `arg:""`
	}
	keyAdd struct {
		Name    string        `arg:"" help:"The tenant."`
		Label   string        `help:"What the key is for."`
		Scopes  []string      `default:"chat" help:"chat, admin, or both."`
		Expires time.Duration `help:"How long it is valid; 0 for ever."`
	}
	keyRevoke struct {
		Name  string        `arg:"" help:"The tenant."`
		ID    string        `arg:"" help:"The key's id."`
		After time.Duration `help:"How long it still works, so that a new one can overlap with it."`
	}
)

// Bodies of the administration's API, their fields in the order of their names.
type (
	tenantCreation struct {
		Limits tenantLimits `json:"limits"`
		Name   string       `json:"name"`
	}
	tenantChange struct {
		Limits tenantLimits `json:"limits"`
	}
	keyCreation struct {
		ExpiresS int64    `json:"expires_s,omitempty"`
		Label    string   `json:"label"`
		Scopes   []string `json:"scopes"`
	}
	tenantPage struct {
		Tenants []struct {
			Name   string       `json:"name"`
			State  string       `json:"state"`
			Limits tenantLimits `json:"limits"`
		} `json:"tenants"`
		NextAfter string `json:"next_after"`
	}
)

// Run adds a tenant.
func (c *tenantAdd) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	body := tenantCreation{Name: c.Name, Limits: c.override(tenantLimits{})}
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPost, path: "tenants", body: body})
}

// Run prints a line for each tenant.
func (c *tenantList) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	for after := ""; ; {
		answer, err := t.call(ctx, adminCall{method: http.MethodGet, path: "tenants?after=" + url.QueryEscape(after)})
		if err != nil {
			return err
		}
		var page tenantPage
		if err := json.Unmarshal(answer.body, &page); err != nil {
			return fmt.Errorf("administration: list of tenants: %w", err)
		}
		for _, tenant := range page.Tenants {
			limits, err := json.Marshal(tenant.Limits)
			if err != nil {
				return fmt.Errorf("limits of %s: %w", tenant.Name, err)
			}
			env.printf("%-32v %-10v %s\n", tenant.Name, tenant.State, limits)
		}
		if after = page.NextAfter; after == "" {
			return nil
		}
	}
}

// Run prints a tenant.
func (c *tenantShow) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodGet, path: tenantPath(c.Name)})
}

// Run changes the limits that are named; the change fails if the tenant was changed meanwhile.
func (c *tenantLimit) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	answer, err := t.call(ctx, adminCall{method: http.MethodGet, path: tenantPath(c.Name)})
	if err != nil {
		return err
	}
	var current tenantChange
	if err := json.Unmarshal(answer.body, &current); err != nil {
		return fmt.Errorf("administration: limits of %s: %w", c.Name, err)
	}
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPatch, path: tenantPath(c.Name),
		body: tenantChange{Limits: c.override(current.Limits)}, etag: answer.etag})
}

// Run suspends a tenant.
func (c *tenantSuspend) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPost, path: tenantPath(c.Name, "suspend")})
}

// Run ends a suspension.
func (c *tenantResume) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPost, path: tenantPath(c.Name, "resume")})
}

// Run removes a tenant.
func (c *tenantRemove) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	path := tenantPath(c.Name) + "?policy=" + c.Policy
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodDelete, path: path})
}

// Run prints what a tenant used.
func (c *tenantUsage) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodGet, path: tenantPath(c.Name, "usage")})
}

// Run makes a key.
func (c *keyAdd) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	body := keyCreation{Label: c.Label, Scopes: c.Scopes}
	if c.Expires > 0 {
		body.ExpiresS = time.Now().Add(c.Expires).Unix()
	}
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPost, path: tenantPath(c.Name, "keys"), body: body})
}

// Run revokes a key, at once or later.
func (c *keyRevoke) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	path := tenantPath(c.Name, "keys", url.PathEscape(c.ID))
	if c.After > 0 {
		path += fmt.Sprintf("?at_s=%d", time.Now().Add(c.After).Unix())
	}
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodDelete, path: path})
}
