package store

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// memory is a Disk that keeps every state it went through: each operation as it was asked for, so that a crash at any byte
// of any of them can be made afterwards. Answers wait until they are let out.
type memory struct {
	files  map[string][]byte
	past   []operation
	answer []func()
	fault  error // of the operations from now on
	torn   int   // bytes that one which fails leaves written, at most
	told   int   // operations whose success was told
}

type operation struct {
	what, name string
	data       []byte
}

func newMemory() *memory { return &memory{files: map[string][]byte{}} }

func (m *memory) List() (names []string, err error) {
	for n := range m.files {
		names = append(names, n)
	}
	return names, nil
}
func (m *memory) Read(name string) ([]byte, error) {
	b, some := m.files[name]
	if !some {
		return nil, errors.New("no such file")
	}
	return slices.Clone(b), nil
}
func (m *memory) Truncate(name string, size int64) error {
	m.files[name] = m.files[name][:size]
	return nil
}
func (m *memory) do(o operation, done func(error)) {
	err := m.fault
	if err == nil {
		m.past = append(m.past, o)
		o.to(m.files, len(o.data))
	} else if n := min(m.torn, len(o.data)); o.what == "append" && n > 0 {
		o.to(m.files, n)
	}
	m.answer = append(m.answer, func() {
		if err == nil {
			m.told++
		}
		done(err)
	})
}

// to does an operation on files as far as some bytes of it.
func (o operation) to(files map[string][]byte, n int) {
	switch o.what {
	case "append":
		files[o.name] = append(slices.Clone(files[o.name]), o.data[:n]...)
	case "write":
		if n < len(o.data) {
			files[o.name+".part"] = o.data[:n]
		} else {
			delete(files, o.name+".part")
			files[o.name] = o.data
		}
	case "remove":
		delete(files, o.name)
	}
}
func (m *memory) Append(name string, b []byte, done func(error)) {
	m.do(operation{what: "append", name: name, data: slices.Clone(b)}, done)
}
func (m *memory) Write(name string, build func() []byte, done func(error)) {
	m.do(operation{what: "write", name: name, data: build()}, done)
}
func (m *memory) Remove(name string, done func(error)) {
	m.do(operation{what: "remove", name: name}, done)
}

// out lets answers out.
func (m *memory) out(n int) {
	for ; n > 0 && len(m.answer) > 0; n-- {
		a := m.answer[0]
		m.answer = m.answer[1:]
		a()
	}
}

func dump(s *Store) string {
	var b strings.Builder
	s.Scan("", func(k string, v []byte) bool { fmt.Fprintf(&b, "%s=%s;", k, v); return true })
	return b.String()
}

var small = Limits{MaxKeys: 1000, MaxBytes: 1 << 20, SegmentBytes: 1500, CompactAfterBytes: 4000}

// work runs random changes on a store and tells, for each record, what the whole should be after it; and for each
// operation of the disk how many records had been acknowledged before it, and submitted.
func work(t testing.TB, m *memory, records int, seed int64) (after []string, acked, submitted []int) {
	t.Helper()
	s, err := Open(m, small)
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewSource(seed))
	after = []string{dump(s)}
	done := 0
	note := func() {
		for len(acked) < len(m.past) {
			acked, submitted = append(acked, done), append(submitted, len(after)-1)
		}
	}
	for i := range records {
		var ops []Op
		for range 1 + chance.Intn(3) {
			o := Op{Key: fmt.Sprintf("k%02d\xff", chance.Intn(60))}
			if chance.Intn(4) > 0 {
				o.Value = []byte(fmt.Sprintf("%d.%d", i, chance.Intn(1000)))
			}
			ops = append(ops, o)
		}
		// The model is told first: the disk is asked within the call, and what it is asked for holds this record.
		before := len(after)
		after = append(after, "")
		n := i + 1
		if err := s.Commit(ops, nil, chance.Intn(5) == 0, func(err error) {
			if err == nil {
				done = n
			}
		}); err != nil {
			t.Fatal(err)
		}
		after[before] = dump(s)
		note()
		for chance.Intn(3) == 0 && len(m.answer) > 0 {
			m.out(1)
			note()
		}
	}
	s.Flush()
	for len(m.answer) > 0 {
		m.out(1)
		note()
	}
	if done != records || s.Stats.Snapshots < 3 {
		t.Fatalf("%d of %d acknowledged, %d snapshots", done, records, s.Stats.Snapshots)
	}
	return after, acked, submitted
}

