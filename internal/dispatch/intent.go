package dispatch

import (
	"encoding/binary"
	"slices"

	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/engine"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/idempotency"
	"plumspindle/internal/lifecycle"
	"plumspindle/internal/store"
	"plumspindle/scheduler"
)

// Intents: a generation with a key that counts is written down before its write goes out, so that a client that repeats it
// after this dispatcher died is not served a second run. What is kept of one is its request's digest, when it is forgotten
// (0: it was running) and how long it is remembered after its end.
const (
	intentPrefix = "intent/"
	intentLen    = 24
)

func intentValue(request uint64, until, window eventloop.Micros) []byte {
	b := binary.LittleEndian.AppendUint64(nil, request)
	b = binary.LittleEndian.AppendUint64(b, uint64(until))
	return binary.LittleEndian.AppendUint64(b, uint64(window))
}

// recall reads what an earlier life kept. What was running when it died may have run; it is remembered from now on.
func (x *Dispatcher) recall() {
	if x.post.Intents == nil {
		return
	}
	type past struct {
		key           idempotency.Key
		request       uint64
		until, window eventloop.Micros
	}
	var all []past
	now := x.loop.Now()
	x.post.Intents.Scan(intentPrefix, func(key string, v []byte) bool {
		if len(v) != intentLen || len(key) != len(intentPrefix)+len(idempotency.Key{}) {
			return true
		}
		i := past{request: binary.LittleEndian.Uint64(v), until: eventloop.Micros(binary.LittleEndian.Uint64(v[8:])), window: eventloop.Micros(binary.LittleEndian.Uint64(v[16:]))}
		copy(i.key[:], key[len(intentPrefix):])
		if i.until == 0 || i.until > now+i.window { // running; or the clock was ahead then, and a window is enough
			i.until = now + i.window
		}
		all = append(all, i)
		return true
	})
	slices.SortStableFunc(all, func(a, b past) int { return int(a.until - b.until) })
	for _, i := range all {
		x.repeats.Restore(i.key, i.request, i.until, i.window)
	}
	x.repeats.OnForget = func(k idempotency.Key) {
		_ = x.post.Intents.Commit([]store.Op{{Key: intentPrefix + string(k[:])}}, nil, true, nil) // one kept too long does no harm
	}
	x.post.Log.Info().Int("keys", len(all)).Msg("remembering what may have run before")
}

// window is how long a generation's key is remembered after its end.
func (x *Dispatcher) window(g *gen) eventloop.Micros {
	if p := x.Products[g.product]; p.Effect == pb.Product_DEDUPLICATED {
		return eventloop.Micros(p.WindowMs) * eventloop.Millisecond
	}
	return eventloop.Micros(x.Doors.RememberMs) * eventloop.Millisecond
}

// An intent of one generation. With a read it is written down as the read goes out, so that the disk works while the host
// does; what died in between is then taken to have run although it had not. Before the write it costs the sync's time.
type intent struct {
	asked, kept bool
	then        func(kept bool) // a write that waits for it
}

// intends tells whether a generation's product asks for a record, and when.
func (x *Dispatcher) intends(g *gen, when pb.Product_Intent) bool {
	return g.repeat != nil && x.post.Intents != nil && x.Products[g.product].Intent == when
}

// intendEarly begins to write the record as the read goes out.
func (x *Dispatcher) intendEarly(g *gen) {
	if x.intends(g, pb.Product_WITH_READ) && !g.intent.asked {
		x.record(g)
	}
}

// intend goes on once it is kept that a generation may run from now on: kept tells whether it is certain that it was.
func (x *Dispatcher) intend(g *gen, then func(kept bool)) {
	switch {
	case x.intends(g, pb.Product_NO_RECORD), g.repeat == nil, x.post.Intents == nil, g.intent.kept:
		then(true)
		return
	case g.intent.then != nil: // a later leg waits in place of one that was taken back
	case !g.intent.asked:
		x.record(g)
	}
	g.intent.then = then
}

func (x *Dispatcher) record(g *gen) {
	g.intent.asked = true
	answered := func(err error) {
		g.intent.asked, g.intent.kept = err == nil, err == nil
		if then := g.intent.then; then != nil {
			g.intent.then = nil
			then(err == nil)
		}
	}
	key := g.repeat.Key()
	err := x.post.Intents.Commit([]store.Op{{Key: intentPrefix + string(key[:]), Value: intentValue(g.repeat.Request(), 0, x.window(g))}}, nil, false, func(err error) {
		if err != nil {
			x.heal()
		}
		answered(err)
	})
	if err != nil {
		x.post.Log.Error().Err(err).Msg("an intent can't be kept; the generation is not run")
		x.heal()
		x.loop.Defer(func() { answered(err) })
	}
}

// healEvery is the pause between tries to write again to a disk that has failed. Each writes all that is kept.
const healEvery = 500 * eventloop.Millisecond

// heal has the record of intents taken into service again once the disk takes writes, without a restart.
func (x *Dispatcher) heal() {
	if x.healing || x.post.Intents.Err() == nil {
		return
	}
	x.healing = true
	x.post.Log.Error().Err(x.post.Intents.Err()).Msg("the record of intents has failed; keyed generations are not run until it takes writes again")
	var try func()
	try = func() {
		x.post.Intents.Repair(func(err error) {
			if err != nil {
				x.loop.AfterFunc(healEvery, try)
				return
			}
			x.healing = false
			x.post.Log.Info().Msg("the record of intents takes writes again")
		})
	}
	x.loop.AfterFunc(healEvery, try)
}

// late bounds how long a write may wait for its record while its state waits at the reader: a disk that stalls would else pin
// it there with no leg out. The state is let go of, as it is where a writer finds none, and the module reads again or gives up.
func (x *Dispatcher) late(g *gen, no scheduler.AttemptNo) {
	if g.intent.then == nil {
		return
	}
	x.loop.AfterFunc(eventloop.Micros(x.Rules.LetGoMs)*eventloop.Millisecond/2, func() {
		if g.intent.then != nil && no == g.legs-1 && g.State == lifecycle.Decoding {
			g.intent.then = nil
			x.ended(g, engine.Result{Outcome: scheduler.NoCapacity, StateMissing: true, MemoryUsage: scheduler.NoLoadReport, Reason: "not sent: its intent is not kept in time"})
		}
	})
}

// keepEnd keeps when a key is to be forgotten. It is written with the next group: lost, the key is remembered for longer.
func (x *Dispatcher) keepEnd(e *idempotency.Entry, window eventloop.Micros) {
	if x.post.Intents == nil {
		return
	}
	if e.Until() == 0 { // nothing ran, and the key is free: a crash now is not to say otherwise
		x.post.Intents.Flush()
		return
	}
	key := e.Key()
	_ = x.post.Intents.Commit([]store.Op{{Key: intentPrefix + string(key[:]), Value: intentValue(e.Request(), e.Until(), window)}}, nil, true, nil)
}
