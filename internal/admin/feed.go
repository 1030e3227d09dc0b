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

// maxUnsentBytes bounds what is buffered for a follower that lags. Beyond it the connection is aborted; the
// follower reconnects and gets a complete update.
const maxUnsentBytes = 4 << 20

// heartbeatChunk is a comment in the event stream.
const heartbeatChunk = ": here\n\n"

// follow starts to send updates on a connection: first what has changed since the version that the follower has.
func (c *connection) follow(r *request) {
	c.following = true
	c.timer.Stop()
	c.conn.Write(http1.AppendStreamHead(nil, http.StatusOK, "Content-Type", "text/event-stream"))
	since, _ := strconv.ParseUint(r.query["since"], 10, 64) // 0, for a complete update, if it is not a number
	c.notify(c.server.registry.UpdateSince(r.query["epoch"], since))
	c.server.followers = append(c.server.followers, c)
}

// notify sends an update to a follower, or aborts the connection of one that lags too far.
func (c *connection) notify(update tenancy.Update) {
	if c.conn.Unsent() > maxUnsentBytes {
		c.conn.Abort()
		return
	}
	event, _ := json.Marshal(update) // its fields can always be encoded, as limits are finite
	c.conn.Write(http1.AppendChunk(nil, sse.Append(nil, event)))
}

// notifyFollowers sends what has changed since an earlier state of the registry.
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
