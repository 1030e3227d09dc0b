package server

// CloseReason is the reason why a client's connection was closed.
type CloseReason uint8

// The reasons for a close.
const (
	ClosedByClient   CloseReason = iota // the client closed the connection, or the network failed
	AfterResponse                       // the last response announced the close
	IdleTimeout                         // no request arrived in time
	Evicted                             // there were too many connections
	BadInput                            // a request could not be parsed, or did not arrive completely in time
	StreamBroken                        // the response's stream ended incomplete
	ClientStalled                       // the client read nothing for too long
	PipelineOverflow                    // the client pipelined more than the server reads
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

// String returns the reason's name in logs.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseCounts are the numbers of closed connections by reason.
type CloseCounts [closeReasonCount]uint64
