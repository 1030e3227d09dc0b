package dispatch

import (
	"errors"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/store"
	"plumspindle/internal/virtual"
)

// memoryDisk is a Disk in memory that answers after the call.
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

func (d *memoryDisk) Remove(name string, done func(error)) { delete(d.files, name); d.finish(done) }

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

// The disk has no room, writes short, or fails a sync, while keyed generations come: none runs whose record is not kept, what
// needs none goes on, and once there is room again, keyed ones run without a restart. What was refused is free to run.
func TestKeyedRequestsNeedADurableIntent(t *testing.T) {
	for name, fail := range map[string]func(f *virtual.Disk, on bool){
		"no room": func(f *virtual.Disk, on bool) {
			f.Capacity = 0
			if on {
				f.Capacity = f.Used() + 20
			}
		},
		"a failed sync": func(f *virtual.Disk, on bool) {
			f.PartialWrites, f.Failure = on, nil
			if on {
				f.Failure = errors.New("input/output error")
			}
		},
	} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		f := r.world.NewDisk()
		r.startWithIntents(f)
		writes := func() int { return r.endpoints[1].attempts() + r.endpoints[2].attempts() }
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "before"), "streamed")
		fail(f, true)
		n := writes()
		for _, key := range []string{"a", "b", "a"} {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", key), "throttled")
		}
		r.expectFinal(r.ask("review-post"), "streamed")
		r.expectFinal(r.ask("explain"), "streamed")
		if writes() != n+2 {
			t.Errorf("%s: %d writes without a record", name, writes()-n-2)
		}
		fail(f, false)
		r.world.Run(3 * eventloop.Second)
		for _, key := range []string{"a", "c"} {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", key), "streamed")
		}
		n = writes()
		r.virtual().Kill()
		r.startWithIntents(f) // what was acknowledged is there, and the torn tail is gone
		for _, key := range []string{"before", "a", "c"} {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", key), "409")
		}
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "b"), "streamed")
		if writes() != n+1 {
			t.Errorf("%s: after the restart %d writes, want one", name, writes()-n)
		}
	}
}

// The disk stalls between a read and its write: the state that waits at the reader is let go within its time all the same, the
// generation is answered within its own, and nothing runs without its record.
func TestStalledDiskReleasesPrefillState(t *testing.T) {
	for _, product := range []string{"review-post", "build-note"} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		f := r.world.NewDisk()
		r.startWithIntents(f)
		f.SyncTime = 20 * eventloop.Second
		var since eventloop.Micros
		most := eventloop.Micros(0)
		r.endpoints[0].serve = func(l *fakeConn) {
			since = r.remote.Now()
			answerPrefill(l)
		}
		c := r.ask(product, "Idempotency-Key", "k")
		seen := 0
		r.world.AfterStep = func() {
			if n := len(r.endpoints[0].seen); n > seen {
				seen = n
				if r.endpoints[0].seen[n-1].target == "/v1/kv/release" && since > 0 {
					most, since = max(most, r.remote.Now()-since), 0
				}
			}
		}
		r.expectFinal(c, "throttled")
		r.world.AfterStep = nil
		if since > 0 || most == 0 || most > eventloop.Micros(r.deployment.Rules.LetGoMs)*eventloop.Millisecond {
			t.Errorf("%s: a state waited for %d ms (still held: %v)", product, most/1000, since > 0)
		}
		if n := r.endpoints[1].attempts() + r.endpoints[2].attempts(); n != 0 {
			t.Errorf("%s: %d writes without a record", product, n)
		}
		f.SyncTime = eventloop.Millisecond
		r.world.Run(90 * eventloop.Second) // what it was asked for takes its time
		r.expectFinal(r.ask(product, "Idempotency-Key", "m"), "streamed")
	}
}

// A dispatcher is killed while a keyed, side-effecting generation is being written. Its next life does not run the client's
// repeat; without the record of intents it does.
func TestIntentSurvivesAKill(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		r := newHarness(t, nil, "prefill west", "decode west", "decode west")
		disk := &memoryDisk{loop: r.remote, files: map[string][]byte{}}
		life := func(name string) {
			loop := r.world.NewLoop(name)
			r.loop, disk.loop = loop, loop
			post := Config{Name: name, Zone: "west", Seed: 1, CachedEndpoints: [][]byte{r.cachedList}, Log: zerolog.Nop()}
			loop.Do(func() {
				var err error
				if keeps {
					if post.Intents, err = store.Open(disk, store.DefaultLimits); err != nil {
						t.Fatal(err)
					}
				}
				if r.dispatcher, err = Start(loop, r.deployment, post); err != nil {
					t.Fatal(err)
				}
				ln, err := loop.Listen("127.0.0.1:0", r.dispatcher.Frontend().Accept)
				if err != nil {
					t.Fatal(err)
				}
				r.addr = ln.Addr()
			})
		}
		life("d.1")
		for _, h := range r.endpoints[1:] {
			h.serve = func(l *fakeConn) { l.stream(chunkEvent("Lamu ", "")) }
		}
		writes := func() int { return r.endpoints[1].attempts() + r.endpoints[2].attempts() }
		r.ask("review-post", "Idempotency-Key", "k")
		r.world.Run(200 * eventloop.Millisecond)
		if writes() != 1 {
			t.Fatalf("keeps %v: written %d times", keeps, writes())
		}
		r.virtual().Kill()
		life("d.2")
		for _, h := range r.endpoints[1:] {
			h.serve = answerDecode
		}
		if keeps {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "409")
		} else {
			r.expectFinal(r.ask("review-post", "Idempotency-Key", "k"), "streamed")
		}
		if twice := writes() == 2; twice == keeps {
			t.Errorf("keeps %v: written %d times", keeps, writes())
		}
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "other"), "streamed")
		if !keeps {
			continue
		}
		before := writes()
		disk.fails = true // what can't be kept is not run, and may come again
		r.expectFinal(r.ask("review-post", "Idempotency-Key", "third"), "throttled")
		r.expectFinal(r.ask("review-post"), "streamed")
		if writes() != before+1 {
			t.Errorf("written %d times more", writes()-before)
		}
	}
}
