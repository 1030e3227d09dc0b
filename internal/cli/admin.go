package cli

import (
	"bytes"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"plumspindle/internal/admin"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/sockets"
	"plumspindle/internal/testbed/scenarios"
)

type adminCommand struct {
	Listen    string `default:"127.0.0.1:8070" help:"Address of the administration, loopback only; port 0 picks one. Dispatchers follow it here too."`
	Records   string `required:"" type:"path" help:"Folder that tenants, usage and the log of changes are kept in."`
	Secret    string `required:"" type:"path" help:"File with the secret that keys are sealed with, 32 bytes at least, mode 600; the dispatchers have the same."`
	Staff     string `required:"" type:"existingfile" help:"File with a line for each operator or viewer: role, name, SHA-256 of the key."`
	ReadyFile string `help:"File that is written, as JSON, once it serves."`
}

// Run serves until it is told to end.
func (c *adminCommand) Run(s *surroundings) error {
	secret, err := admin.ReadSecret(c.Secret)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Staff)
	if err != nil {
		return fmt.Errorf("staff: %w", err)
	}
	staff, err := admin.ParseStaff(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", c.Staff, err)
	}
	records, err := admin.OpenStoredRecords(c.Records)
	if err != nil {
		return err
	}
	defer records.Close()
	loop, err := sockets.Start()
	if err != nil {
		return err
	}
	defer loop.Stop()
	ln, err := startAdmin(s, loop, c.Listen, secret, staff, records)
	if err != nil {
		return err
	}
	if err := scenarios.WriteReady(c.ReadyFile, scenarios.Ready{API: "http://" + ln.Addr()}); err != nil {
		return err
	}
	s.log.Info().Str("admin", "http://"+ln.Addr()).Msg("serving")
	<-s.ctx.Done()
	loop.Do(ln.Close)
	return nil
}

func startAdmin(s *surroundings, loop *sockets.Loop, listen string, secret []byte, staff []admin.Staff, records admin.Records) (ln eventloop.Listener, err error) {
	loop.Do(func() {
		var a *admin.Server
		if a, err = admin.Start(loop, admin.Config{Secret: secret, Staff: staff, Records: records, Random: crand.Reader, Log: s.log}); err == nil {
			ln, err = loop.Listen(listen, a.Accept)
		}
	})
	return ln, err
}

// --- The administration's client ---

type tenantCommand struct {
	Admin  string `default:"http://127.0.0.1:8070" env:"PLUMSPINDLE_ADMIN" help:"Address of the administration."`
	Key    string `required:"" env:"PLUMSPINDLE_ADMIN_KEY" help:"An operator's key; better given by the environment than on the command line."`
	DryRun bool   `help:"Say what would be, and change nothing."`

	Add     tenantAdd    `cmd:"" help:"Add a tenant."`
	List    tenantList   `cmd:"" help:"List tenants."`
	Show    tenantShow   `cmd:"" help:"Show one tenant."`
	Limit   tenantLimit  `cmd:"" help:"Change a tenant's limits; those not named stay."`
	Suspend tenantState  `cmd:"" help:"Take nothing new from a tenant."`
	Resume  tenantState  `cmd:"" help:"Take a tenant into service again."`
	Remove  tenantRemove `cmd:"" help:"Remove a tenant."`
	Usage   tenantUsage  `cmd:"" help:"Show what a tenant used, by day and product."`
	KeyAdd  keyAdd       `cmd:"" name:"key-add" help:"Make a key; it is shown this once."`
	KeyEnd  keyEnd       `cmd:"" name:"key-revoke" help:"Revoke a key."`
}

// limitFlags are those of a tenant's limits; a limit that is not named is left as it is.
type limitFlags struct {
	Share         *float64 `help:"Generations a second that come before all others' surplus, over all dispatchers; 0 for no limit."`
	Weight        *float64 `help:"Weight of its turns for what is beyond the shares."`
	PerS          *float64 `name:"per-s" help:"Generations a second, at most; 0 for no limit."`
	TokensPerS    *float64 `name:"tokens-per-s" help:"Tokens a second, prompt and answer, at most; 0 for no limit."`
	BurstS        *float64 `name:"burst-s" help:"Seconds of both that may come at once."`
	Concurrent    *int     `help:"Generations at once, at most; 0 for no limit."`
	LargestPrompt *int     `help:"Tokens of a prompt, at most; 0 for no limit."`
	Waiting       *int     `help:"Generations that may wait for their turn."`
}

