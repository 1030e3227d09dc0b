package admin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"plumspindle/internal/http1"
	"plumspindle/internal/sse"
	"plumspindle/internal/tenancy"
)

// maxUnsentBytes limits the data that is buffered for a follower that lags. If there is more, the next update aborts
// the connection. The follower can reconnect and get all changes since its version.
const maxUnsentBytes = 4 << 20

// heartbeatChunk is a comment in the event stream, which shows followers that the connection is alive.
const heartbeatChunk = ": here\n\n"

// follow makes the client a follower, and sends the client the changes since the version that the client has.
func (c *connection) follow(r *request) {
	c.following = true
	c.timer.Stop()
	c.conn.Write(http1.AppendStreamHead(nil, http.StatusOK, "Content-Type", "text/event-stream"))
	since, _ := strconv.ParseUint(r.query["since"], 10, 64) // 0 if since is not a number: the update is complete
	c.notify(c.server.registry.UpdateSince(r.query["epoch"], since))
	c.server.followers = append(c.server.followers, c)
}

// notify sends an update to a follower. It aborts the connection instead if too much data is unsent.
func (c *connection) notify(update tenancy.Update) {
	if c.conn.Unsent() > maxUnsentBytes {
		c.conn.Abort()
		return
	}
	event, _ := json.Marshal(update) // can't fail, as all limits are finite numbers
	c.conn.Write(http1.AppendChunk(nil, sse.Append(nil, event)))
}

// notifyFollowers sends the changes since an earlier state of the registry to all followers.
func (s *Server) notifyFollowers(before *tenancy.Registry) {
	update := s.registry.UpdateSince(before.Epoch, before.Version)
	for _, follower := range s.followers {
		follower.notify(update)
	}
}

func (s *Server) sendHeartbeats() {
	for _, follower := range s.followers {
		follower.conn.Write(http1.AppendChunk(nil, []byte(heartbeatChunk)))
	}
}

func (s *Server) removeFollower(c *connection) {
	s.followers = slices.DeleteFunc(s.followers, func(follower *connection) bool { return follower == c })
}
