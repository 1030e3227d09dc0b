package endpoints

import (
	"strconv"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/subscribe"
)

// WatcherOptions say whose list to follow, and for whom.
type WatcherOptions struct {
	// Address is the source's.
	Address string
	// Dispatcher is the name that the source knows this process by.
	Dispatcher string
	// Seed is that of the backoff's jitter.
	Seed int64
	// OnUpdate is called with entries as they are received, and with whether they are the complete list.
	OnUpdate func(entries []Entry, complete bool)
	// Log receives warnings of lost subscriptions and rejected updates.
	Log zerolog.Logger
}

// Watcher follows the list at its source.
type Watcher struct {
	*subscribe.Client
	View
	onUpdate func(entries []Entry, complete bool)
}

// NewWatcher makes a watcher that has not subscribed yet.
func NewWatcher(loop eventloop.Loop, options WatcherOptions) *Watcher {
	w := &Watcher{onUpdate: options.OnUpdate}
	w.Client = subscribe.NewClient(loop, options.Seed, options.Address, subscribe.Options{
		Source:    "endpoint list",
		Target:    w.target,
		Fields:    []string{"x-dispatcher", options.Dispatcher},
		OnMessage: w.update,
		OnReset:   w.Reset,
		Log:       options.Log,
	})
	return w
}

// target asks for what has changed since the version known.
func (w *Watcher) target() string {
	return "/v1/hosts/watch?epoch=" + w.Epoch + "&since=" + strconv.FormatUint(w.Version, 10)
}

func (w *Watcher) update(data []byte) error {
	entries, complete, err := w.Apply(data)
	if err != nil {
		return err
	}
	if len(entries) > 0 || complete {
		w.onUpdate(entries, complete)
	}
	return nil
}
