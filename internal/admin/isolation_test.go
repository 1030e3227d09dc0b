package admin

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"plumspindle/internal/eventloop"
)

// 100,000 requests of three tenants use the same Idempotency-Keys, prompts and sessions, or come with keys of other
// tenants, unknown keys or revoked keys. No tenant gets an answer of another one, or learns that another tenant exists.
func TestNoRequestCrossesTenants(t *testing.T) {
	requests := 100_000
	if testing.Short() {
		requests = 5000
	}
	run := newIsolationRun(t)
	for n := range requests {
		run.send(n)
		if len(run.open) == 200 {
			run.check()
		}
	}
	if run.counts[completed] < requests/20 || run.counts["404"] == 0 || run.errorCount > 0 {
		t.Errorf("%d errors; outcomes %v", run.errorCount, run.counts)
	}
}

// isolationRun sends requests of three tenants with mixed credentials.
type isolationRun struct {
	*environment
	random    *rand.Rand
	names     []string
	chatKeys  []string // by tenant
	adminKeys []string // by tenant
	revoked   string   // a revoked key

	open       []isolationCall // calls that are not checked yet
	owners     map[string]int  // tenants by the ids of answers
	counts     map[string]int  // by outcome
	errorCount int             // number of errors
}

const noTenant = -1

type isolationCall struct {
	*clientCall
	tenant int      // the only tenant that may get the answer's id; noTenant if the id is not checked
	want   []string // allowed outcomes
}

func newIsolationRun(t *testing.T) *isolationRun {
	t.Helper()
	r := &isolationRun{
		environment: newEnvironment(t, 2),
		random:      deterministicRandom(4),
		names:       []string{"a", "b", "c"},
		owners:      map[string]int{},
		counts:      map[string]int{},
	}
	for _, name := range r.names {
		r.chatKeys = append(r.chatKeys, r.addTenant(name, `{}`))
		adminKey := r.must(201, "POST", "tenants/"+name+"/keys", `{"scopes":["admin"]}`)
		r.adminKeys = append(r.adminKeys, adminKey.Get("key").String())
	}
	revoked := r.must(201, "POST", "tenants/a/keys", `{}`)
	r.must(200, "DELETE", "tenants/a/keys/"+revoked.Get("id").String(), "")
	r.revoked = revoked.Get("key").String()
	return r
}

// send sends a random request. count is the number of requests before it.
func (r *isolationRun) send(count int) {
	tenant, dispatcher := r.random.Intn(len(r.names)), r.random.Intn(len(r.dispatchers))
	get := func(addr, target, key string) *clientCall {
		return r.environment.send(clientRequest{addr: addr, method: "GET", target: target, key: key})
	}
	dispatcherAddr := r.dispatchers[dispatcher].addr
	switch r.random.Intn(10) {
	case 0: // a prompt and an Idempotency-Key that all tenants use at the same time
		const body = `{"model":"review-post","stream":true,"max_tokens":1,"prompt_cache_key":"s",` +
			`"messages":[{"role":"system","content":"same"},{"role":"user","content":"same"}]}`
		call := r.sendChat(dispatcher, r.chatKeys[tenant], body, "Idempotency-Key", fmt.Sprint("k", count/40))
		r.expectLater(call, tenant, completed, "429")
	case 1, 2, 3:
		invalid := []string{r.revoked, r.adminKeys[tenant], r.chatKeys[tenant] + "0", fmt.Sprint("sk-", count), ""}
		r.expectLater(get(dispatcherAddr, "/v1/models", invalid[r.random.Intn(len(invalid))]), noTenant, "401")
	case 4, 5, 6:
		other := r.names[(tenant+1)%len(r.names)]
		target := apiPrefix + "tenants/" + other + []string{"", "/usage", "/keys"}[r.random.Intn(3)]
		r.expectLater(get(r.serverAddr, target, r.adminKeys[tenant]), noTenant, "404")
	case 7:
		target := apiPrefix + "tenants/" + r.names[tenant]
		r.expectLater(get(r.serverAddr, target, r.chatKeys[tenant]), noTenant, "401")
	default:
		r.expectLater(get(dispatcherAddr, "/v1/models", r.chatKeys[tenant]), noTenant, "200")
	}
}

