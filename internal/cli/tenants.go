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
	Admin  string `default:"http://127.0.0.1:8070" env:"PLUMSPINDLE_ADMIN" help:"Address of the admin service."`
	Key    string `required:"" env:"PLUMSPINDLE_ADMIN_KEY" help:"An operator's key; prefer the environment variable to the command line."`
	DryRun bool   `help:"Print the result of a change without making it."`

	Add       tenantAdd     `cmd:"" help:"Add a tenant."`
	List      tenantList    `cmd:"" help:"List tenants."`
	Show      tenantShow    `cmd:"" help:"Show one tenant."`
	Limit     tenantLimit   `cmd:"" help:"Change a tenant's limits; limits without a flag stay as they are."`
	Suspend   tenantSuspend `cmd:"" help:"Reject new requests of a tenant."`
	Resume    tenantResume  `cmd:"" help:"End the suspension of a tenant."`
	Remove    tenantRemove  `cmd:"" help:"Remove a tenant."`
	Usage     tenantUsage   `cmd:"" help:"Show the usage of a tenant by day and product."`
	KeyAdd    keyAdd        `cmd:"" name:"key-add" help:"Create a key and print it; it can't be shown again."`
	KeyRevoke keyRevoke     `cmd:"" name:"key-revoke" help:"Revoke a key."`
}

// limitFlags holds the flags that set a tenant's limits. A nil flag leaves its limit as it is.
type limitFlags struct {
	Share             *float64 `help:"Requests a second, over all dispatchers, that have priority over the surplus of all tenants; 0 for no limit."`
	Weight            *float64 `help:"Weight of the tenant in the distribution of the capacity beyond the shares."`
	RequestsPerSecond *float64 `name:"per-s" help:"Maximum requests a second; 0 for no limit."`
	TokensPerSecond   *float64 `name:"tokens-per-s" help:"Maximum tokens a second, prompt and answer together; 0 for no limit."`
	BurstSeconds      *float64 `name:"burst-s" help:"Burst size of both rate limits, in seconds at the rate."`
	Concurrent        *int     `help:"Maximum requests in flight; 0 for no limit."`
	LargestPrompt     *int     `help:"Maximum tokens of a prompt; 0 for no limit."`
	Waiting           *int     `help:"Maximum queued requests."`
}

// tenantLimits are a tenant's limits in the JSON of the admin API. A nil limit is not set.
type tenantLimits struct {
	BurstSeconds      *float64 `json:"burst_s,omitempty"`
	Concurrent        *int     `json:"concurrent,omitempty"`
	LargestPrompt     *int     `json:"largest_prompt,omitempty"`
	RequestsPerSecond *float64 `json:"per_s,omitempty"`
	SharePerSecond    *float64 `json:"share_per_s,omitempty"`
	TokensPerSecond   *float64 `json:"tokens_per_s,omitempty"`
	Waiting           *int     `json:"waiting,omitempty"`
	Weight            *float64 `json:"weight,omitempty"`
}

// override returns the limits after replacing those whose flags are set.
func (f limitFlags) override(limits tenantLimits) tenantLimits {
	overrideIfSet(&limits.BurstSeconds, f.BurstSeconds)
	overrideIfSet(&limits.Concurrent, f.Concurrent)
	overrideIfSet(&limits.LargestPrompt, f.LargestPrompt)
	overrideIfSet(&limits.RequestsPerSecond, f.RequestsPerSecond)
	overrideIfSet(&limits.SharePerSecond, f.Share)
	overrideIfSet(&limits.TokensPerSecond, f.TokensPerSecond)
	overrideIfSet(&limits.Waiting, f.Waiting)
	overrideIfSet(&limits.Weight, f.Weight)
	return limits
}

func overrideIfSet[T any](limit **T, given *T) {
	if given != nil {
		*limit = given
	}
}

type (
	tenantAdd struct {
		Name string `arg:"" help:"Name of the tenant: lower-case letters, digits and hyphens."`
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
		Policy string `enum:"finish,stop" default:"finish" help:"finish: requests in flight continue to their end. stop: requests in flight end now with a final answer."`
	}
	tenantUsage struct {
		Name string `arg:""`
	}
	keyAdd struct {
		Name    string        `arg:"" help:"The tenant."`
		Label   string        `help:"Description of the key's purpose."`
		Scopes  []string      `default:"chat" help:"chat, admin, or both."`
		Expires time.Duration `help:"How long the key is valid; 0 for no expiry."`
	}
	keyRevoke struct {
		Name  string        `arg:"" help:"The tenant."`
		ID    string        `arg:"" help:"ID of the key."`
		After time.Duration `help:"How long the key still works, so that clients have time to change to a new one."`
	}
)

// Request and response bodies of the admin API. The fields of request bodies are in alphabetical order.
type (
	tenantCreation struct {
		Limits tenantLimits `json:"limits"`
		Name   string       `json:"name"`
	}
	tenantChange struct {
		Limits tenantLimits `json:"limits"`
	}
	keyCreation struct {
		ExpiresAtSeconds int64    `json:"expires_s,omitempty"`
		Label            string   `json:"label"`
		Scopes           []string `json:"scopes"`
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

// Run prints one line for each tenant, and fetches the list page by page.
func (c *tenantList) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	for after := ""; ; {
		response, err := t.call(ctx, adminCall{method: http.MethodGet, path: "tenants?after=" + url.QueryEscape(after)})
		if err != nil {
			return err
		}
		var page tenantPage
		if err := json.Unmarshal(response.body, &page); err != nil {
			return fmt.Errorf("admin API: list of tenants: %w", err)
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

// Run changes the limits whose flags are set. The change fails if the tenant was changed after its limits were read.
func (c *tenantLimit) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	response, err := t.call(ctx, adminCall{method: http.MethodGet, path: tenantPath(c.Name)})
	if err != nil {
		return err
	}
	var current tenantChange
	if err := json.Unmarshal(response.body, &current); err != nil {
		return fmt.Errorf("admin API: limits of %s: %w", c.Name, err)
	}
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPatch, path: tenantPath(c.Name),
		body: tenantChange{Limits: c.override(current.Limits)}, etag: response.etag})
}

// Run suspends a tenant.
func (c *tenantSuspend) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPost, path: tenantPath(c.Name, "suspend")})
}

// Run ends the suspension of a tenant.
func (c *tenantResume) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPost, path: tenantPath(c.Name, "resume")})
}

// Run removes a tenant.
func (c *tenantRemove) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	path := tenantPath(c.Name) + "?policy=" + c.Policy
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodDelete, path: path})
}

// Run prints the usage of a tenant.
func (c *tenantUsage) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodGet, path: tenantPath(c.Name, "usage")})
}

// Run creates a key and prints it.
func (c *keyAdd) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	body := keyCreation{Label: c.Label, Scopes: c.Scopes}
	if c.Expires > 0 {
		body.ExpiresAtSeconds = time.Now().Add(c.Expires).Unix()
	}
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodPost, path: tenantPath(c.Name, "keys"), body: body})
}

// Run revokes a key, at once or after the given time.
func (c *keyRevoke) Run(ctx context.Context, env *environment, t *tenantCommand) error {
	path := tenantPath(c.Name, "keys", url.PathEscape(c.ID))
	if c.After > 0 {
		path += fmt.Sprintf("?at_s=%d", time.Now().Add(c.After).Unix())
	}
	return t.callAndPrint(ctx, env, adminCall{method: http.MethodDelete, path: path})
}
