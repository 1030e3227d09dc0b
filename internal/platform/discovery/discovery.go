// Package discovery keeps a list of endpoints up to date from the platform's discovery service. It applies complete
// lists, and changes since the version that it has. It assigns the endpoints' IDs and corrects their start times for
// clock skew. It owns the subscription and a record of each endpoint that was listed recently. It relies on package
// subscribe for the connection and on package starttimes for the clock skew. The caller decides what a list means for
// requests.
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
	// silenceTimeout is 1.5 times the agent's heartbeat interval. The watcher must know all changes 6 s after its
	// subscription falls silent. If the first two retries after silenceTimeout get no response, 1 s of these 6 s is left.
	silenceTimeout = 3 * eventloop.Second
	// responseTimeout is short because the agent runs on the same machine, so it responds at once or is down.
	responseTimeout = 500 * eventloop.Millisecond
	minRetryDelay   = 40 * eventloop.Millisecond
	maxRetryDelay   = 400 * eventloop.Millisecond
	// maxLoggedState is the number of bytes of an unknown state that are logged.
	maxLoggedState = 20
)

// Options configure a Watcher.
type Options struct {
	// Address is the address of the discovery agent.
	Address string
	// Seed seeds the jitter of the backoff.
	Seed int64
	// OnUpdate is called with the entries of each list or change, and with whether they are the complete list.
	OnUpdate func(entries []Entry, complete bool)
	// Log receives warnings about lost subscriptions, rejected updates and skipped entries.
	Log zerolog.Logger
}

// Watcher subscribes to the list of endpoints and applies its updates.
type Watcher struct {
	Updates uint64 // number of lists and changes that were applied

	client   *subscribe.Client
	loop     eventloop.Loop
	onUpdate func(entries []Entry, complete bool)
	log      zerolog.Logger

	version       uint64 // version of the current list; 0 if the next subscription requests the complete list
	newestVersion uint64 // the highest version that was ever received
	listReceived  bool   // discovery has sent a list since this process started
	records       map[scheduler.EndpointID]*record
	lastCleanup   eventloop.Micros
}

// New returns a watcher that has not subscribed yet.
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

// target returns the request target that subscribes to the changes since the current version.
func (w *Watcher) target() string {
	return "/discovery/hosts?stream=1&index=" + strconv.FormatUint(w.version, 10)
}

// Start subscribes to the changes since the current version.
func (w *Watcher) Start() { w.client.Subscribe() }

// SetAddress subscribes at another address to the changes since the current version.
func (w *Watcher) SetAddress(address string) { w.client.SetAddress(address) }

// Close ends the subscription.
func (w *Watcher) Close() { w.client.Close() }

// Connected reports whether discovery has responded on the current connection.
func (w *Watcher) Connected() bool { return w.client.Connected() }

// Apply applies a message from discovery: the complete list, or the changes since the current version. Its errors are
// ErrMalformedList and *VersionError; after either, the next subscription requests the complete list.
func (w *Watcher) Apply(data []byte) error {
	err := w.apply(data)
	if err == nil {
		w.listReceived = true
	}
	return err
}

// ApplyCached applies a cached list, which discovery sent to an earlier process.
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
	entries := w.decodeEntries(&received, now)
	w.version = received.version
	w.newestVersion = max(w.newestVersion, received.version)
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

// decodeEntries decodes the entries of a list and updates the endpoints' records. It skips an entry that can't be
// decoded, so that the others can still be used.
func (w *Watcher) decodeEntries(received *list, now eventloop.Micros) (entries []Entry) {
	listing := starttimes.Listing{Now: now, Skew: received.skew(now), InService: w.listReceived}
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
		stored := w.records[entry.ID]
		stored.removedAt = 0
		if entry.State == scheduler.Removed {
			stored.removedAt = now
		}
		entry.start = starttimes.Next(stored.start, timestampOf(server), listing)
		w.reconcile(stored, &entry, received.version, now)
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
