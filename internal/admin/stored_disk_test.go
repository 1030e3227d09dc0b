package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/http1"
	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
	"plumspindle/internal/virtual"
)

// operationTime is what the virtual disk is given for an operation.
const operationTime = eventloop.Second

// postingDisk is a virtual disk whose answers go to a channel, as those of a real one do.
type postingDisk struct {
	*virtual.Disk
	network *virtual.Network
	posted  chan func()
}

func (d *postingDisk) post(done func(error)) func(error) {
	return func(err error) { d.posted <- func() { done(err) } }
}

func (d *postingDisk) Append(name string, data []byte, done func(error)) {
	d.Disk.Append(name, data, d.post(done))
	d.network.Run(operationTime)
}

func (d *postingDisk) Write(name string, build func() []byte, done func(error)) {
	d.Disk.Write(name, build, d.post(done))
	d.network.Run(operationTime)
}

// storedServer is an administration whose records are on a virtual disk.
type storedServer struct {
	*Server
	t       *testing.T
	records *StoredRecords
}

func startOnDisk(t *testing.T, network *virtual.Network, disk *virtual.Disk, timeout time.Duration) *storedServer {
	t.Helper()
	loop := network.NewLoop("admin")
	records := &StoredRecords{posted: make(chan func(), 16), timeout: timeout}
	var err error
	posting := &postingDisk{disk.AttachTo(loop), network, records.posted}
	if records.Store, err = store.Open(posting, store.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	s := &storedServer{t: t, records: records}
	loop.Do(func() {
		config := Config{Secret: secret, Records: records, Random: deterministicRandom(1), Log: zerolog.Nop()}
		s.Server, err = Start(loop, config)
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// createTenantRequest is an operator's request for a new tenant.
func createTenantRequest(name string) *request {
	return &request{
		method: "POST",
		path:   []string{"tenants"},
		query:  map[string]string{},
		head:   &http1.Head{},
		body:   fmt.Appendf(nil, `{"name":%q}`, name),
		who:    caller{name: "ann", role: Operator},
	}
}

// create asks for a new tenant; the answer must have a status.
func (s *storedServer) create(name string, want int) {
	s.t.Helper()
	if got := s.route(createTenantRequest(name)); got.status != want {
		s.t.Errorf("tenant %s: %+v, want %d", name, got, want)
	}
}

// report sends a usage report; the answer must have a status.
func (s *storedServer) report(number uint64, want int) {
	s.t.Helper()
	body, err := json.Marshal(tenancy.UsageReport{Dispatcher: "d1", Number: number, Usage: []tenancy.Usage{
		{Tenant: "a", Product: "p", Day: "d", Accepted: 1},
	}})
	if err != nil {
		s.t.Fatal(err)
	}
	if got := s.addReport(body); got.status != want {
		s.t.Errorf("report %d: %+v, want %d", number, got, want)
	}
}

// The records' disk is full or fails for a while: changes are rejected and not made, reports are sent again,
// and both are accepted afterwards, without a restart. A start finds what was acknowledged and nothing that
// was rejected.
func TestRecordsOnFullDisk(t *testing.T) {
	network := virtual.NewNetwork(1)
	disk := network.NewDisk()
	s := startOnDisk(t, network, disk, diskTimeout)
	number := uint64(1)
	var want []string
	for round := range 5 {
		s.report(number, 200)
		number++
		want = append(want, fmt.Sprint("saved", round))
		s.create(want[round], 201)
		if round%2 == 0 {
			disk.Capacity = disk.Used() + 9
		} else {
			disk.Failure, disk.PartialWrites = errors.New("input/output error"), true
		}
		s.report(number, 500)
		s.create("rejected", 500)
		s.report(number, 500)
		disk.Capacity, disk.Failure = 0, nil
	}
	s.report(number, 200)
	s.create("last", 201)
	want = append(want, "last")
	if s.records.Err() != nil {
		t.Error("the store has failed for good")
	}
	again := startOnDisk(t, network, disk, diskTimeout)
	if used := again.ledger.UsageOf(""); len(used) != 1 || used[0].Accepted != number || number != 6 {
		t.Errorf("saved usage: %+v after %d reports", used, number)
	}
	slices.Sort(want)
	if names := again.registry.Names(); !slices.Equal(names, want) {
		t.Errorf("tenants after a start: %v", names)
	}
}

// The records' disk stalls: the change is rejected in time, and the next one is accepted once the disk
// answers again, without a restart.
func TestRecordsOnStallingDisk(t *testing.T) {
	network := virtual.NewNetwork(1)
	disk := network.NewDisk()
	s := startOnDisk(t, network, disk, 20*time.Millisecond)
	s.create("one", 201)
	disk.SyncTime = 60 * eventloop.Second // of virtual time, of which an operation lets operationTime pass
	for _, name := range []string{"two", "three"} {
		s.create(name, 500)
	}
	disk.SyncTime = eventloop.Millisecond
	network.Run(200 * eventloop.Second)
	s.create("four", 201)
	if s.records.Err() != nil {
		t.Errorf("once the disk answers: %v", s.records.Err())
	}
	if names := s.registry.Names(); !slices.Equal(names, []string{"four", "one"}) {
		t.Errorf("tenants: %v", names)
	}
}
