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

// operationTime is the virtual time that passes during each disk operation.
const operationTime = eventloop.Second

// postingDisk is a virtual disk that sends the results of its operations to a channel, as store.Files does.
type postingDisk struct {
	*virtual.Disk
	network *virtual.Network
	results chan func()
}

func (d *postingDisk) post(done func(error)) func(error) {
	return func(err error) { d.results <- func() { done(err) } }
}

func (d *postingDisk) Append(name string, data []byte, done func(error)) {
	d.Disk.Append(name, data, d.post(done))
	d.network.Run(operationTime)
}

func (d *postingDisk) Write(name string, build func() []byte, done func(error)) {
	d.Disk.Write(name, build, d.post(done))
	d.network.Run(operationTime)
}

// storedServer is a server whose records are on a virtual disk.
type storedServer struct {
	*Server
	t       *testing.T
	records *StoredRecords
}

func startOnDisk(t *testing.T, network *virtual.Network, disk *virtual.Disk, timeout time.Duration) *storedServer {
	t.Helper()
	loop := network.NewLoop("admin")
	records := &StoredRecords{diskResults: make(chan func(), 16), timeout: timeout}
	var err error
	posting := &postingDisk{disk.AttachTo(loop), network, records.diskResults}
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

// createTenantRequest returns an operator's request to create a tenant.
func createTenantRequest(name string) *request {
	return &request{
		method: "POST",
		path:   []string{"tenants"},
		query:  map[string]string{},
		head:   &http1.Head{},
		body:   fmt.Appendf(nil, `{"name":%q}`, name),
		caller: caller{name: "ann", role: Operator},
	}
}

// create makes a request to create a tenant, and checks the status of the answer.
func (s *storedServer) create(name string, want int) {
	s.t.Helper()
	if got := s.route(createTenantRequest(name)); got.status != want {
		s.t.Errorf("creation of tenant %s: %+v, want status %d", name, got, want)
	}
}

// report sends a usage report, and checks the status of the answer.
func (s *storedServer) report(number uint64, want int) {
	s.t.Helper()
	body, err := json.Marshal(tenancy.UsageReport{Dispatcher: "d1", Number: number, Usage: []tenancy.Usage{
		{Tenant: "a", Product: "p", Day: "d", Accepted: 1},
	}})
	if err != nil {
		s.t.Fatal(err)
	}
	if got := s.addReport(body); got.status != want {
		s.t.Errorf("report %d: %+v, want status %d", number, got, want)
	}
}

// While the disk of the records is full or fails, the server rejects changes and reports. It accepts both again
// afterwards without a restart. A restarted server has everything that was acknowledged and nothing that was rejected.
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
		t.Error("the store has not recovered")
	}
	again := startOnDisk(t, network, disk, diskTimeout)
	if used := again.ledger.UsageOf(""); len(used) != 1 || used[0].Accepted != number || number != 6 {
		t.Errorf("saved usage: %+v after %d reports", used, number)
	}
	slices.Sort(want)
	if names := again.registry.Names(); !slices.Equal(names, want) {
		t.Errorf("tenants after a restart: %v", names)
	}
}

// While the disk of the records stalls, changes are rejected after a timeout. Once the disk responds again, the next
// change is accepted without a restart.
func TestRecordsOnStallingDisk(t *testing.T) {
	network := virtual.NewNetwork(1)
	disk := network.NewDisk()
	s := startOnDisk(t, network, disk, 20*time.Millisecond)
	s.create("one", 201)
	disk.SyncTime = 60 * eventloop.Second // longer than operationTime
	for _, name := range []string{"two", "three"} {
		s.create(name, 500)
	}
	disk.SyncTime = eventloop.Millisecond
	network.Run(200 * eventloop.Second)
	s.create("four", 201)
	if s.records.Err() != nil {
		t.Errorf("the store has not recovered: %v", s.records.Err())
	}
	if names := s.registry.Names(); !slices.Equal(names, []string{"four", "one"}) {
		t.Errorf("tenants: %v", names)
	}
}
