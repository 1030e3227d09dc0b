package dispatch

import (
	"plumspindle/internal/endpointcache"
	"plumspindle/internal/endpoints"
	"plumspindle/internal/eventloop"
	"plumspindle/scheduler"
)

// begin starts with the list that was kept, as far as its age lets it be believed.
func (x *Dispatcher) begin() {
	now := x.loop.Now()
	for i, kept := range x.post.CachedEndpoints {
		if len(kept) == 0 {
			continue
		}
		entries, saved, err := x.list.Restore(kept)
		if err != nil {
			x.post.Log.Error().Err(err).Int("list", i).Msg("a kept list can't be read; the one before it is tried")
			continue
		}
		byID := map[uint32]endpoints.Entry{}
		var hosts []endpointcache.Endpoint
		for _, e := range entries {
			byID[uint32(e.ID)] = e
			hosts = append(hosts, endpointcache.Endpoint{ID: uint32(e.ID), Group: e.Zone + "/" + e.Kind, StartedAt: eventloop.Micros(e.StartedAt)})
		}
		trust := endpointcache.FreshnessOf(now, eventloop.Micros(saved))
		x.post.Log.Info().Int("hosts", len(hosts)).Str("trust", trust.String()).Int64("age_ms", int64((now-eventloop.Micros(saved))/eventloop.Millisecond)).
			Msg("starting with a kept list")
		for _, w := range endpointcache.Plan(now, trust, hosts) {
			var wave []endpoints.Entry
			for _, h := range w.Endpoints {
				e := byID[h.ID]
				e.StartedAt = int64(h.StartedAt)
				wave = append(wave, e)
			}
			if w.Delay == 0 {
				x.tell(wave, false)
				continue
			}
			x.loop.AfterFunc(w.Delay, func() {
				if x.heard == 0 { // discovery is still away
					x.tell(wave, false)
				}
			})
		}
		return
	}
}

// believe passes news of discovery on. That hosts are gone because a list leaves them out, and most of them at once, is
// doubted for a moment; what it says by name never is.
func (x *Dispatcher) believe(entries []endpoints.Entry, whole bool) {
	if !whole {
		x.tell(entries, false)
		return
	}
	named := map[scheduler.EndpointID]bool{}
	for _, e := range entries {
		named[e.ID] = true
	}
	var missing []endpoints.Entry
	ready := 0
	for _, e := range x.hosts {
		if e.State() != scheduler.Ready {
			continue
		}
		ready++
		if !named[e.ID] {
			e.Condition = "gone"
			missing = append(missing, e)
		}
	}
	doubt := endpointcache.RemovalDelay(ready, len(missing), eventloop.Micros(x.Rules.DrainGraceMs)*eventloop.Millisecond)
	if doubt == 0 {
		x.tell(entries, true)
		return
	}
	x.post.Log.Warn().Int("ready", ready).Int("missing", len(missing)).Msg("discovery leaves most hosts out; that is doubted for a moment")
	x.tell(entries, false)
	at := x.heard
	x.loop.AfterFunc(doubt, func() {
		if x.heard == at { // nothing else was heard: it is so
			x.tell(entries, true)
			return
		}
		var gone []endpoints.Entry
		for _, e := range missing {
			if now, some := x.list.Endpoints[e.ID]; !some || now.State() != scheduler.Ready {
				gone = append(gone, e)
			}
		}
		x.tell(gone, false)
	})
}
