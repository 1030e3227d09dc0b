package endpoints

import (
	"strconv"

	"github.com/rs/zerolog"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/subscribe"
)

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	// Address is the address of the source.
	Address string
	// Dispatcher is the name under which this process identifies itself to the source.
	Dispatcher string
	// Seed seeds the random jitter of the backoff.
	Seed int64
	// OnUpdate is called with the entries of each update, and with whether they are the complete list.
	OnUpdate func(entries []Entry, complete bool)
	// Log receives warnings about lost subscriptions and rejected updates.
	Log zerolog.Logger
}

// Watcher subscribes to the list at its source and keeps its View up to date.
type Watcher struct {
	*subscribe.Client
	View
	onUpdate func(entries []Entry, complete bool)
}

// NewWatcher returns a watcher that has not subscribed yet.
func NewWatcher(loop eventloop.Loop, options WatcherOptions) *Watcher {
	w := &Watcher{onUpdate: options.OnUpdate}
	w.Client = subscribe.NewClient(loop, options.Seed, options.Address, subscribe.Options{
		Source:    "endpoint list",
		Target:    w.requestTarget,
		Fields:    []string{"x-dispatcher", options.Dispatcher},
		OnMessage: w.applyMessage,
		OnReset:   w.Reset,
		Log:       options.Log,
	})
	return w
}

// requestTarget returns the target of a request for the changes since the known version.
func (w *Watcher) requestTarget() string {
	return "/v1/hosts/watch?epoch=" + w.Epoch + "&since=" + strconv.FormatUint(w.Version, 10)
}

func (w *Watcher) applyMessage(data []byte) error {
	entries, complete, err := w.Apply(data)
	if err != nil {
		return err
	}
	if len(entries) > 0 || complete {
		w.onUpdate(entries, complete)
	}
	return nil
}
