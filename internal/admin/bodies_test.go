package admin

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"plumspindle/internal/dispatch"
)

// dispatcherKey is a placeholder for the token of dispatchers in apiCalls.
const dispatcherKey = "dispatcher"

// apiCalls are the calls that TestBodiesAndRecordsStayByteForByte makes in this order. {id} stands for the id of the
// key that was created last.
var apiCalls = []struct{ key, method, path, body, idempotencyKey string }{
	{operatorKey, "POST", "tenants", `{"name":"a","limits":{"per_s":5},"products":{"explain":{"weight":2}}}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"a","limits":{"per_s":5},"products":{"explain":{"weight":2}}}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"a"}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"b"}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"A"}`, ""},
	{operatorKey, "POST", "tenants", `{"name":""}`, ""},
	{operatorKey, "POST", "tenants", `{"name":5}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"c","limits":{"per_s":"x"}}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"c","limits":{"per_s":-1}}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"c","products":{"explain":{"weight":-1}}}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"c","limit":{}}`, ""},
	{operatorKey, "POST", "tenants", `{"name":"c"}{}`, ""},
	{operatorKey, "POST", "tenants", `[`, ""},
	{operatorKey, "POST", "tenants?dry_run=true", `{"name":"dry"}`, ""},
	{operatorKey, "GET", "tenants?limit=1", "", ""},
	{operatorKey, "GET", "tenants?after=a", "", ""},
	{operatorKey, "GET", "tenants/a", "", ""},
	{operatorKey, "GET", "tenants/none", "", ""},
	{operatorKey, "PATCH", "tenants/a", `{"limits":{"per_s":6}}`, ""},
	{operatorKey, "PATCH", "tenants/a", `{"products":5}`, ""},
	{operatorKey, "PATCH", "tenants/none", `{}`, ""},
	{operatorKey, "POST", "tenants/a/suspend", "", ""},
	{operatorKey, "POST", "tenants/a/resume", "", ""},
	{operatorKey, "GET", "tenants/b/keys", "", ""},
	{operatorKey, "GET", "tenants/none/keys", "", ""},
	{operatorKey, "POST", "tenants/a/keys", `{"scopes":["all"]}`, ""},
	{operatorKey, "POST", "tenants/a/keys", `{"scopes":[1]}`, ""},
	{operatorKey, "POST", "tenants/a/keys", `{"expires_s":1}`, ""},
	{operatorKey, "POST", "tenants/a/keys", `{"limits":{"concurrent":-1}}`, ""},
	{operatorKey, "POST", "tenants/none/keys", "", ""},
	{operatorKey, "POST", "tenants/a/keys",
		`{"label":"<ci>","scopes":["chat","admin"],"expires_s":4000000000,"limits":{"per_s":1}}`, "once"},
	{operatorKey, "POST", "tenants/a/keys", "", "once"},
	{operatorKey, "POST", "tenants/b/keys", "", ""},
	{operatorKey, "GET", "tenants/a/keys", "", ""},
	{operatorKey, "DELETE", "tenants/b/keys/none", "", ""},
	{operatorKey, "DELETE", "tenants/b/keys/{id}?at_s=x", "", ""},
	{operatorKey, "DELETE", "tenants/b/keys/{id}?at_s=3000000000", "", ""},
	{operatorKey, "DELETE", "tenants/b/keys/{id}", "", ""},
	{operatorKey, "GET", "tenants/a/usage", "", ""},
	{dispatcherKey, "POST", "/internal/v1/usage",
		`{"dispatcher":"d9","number":1,"used":[{"tenant":"a","product":"explain",` +
			`"day":"2026-01-04","taken":2,"streamed":1,"left":1,"prompt_tokens":7,"answer_tokens":3}]}`, ""},
	{dispatcherKey, "POST", "/internal/v1/usage", `{"dispatcher":"d9"}`, ""},
	{dispatcherKey, "GET", "/internal/v1/usage", "", ""},
	{operatorKey, "POST", "/internal/v1/usage", `{}`, ""},
	{operatorKey, "GET", "/elsewhere", "", ""},
	{operatorKey, "GET", "usage", "", ""},
	{operatorKey, "GET", "public-texts", "", ""},
	{operatorKey, "PUT", "public-texts", `{"sha256":["0"]}`, ""},
	{operatorKey, "PUT", "public-texts", `{"sha256":"0"}`, ""},
	{operatorKey, "PUT", "public-texts",
		`{"sha256":["7dd31d55e362c4d2b9c74f7baf90b0a168cc4d2e055a4ab32bb3dbc2e673ed7f"]}`, ""},
	{operatorKey, "GET", "public-texts", "", ""},
	{operatorKey, "DELETE", "tenants/b?policy=later", "", ""},
	{operatorKey, "DELETE", "tenants/b?policy=stop", "", ""},
	{operatorKey, "PATCH", "tenants/b", "{}", ""},
	{operatorKey, "POST", "tenants/b/keys", "", ""},
	{operatorKey, "GET", "audit?limit=3", "", ""},
	{operatorKey, "GET", "audit?after=3", "", ""},
	{operatorKey, "GET", "metrics", "", ""},
	{operatorKey, "GET", "/metrics", "", ""},
	{operatorKey, "GET", "nowhere", "", ""},
	{operatorKey, "GET", "usage/a", "", ""},
	{operatorKey, "DELETE", "tenants/a/keys/x/y", "", ""},
	{operatorKey, "GET", "", "", ""},
	{viewerKey, "GET", "tenants/a", "", ""},
	{viewerKey, "POST", "nowhere", "", ""},
	{"none", "GET", "tenants", "", ""},
}

// The answers to the calls, and the records after them, are byte for byte those of earlier versions.
func TestBodiesAndRecordsStayByteForByte(t *testing.T) {
	e := newEnvironment(t, 1)
	id := ""
	var got strings.Builder
	send := func(key, method, path, body string, fields ...string) {
		t.Helper()
		token := key
		if key == dispatcherKey {
			token = dispatch.FeedToken(secret)
		}
		c := e.call(token, method, strings.ReplaceAll(path, "{id}", id), body, fields...)
		if answer := gjson.ParseBytes(c.body); answer.Get("key").Exists() {
			id = answer.Get("id").String()
		}
		fmt.Fprintf(&got, "%s %s %s %s\n%d %s %s %s\n", key, method, path, body,
			c.head.Status, c.head.Get("Content-Type"), c.head.Get("ETag"), c.body)
	}
	for _, c := range apiCalls {
		var fields []string
		if c.idempotencyKey != "" {
			fields = []string{"Idempotency-Key", c.idempotencyKey}
		}
		send(c.key, c.method, c.path, c.body, fields...)
	}
	for _, etag := range []string{"5", `"x"`, "*"} {
		send(operatorKey, "PATCH", "tenants/a", "{}", "If-Match", etag)
	}
	e.records.Scan("", func(key string, value []byte) bool {
		fmt.Fprintf(&got, "record %q %s\n", key, value)
		return true
	})
	want, err := os.ReadFile("testdata/bodies.golden.txt")
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got.String(), "\n"), strings.Split(string(want), "\n")
	for i, line := range gotLines {
		if i >= len(wantLines) || line != wantLines[i] {
			t.Fatalf("line %d differs from the golden file; got:\n%s", i+1, line)
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Errorf("got %d lines, want %d", len(gotLines), len(wantLines))
	}
}
