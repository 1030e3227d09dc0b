package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	adminTimeout   = 20 * time.Second
	maxAdminAnswer = 16 << 20 // bytes
)

// adminCall is one call of the administration's API.
type adminCall struct {
	method string
	path   string // below /admin/v1/, with its query
	body   any    // sent as JSON; nil for none
	etag   string // the version that the change is based on; empty for any
}

// adminAnswer is what the administration returned for a call that succeeded.
type adminAnswer struct {
	body []byte // a JSON object
	etag string
}

// adminError is what the administration answers a call that fails with.
type adminError struct {
	Error any `json:"error"`
}

// call makes one call.
func (c *tenantCommand) call(ctx context.Context, call adminCall) (*adminAnswer, error) {
	request, err := c.request(ctx, call)
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Timeout: adminTimeout}).Do(request)
	if err != nil {
		return nil, fmt.Errorf("administration: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminAnswer))
	if err != nil {
		return nil, fmt.Errorf("administration: %w", err)
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, fmt.Errorf("administration: status %d, and no JSON", response.StatusCode)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		var failure adminError
		if err := json.Unmarshal(body, &failure); err != nil {
			return nil, fmt.Errorf("administration: status %d: %w", response.StatusCode, err)
		}
		return nil, fmt.Errorf("administration: status %d: %v", response.StatusCode, failure.Error)
	}
	return &adminAnswer{body: body, etag: response.Header.Get("ETag")}, nil
}

func (c *tenantCommand) request(ctx context.Context, call adminCall) (*http.Request, error) {
	var body []byte
	if call.body != nil {
		var err error
		if body, err = json.Marshal(call.body); err != nil {
			return nil, fmt.Errorf("administration: %w", err)
		}
	}
	path := call.path
	if c.DryRun && call.method != http.MethodGet {
		separator := "?"
		if strings.Contains(path, "?") {
			separator = "&"
		}
		path += separator + "dry_run=true"
	}
	address := strings.TrimSuffix(c.Admin, "/") + "/admin/v1/" + path
	request, err := http.NewRequestWithContext(ctx, call.method, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("administration: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if call.etag != "" {
		request.Header.Set("If-Match", call.etag)
	}
	return request, nil
}

// callAndPrint makes a call and prints its answer.
func (c *tenantCommand) callAndPrint(ctx context.Context, env *environment, call adminCall) error {
	answer, err := c.call(ctx, call)
	if err != nil {
		return err
	}
	return answer.print(env)
}

// print prints the answer indented, its fields in the order of their names.
func (a *adminAnswer) print(env *environment) error {
	var document any
	if err := json.Unmarshal(a.body, &document); err != nil {
		return fmt.Errorf("administration: %w", err)
	}
	text, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return fmt.Errorf("administration: %w", err)
	}
	_, err = fmt.Fprintf(env.stdout, "%s\n", text)
	return err
}

// tenantPath returns the path of a tenant, or of something below it.
func tenantPath(name string, rest ...string) string {
	return strings.Join(append([]string{"tenants", url.PathEscape(name)}, rest...), "/")
}
