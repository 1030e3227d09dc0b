package server

// CloseReason is why a client's connection was closed.
type CloseReason uint8

const (
	ByClient      CloseReason = iota // its client closed it, or the network did
	AfterAnswer                      // its last answer said so
	Idle                             // no request came in time
	Evicted                          // it made way for another
	BadInput                         // what came can't be read, or did not come in time
	StreamBroken                     // its stream ended before its end
	ClientStalled                    // its client read nothing for too long
	TooMuchAhead                     // its client sent more ahead than is kept
	closeReasons
)

var closeReasonNames = [closeReasons]string{"by its client", "after its answer", "idle", "evicted", "bad input", "its stream broke",
	"its client reads nothing", "too much sent ahead"}

func (r CloseReason) String() string { return closeReasonNames[r] }

// Closed counts connections by why they were closed.
type Closed [closeReasons]uint64

// unanswered reports a request that was read and will not be answered, as its connection is closed from here.
func (c *connection) unanswered(why CloseReason) {
	report := c.server.OnUnansweredClose
	if report == nil {
		return
	}
	if c.response != nil && !c.response.begun {
		report(c.response.id, why.String())
	}
	if len(c.ahead) > 0 && why == TooMuchAhead { // behind a stream that broke nothing can be answered
		report("", why.String()+", with what was sent ahead")
	}
}
