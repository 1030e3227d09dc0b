package admin_test

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"plumspindle/internal/admin"
	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/sockets"
)

// Secrets that the fixtures were made with. They are for tests only.
const (
	testSecret  = "test-secret-of-the-fixtures-not-for-use-anywhere"
	operatorKey = "test-operator-key-of-the-fixtures"
)

// api is a client of an administration server that was started on a copy of stored records.
type api struct {
	t    *testing.T
	base string
}

// copyRecords copies the folder of a fixture, so that the fixture itself never changes.
func copyRecords(t *testing.T, fixture string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/"+fixture)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// serve starts an administration server on a folder.
func serve(t *testing.T, dir string) api {
	t.Helper()
	records, err := admin.OpenStoredRecords(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(records.Close)
	loop, err := sockets.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Stop)
	staff := []admin.StaffMember{{Name: "ann", Role: admin.Operator, Digest: sha256.Sum256([]byte(operatorKey))}}
	var ln eventloop.Listener
	loop.Do(func() {
		var a *admin.Server
		if a, err = admin.Start(loop, admin.Config{
			Secret: []byte(testSecret), Staff: staff, Records: records, Random: rand.Reader, Log: zerolog.Nop(),
		}); err == nil {
			ln, err = loop.Listen("127.0.0.1:0", a.Accept)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loop.Do(ln.Close) })
	return api{t, "http://" + ln.Addr()}
}

// send makes one call and returns its answer with the body unread.
func (a api) send(key, method, path, body string, fields ...string) *http.Response {
	a.t.Helper()
	request, err := http.NewRequestWithContext(a.t.Context(), method, a.base+path, strings.NewReader(body))
	if err != nil {
		a.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := (&http.Client{Timeout: 20 * time.Second}).Do(request)
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// call makes one call and returns the status and the decoded body of the answer.
func (a api) call(key, method, path, body string, fields ...string) (status int, answer any) {
	a.t.Helper()
	response := a.send(key, method, path, body, fields...)
	text, err := io.ReadAll(response.Body)
	if err != nil {
		a.t.Fatal(err)
	}
	return response.StatusCode, decodeJSON(a.t, text)
}

// firstUpdate returns the first event that the server sends to a dispatcher that has the given version of the registry.
// The event has the changes since that version, including the MACs of keys.
func (a api) firstUpdate(epoch string, since int) any {
	a.t.Helper()
	path := fmt.Sprintf("/internal/v1/tenants?epoch=%s&since=%d", epoch, since)
	response := a.send(dispatch.FeedToken([]byte(testSecret)), "GET", path, "", "x-dispatcher", "reader")
	for lines := bufio.NewReader(response.Body); ; {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			a.t.Fatal(err)
		}
		if data, found := bytes.CutPrefix(line, []byte("data: ")); found {
			return decodeJSON(a.t, data)
		}
	}
}

func decodeJSON(t *testing.T, text []byte) (value any) {
	t.Helper()
	if err := json.Unmarshal(text, &value); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return value
}

// goldenAnswers are the answers of the build that wrote the records of a fixture.
type goldenAnswers struct {
	Tenants  any               `json:"tenants"`
	Usage    any               `json:"usage"`
	Audit    any               `json:"audit"`
	Public   any               `json:"public-texts"`
	Feed     any               `json:"feed"`
	TestKeys map[string]string `json:"test_keys"`
}

func readGoldenAnswers(t *testing.T, fixture string) (golden goldenAnswers) {
	t.Helper()
	text, err := os.ReadFile("testdata/" + fixture + ".answers.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &golden); err != nil {
		t.Fatal(err)
	}
	return golden
}

func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if reflect.DeepEqual(got, want) {
		return
	}
	gotText, _ := json.Marshal(got)
	wantText, _ := json.Marshal(want)
	t.Errorf("%s: got:\n%s\nwant:\n%s", what, gotText, wantText)
}

// The server completely reads both forms of records: the store, and the files of versions without a store. The test
// compares tenants with limits and keys, usage, the audit log, public texts and the update for dispatchers, also after
// a second start. A report that was counted before does not count again; a new one does.
func TestReadsRecordsOfEarlierVersion(t *testing.T) {
	for _, fixture := range []string{"records-v1", "records-before-store"} {
		t.Run(fixture, func(t *testing.T) {
			golden := readGoldenAnswers(t, fixture)
			dir := copyRecords(t, fixture)
			for _, start := range []string{"first", "second"} {
				t.Run(start+" start", func(t *testing.T) {
					a := serve(t, dir)
					for path, want := range map[string]any{
						"tenants": golden.Tenants, "usage": golden.Usage, "audit": golden.Audit, "public-texts": golden.Public,
					} {
						status, got := a.call(operatorKey, "GET", "/admin/v1/"+path, "")
						if status != 200 {
							t.Errorf("%s: status %d", path, status)
						}
						assertEqual(t, path, got, want)
					}
					assertEqual(t, "feed", a.firstUpdate("", 0), golden.Feed)
				})
			}
			t.Run("keys", func(t *testing.T) { checkKeys(t, serve(t, dir), golden.TestKeys) })
			t.Run("changes", func(t *testing.T) { checkUpdates(t, serve(t, dir), golden.Feed) })
			t.Run("reports", func(t *testing.T) { checkReportsCountOnce(t, serve(t, dir), golden.Usage) })
		})
	}
}

// checkKeys checks that keys with the scope for the administration have the same access as before, and that a repeated
// creation returns the id of the key that was created.
func checkKeys(t *testing.T, a api, keys map[string]string) {
	t.Helper()
	for name, want := range map[string]int{
		"bahari ci":   200,
		"bahari lost": 401, // revoked
		"kwale":       401, // its tenant was removed
		"mto":         401, // for chat only
	} {
		if keys[name] == "" {
			t.Fatalf("no test key %q", name)
		}
		if status, got := a.call(keys[name], "GET", "/admin/v1/tenants/bahari/keys", ""); status != want {
			t.Errorf("key %q: status %d, want %d: %v", name, status, want, got)
		}
	}
	for tenant, test := range map[string]struct{ idempotencyKey, key string }{
		"bahari": {"make-ci", keys["bahari ci"]},
		"mto":    {"make-mto", keys["mto"]},
	} {
		path := "/admin/v1/tenants/" + tenant + "/keys"
		status, got := a.call(operatorKey, "POST", path, "", "Idempotency-Key", test.idempotencyKey)
		id := strings.Split(test.key, "-")[1]
		want := map[string]any{"id": id, "note": "made before; a key is shown once"}
		assertEqual(t, "repeated creation for "+tenant, got, want)
		if status != 200 {
			t.Errorf("repeated creation for %s: status %d", tenant, status)
		}
	}
}

// checkUpdates checks that a dispatcher with an earlier version gets each tenant that has changed since, and that a new
// tenant gets an unused id.
func checkUpdates(t *testing.T, a api, complete any) {
	t.Helper()
	epoch := complete.(map[string]any)["epoch"].(string)
	for since, want := range map[int][]string{
		7:  {"bahari", "kwale", "mto"},
		8:  {"bahari", "mto"},
		11: {"bahari", "mto"},
		12: {"bahari"},
	} {
		var names []string
		for _, tenant := range a.firstUpdate(epoch, since).(map[string]any)["tenants"].([]any) {
			names = append(names, tenant.(map[string]any)["name"].(string))
		}
		if !slices.Equal(names, want) {
			t.Errorf("changed since version %d: %v, want %v", since, names, want)
		}
	}
	status, created := a.call(operatorKey, "POST", "/admin/v1/tenants", `{"name":"new"}`)
	if status != 201 {
		t.Fatalf("status %d: %v", status, created)
	}
	assertEqual(t, "id of a new tenant", created.(map[string]any)["id"], 4.0)
}

// checkReportsCountOnce checks that the server knows the numbers of the last reports: it does not count those reports
// again, and counts new ones.
func checkReportsCountOnce(t *testing.T, a api, usage any) {
	t.Helper()
	report := func(dispatcher string, number int) {
		t.Helper()
		body := fmt.Sprintf(`{"dispatcher":%q,"number":%d,"used":[`+
			`{"tenant":"later","product":"explain","day":"2026-01-04","taken":1}]}`, dispatcher, number)
		if status, got := a.call(dispatch.FeedToken([]byte(testSecret)), "POST", "/internal/v1/usage", body); status != 200 {
			t.Errorf("report %d of %s: status %d: %v", number, dispatcher, status, got)
		}
	}
	taken := func() (sum any) {
		t.Helper()
		_, got := a.call(operatorKey, "GET", "/admin/v1/tenants/later/usage", "")
		if lines := got.(map[string]any)["usage"].([]any); len(lines) > 0 {
			return lines[0].(map[string]any)["taken"]
		}
		return 0.0
	}
	report("d1", 2)
	report("d2", 5)
	assertEqual(t, "usage after repeated reports", taken(), 0.0)
	_, all := a.call(operatorKey, "GET", "/admin/v1/usage", "")
	assertEqual(t, "usage of all tenants after repeated reports", all, usage)
	report("d1", 3)
	report("d2", 6)
	assertEqual(t, "usage after new reports", taken(), 2.0)
}

// Each key and each value of stored records is read unchanged.
func TestReadsEachRecordOfEarlierVersion(t *testing.T) {
	for _, fixture := range []string{"records-v1", "records-v1-removing"} {
		t.Run(fixture, func(t *testing.T) {
			records, err := admin.OpenStoredRecords(copyRecords(t, fixture))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(records.Close)
			var got strings.Builder
			records.Scan("", func(key string, value []byte) bool {
				fmt.Fprintf(&got, "%q %q\n", key, value)
				return true
			})
			want, err := os.ReadFile("testdata/" + fixture + ".dump.txt")
			if err != nil {
				t.Fatal(err)
			}
			if got.String() != string(want) {
				t.Errorf("read:\n%s\nstored:\n%s", got.String(), want)
			}
		})
	}
}

// The migration renames the files of versions without a store and does not change their content.
func TestKeepsTheFilesOfBeforeTheStore(t *testing.T) {
	const fixture = "records-before-store"
	dir := copyRecords(t, fixture)
	records, err := admin.OpenStoredRecords(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(records.Close)
	for _, name := range []string{"tenants.json", "changes.ndjson"} {
		want, err := os.ReadFile("testdata/" + fixture + "/" + name)
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(dir + "/" + name + ".moved")
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s.moved: %v, %d bytes of %d", name, err, len(got), len(want))
		}
		if _, err := os.Stat(dir + "/" + name); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("%s still exists: %v", name, err)
		}
	}
}

// The server completes a removal that an earlier version has begun, as no dispatcher runs requests of the tenant. It
// deletes the tenant's limits and keys and keeps its usage.
func TestEndsRemovalBegunByEarlierVersion(t *testing.T) {
	const fixture = "records-v1-removing"
	golden := readGoldenAnswers(t, fixture)
	want := golden.Tenants.(map[string]any)["tenants"].([]any)[0].(map[string]any)
	if want["state"] != "removing" || want["removal"] != "stop" {
		t.Fatalf("the fixture holds no tenant that is being removed: %v", want)
	}
	a := serve(t, copyRecords(t, fixture))
	_, got := a.call(operatorKey, "GET", "/admin/v1/tenants/lamu", "")
	tenant := got.(map[string]any)
	if removedAt, found := tenant["removed_s"].(float64); !found || removedAt <= 0 {
		t.Errorf("removed at %v", tenant["removed_s"])
	}
	delete(tenant, "removed_s")
	want["state"], want["limits"], want["version"] = "removed", map[string]any{}, want["version"].(float64)+1
	assertEqual(t, "tenant", tenant, want)
	_, usage := a.call(operatorKey, "GET", "/admin/v1/usage", "")
	assertEqual(t, "usage", usage, golden.Usage)
	_, audit := a.call(operatorKey, "GET", "/admin/v1/audit", "")
	assertEqual(t, "audit", audit, golden.Audit)
}
