package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"plumspindle/internal/dispatch"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
	"plumspindle/internal/virtual"
)

// posted is a folder of the world whose answers go to a channel, as those of the real one do.
type posted struct {
	*virtual.Disk
	w  *virtual.Network
	to chan func()
}

func (p *posted) Append(name string, b []byte, done func(error)) {
	p.Disk.Append(name, b, func(err error) { p.to <- func() { done(err) } })
	p.w.Run(1_000_000)
}
func (p *posted) Write(name string, build func() []byte, done func(error)) {
	p.Disk.Write(name, build, func(err error) { p.to <- func() { done(err) } })
	p.w.Run(1_000_000)
}

// opened starts an administration on a folder of the world.
func opened(t *testing.T, w *virtual.Network, folder *virtual.Disk, within time.Duration) (k *StoredRecords, a *Server) {
	t.Helper()
	loop := w.NewLoop("admin")
	k = &StoredRecords{posted: make(chan func(), 16), within: within}
	var err error
	if k.Store, err = store.Open(&posted{folder.AttachTo(loop), w, k.posted}, store.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	loop.Do(func() {
		a, err = Start(loop, Config{Secret: secret, Records: k, Random: rand.New(rand.NewSource(1)), Log: zerolog.Nop()})
	})
	if err != nil {
		t.Fatal(err)
	}
	return k, a
}

// The records' disk has no room for a while: a change is refused and not made, a report comes again, and both are taken once
// there is room, without a restart. A start afterwards finds what was acknowledged and nothing that was refused.
func TestRecordsWithoutRoom(t *testing.T) {
	w := virtual.NewNetwork(1)
	folder := w.NewDisk()
	open := func() (*StoredRecords, *Server) { return opened(t, w, folder, diskWithin) }
	k, a := open()
	n := uint64(0)
	report := func(want int) {
		t.Helper()
		body, _ := json.Marshal(tenancy.UsageReport{Dispatcher: "d1", Number: n + 1, Usage: []tenancy.Usage{{Tenant: "a", Product: "p", Day: "d", Accepted: 1}}})
		got := a.takeReport(body)
		if got.status != want {
			t.Errorf("report %d: %+v, want %d", n+1, got, want)
		}
		if got.status == 200 {
			n++
		}
	}
	add := func(name string, want int) {
		t.Helper()
		r := &request{method: "POST", path: []string{"tenants"}, query: map[string]string{}, head: &http1.Head{}, body: []byte(fmt.Sprintf(`{"name":%q}`, name)),
			who: caller{name: "ann", role: Operator}}
		if got := a.call(r); got.status != want {
			t.Errorf("tenant %s: %+v, want %d", name, got, want)
		}
	}
	for round := range 5 {
		report(200)
		add(fmt.Sprint("kept", round), 201)
		if round%2 == 0 {
			folder.Capacity = folder.Used() + 9
		} else {
			folder.Failure, folder.PartialWrites = errors.New("input/output error"), true
		}
		report(500)
		add("refused", 500)
		report(500)
		folder.Capacity, folder.Failure = 0, nil
	}
	report(200)
	add("last", 201)
	if k.Err() != nil {
		t.Error("the store has failed for good")
	}
	_, a = open()
	if used := a.ledger.UsageOf(""); len(used) != 1 || used[0].Accepted != n || n != 6 {
		t.Errorf("kept usage: %+v after %d reports", used, n)
	}
	if names := a.registry.Names(); fmt.Sprint(names) != "[kept0 kept1 kept2 kept3 kept4 last]" {
		t.Errorf("tenants after a start: %v", names)
	}
}

// A follower that reads nothing is not written to without end: it is cut off, and asks for all when it comes back.
func TestFollowerThatDoesNotRead(t *testing.T) {
	y := newTown(t, 1)
	c := &call{w: y.w, parser: http1.Parser{Response: true, Limits: http1.DefaultLimits}, events: sse.Parser{MaxEventBytes: 64 << 20}}
	c.request = http1.AppendRequest(nil, http1.Request{Method: "GET", Target: "/internal/v1/tenants?epoch=&since=0", Host: y.addr},
		"Authorization", "Bearer "+dispatch.FeedToken(secret))
	y.far.Do(func() { c.conn = y.far.Dial(y.addr, eventloop.Second, c) })
	y.w.Run(100 * eventloop.Millisecond)
	y.far.Do(func() { c.conn.Pause(true) })
	most := 0
	for i := range 400 {
		r := &request{method: "POST", path: []string{"tenants"}, query: map[string]string{}, head: &http1.Head{}, who: caller{name: "ann", role: Operator},
			body: []byte(fmt.Sprintf(`{"name":"t%d"}`, i))}
		y.adminAt.Do(func() { y.a.call(r) })
		y.adminAt.Do(func() { y.a.tellOn(tenancy.NewRegistry("")) }) // as when its follower has to be told all
		for _, f := range y.a.followers {
			most = max(most, f.conn.Unsent())
		}
		y.w.Run(10 * eventloop.Millisecond)
	}
	if most > 2*unsentMost || len(y.a.followers) != 1 {
		t.Errorf("%d bytes are kept for one that does not read; %d followers", most, len(y.a.followers))
	}
}

// The records' disk stalls: the change is refused in time, and the next one is taken once the disk answers again; the administration
// is not started anew. Whether the one that was refused counts shows at the next start, as it is told.
func TestRecordsOnADiskThatStalls(t *testing.T) {
	w := virtual.NewNetwork(1)
	folder := w.NewDisk()
	k, a := opened(t, w, folder, 20*time.Millisecond)
	add := func(name string) int {
		return a.call(&request{method: "POST", path: []string{"tenants"}, query: map[string]string{}, head: &http1.Head{},
			body: []byte(fmt.Sprintf(`{"name":%q}`, name)), who: caller{name: "ann", role: Operator}}).status
	}
	if got := add("one"); got != 201 {
		t.Fatal(got)
	}
	folder.SyncTime = 60 * eventloop.Second // of the world's time, which the disk of this test lets pass by a second a call
	for _, name := range []string{"two", "three"} {
		if got := add(name); got != 500 {
			t.Errorf("%s: %d with a disk that stalls", name, got)
		}
	}
	folder.SyncTime = eventloop.Millisecond
	w.Run(200 * eventloop.Second)
	if got := add("four"); got != 201 || k.Err() != nil {
		t.Errorf("once the disk answers: %d, %v", got, k.Err())
	}
	if names := fmt.Sprint(a.registry.Names()); names != "[four one]" {
		t.Errorf("tenants: %s", names)
	}
}
