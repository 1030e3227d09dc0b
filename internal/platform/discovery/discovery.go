// Package discovery follows the platform's discovery: the list of model hosts as it was last known, and what changes in it. It relies on
// package subscribe for the connection, and never decides what to do about a host.
package discovery

import (
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/starttimes"
	"plumspindle/internal/subscribe"
	"plumspindle/scheduler"
)

// What a watch that fell silent misses counts as told 6 s later, and so does what could have been had after a call that failed. The
// agent shows every two seconds that it is there: half as much again, and two tries that are lost, leave a second of the six.
const (
	silence = 3 * eventloop.Second
	// The agent stands on this very machine and answers at once and at no cost, or is away.
	answer = 500 * eventloop.Millisecond
	least  = 40 * eventloop.Millisecond
	again  = 400 * eventloop.Millisecond
	// A host's number is not given to another for so long after it is gone: longer than the module remembers hosts.
	numberKept = 1800 * eventloop.Second
	// What a newer list told of a host is held against an older list for so long: discovery may be asked at another place that lags, or may
	// have begun to count anew.
	newestKept = 60 * eventloop.Second
)

// Entry is one model host, as the list has it.
type Entry struct {
	ID         scheduler.EndpointID
	Name       string
	Addr       string
	Zone, Kind string
	Cell       scheduler.CellID
	State      scheduler.EndpointState
	StartedAt  scheduler.Micros // on this process's clock; 0: long ago
	start      starttimes.Start
}

// Watcher keeps the list.
type Watcher struct {
	client  *subscribe.Client
	loop    eventloop.Loop
	version uint64
	newest  uint64 // the highest version that was ever told
	numbers map[scheduler.EndpointID]*number
	news    func(entries []Entry, whole bool)
	log     func(line string)
	forgot  eventloop.Micros
	speaks  bool   // discovery has told a list since this process began
	Updates uint64 // lists and changes
}

type number struct {
	name string
	gone eventloop.Micros // since when it is not listed; 0: it is
	// As the newest list had it, and when.
	start    starttimes.Start
	retired  bool // it wants nothing new
	listedAt eventloop.Micros
}

// New makes one that has not asked yet; news are told as they come.
func New(loop eventloop.Loop, seed int64, addr string, news func([]Entry, bool), log func(string)) *Watcher {
	w := &Watcher{loop: loop, numbers: map[scheduler.EndpointID]*number{}, news: news, log: log}
	c := subscribe.NewClient(loop, seed, addr)
	c.Name, c.LineDelimited, c.Standby, c.Log = "discovery", true, true, log
	c.Silence, c.ResponseTimeout, c.MinRetryDelay, c.RetryDelay = silence, answer, least, again
	c.Target = func() string { return "/discovery/hosts?stream=1&index=" + strconv.FormatUint(w.version, 10) }
	c.OnMessage = w.Apply
	c.OnReset = func() { w.version = 0 }
	w.client = c
	return w
}

// Start asks from the version known on; Move asks at another address.
func (w *Watcher) Start()                 { w.client.Subscribe() }
func (w *Watcher) SetAddress(addr string) { w.client.SetAddress(addr) }
func (w *Watcher) Close()                 { w.client.Close() }

// Connected tells whether discovery speaks.
func (w *Watcher) Connected() bool { return w.client.Connected() }

var conditions = map[string]scheduler.EndpointState{"SERVING": scheduler.Ready, "DRAINING": scheduler.Draining, "DELETED": scheduler.Removed}

// Apply takes one list, or the changes since the one before.
func (w *Watcher) Apply(line []byte) error {
	err := w.ApplyCached(line)
	w.speaks = w.speaks || err == nil
	return err
}

