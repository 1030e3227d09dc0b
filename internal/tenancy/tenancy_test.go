package tenancy

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Turns follow the weights, whatever the costs; one that waits for nothing keeps nothing; what was dropped is passed over.
func TestFairByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFairQueue[int](100)
		weights := map[ID]float64{1: 1, 2: 2, 3: 4}
		chance := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		item := 0
		whose := map[int]ID{}
		cost := map[int]float64{}
		served := map[ID]float64{}
		for range 6000 {
			for id, w := range map[ID]float64{1: 1, 2: 2, 3: 4} {
				for f.LenOf(id) < 3 { // all three always wait for something
					item++
					whose[item], cost[item] = id, float64(1+chance.Intn(300))
					f.Add(id, w, item, cost[item])
				}
			}
			if i, some := f.Next(func(int) bool { return true }); some {
				served[whose[i]] += cost[i]
			}
		}
		unit := served[1] / weights[1]
		for id, w := range weights {
			if r := served[id] / w / unit; r < 0.9 || r > 1.1 {
				t.Fatalf("tenant %d of weight %v got %.2f of its part", id, w, r)
			}
		}
		before := f.Len()
		if !f.Remove(2, func(i int) bool { return true }) || f.Len() != before-1 {
			t.Fatal("not dropped")
		}
		for n := f.Len(); n > 0; n-- {
			if _, some := f.Next(func(int) bool { return true }); !some {
				t.Fatalf("%d wait, and none is next", n)
			}
		}
		if _, some := f.Next(func(int) bool { return true }); some || f.Len() != 0 || len(f.lines) != 0 {
			t.Fatal("something is left")
		}
	})
}

// sorted is the plain way: all that wait in one order, by what their tenants have been served for their weight.
type sorted struct {
	all    []plain
	served map[ID]float64
}

type plain struct {
	id   ID
	cost float64
}

func (s *sorted) add(id ID, cost float64) { s.all = append(s.all, plain{id, cost}) }
func (s *sorted) next() ID {
	slices.SortStableFunc(s.all, func(a, b plain) int { return int(s.served[a.id] - s.served[b.id]) })
	p := s.all[0]
	s.all = s.all[1:]
	s.served[p.id] += p.cost
	return p.id
}

func BenchmarkFair(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("ring/%d", n), func(b *testing.B) {
			f := NewFairQueue[int](2000)
			for i := range n {
				f.Add(ID(i), 1, i, 1500)
			}
			for i := 0; b.Loop(); i++ {
				got, _ := f.Next(func(int) bool { return true })
				f.Add(ID(got), 1, got, 1500)
			}
		})
		if n > 1000 {
			continue // a sort of 100,000 for each turn takes tens of milliseconds; 1,000 says enough
		}
		b.Run(fmt.Sprintf("sorted/%d", n), func(b *testing.B) {
			s := &sorted{served: map[ID]float64{}}
			for i := range n {
				s.add(ID(i), 1500)
			}
			for b.Loop() {
				s.add(s.next(), 1500)
			}
		})
	}
}

func BenchmarkGate(b *testing.B) {
	g := NewAdmissionController(4)
	const tenants = 10000
	for i := range tenants {
		g.SetTenant(ID(i), Limits{SharePerS: 4, PerS: 1e6, TokensPerS: 1e9, Concurrent: 1000}, map[string]Limits{"k": {PerS: 1e6}}, map[string]Limits{"p": {PerS: 1e6}}, true)
	}
	g.SetPrefillEndpoints(100)
	b.ReportAllocs()
	now := Micros(1)
	for i := 0; b.Loop(); i++ {
		now += 50
		t, v := g.Admit(now, AdmissionRequest{Tenant: ID(i % tenants), Key: "k", Product: "p", PromptTokens: 1500, MaxOutputTokens: 200})
		if t == nil {
			b.Fatal(v)
		}
		if v.Queued {
			g.AdmitNext(now)
		}
		g.FirstToken(now, t, 1000, second)
		g.Release(now, t, 1600)
	}
}

