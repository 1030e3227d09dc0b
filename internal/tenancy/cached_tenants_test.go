package tenancy_test

import (
	"os"
	"reflect"
	"testing"

	"plumspindle/internal/tenancy"
)

// testSecret is the secret that the MACs of the keys in testdata were computed with. It is for tests only.
const testSecret = "test-secret-of-the-fixtures-not-for-use-anywhere"

// limitsFrom returns limits of the fixture. All values differ, so that mixed-up fields are found.
func limitsFrom(n int) tenancy.Limits {
	f := float64(n)
	return tenancy.Limits{QuotaPerS: f + 0.5, Weight: f + 0.25, RequestsPerS: f + 10, TokensPerS: f*1000 + 1,
		BurstS: f + 0.75, MaxConcurrent: n + 2, MaxPromptTokens: n*100 + 3, MaxQueued: n + 4}
}

// cachedTenants returns the tenants that testdata/kept-tenants.json contains.
func cachedTenants() []*tenancy.Tenant {
	return []*tenancy.Tenant{
		{
			ID: 1, Name: "bahari", State: tenancy.StateActive, Version: 5, Limits: limitsFrom(6), CreatedAt: 1796217369,
			Products: map[string]tenancy.Limits{"explain": limitsFrom(2), "review-post": limitsFrom(3)},
			Keys: []tenancy.KeyRecord{
				{
					ID: "433b2215375e", MAC: "fda8b58512522541f7a49438d0b6cb42717d6905ced63c81753f091483abcafd", Label: "ci",
					Scopes:    []tenancy.Scope{tenancy.ScopeChat, tenancy.ScopeAdmin},
					CreatedAt: 1796217369, ExpiresAt: 4102444800, Limits: limitsFrom(4),
				},
				{
					ID: "0a194ac022a6", MAC: "4c8f5ccf73ebd7c21829f440f5c27b296a65b019ea485a00c51a42f7ab191a16", Label: "lost",
					Scopes: []tenancy.Scope{tenancy.ScopeChat, tenancy.ScopeAdmin}, CreatedAt: 1796217369, RevokedAt: 1796217369,
				},
			},
		},
		{
			ID: 3, Name: "mto", State: tenancy.StateSuspended, Version: 3, Limits: tenancy.Limits{QuotaPerS: 7},
			CreatedAt: 1796217369,
			Keys: []tenancy.KeyRecord{{
				ID: "b1b125e2c5f1", MAC: "f4efbb017516ed4f97d5b0832839eac7b2c38ae1e2197ed2f4d59dfb430fedd0", Label: "chat only",
				Scopes: []tenancy.Scope{tenancy.ScopeChat}, CreatedAt: 1796217369,
			}},
		},
	}
}

// A file of cached tenants from a dispatcher of an earlier version is read with every field, its keys are accepted, and
// the written snapshot equals the file.
func TestReadsCachedTenantsOfEarlierVersion(t *testing.T) {
	cached, err := os.ReadFile("testdata/kept-tenants.json")
	if err != nil {
		t.Fatal(err)
	}
	directory := tenancy.NewDirectory([]byte(testSecret))
	tenants, err := directory.Apply(cached)
	if err != nil {
		t.Fatal(err)
	}
	if want := cachedTenants(); !reflect.DeepEqual(tenants, want) {
		t.Errorf("read %d tenants, want %d", len(tenants), len(want))
		for i := range min(len(tenants), len(want)) {
			t.Errorf("read:\n%+v\nstored:\n%+v", *tenants[i], *want[i])
		}
	}
	if directory.Epoch != "hopev8wbnl" || directory.Version != 13 {
		t.Errorf("epoch %q, version %d", directory.Epoch, directory.Version)
	}
	for _, digest := range []string{
		"7dd31d55e362c4d2b9c74f7baf90b0a168cc4d2e055a4ab32bb3dbc2e673ed7f",
		"b7d0de837f14d258bc31e4d0b744311f1254698b2128818816dbcb655776e902",
	} {
		if !directory.IsPublicText(digest) {
			t.Errorf("public text %s is unknown", digest)
		}
	}
	if written := directory.Snapshot(); string(written) != string(cached) {
		t.Errorf("written:\n%s\nstored:\n%s", written, cached)
	}
	for _, c := range []struct{ key, tenant string }{
		{"sk-433b2215375e-31e05a059c05c6aa3f069f4d416662dadbb7a6fb07ff3a67", "bahari"},
		{"sk-0a194ac022a6-12b7e06cac65c8d2c2f80a32cff566b8d512ecbdf8a64b79", ""}, // revoked
		{"sk-b1b125e2c5f1-874fb523e4295e5785d8cca81140bff73d96cb5d5f8ea8b9", "mto"},
		{"sk-f42c75bfc801-adb42e1b9829951a232a799fcf4c647f73c42c20d3f2141e", ""}, // of a tenant that was removed
	} {
		const beforeExpiry = 4102444799
		tenant, _, known := directory.Authenticate(beforeExpiry, c.key)
		if known != (c.tenant != "") || known && tenant.Name != c.tenant {
			t.Errorf("key %.15s: known %v, want tenant %q", c.key, known, c.tenant)
		}
	}
}