// The files are cut at every byte of everything that was ever written, in appends, snapshots, renames and removals: what is
// recovered is what the records say up to some point, no acknowledged one is missing, none is there in part.
func TestCutAtEveryByte(t *testing.T) {
	m := newMemory()
	after, acked, submitted := work(t, m, 2000, 1)
	files := map[string][]byte{}
	cuts := 0
	for i, o := range m.past {
		for n := 0; n <= len(o.data); n++ {
			if o.what == "write" && n%7 != 0 && n < len(o.data)-3 {
				continue // the part file is never read; a seventh of its cuts says so well enough
			}
			torn := &memory{files: map[string][]byte{}}
			for name, b := range files {
				torn.files[name] = b
			}
			o.to(torn.files, n)
			s, err := Open(torn, small)
			if err != nil {
				t.Fatalf("operation %d (%s %s), cut at byte %d of %d: %v", i, o.what, o.name, n, len(o.data), err)
			}
			cuts++
			seq := int(s.seq)
			if seq < acked[i] || seq > submitted[i] || dump(s) != after[seq] {
				t.Fatalf("operation %d (%s %s), cut at byte %d of %d: record %d, acknowledged %d, submitted %d; whole as of it: %v", i, o.what, o.name, n,
					len(o.data), seq, acked[i], submitted[i], dump(s) == after[seq])
			}
			if n%97 == 0 { // and it can be written to again, and opened again
				ok := false
				if err := s.Commit([]Op{{"new", []byte("v")}}, nil, false, func(err error) { ok = err == nil }); err != nil {
					t.Fatal(err)
				}
				torn.out(100)
				again, err := Open(torn, small)
				if v, some := func() ([]byte, bool) {
					if err != nil {
						return nil, false
					}
					return again.Get("new")
				}(); !ok || !some || string(v) != "v" {
					t.Fatalf("operation %d, byte %d: after a restart the next write is lost: %v", i, n, err)
				}
			}
		}
		o.to(files, len(o.data))
	}
	t.Logf("%d operations of the disk, %d cuts", len(m.past), cuts)
}

// A bit flipped anywhere is found, or is in the last record of the log, which then counts as torn; never is anything returned
// that was not written.
func TestFlippedBits(t *testing.T) {
	m := newMemory()
	after, _, _ := work(t, m, 400, 2)
	found, last := 0, 0
	for name, b := range m.files {
		for i := range b {
			bad := &memory{files: map[string][]byte{}}
			for n, b := range m.files {
				bad.files[n] = b
			}
			bad.files[name] = slices.Clone(b)
			bad.files[name][i] ^= 1 << (i % 8)
			s, err := Open(bad, small)
			switch {
			case errors.Is(err, ErrCorrupt):
				found++
			case err != nil:
				t.Fatalf("%s byte %d: %v", name, i, err)
			case dump(s) != after[s.seq] || int(s.seq) < len(after)-2:
				t.Fatalf("%s byte %d: record %d of %d, whole as of it: %v", name, i, s.seq, len(after)-1, dump(s) == after[s.seq])
			default:
				last++
			}
		}
	}
	if found < 10*last {
		t.Errorf("%d found, %d in the last record", found, last)
	}
}

// After a write or sync that failed nothing is acknowledged any more, and nothing is tried again; what was acknowledged
// before is there after a restart. A snapshot that fails costs only space.
func TestDiskFails(t *testing.T) {
	for fail := range 60 {
		m := newMemory()
		s, _ := Open(m, small)
		acked := 0
		for i := range 200 {
			if i == fail*3 {
				m.fault = errors.New("no space left on device")
			}
			err := s.Commit([]Op{{fmt.Sprint("k", i%20), []byte(fmt.Sprint(i))}}, nil, false, func(err error) {
				if err == nil {
					if m.fault != nil && s.Err() != nil {
						t.Fatal("acknowledged after the failure")
					}
					acked = i + 1
				}
			})
			if err != nil && !errors.Is(err, ErrFailed) {
				t.Fatal(err)
			}
			m.out(1)
		}
		m.out(1000)
		if s.Repair(func(error) {}); s.Err() == nil {
			t.Fatal("a failed disk was not noticed")
		}
		m.out(1000) // there is no room for that either
		m.fault = nil
		m.out(1000)
		again, err := Open(m, small)
		if err != nil || int(again.seq) < acked {
			t.Fatalf("fault at %d: %v, record %d, %d acknowledged", fail*3, err, again.seq, acked)
		}
	}
}