// All dispatchers together stay within a limit, but for what each may burst by; a clock that steps back opens nothing; a
// limit that was lowered counts at once.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 8).Draw(t, "dispatchers")
		l := Limits{PerS: float64(rapid.IntRange(1, 50).Draw(t, "per_s")), Concurrent: rapid.IntRange(0, 20).Draw(t, "concurrent"),
			TokensPerS: float64(rapid.IntRange(0, 1).Draw(t, "tokens")) * 20000}
		var gates []*AdmissionController
		for range parts {
			g := NewAdmissionController(parts)
			g.SetTenant(1, l, nil, nil, true)
			g.SetPrefillEndpoints(1000)
			gates = append(gates, g)
		}
		now, start, passed, most := 1000*second, 1000*second, 0, 0
		tokens := 0.0
		open := map[*Ticket]*AdmissionController{}
		for range 300 {
			step := Micros(rapid.IntRange(-2000, 8000).Draw(t, "step"))
			now = max(now+step, start)
			most = max(most, int(now-start))
			g := gates[rapid.IntRange(0, parts-1).Draw(t, "gate")]
			if tk, v := g.Admit(now, AdmissionRequest{Tenant: 1, PromptTokens: 900, MaxOutputTokens: 200}); tk != nil {
				passed++
				tokens += 1000
				open[tk] = g
			} else if v.Reason == NotRejected {
				t.Fatal("refused without a reason")
			}
			if l.Concurrent > 0 && len(open) > max(l.Concurrent, parts) {
				t.Fatalf("%d open of %d, by %d", len(open), l.Concurrent, parts)
			}
			for tk, g := range open {
				if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
					g.Release(now, tk, 1000)
					delete(open, tk)
				}
			}
		}
		seconds := float64(most) / float64(second)
		// Each part begins full: a second of the limit in all, or one generation where its part is smaller.
		if bound := l.PerS*seconds + max(l.PerS, float64(parts)) + float64(parts); float64(passed) > bound {
			t.Fatalf("%d passed in %.2f s, %.0f allowed", passed, seconds, bound)
		}
		if bound := l.TokensPerS*(seconds+1) + float64(parts)*1000; l.TokensPerS > 0 && tokens > bound {
			t.Fatalf("%.0f tokens in %.2f s, %.0f allowed", tokens, seconds, bound)
		}
		g := gates[0]
		g.SetTenant(1, Limits{PerS: 0.001}, nil, nil, true)
		g.Admit(now, AdmissionRequest{Tenant: 1, PromptTokens: 10, MaxOutputTokens: 10})
		if tk, v := g.Admit(now, AdmissionRequest{Tenant: 1, PromptTokens: 10, MaxOutputTokens: 10}); tk != nil || v.Reason != RequestRateExceeded || v.RetryAfter < second {
			t.Fatalf("after the limit was lowered: %v, %+v", tk, v)
		}
	})
}

// What one tenant does not use is lent at once, and its owner is served at once when it comes back.
func TestLentAndTakenBack(t *testing.T) {
	g := NewAdmissionController(1)
	g.SetTenant(1, Limits{SharePerS: 5}, nil, nil, true)
	g.SetTenant(2, Limits{SharePerS: 5}, nil, nil, true)
	g.SetPrefillEndpoints(8)
	now := 1000 * second
	served := map[ID]int{}
	var running []*Ticket
	step := func(owner bool) (waited int) {
		now += 10_000
		if tk, v := g.Admit(now, AdmissionRequest{Tenant: 1, PromptTokens: 500, MaxOutputTokens: 100}); v.Admitted {
			running = append(running, tk)
		}
		if owner && now%200_000 == 0 {
			if tk, v := g.Admit(now, AdmissionRequest{Tenant: 2, PromptTokens: 500, MaxOutputTokens: 100}); v.Admitted {
				running = append(running, tk)
			} else {
				waited++
			}
		}
		for tk, some := g.AdmitNext(now); some; tk, some = g.AdmitNext(now) {
			running = append(running, tk)
		}
		for len(running) > 3 { // what the fleet has ended meanwhile
			tk := running[0]
			running = running[1:]
			g.FirstToken(now, tk, second/20, second)
			served[tk.tenant.id]++
			g.Release(now, tk, 600)
		}
		return waited
	}
	for range 1000 {
		step(false)
	}
	if served[1] < 500 {
		t.Errorf("alone, the first was served %d in 10 s, ten times its share of 50 was there to be had", served[1])
	}
	waited := 0
	for range 1000 {
		waited += step(true)
	}
	if waited > 0 || served[2] < 45 {
		t.Errorf("the owner's: %d had to wait, %d served", waited, served[2])
	}
}

