// Package modelserver are the laboratory's stand-ins: model hosts that read and write by the brief's model, and the
// roster that lists them. They compute nothing; they take the time, slots and memory that the real ones would.
package modelserver

import (
	"fmt"
	"math/rand"
	"strconv"

	"plumspindle/internal/deployment"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/testbed/record"
)

// Fleet is a set of stand-in hosts on one loop, with their roster.
type Fleet struct {
	loop      eventloop.Loop
	d         deployment.Deployment
	rand      *rand.Rand
	book      *record.Recorder
	Endpoints []*Endpoint
	links     map[uint16]*eventloop.Micros // when the link out of a cell is next free
	Discovery *Discovery
}

// Start brings up the whole fleet of a deployment, warm, with its roster if that has an address; it is called within the
// loop.
func Start(loop eventloop.Loop, d deployment.Deployment, seed int64, rosterAddr string, book *record.Recorder) (*Fleet, error) {
	if d.Fleet == nil {
		return nil, deployment.ErrNoFleet
	}
	f := &Fleet{loop: loop, d: d, rand: rand.New(rand.NewSource(seed)), book: book, links: map[uint16]*eventloop.Micros{}}
	id := uint32(100)
	for z, zone := range d.Zones {
		cells := int(d.Fleet.CellsPerZone)
		for _, g := range d.Fleet.Groups {
			for i := range int(g.HostsPerZone) {
				id += 1 + uint32(f.rand.Intn(7)) // ids carry no meaning
				cell := uint16(z*cells + i%cells)
				if f.links[cell] == nil {
					f.links[cell] = new(eventloop.Micros)
				}
				h := &Endpoint{fleet: f, ID: id, Zone: zone, Cell: cell, group: g, kind: kindOf(d, g.Kind), slow: 1}
				f.Endpoints = append(f.Endpoints, h)
				if err := h.up(0); err != nil {
					return nil, err
				}
			}
		}
	}
	if rosterAddr == "" {
		return f, nil
	}
	var err error
	f.Discovery, err = NewDiscovery(loop, rosterAddr, f.Entries(), book)
	return f, err
}

// Entries are all hosts' lines in the list.
func (f *Fleet) Entries() (all []endpoints.Entry) {
	for _, h := range f.Endpoints {
		all = append(all, h.Entry("ready"))
	}
	return all
}

func kindOf(d deployment.Deployment, name string) *pb.Kind {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Pick draws a share of the hosts of a kind, one at least; of all kinds if none is named.
func (f *Fleet) Pick(kind string, share float64) (some []*Endpoint) {
	for _, h := range f.Endpoints {
		if (kind == "" || h.kind.Name == kind) && h.alive {
			some = append(some, h)
		}
	}
	f.rand.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	n := int(share*float64(len(some)) + 0.5)
	return some[:min(max(n, 1), len(some))]
}

// Replace ends a share of the hosts and has as many others, with ids and addresses of their own, take their places.
func (f *Fleet) Replace(share float64) error {
	if share == 0 {
		return nil
	}
	last := f.Endpoints[len(f.Endpoints)-1].ID
	for _, old := range f.Pick("", share) {
		old.Crash(0)
		last += 1 + uint32(f.rand.Intn(7))
		h := &Endpoint{fleet: f, ID: last, Zone: old.Zone, Cell: old.Cell, group: old.group, kind: old.kind, slow: 1}
		if err := h.up(f.loop.Now()); err != nil {
			return err
		}
		f.Endpoints = append(f.Endpoints, h)
		f.changed(h, "ready")
	}
	return nil
}

// Partition parts a zone from all others for a while: what crosses is neither answered nor read.
func (f *Fleet) Partition(zone string, span eventloop.Micros) {
	for _, h := range f.Endpoints {
		h.cut = zone
	}
	f.loop.AfterFunc(span, func() {
		for _, h := range f.Endpoints {
			h.cut = ""
			h.thaw()
		}
	})
}

// Summary is what each host has under way.
func (f *Fleet) Summary() (lines []string) {
	for _, h := range f.Endpoints {
		line := fmt.Sprint(h.ID, h.alive, h.draining, h.frozen, h.hung, len(h.waiting), len(h.states))
		for _, j := range h.running {
			line += fmt.Sprint(" ", j.leg, j.toRead, j.sent, j.fetching)
		}
		lines = append(lines, line)
	}
	return lines
}

// Close ends all.
func (f *Fleet) Close() {
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	for _, h := range f.Endpoints {
		h.down()
	}
}

// TokenText is the i-th token that any writer gives for a generation, so that a client can check each byte.
func TokenText(client string, i int) string {
	h := uint32(2166136261)
	for k := range len(client) {
		h = (h ^ uint32(client[k])) * 16777619
	}
	h = (h ^ uint32(i)) * 16777619
	if h%13 == 0 {
		return " é" + strconv.FormatUint(uint64(h%997), 36)
	}
	return " " + strconv.FormatUint(uint64(h%99991), 36)
}

// AnswerLength is how many tokens the answer of a generation has.
func AnswerLength(client string, most int) int {
	h := uint32(97)
	for k := range len(client) {
		h = (h ^ uint32(client[k])) * 16777619
	}
	return 1 + int(h>>8)%max(most, 1)
}

func (f *Fleet) note(h *Endpoint, what string, j *job) {
	if f.book == nil {
		return
	}
	e := record.Event{At: int64(f.loop.Now()), Type: what, Endpoint: h.ID, Kind: h.kind.Name, Zone: h.Zone, Cell: h.Cell}
	if j != nil {
		e.Attempt, e.Request, e.Dispatcher, e.Product, e.Count = j.leg, j.client, j.dispatcher, j.product, int64(j.prompt)
		if j.reads {
			e.Detail = "read"
		} else {
			e.Detail = "write"
		}
	}
	switch what {
	case "leg":
		e.Value = j.work
	case "refuse":
		e.Detail = h.said
	case "up":
		e.Count = int64(h.started)
	}
	f.book.Add(e)
}

// Kind is the name of a host's kind.
func (h *Endpoint) Kind() string { return h.kind.Name }

// Outstanding is what all hosts that live have for generations: jobs, states that wait to be fetched, tokens of memory.
func (f *Fleet) Outstanding() (jobs, states, tokens int) {
	for _, h := range f.Endpoints {
		if h.alive {
			jobs, states, tokens = jobs+len(h.running)+len(h.waiting), states+len(h.states), tokens+h.used
		}
	}
	return jobs, states, tokens
}

// Stage tells where a client's generation stands, and at which host: waiting, reading, fetching or writing; read where its state waits.
func (f *Fleet) Stage(client string) (stage string, at *Endpoint) {
	for _, h := range f.Endpoints {
		if !h.alive {
			continue
		}
		for _, s := range h.states {
			if s.job.client == client {
				stage, at = "read", h
			}
		}
	}
	for _, h := range f.Endpoints {
		for _, j := range h.waiting {
			if j.client == client {
				return "waiting", h
			}
		}
		for _, j := range h.running {
			switch {
			case j.client != client:
			case j.fetching:
				return "fetching", h
			case j.toRead > 0:
				return "reading", h
			default:
				return "writing", h
			}
		}
	}
	return stage, at
}
