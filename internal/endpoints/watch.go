package endpoints

import (
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/subscribe"
)

// Watcher follows the list at its source.
type Watcher struct {
	*subscribe.Client
	View
	// OnUpdate is told of entries as they come.
	OnUpdate func(entries []Entry, whole bool)
}

// NewWatcher makes a client that has not subscribed yet.
func NewWatcher(loop eventloop.Loop, seed int64, addr, name string) *Watcher {
	c := &Watcher{Client: subscribe.NewClient(loop, seed, addr)}
	c.Name, c.Fields = "the list's source", []string{"x-dispatcher", name}
	c.Target = func() string {
		return "/v1/hosts/watch?epoch=" + c.Epoch + "&since=" + strconv.FormatUint(c.Version, 10)
	}
	c.OnReset = func() { c.Epoch, c.Version = "", 0 }
	c.Client.OnMessage = func(data []byte) error {
		news, whole, err := c.View.Apply(data)
		if err == nil && (len(news) > 0 || whole) {
			c.OnUpdate(news, whole)
		}
		return err
	}
	return c
}
