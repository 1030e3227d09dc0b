// Package discovery follows the platform's discovery service. Its job is the list of endpoints at the version known:
// it applies complete lists and changes, gives endpoints their IDs, and corrects their start times. It owns the
// subscription and the record of each endpoint listed lately. It relies on package subscribe for the connection and on
// package starttimes for clock skew. It never decides what follows from a list.
package discovery

import (
	"strconv"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/starttimes"
	"plumspindle/internal/subscribe"
	"plumspindle/scheduler"
)

const (
	// silenceTimeout is one and a half of the agent's heartbeats. What a silent subscription misses has to be known 6 s
	// after it fell silent; with two lost retries a second of that is left.
	silenceTimeout = 3 * eventloop.Second
	// responseTimeout is short, as the agent runs on this very machine: it responds at once, or is down.
	responseTimeout = 500 * eventloop.Millisecond
	minRetryDelay   = 40 * eventloop.Millisecond
	maxRetryDelay   = 400 * eventloop.Millisecond
	// maxLoggedState is how many bytes of an unknown state are logged.
	maxLoggedState = 20
)

// Options say whose list to follow.
type Options struct {
	// Address is the discovery agent's.
	Address string
	// Seed is that of the backoff's jitter.
	Seed int64
	// OnUpdate is called with entries as they are received, and with whether they are the complete list.
	OnUpdate func(entries []Entry, complete bool)
	// Log receives warnings of lost subscriptions, rejected updates and skipped entries.
	Log zerolog.Logger
}

// Watcher follows the list.
type Watcher struct {
	Updates uint64 // lists and changes applied

	client   *subscribe.Client
	loop     eventloop.Loop
	onUpdate func(entries []Entry, complete bool)
	log      zerolog.Logger

	version     uint64 // 0: the complete list is needed
	newest      uint64 // the highest version that was ever received
	inService   bool   // discovery has sent a list since this process began
	records     map[scheduler.EndpointID]*record
	lastCleanup eventloop.Micros
}

// New makes a watcher that has not subscribed yet.
func New(loop eventloop.Loop, options Options) *Watcher {
	w := &Watcher{
		loop:     loop,
		onUpdate: options.OnUpdate,
		log:      options.Log,
		records:  map[scheduler.EndpointID]*record{},
	}
	w.client = subscribe.NewClient(loop, options.Seed, options.Address, subscribe.Options{
		Source:          "discovery",
		Target:          w.target,
		Format:          subscribe.JSONObjects,
		OnMessage:       w.Apply,
		OnReset:         func() { w.version = 0 },
		SilenceTimeout:  silenceTimeout,
		ResponseTimeout: responseTimeout,
		MinRetryDelay:   minRetryDelay,
		MaxRetryDelay:   maxRetryDelay,
		Standby:         true,
		Log:             options.Log,
	})
	return w
}

// target asks for what has changed since the version known.
func (w *Watcher) target() string {
	return "/discovery/hosts?stream=1&index=" + strconv.FormatUint(w.version, 10)
}

// Start subscribes, from the version known on.
func (w *Watcher) Start() { w.client.Subscribe() }

// SetAddress subscribes at another address, from the version known on.
func (w *Watcher) SetAddress(address string) { w.client.SetAddress(address) }

// Close ends the subscription.
func (w *Watcher) Close() { w.client.Close() }

// Connected reports whether discovery has responded on the current connection.
func (w *Watcher) Connected() bool { return w.client.Connected() }

// Apply applies a message from discovery: the complete list, or what has changed since the version known. Its errors
// are ErrMalformedList and *VersionError, and the complete list is asked for after either.
func (w *Watcher) Apply(data []byte) error {
	err := w.apply(data)
	if err == nil {
		w.inService = true
	}
	return err
}

// ApplyCached applies a list that discovery sent to an earlier process.
func (w *Watcher) ApplyCached(data []byte) error { return w.apply(data) }

func (w *Watcher) apply(data []byte) error {
	received, err := parseList(data)
	if err != nil {
		w.version = 0
		return err
	}
	if !received.complete && received.version < w.version {
		known := w.version
		w.version = 0
		return &VersionError{Received: received.version, Known: known}
	}
	now := w.loop.Now()
	entries := w.entries(&received, now)
	w.version = received.version
	w.newest = max(w.newest, received.version)
	w.Updates++
	w.removeExpired(now)
	if received.complete {
		w.markUnlisted(entries, now)
	}
	if len(entries) > 0 || received.complete {
		w.onUpdate(entries, received.complete)
	}
	return nil
}

// entries decodes the entries of a list and updates the records. An entry that can't be decoded is skipped, as the
// others can still be used.
func (w *Watcher) entries(received *list, now eventloop.Micros) (entries []Entry) {
	listing := starttimes.Listing{Now: now, Skew: received.skew(now), InService: w.inService}
	for i, server := range received.servers {
		entry, stateKnown, err := parseEntry(server)
		if err != nil {
			w.log.Warn().Int("entry", i).Uint64("version", received.version).Err(err).Msg("list entry skipped")
			continue
		}
		if !stateKnown {
			w.logUnknownState(&entry, server)
		}
		entry.ID = w.EndpointID(entry.Name)
		known := w.records[entry.ID]
		known.removedAt = 0
		if entry.State == scheduler.Removed {
			known.removedAt = now
		}
		entry.start = starttimes.Next(known.start, timestampOf(server), listing)
		w.reconcile(known, &entry, received.version, now)
		entry.StartedAt = entry.start.At
		entries = append(entries, entry)
	}
	return entries
}

func (w *Watcher) logUnknownState(entry *Entry, server gjson.Result) {
	state := server.Get("state").String()
	w.log.Warn().Str("endpoint", entry.Name).Str("state", state[:min(len(state), maxLoggedState)]).
		Msg("unknown endpoint state")
}