// A disk that writes short, fails a sync or has no room, again and again, and each time has room again: nothing that was
// acknowledged is lost, what was refused is not there, the store takes writes again without being opened anew, and a start finds
// the same, whatever stood at the torn end of the log.
func TestHealsWhenThereIsRoom(t *testing.T) {
	for seed := range int64(60) {
		chance := rand.New(rand.NewSource(seed))
		m := newMemory()
		s, _ := Open(m, small)
		want := map[string]string{}
		for round := range 12 {
			for range 1 + chance.Intn(60) {
				key, value := fmt.Sprint("k", chance.Intn(30)), fmt.Sprint(chance.Intn(1000))
				if err := s.Commit([]Op{{key, []byte(value)}}, nil, false, func(err error) {
					if err == nil {
						want[key] = value
					}
				}); err != nil {
					t.Fatalf("seed %d, round %d: %v", seed, round, err)
				}
				if chance.Intn(3) == 0 {
					m.out(1 + chance.Intn(4))
				}
			}
			m.out(1000)
			m.torn, m.fault = chance.Intn(40), errors.New("no space left on device")
			lost := 0
			for i := range 3 {
				if err := s.Commit([]Op{{fmt.Sprint("k", i), []byte("never")}, {"new", []byte("never")}}, nil, chance.Intn(2) == 0, func(err error) {
					if err != nil {
						lost++
					}
				}); err != nil && !errors.Is(err, ErrFailed) {
					t.Fatal(err)
				}
				m.out(chance.Intn(2))
			}
			s.Flush()
			m.out(1000)
			if lost == 0 {
				t.Fatalf("seed %d: nothing was refused", seed)
			}
			tried := chance.Intn(3)
			for range tried {
				s.Repair(func(err error) {
					if err == nil {
						t.Error("healed on a disk without room")
					}
				})
				m.out(10)
			}
			m.fault = nil
			if chance.Intn(4) == 0 { // it dies, instead
				if s, _ = Open(m, small); s == nil || s.index.Len() < len(want) {
					t.Fatalf("seed %d: something is lost", seed)
				}
				for i := range 30 { // what was refused may be there or not; what was acknowledged is, unless it was replaced
					if v, some := s.Get(fmt.Sprint("k", i)); want[fmt.Sprint("k", i)] != "" && (!some || string(v) != want[fmt.Sprint("k", i)] && string(v) != "never") {
						t.Fatalf("seed %d: k%d is %s, not %s", seed, i, v, want[fmt.Sprint("k", i)])
					}
				}
				want = map[string]string{}
				s.Scan("", func(k string, v []byte) bool { want[k] = string(v); return true })
				continue
			}
			s.Repair(func(err error) {
				if err != nil {
					t.Error(err)
				}
			})
			m.out(1000)
			for _, now := range []*Store{s, reopened(t, m)} {
				if now.Len() != len(want) || now.Err() != nil {
					t.Fatalf("seed %d, round %d: %d keys, not %d, failed %v", seed, round, now.Len(), len(want), now.Err())
				}
				for k, v := range want {
					if got, _ := now.Get(k); string(got) != v {
						t.Fatalf("seed %d, round %d: %s is %q, not %q", seed, round, k, got, v)
					}
				}
			}
			if s.bytes != reopened(t, m).bytes {
				t.Fatalf("seed %d: %d bytes are counted", seed, s.bytes)
			}
		}
	}
}