func (l limitFlags) over(old map[string]any) map[string]any {
	limits := map[string]any{}
	for k, v := range old {
		limits[k] = v
	}
	set := func(name string, v any, given bool) {
		if given {
			limits[name] = v
		}
	}
	set("share_per_s", l.Share, l.Share != nil)
	set("weight", l.Weight, l.Weight != nil)
	set("per_s", l.PerS, l.PerS != nil)
	set("tokens_per_s", l.TokensPerS, l.TokensPerS != nil)
	set("burst_s", l.BurstS, l.BurstS != nil)
	set("concurrent", l.Concurrent, l.Concurrent != nil)
	set("largest_prompt", l.LargestPrompt, l.LargestPrompt != nil)
	set("waiting", l.Waiting, l.Waiting != nil)
	return limits
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
	tenantState struct {
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
		Expires time.Duration `help:"How long it is worth anything; 0 for ever."`
	}
	keyEnd struct {
		Name  string        `arg:"" help:"The tenant."`
		ID    string        `arg:"" help:"The key's id."`
		After time.Duration `help:"How long it still works, so that a new one can overlap with it."`
	}
)

// ask makes one call and prints its answer.
func (c *tenantCommand) ask(s *surroundings, method, path string, body any, etag string) (map[string]any, string, error) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return nil, "", err
		}
	}
	if c.DryRun && method != "GET" {
		if strings.Contains(path, "?") {
			path += "&dry_run=true"
		} else {
			path += "?dry_run=true"
		}
	}
	req, err := http.NewRequestWithContext(s.ctx, method, strings.TrimSuffix(c.Admin, "/")+"/admin/v1/"+path, bytes.NewReader(b))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if etag != "" {
		req.Header.Set("If-Match", etag)
	}
	res, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
	if err != nil {
		return nil, "", fmt.Errorf("administration: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 16<<20))
	if err != nil {
		return nil, "", err
	}
	got := map[string]any{}
	if err := json.Unmarshal(text, &got); err != nil {
		return nil, "", fmt.Errorf("administration: status %d, and no JSON", res.StatusCode)
	}
	if res.StatusCode >= 300 {
		return nil, "", fmt.Errorf("administration: status %d: %v", res.StatusCode, got["error"])
	}
	return got, res.Header.Get("ETag"), nil
}

func (c *tenantCommand) say(s *surroundings, method, path string, body any) error {
	got, _, err := c.ask(s, method, path, body, "")
	if err != nil {
		return err
	}
	b, err := json.MarshalIndent(got, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s\n", b)
	return err
}

func tenantPath(name string, rest ...string) string {
	return strings.Join(append([]string{"tenants", url.PathEscape(name)}, rest...), "/")
}

// Run of each says it over the API.
func (c *tenantAdd) Run(s *surroundings, t *tenantCommand) error {
	return t.say(s, "POST", "tenants", map[string]any{"name": c.Name, "limits": c.over(nil)})
}

func (c *tenantList) Run(s *surroundings, t *tenantCommand) error {
	for after := ""; ; {
		got, _, err := t.ask(s, "GET", "tenants?after="+url.QueryEscape(after), nil, "")
		if err != nil {
			return err
		}
		list, _ := got["tenants"].([]any)
		for _, one := range list {
			m, _ := one.(map[string]any)
			limits, _ := json.Marshal(m["limits"])
			fmt.Fprintf(s.out, "%-32v %-10v %s\n", m["name"], m["state"], limits)
		}
		if after, _ = got["next_after"].(string); after == "" {
			return nil
		}
	}
}

func (c *tenantShow) Run(s *surroundings, t *tenantCommand) error {
	return t.say(s, "GET", tenantPath(c.Name), nil)
}

func (c *tenantLimit) Run(s *surroundings, t *tenantCommand) error {
	got, etag, err := t.ask(s, "GET", tenantPath(c.Name), nil, "")
	if err != nil {
		return err
	}
	old, _ := got["limits"].(map[string]any)
	got, _, err = t.ask(s, "PATCH", tenantPath(c.Name), map[string]any{"limits": c.over(old)}, etag)
	if err != nil {
		return err
	}
	b, _ := json.MarshalIndent(got, "", "  ")
	_, err = fmt.Fprintf(s.out, "%s\n", b)
	return err
}

func (c *tenantState) Run(s *surroundings, t *tenantCommand, k kongPath) error {
	return t.say(s, "POST", tenantPath(c.Name, string(k)), nil)
}

func (c *tenantRemove) Run(s *surroundings, t *tenantCommand) error {
	return t.say(s, "DELETE", tenantPath(c.Name)+"?policy="+c.Policy, nil)
}

func (c *tenantUsage) Run(s *surroundings, t *tenantCommand) error {
	return t.say(s, "GET", tenantPath(c.Name, "usage"), nil)
}

func (c *keyAdd) Run(s *surroundings, t *tenantCommand) error {
	body := map[string]any{"label": c.Label, "scopes": c.Scopes}
	if c.Expires > 0 {
		body["expires_s"] = time.Now().Add(c.Expires).Unix()
	}
	return t.say(s, "POST", tenantPath(c.Name, "keys"), body)
}

func (c *keyEnd) Run(s *surroundings, t *tenantCommand) error {
	path := tenantPath(c.Name, "keys", url.PathEscape(c.ID))
	if c.After > 0 {
		path += fmt.Sprintf("?at_s=%d", time.Now().Add(c.After).Unix())
	}
	return t.say(s, "DELETE", path, nil)
}

// kongPath is which of the commands that share a type was called.
type kongPath string
