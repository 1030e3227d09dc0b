package scheduler

// stateLeaseShare is the lease of a prefilled state as a share of the longest time that the state may be kept. The rest
// of that time is needed to reach the endpoint that releases the state.
const stateLeaseShare = 0.6

// StateLease returns the lease of a prefilled state that may be kept for at most maxWait. The lease is the time after
// the prefill in which a decode endpoint has to respond. If none does, the state is released. Writing an attempt to an
// endpoint does not extend the lease.
func StateLease(maxWait Micros) Micros { return Micros(stateLeaseShare * float64(maxWait)) }
