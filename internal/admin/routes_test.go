package admin

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/tenancy"
)

// The OpenAPI document describes each limit, and each route except metrics. It describes no route that does not exist.
func TestOpenAPIDescribesRoutes(t *testing.T) {
	e := newEnvironment(t, 1)
	e.addTenant("a", `{}`)
	document := e.must(200, "GET", "openapi.json", "")
	described := 0
	document.Get("paths").ForEach(func(path, operations gjson.Result) bool {
		operations.ForEach(func(method, _ gjson.Result) bool {
			described++
			target := strings.NewReplacer("{name}", "a", "{id}", "x").Replace(strings.TrimPrefix(path.String(), "/"))
			c := e.call(operatorKey, strings.ToUpper(method.String()), target+"?dry_run=true", `{"name":"x"}`)
			if gjson.GetBytes(c.body, "error.code").String() == "unknown_url" || c.head.Status >= 500 {
				t.Errorf("%s %s: %d %s", method, path, c.head.Status, c.body)
			}
			return true
		})
		return true
	})
	const undescribed = 1 // the route of the metrics
	if described != 16 || described != len(routes)-undescribed {
		t.Errorf("%d of %d routes are described", described, len(routes)-undescribed)
	}
	properties := document.Get("components.schemas.Limits.properties")
	if fields := properties.Map(); len(fields) != 8 {
		t.Errorf("%d limits are described", len(fields))
	}
	limits, err := json.Marshal(tenancy.Limits{
		QuotaPerS: 1, Weight: 1, RequestsPerS: 1, TokensPerS: 1, BurstS: 1, MaxConcurrent: 1,
		MaxPromptTokens: 1, MaxQueued: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	gjson.ParseBytes(limits).ForEach(func(name, _ gjson.Result) bool {
		if !properties.Get(name.String()).Exists() {
			t.Errorf("the limit %s is not described", name)
		}
		return true
	})
}
