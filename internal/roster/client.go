package roster

import (
	"strconv"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/subscribe"
)

// Client follows the list at its source.
type Client struct {
	*subscribe.Client
	Follower
	// News is told of entries as they come.
	News func(entries []Entry, whole bool)
}

// NewClient makes a client that has not subscribed yet.
func NewClient(loop eventloop.Loop, seed int64, addr, name string) *Client {
	c := &Client{Client: subscribe.NewClient(loop, seed, addr)}
	c.What, c.Fields = "the list's source", []string{"x-dispatcher", name}
	c.Target = func() string {
		return "/v1/hosts/watch?epoch=" + c.Epoch + "&since=" + strconv.FormatUint(c.Version, 10)
	}
	c.Forget = func() { c.Epoch, c.Version = "", 0 }
	c.Client.Take = func(data []byte) error {
		news, whole, err := c.Follower.Take(data)
		if err == nil && (len(news) > 0 || whole) {
			c.News(news, whole)
		}
		return err
	}
	return c
}
