package dispatch

import (
	"errors"
	"testing"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
	"plumspindle/internal/virtual"
)

// memoryDisk is a store.Disk in memory, which completes each operation after the call has returned.
type memoryDisk struct {
	loop  eventloop.Loop
	files map[string][]byte
	fails bool
}

func (d *memoryDisk) List() (names []string, err error) {
	for n := range d.files {
		names = append(names, n)
	}
	return names, nil
}

func (d *memoryDisk) Read(name string) ([]byte, error) { return d.files[name], nil }

func (d *memoryDisk) Truncate(name string, size int64) error {
	d.files[name] = d.files[name][:size]
	return nil
}

func (d *memoryDisk) Remove(name string, done func(error)) {
	delete(d.files, name)
	d.finish(done)
}

func (d *memoryDisk) Append(name string, b []byte, done func(error)) {
	if !d.fails {
		d.files[name] = append(d.files[name], b...)
	}
	d.finish(done)
}

func (d *memoryDisk) Write(name string, build func() []byte, done func(error)) {
	d.files[name] = build()
	d.finish(done)
}

func (d *memoryDisk) finish(done func(error)) {
	var err error
	if d.fails {
		err = errors.New("no space left on device")
	}
	d.loop.AfterFunc(2*eventloop.Millisecond, func() { done(err) })
}

// diskFailures are ways in which a disk fails. Each function starts or ends the failure.
var diskFailures = map[string]func(disk *virtual.Disk, on bool){
	"no space": func(disk *virtual.Disk, on bool) {
		disk.Capacity = 0
		if on {
			disk.Capacity = disk.Used() + 20
		}
	},
	"a failed sync": func(disk *virtual.Disk, on bool) {
		disk.PartialWrites, disk.Failure = on, nil
		if on {
			disk.Failure = errors.New("input/output error")
		}
	},
}

// While the disk has no space, writes only in part or fails a sync, no request runs whose intent is not durable, and
// requests that need no intent are served. Once the disk works again, requests with idempotency keys run without a
// restart, also those that were rejected before.
func TestKeyedRequestsNeedADurableIntent(t *testing.T) {
	for name, fail := range diskFailures {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		disk := r.network.NewDisk()
		r.startWithIntents(disk)
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "before"), "streamed")
		fail(disk, true)
		before := r.decodes()
		for _, key := range []string{"a", "b", "a"} {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", key), "throttled")
		}
		r.expectFinal(r.ask("review-post"), "streamed")
		r.expectFinal(r.ask("explain"), "streamed")
		if n := r.decodes() - before - 2; n != 0 {
			t.Errorf("%s: %d decodes without an intent", name, n)
		}
		fail(disk, false)
		r.network.Run(3 * eventloop.Second)
		for _, key := range []string{"a", "c"} {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", key), "streamed")
		}
		before = r.decodes()
		r.virtual().Kill()
		r.startWithIntents(disk) // restores the acknowledged records and drops the truncated end of the log
		for _, key := range []string{"before", "a", "c"} {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", key), "409")
		}
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "b"), "streamed")
		if n := r.decodes() - before; n != 1 {
			t.Errorf("%s: %d decodes after the restart, want one", name, n)
		}
	}
}

// If the disk stalls between a prefill and its decode, the state at the prefill endpoint is released in time, the
// request is answered within its time limit, and no decode starts without a durable intent.
func TestStalledDiskReleasesPrefillState(t *testing.T) {
	for _, product := range []string{"review-post", "build-note"} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		disk := r.network.NewDisk()
		r.startWithIntents(disk)
		disk.SyncTime = 20 * eventloop.Second
		prefill := r.endpoints[0]
		var waitingSince, longest eventloop.Micros
		prefill.serve = func(c *fakeConn) {
			waitingSince = r.remote.Now()
			answerPrefill(c)
		}
		c := r.ask(product, "Idempotency-Key", "k")
		seen := 0
		r.network.AfterStep = func() {
			n := len(prefill.seen)
			if n == seen {
				return
			}
			seen = n
			if prefill.seen[n-1].target == "/v1/kv/release" && waitingSince > 0 {
				longest, waitingSince = max(longest, r.remote.Now()-waitingSince), 0
			}
		}
		r.expectFinal(c, "throttled")
		r.network.AfterStep = nil
		if waitingSince > 0 || longest == 0 || longest > milliseconds(r.deployment.Rules.LetGoMs) {
			t.Errorf("%s: a prefill state waited for %d ms (still there: %v)", product, longest/1000, waitingSince > 0)
		}
		if n := r.decodes(); n != 0 {
			t.Errorf("%s: %d decodes without an intent", product, n)
		}
		disk.SyncTime = eventloop.Millisecond
		r.network.Run(90 * eventloop.Second) // until the slow syncs that were started before are done
		r.expectFinal(r.ask(product, "Idempotency-Key", "m"), "streamed")
	}
}

// A dispatcher is killed during the decode of a side-effecting request with an idempotency key. If the next dispatcher
// has the intent store, it does not run the client's repeat. If there is no intent store, it runs the repeat.
func TestIntentSurvivesAKill(t *testing.T) {
	for _, durable := range []bool{false, true} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		disk := &memoryDisk{files: map[string][]byte{}}
		start := func(name string) {
			loop := r.network.NewLoop(name)
			disk.loop = loop
			r.startDispatcher(loop, func(config *Config) (err error) {
				config.Name = name
				if durable {
					config.IntentStore, err = store.Open(disk, store.DefaultLimits)
				}
				return err
			})
		}
		start("d.1")
		r.serveDecodes(streamFirstEvent)
		r.ask("review-post", "Idempotency-Key", "k")
		r.network.Run(200 * eventloop.Millisecond)
		if n := r.decodes(); n != 1 {
			t.Fatalf("durable %v: %d decodes", durable, n)
		}
		r.virtual().Kill()
		start("d.2")
		r.serveDecodes(answerDecode)
		want := map[bool]string{true: "409", false: "streamed"}[durable]
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), want)
		if twice := r.decodes() == 2; twice == durable {
			t.Errorf("durable %v: %d decodes", durable, r.decodes())
		}
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "other"), "streamed")
		if !durable {
			continue
		}
		before := r.decodes()
		disk.fails = true // a request whose intent can't be recorded is not run, and its client may retry it
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "third"), "throttled")
		r.expectFinal(r.ask("review-post"), "streamed")
		if n := r.decodes() - before; n != 1 {
			t.Errorf("%d more decodes, want 1", n)
		}
	}
}
