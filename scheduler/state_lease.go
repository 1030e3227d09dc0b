package scheduler

// stateLeaseShare is the part of the time that a prefilled state may wait after which it is released unless a decode
// endpoint has responded. The rest is needed to reach an endpoint that releases it.
const stateLeaseShare = 0.6

// StateLease is how long after its prefill a state is left to the decode attempts that are to fetch it, where it may
// wait for so long in all. What has only been written to an endpoint does not extend it.
func StateLease(mayWait Micros) Micros { return Micros(stateLeaseShare * float64(mayWait)) }
