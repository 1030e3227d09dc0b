package server

// CloseReason is why a client's connection was closed.
type CloseReason uint8

// The reasons for a close.
const (
	ClosedByClient   CloseReason = iota // its client closed it, or the network did
	AfterResponse                       // its last response said so
	IdleTimeout                         // no request came in time
	Evicted                             // there were too many connections
	BadInput                            // what came can't be read, or did not come in time
	StreamBroken                        // its stream ended before its end
	ClientStalled                       // its client read nothing for too long
	PipelineOverflow                    // its client pipelined more than is read
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	ClosedByClient:   "closed by client",
	AfterResponse:    "after response",
	IdleTimeout:      "idle timeout",
	Evicted:          "evicted",
	BadInput:         "bad input",
	StreamBroken:     "stream broken",
	ClientStalled:    "client stalled",
	PipelineOverflow: "pipeline overflow",
}

// String is the reason's name in logs.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseCounts counts closed connections by reason.
type CloseCounts [closeReasonCount]uint64