// Keys: worth something only whole, in time, unrevoked; nothing of an unknown one stays; a follower that missed changes, or
// hears them twice or out of order, ends with what the registry says.
func TestDirectoryFollows(t *testing.T) {
	secret := []byte("0123456789abcdef0123456789abcdef")
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry("e")
		d := NewDirectory(secret)
		chance := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		keys := map[string]string{} // text, tenant
		hear := func() {
			news := r.UpdateSince(d.Epoch, d.Version)
			b, _ := json.Marshal(news)
			if _, err := d.Apply(b); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "twice") {
				if changed, err := d.Apply(b); err != nil || len(changed) > 0 && !news.Complete {
					t.Fatalf("heard twice: %v, %d changes", err, len(changed))
				}
			}
		}
		for now := int64(1000); now < 1060; now++ {
			name := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "tenant"))
			switch rapid.IntRange(0, 6).Draw(t, "change") {
			case 0:
				_, _, _ = r.Create(now, name, Limits{}, nil)
			case 1:
				random := make([]byte, 30)
				chance.Read(random)
				if text, _, _, fault := r.IssueKey(now, name, 0, secret, random, "", nil, []int64{0, now + 5}[rapid.IntRange(0, 1).Draw(t, "expires")], Limits{}); fault == nil {
					keys[text] = name
				}
			case 2:
				if tn := r.Tenants[name]; tn != nil && len(tn.Keys) > 0 {
					_, _ = r.RevokeKey(now, name, 0, tn.Keys[0].ID, 0)
				}
			case 3:
				_, _ = r.SetServing(name, 0, rapid.Bool().Draw(t, "on"))
			case 4:
				_, _ = r.Remove(name, 0, RemovalFinish)
			case 5:
				r.CompleteRemoval(now, name)
			}
			if rapid.IntRange(0, 2).Draw(t, "hear") > 0 {
				continue
			}
			hear()
			for text, name := range keys {
				tn := r.Tenants[name]
				want := false
				for _, k := range tn.Keys {
					want = want || strings.HasPrefix(text, "sk-"+k.ID) && k.RevokedAt == 0 && (k.ExpiresAt == 0 || now < k.ExpiresAt)
				}
				got, _, known := d.Authenticate(now, text)
				if known != want || known && got.Name != name {
					t.Fatalf("a key of %s (%s): known %v, want %v", name, tn.State, known, want)
				}
				if _, _, known := d.Authenticate(now, text[:len(text)-1]+"x"); known {
					t.Fatal("a key that is nearly right is known")
				}
			}
		}
	})
}

// A report that is lost is sent again, one that is heard twice counts once.
func TestUsageCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewUsageLedger()
		meters := map[string]*UsageMeter{"a": NewUsageMeter(), "b": NewUsageMeter()}
		var used uint64
		for range 60 {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dispatcher")
			m := meters[name]
			if rapid.Bool().Draw(t, "use") {
				used += 7
				m.Add(Usage{Tenant: "x", Product: "p", Day: "d", OutputTokens: 7})
			}
			r := m.Report(name)
			for range rapid.IntRange(0, 2).Draw(t, "arrives") {
				l.Add(1, r)
				if rapid.Bool().Draw(t, "acknowledged") {
					m.Acknowledge(r.Number)
				}
			}
		}
		for name, m := range meters {
			for m.Pending() {
				r := m.Report(name)
				l.Add(1, r)
				m.Acknowledge(r.Number)
			}
		}
		if sum := l.UsageOf("x"); used > 0 && (len(sum) != 1 || sum[0].OutputTokens != used) {
			t.Fatalf("used %d, counted %+v", used, sum)
		}
	})
}
