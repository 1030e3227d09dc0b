package admin

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
)

// The second of two changes against the same version is rejected. A dry run, a change that can't be saved and a
// repeated creation change nothing.
func TestChangesAreMadeOnceAndWhole(t *testing.T) {
	e := newEnvironment(t, 1)
	e.addTenant("a", `{"per_s":5}`)
	e.addTenant("b", `{}`)
	etag := e.call(operatorKey, "GET", "tenants/a", "").head.Get("ETag")
	e.must(200, "PATCH", "tenants/a", `{"limits":{"per_s":6}}`, "If-Match", etag)
	e.must(412, "PATCH", "tenants/a", `{"limits":{"per_s":7}}`, "If-Match", etag)
	e.must(200, "PATCH", "tenants/a?dry_run=true", `{"limits":{"per_s":8}}`)
	e.records.SaveError = errors.New("disk full")
	e.must(500, "PATCH", "tenants/a", `{"limits":{"per_s":9}}`)
	e.records.SaveError = nil
	if got := e.must(200, "GET", "tenants/a", ""); got.Get("limits.per_s").Num != 6 {
		t.Errorf("limits: %s", got.Raw)
	}
	if got := e.must(200, "POST", "tenants", `{"name":"b","limits":{}}`); got.Get("id").Int() != 2 {
		t.Errorf("repeated creation of a tenant: %s", got.Raw)
	}
}

// The answer to an invalid request names the invalid field, and no field if the body can't be decoded.
func TestErrorsNameTheField(t *testing.T) {
	e := newEnvironment(t, 1)
	for body, field := range map[string]string{
		`{"name":"Ü"}`:                       "name",
		`{"name":"c","limits":{"per_s":-1}}`: "limits.per_s",
		`{"name":"c","limits":{"pers":1}}`:   "",
		`{"name":"c"}{}`:                     "",
		`[`:                                  "",
	} {
		c := e.call(operatorKey, "POST", "tenants", body)
		got := gjson.GetBytes(c.body, "error")
		clientError := c.head.Status >= 400 && c.head.Status < 500
		if !clientError || got.Get("field").String() != field || got.Get("message").String() == "" {
			t.Errorf("%s: %d %s", body, c.head.Status, c.body)
		}
	}
}

// Each role has only its own permissions, and a tenant's key has access to that tenant only. A repeated creation does
// not show the key again, and the records contain no key.
func TestRolesAreKeptApart(t *testing.T) {
	e := newEnvironment(t, 1)
	chatKey := e.addTenant("a", `{"per_s":5}`)
	e.addTenant("b", `{}`)
	idempotencyKey := []string{"Idempotency-Key", "k1"}
	created := e.must(201, "POST", "tenants/a/keys", `{"scopes":["admin"]}`, idempotencyKey...)
	again := e.must(200, "POST", "tenants/a/keys", `{"scopes":["admin"]}`, idempotencyKey...)
	if again.Get("id").String() != created.Get("id").String() || again.Get("key").Exists() {
		t.Errorf("repeated creation of a key: %s", again.Raw)
	}
	adminKey := created.Get("key").String()
	for _, test := range []struct {
		key, method, path string
		want              int
	}{
		{"nobody", "GET", "tenants", 401},
		{viewerKey, "GET", "tenants", 200},
		{viewerKey, "POST", "tenants", 403},
		{viewerKey, "DELETE", "tenants/a", 403},
		{adminKey, "GET", "tenants/a", 200},
		{adminKey, "GET", "tenants/b", 404},
		{adminKey, "GET", "tenants/b/usage", 404},
		{adminKey, "GET", "tenants/none", 404},
		{adminKey, "GET", "tenants", 404},
		{adminKey, "GET", "usage", 404},
		{adminKey, "PATCH", "tenants/a", 404},
		{adminKey, "POST", "tenants/a/resume", 404},
		{adminKey, "GET", "audit", 404},
		{chatKey, "GET", "tenants/a", 401},
	} {
		if c := e.call(test.key, test.method, test.path, "{}"); c.head.Status != test.want {
			t.Errorf("%.8s %s %s: %d, want %d: %s", test.key, test.method, test.path, c.head.Status, test.want, c.body)
		}
	}
	if c := e.call(adminKey, "POST", "tenants/a/keys", ""); c.head.Status != 201 {
		t.Errorf("a tenant could not create a key: %d", c.head.Status)
	}
	e.expect(e.chat(0, adminKey, "explain"), "401") // the key has no scope for chat
	e.records.Scan("", func(key string, value []byte) bool {
		if text := key + string(value); strings.Contains(text, adminKey) || strings.Contains(text, chatKey) {
			t.Errorf("the record %q contains a key", key)
		}
		return true
	})
}

// A path with an empty tenant name gives a tenant's key no access to the data of any tenant. The usage of an empty name
// would otherwise be the usage of all tenants.
func TestTenantKeySeesNothingUnderAnEmptyName(t *testing.T) {
	e := newEnvironment(t, 1)
	e.addTenant("a", `{}`)
	e.addTenant("b", `{}`)
	adminKey := e.must(201, "POST", "tenants/a/keys", `{"scopes":["admin"]}`).Get("key").String()
	for _, path := range []string{"tenants//usage", "tenants//keys", "tenants//"} {
		if c := e.call(adminKey, "GET", path, ""); c.head.Status != 404 {
			t.Errorf("%s: got %d, want 404: %s", path, c.head.Status, c.body)
		}
	}
	e.must(404, "GET", "tenants//usage", "") // not the usage of all tenants, even for an operator
}

// The audit log and the list of tenants are returned in pages, each of which says where the next one begins.
func TestListsComeInPages(t *testing.T) {
	e := newEnvironment(t, 1)
	for _, name := range []string{"a", "b", "p0", "p1", "p2", "p3", "p4"} {
		e.must(201, "POST", "tenants", fmt.Sprintf(`{"name":%q}`, name))
	}
	log := e.must(200, "GET", "audit?limit=2", "")
	entries := log.Get("changes").Array()
	if len(entries) != 2 || entries[0].Get("who").String() != "ann" || log.Get("next_after").Int() != 2 {
		t.Errorf("audit log: %s", log.Raw)
	}
	page := e.must(200, "GET", "tenants?limit=3&after=b", "")
	if page.Get("tenants.#").Int() != 3 || page.Get("next_after").String() != "p2" {
		t.Errorf("tenants: %s", page.Raw)
	}
}