func (r *isolationRun) expectLater(call *clientCall, tenant int, want ...string) {
	r.open = append(r.open, isolationCall{call, tenant, want})
}

// check waits for the open calls and checks their answers.
func (r *isolationRun) check() {
	r.network.RunUntil(10*eventloop.Second, func() bool {
		return !slices.ContainsFunc(r.open, func(call isolationCall) bool { return !call.answered() })
	})
	for _, call := range r.open {
		if len(call.outcomes) != 1 {
			r.errorf("outcomes %v", call.outcomes)
			continue
		}
		got := call.outcomes[0]
		r.counts[got]++
		if !slices.Contains(call.want, got) {
			r.errorf("tenant %d got %s, want %v: %s", call.tenant, got, call.want, call.body)
		}
		id := call.head.Get("x-request-id")
		if call.tenant == noTenant || id == "" {
			continue
		}
		if owner, seen := r.owners[id]; seen && owner != call.tenant {
			r.errorf("the answer %s of tenant %d was sent to tenant %d", id, owner, call.tenant)
		}
		r.owners[id] = call.tenant
	}
	r.open = r.open[:0]
}

// errorf counts all errors and reports the first ones.
func (r *isolationRun) errorf(format string, args ...any) {
	r.t.Helper()
	r.errorCount++
	if r.errorCount < 10 {
		r.t.Errorf(format, args...)
	}
}

// The time to the first token does not reveal whether another tenant has sent the same prompt: cached prompt state
// speeds up only prompts of the same tenant, and texts that the operator has listed as public.
func TestCachedTextsRevealNothing(t *testing.T) {
	e := newEnvironment(t, 1)
	first, second := e.addTenant("a", `{}`), e.addTenant("b", `{}`)
	timeToFirstToken := func(key, text string) eventloop.Micros {
		body := fmt.Sprintf(`{"model":"explain","stream":true,"max_tokens":1,`+
			`"messages":[{"role":"system","content":%q},{"role":"user","content":"why?"}]}`, text)
		c := e.sendChat(0, key, body)
		e.expect(c, completed)
		e.network.Run(eventloop.Second)
		return c.firstAt - c.sentAt
	}
	longText := func(i int) string {
		return strings.Repeat(fmt.Sprintf("the text %d is long and says much. ", i), 400)
	}
	var fresh, repeated, others, public []eventloop.Micros
	for i := range 12 {
		fresh = append(fresh, timeToFirstToken(first, longText(i)))
		repeated = append(repeated, timeToFirstToken(first, longText(i)))
		others = append(others, timeToFirstToken(second, longText(i)))
	}
	publicText := longText(99)
	digest := sha256.Sum256([]byte(publicText))
	e.must(200, "PUT", "public-texts", fmt.Sprintf(`{"sha256":["%x"]}`, digest))
	e.network.Run(eventloop.Second)
	for range 6 {
		timeToFirstToken(first, publicText)
	}
	for range 6 {
		public = append(public, timeToFirstToken(second, publicText))
	}
	mean := func(all []eventloop.Micros) (m eventloop.Micros) {
		for _, v := range all {
			m += v / eventloop.Micros(len(all))
		}
		return m
	}
	meanFresh, meanRepeated, meanOthers, meanPublic := mean(fresh), mean(repeated), mean(others), mean(public)
	if meanOthers < meanFresh*95/100 || meanRepeated > meanFresh*7/10 || meanPublic > meanFresh*7/10 {
		t.Errorf("mean µs to the first token: new prompt %d, repeated %d, another tenant's %d, public %d",
			meanFresh, meanRepeated, meanOthers, meanPublic)
	}
}