// reopened is what a start would find; the disk is left as it is.
func reopened(t *testing.T, m *memory) *Store {
	t.Helper()
	c := newMemory()
	for name, b := range m.files {
		c.files[name] = b
	}
	s, err := Open(c, small)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Conditions, bounds and transactions: all or nothing.
func TestConditionsAndBounds(t *testing.T) {
	m := newMemory()
	s, _ := Open(m, Limits{MaxKeys: 3, MaxBytes: 100, SegmentBytes: 1000, CompactAfterBytes: 1000})
	must := func(want error, ops []Op, ifs ...Condition) {
		t.Helper()
		if err := s.Commit(ops, ifs, false, nil); !errors.Is(err, want) {
			t.Errorf("%v: got %v, want %v", ops, err, want)
		}
		m.out(10)
	}
	must(nil, []Op{{"a", []byte("1")}}, Condition{"a", nil})
	must(ErrConflict, []Op{{"a", []byte("2")}, {"b", []byte("2")}}, Condition{"a", nil})
	must(ErrConflict, []Op{{"a", []byte("2")}}, Condition{"a", []byte("0")})
	must(nil, []Op{{"a", []byte("2")}, {"b", []byte("2")}}, Condition{"a", []byte("1")}, Condition{"b", nil})
	must(ErrFull, []Op{{"c", []byte("3")}, {"d", []byte("4")}})
	must(ErrFull, []Op{{"c", make([]byte, 200)}})
	must(nil, []Op{{"b", nil}})
	must(nil, []Op{{"c", []byte("3")}})
	if got := dump(s); got != "a=2;c=3;" {
		t.Errorf("it holds %s", got)
	}
}

// The index against a plain map, with snapshots that must stay as they were.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, plain := &Index{}, map[string]string{}
		type kept struct {
			snap *Index
			want string
		}
		var snaps []kept
		sorted := func() string {
			var b strings.Builder
			keys := []string{}
			for k := range plain {
				keys = append(keys, k)
			}
			slices.Sort(keys)
			for _, k := range keys {
				b.WriteString(k + "=" + plain[k] + ";")
			}
			return b.String()
		}
		all := func(x *Index, prefix string) string {
			var b strings.Builder
			x.Scan(prefix, func(k string, v []byte) bool { b.WriteString(k + "=" + string(v) + ";"); return true })
			return b.String()
		}
		chance := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		for i := range 3000 {
			k := fmt.Sprintf("%03x", chance.Intn(1200))
			if chance.Intn(3) == 0 {
				_, some := plain[k]
				if x.Delete(k) != some {
					t.Fatal("delete")
				}
				delete(plain, k)
			} else {
				_, some := plain[k]
				if x.Set(k, []byte(fmt.Sprint(i))) == some {
					t.Fatal("set")
				}
				plain[k] = fmt.Sprint(i)
			}
			if chance.Intn(500) == 0 {
				snaps = append(snaps, kept{x.Snapshot(), sorted()})
			}
		}
		if x.Len() != len(plain) || all(x, "") != sorted() {
			t.Fatal("it differs from the plain one")
		}
		for k, v := range plain {
			if got, some := x.Get(k); !some || string(got) != v {
				t.Fatal("get")
			}
		}
		for _, s := range snaps {
			if all(s.snap, "") != s.want {
				t.Fatal("a snapshot has changed")
			}
		}
		if got := all(x, "0a"); got != all(&Index{}, "") && !strings.HasPrefix(got, "0a") {
			t.Fatal("scan by prefix")
		}
	})
}

// Over real files: two processes can't share a folder, and what was acknowledged is there again.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	posted := make(chan func(), 1000)
	f, err := OpenFiles(dir, func(g func()) { posted <- g })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFiles(dir, nil); err == nil {
		t.Fatal("a second process was let in")
	}
	s, err := Open(f, small)
	if err != nil {
		t.Fatal(err)
	}
	acked := 0
	for i := range 500 {
		if err := s.Commit([]Op{{fmt.Sprint("k", i), []byte(strings.Repeat("v", 30))}}, nil, false, func(err error) {
			if err == nil {
				acked++
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	for acked < 500 {
		select {
		case g := <-posted:
			g()
		case <-time.After(10 * time.Second):
			t.Fatalf("%d acknowledged", acked)
		}
	}
	want := dump(s)
	f.Close()
	f, err = OpenFiles(dir, func(g func()) { posted <- g })
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if s, err = Open(f, small); err != nil || dump(s) != want || s.Len() != 500 {
		t.Fatalf("%v; %d keys", err, s.Len())
	}
}

// Two snapshots fail with nothing written between them; what is acknowledged afterwards is there at the next start.
func TestTwoFailedSnapshots(t *testing.T) {
	m := newMemory()
	s, _ := Open(m, small)
	commit := func(v string) {
		t.Helper()
		if err := s.Commit([]Op{{"k", []byte(v)}}, nil, false, func(err error) {
			if err != nil {
				t.Error(err)
			}
		}); err != nil {
			t.Fatal(err)
		}
		m.out(10)
	}
	commit("1")
	m.fault = errors.New("no space left on device")
	for range 2 {
		s.Compact(nil)
		m.out(10)
	}
	m.fault = nil
	commit("2")
	again, err := Open(m, small)
	if err != nil || dump(again) != "k=2;" {
		t.Fatalf("opened again: %v", err)
	}
}