// ApplyCached takes a list that discovery told to an earlier process.
func (w *Watcher) ApplyCached(line []byte) error {
	list := gjson.ParseBytes(line)
	if !gjson.ValidBytes(line) || !list.Get("servers").IsArray() {
		w.version = 0 // what it said is not known: the whole list is asked for
		return fmt.Errorf("a list that can't be read: %.60q", line)
	}
	version, whole := list.Get("version").Uint(), list.Get("full").Bool()
	if !whole && version < w.version {
		have := w.version
		w.version = 0
		return fmt.Errorf("a change of version %d, where version %d is known", version, have)
	}
	var entries []Entry
	now := w.loop.Now()
	ahead := clockAhead(list, now)
	for i, s := range list.Get("servers").Array() {
		e, err := w.entry(s, now)
		if err != nil { // one that can't be read must not cost the others
			w.log(fmt.Sprintf("discovery: entry %d of version %d: %v; it is passed over", i, version, err))
			continue
		}
		e.start = starttimes.Next(w.numbers[e.ID].start, stampOf(s), now, ahead, w.speaks)
		w.keepNewest(&e, version, now)
		e.StartedAt = e.start.At
		entries = append(entries, e)
	}
	w.version = version
	w.newest = max(w.newest, version)
	w.Updates++
	w.forget(now)
	if whole {
		w.unlisted(entries, now)
	}
	if len(entries) > 0 || whole {
		w.news(entries, whole)
	}
	return nil
}

// keepNewest does not let an older list take back what a newer one told: that a host wants nothing new, or has started anew. It was told,
// and counts.
func (w *Watcher) keepNewest(e *Entry, version uint64, now eventloop.Micros) {
	n := w.numbers[e.ID]
	if version < w.newest && now-n.listedAt < newestKept {
		if n.retired && e.start.Timestamp <= n.start.Timestamp {
			e.State = scheduler.Draining
		}
		e.start = n.start
		return
	}
	n.start, n.retired, n.listedAt = e.start, e.State != scheduler.Ready, now
}

// clockAhead is by how much the clock of a list is ahead of this process's.
func clockAhead(list gjson.Result, now eventloop.Micros) eventloop.Micros {
	var stamps []eventloop.Micros
	for _, s := range list.Get("servers").Array() {
		stamps = append(stamps, stampOf(s))
	}
	return starttimes.ClockSkew(now, stamps...)
}

// stampOf is when an entry says that its host started.
func stampOf(entry gjson.Result) eventloop.Micros {
	return eventloop.Micros(min(entry.Get("started_ms").Int(), math.MaxInt64/2000)) * eventloop.Millisecond
}

func (w *Watcher) entry(s gjson.Result, now eventloop.Micros) (e Entry, err error) {
	e = Entry{Name: s.Get("id").String(), Addr: s.Get("addr").String(), Zone: s.Get("zone").String(), Kind: s.Get("kind").String()}
	if e.Name == "" {
		return e, fmt.Errorf("no id in %.80q", s.Raw)
	}
	cell := s.Get("cell").Int()
	if cell < 0 || cell > math.MaxUint16 {
		return e, fmt.Errorf("host %s: cell %d is out of range", e.Name, cell)
	}
	e.Cell = scheduler.CellID(cell)
	condition, known := conditions[s.Get("state").String()]
	if !known { // whatever it is, it is not said to serve
		w.log(fmt.Sprintf("discovery: host %s: unknown state %.20q; nothing new is sent there", e.Name, s.Get("state").String()))
		condition = scheduler.Draining
	}
	e.State = condition
	e.ID = w.EndpointID(e.Name)
	n := w.numbers[e.ID]
	if n.gone = 0; condition == scheduler.Removed {
		n.gone = now
	}
	return e, nil
}

// EndpointID is a hash of the id and nothing else, as a prefix's home is found by it, alike at every dispatcher and after a restart.
// Where two ids have the same hash the later one is hashed again: they must not become one host.
func (w *Watcher) EndpointID(name string) scheduler.EndpointID {
	text := name
	for {
		id := scheduler.EndpointID(xxhash.Sum64String(text))
		n := w.numbers[id]
		if n == nil {
			w.numbers[id] = &number{name: name}
			return id
		}
		if n.name == name {
			return id
		}
		text += "+"
	}
}

// unlisted marks what a whole list leaves out.
func (w *Watcher) unlisted(entries []Entry, now eventloop.Micros) {
	listed := map[scheduler.EndpointID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
	}
	for id, n := range w.numbers {
		if n.gone == 0 && !listed[id] {
			n.gone, n.retired, n.listedAt = now, true, now
		}
	}
}

// forget drops the numbers of hosts that are long gone: they are replaced under new ids for months.
func (w *Watcher) forget(now eventloop.Micros) {
	if now-w.forgot < numberKept/10 {
		return
	}
	w.forgot = now
	for id, n := range w.numbers {
		if n.gone > 0 && now-n.gone > numberKept {
			delete(w.numbers, id)
		}
	}
}
