package dispatch

import (
	"errors"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/internal/seam"
	"plumspindle/internal/store"
	"plumspindle/internal/virtual"
)

// keeper starts a dispatcher anew, with its intents in a folder of the world.
func (r *rig) keeper(f *virtual.Folder) {
	r.t.Helper()
	loop := r.w.Loop("kept")
	r.loop = loop
	loop.Do(func() {
		intents, err := store.Open(f.For(loop), store.Usual)
		if err != nil {
			r.t.Fatal(err)
		}
		if r.x, err = Start(loop, r.d, Post{Name: "kept", Zone: "west", Seed: 1, Kept: [][]byte{r.kept}, Log: zerolog.Nop(), Intents: intents}); err != nil {
			r.t.Fatal(err)
		}
		ln, err := loop.Listen("127.0.0.1:0", r.x.Front().Accept)
		if err != nil {
			r.t.Fatal(err)
		}
		r.addr = ln.Addr()
	})
}

// The disk has no room, writes short, or fails a sync, while keyed generations come: none runs whose record is not kept, what
// needs none goes on, and once there is room again, keyed ones run without a restart. What was refused is free to run.
func TestDiskWithoutRoom(t *testing.T) {
	for name, fail := range map[string]func(f *virtual.Folder, on bool){
		"no room": func(f *virtual.Folder, on bool) {
			f.Room = 0
			if on {
				f.Room = f.Used() + 20
			}
		},
		"a failed sync": func(f *virtual.Folder, on bool) {
			f.Torn, f.Fault = on, nil
			if on {
				f.Fault = errors.New("input/output error")
			}
		},
	} {
		r := newRig(t, nil, "prefill west", "decode west", "decode west")
		f := r.w.Folder()
		r.keeper(f)
		writes := func() int { return r.hosts[1].legs() + r.hosts[2].legs() }
		r.ends(r.ask("review-post", "Idempotency-Key", "before"), "streamed")
		fail(f, true)
		n := writes()
		for _, key := range []string{"a", "b", "a"} {
			r.ends(r.ask("review-post", "Idempotency-Key", key), "throttled")
		}
		r.ends(r.ask("review-post"), "streamed")
		r.ends(r.ask("explain"), "streamed")
		if writes() != n+2 {
			t.Errorf("%s: %d writes without a record", name, writes()-n-2)
		}
		fail(f, false)
		r.w.Run(3 * seam.Second)
		for _, key := range []string{"a", "c"} {
			r.ends(r.ask("review-post", "Idempotency-Key", key), "streamed")
		}
		n = writes()
		r.virtual().Kill()
		r.keeper(f) // what was acknowledged is there, and the torn tail is gone
		for _, key := range []string{"before", "a", "c"} {
			r.ends(r.ask("review-post", "Idempotency-Key", key), "409")
		}
		r.ends(r.ask("review-post", "Idempotency-Key", "b"), "streamed")
		if writes() != n+1 {
			t.Errorf("%s: after the restart %d writes, want one", name, writes()-n)
		}
	}
}

// The disk stalls between a read and its write: the state that waits at the reader is let go within its time all the same, the
// generation is answered within its own, and nothing runs without its record.
func TestDiskStalls(t *testing.T) {
	for _, product := range []string{"review-post", "build-note"} {
		r := newRig(t, nil, "prefill west", "decode west", "decode west")
		f := r.w.Folder()
		r.keeper(f)
		f.Sync = 20 * seam.Second
		var since seam.Micros
		most := seam.Micros(0)
		r.hosts[0].serve = func(l *line) {
			since = r.far.Now()
			read(l)
		}
		c := r.ask(product, "Idempotency-Key", "k")
		seen := 0
		r.w.Watch = func() {
			if n := len(r.hosts[0].seen); n > seen {
				seen = n
				if r.hosts[0].seen[n-1].target == "/v1/kv/release" && since > 0 {
					most, since = max(most, r.far.Now()-since), 0
				}
			}
		}
		r.ends(c, "throttled")
		r.w.Watch = nil
		if since > 0 || most == 0 || most > seam.Micros(r.d.Rules.LetGoMs)*seam.Millisecond {
			t.Errorf("%s: a state waited for %d ms (still held: %v)", product, most/1000, since > 0)
		}
		if n := r.hosts[1].legs() + r.hosts[2].legs(); n != 0 {
			t.Errorf("%s: %d writes without a record", product, n)
		}
		f.Sync = seam.Millisecond
		r.w.Run(90 * seam.Second) // what it was asked for takes its time
		r.ends(r.ask(product, "Idempotency-Key", "m"), "streamed")
	}
}
