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
	adminTimeout          = 20 * time.Second
	maxAdminResponseBytes = 16 << 20
)

// adminCall describes one call of the admin API.
type adminCall struct {
	method string
	path   string // below /admin/v1/, with its query
	body   any    // sent as JSON; nil sends no body
	etag   string // the version that a change requires, sent as If-Match; empty for any version
}

// adminResponse is the response of the admin service to a call that succeeded.
type adminResponse struct {
	body []byte // a JSON object
	etag string
}

// adminErrorBody is the body of the response to a call that failed.
type adminErrorBody struct {
	Error any `json:"error"`
}

// call makes one call of the admin API. A status of 300 or above, or a body that is not a JSON object, is an error.
func (c *tenantCommand) call(ctx context.Context, call adminCall) (*adminResponse, error) {
	request, err := c.request(ctx, call)
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Timeout: adminTimeout}).Do(request)
	if err != nil {
		return nil, fmt.Errorf("admin API: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdminResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("admin API: %w", err)
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, fmt.Errorf("admin API: status %d, and the body is not a JSON object", response.StatusCode)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		var failure adminErrorBody
		if err := json.Unmarshal(body, &failure); err != nil {
			return nil, fmt.Errorf("admin API: status %d: %w", response.StatusCode, err)
		}
		return nil, fmt.Errorf("admin API: status %d: %v", response.StatusCode, failure.Error)
	}
	return &adminResponse{body: body, etag: response.Header.Get("ETag")}, nil
}

// request builds the HTTP request of a call. With --dry-run it marks each call that would change something as a dry
// run.
func (c *tenantCommand) request(ctx context.Context, call adminCall) (*http.Request, error) {
	var body []byte
	if call.body != nil {
		var err error
		if body, err = json.Marshal(call.body); err != nil {
			return nil, fmt.Errorf("admin API: %w", err)
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
		return nil, fmt.Errorf("admin API: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if call.etag != "" {
		request.Header.Set("If-Match", call.etag)
	}
	return request, nil
}

// callAndPrint makes a call and prints the response.
func (c *tenantCommand) callAndPrint(ctx context.Context, env *environment, call adminCall) error {
	response, err := c.call(ctx, call)
	if err != nil {
		return err
	}
	return response.print(env)
}

// print prints the response as indented JSON with the fields sorted by name.
func (r *adminResponse) print(env *environment) error {
	var document any
	if err := json.Unmarshal(r.body, &document); err != nil {
		return fmt.Errorf("admin API: %w", err)
	}
	text, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return fmt.Errorf("admin API: %w", err)
	}
	_, err = fmt.Fprintf(env.stdout, "%s\n", text)
	return err
}

// tenantPath returns the API path of a tenant, or of the resource below it that rest names.
func tenantPath(name string, rest ...string) string {
	return strings.Join(append([]string{"tenants", url.PathEscape(name)}, rest...), "/")
}
