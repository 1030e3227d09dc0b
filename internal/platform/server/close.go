package server

// CloseReason is why a client's connection was closed.
type CloseReason uint8

const (
	ClosedByClient   CloseReason = iota // its client closed it, or the network did
	AfterResponse                       // its last answer said so
	IdleTimeout                         // no request came in time
	Evicted                             // it made way for another
	BadInput                            // what came can't be read, or did not come in time
	StreamBroken                        // its stream ended before its end
	ClientStalled                       // its client read nothing for too long
	PipelineOverflow                    // its client sent more ahead than is kept
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"by its client", "after its answer", "idle", "evicted", "bad input", "its stream broke",
	"its client reads nothing", "too much sent ahead"}

func (r CloseReason) String() string { return closeReasonNames[r] }

// Closed counts connections by why they were closed.
type Closed [closeReasonCount]uint64

// reportUnanswered reports a request that was read and will not be answered, as its connection is closed from here.
func (c *connection) reportUnanswered(why CloseReason) {
	report := c.server.OnUnansweredClose
	if report == nil {
		return
	}
	if c.response != nil && !c.response.started {
		report(c.response.id, why.String())
	}
	if len(c.pipelined) > 0 && why == PipelineOverflow { // behind a stream that broke nothing can be answered
		report("", why.String()+", with what was sent ahead")
	}
}
