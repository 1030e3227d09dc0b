package tenancy

// Reason is why a request is rejected. Its text is part of the answer to the client.
type Reason uint8

// Reasons.
const (
	NotRejected Reason = iota
	RequestRateExceeded
	TokenRateExceeded
	ConcurrencyExceeded
	QueueFull
	PromptTooLarge
	NotServed // the tenant is suspended or being removed
)

var reasonTexts = [...]string{
	NotRejected:         "",
	RequestRateExceeded: "more generations a second than its limit",
	TokenRateExceeded:   "more tokens a second than its limit",
	ConcurrencyExceeded: "more generations at once than its limit",
	QueueFull:           "too many of its generations wait",
	PromptTooLarge:      "the prompt is larger than its limit",
	NotServed:           "the tenant is not served",
}

// String returns the text for the client.
func (r Reason) String() string { return reasonTexts[r] }

// AdmissionRequest is one request as the limits see it.
type AdmissionRequest struct {
	Tenant          ID
	Key             string // the id of the key it came with; empty if it came with none
	Product         string
	PromptTokens    int
	MaxOutputTokens int
}

// cost returns the tokens to reserve: answers have half of their allowed tokens on average.
func (r AdmissionRequest) cost() float64 { return float64(r.PromptTokens + r.MaxOutputTokens/2) }

// Decision is what becomes of a request: it is admitted, queued or else rejected.
type Decision struct {
	Admitted   bool
	Queued     bool // AdmitNext returns its ticket when it is admitted, unless it is released before
	Reason     Reason
	RetryAfter Micros // of a rejected one; 0 if that is not known
}

type ticketState uint8

const (
	ticketQueued ticketState = iota
	ticketAdmitted
	ticketReleased
)

// Ticket is one request that was admitted or queued. Its holder must Release it.
type Ticket struct {
	Owner any // free for the caller

	tenant     *tenantAccount
	limiters   [3]*limiter // of the tenant, the key and the product; nil if that has no limits
	cost       float64     // tokens reserved
	overQuota  bool        // beyond its tenant's quota
	state      ticketState
	begun      bool // surplus only: the first token was seen, or the request has ended
	admittedAt Micros
}

// OverQuota reports whether the request is beyond its tenant's quota.
func (t *Ticket) OverQuota() bool { return t.overQuota }

// tenantAccount is what an AdmissionController knows of a tenant.
type tenantAccount struct {
	id       ID
	serving  bool
	limiter  limiter
	quota    tokenBucket // requests
	keys     map[string]*limiter
	products map[string]*limiter
	open     map[*Ticket]uint64 // by the order of their arrival
	surplus  surplusCount
}

// setLimits replaces the limits of keys or products. Those that stay keep their buckets.
func setLimits(old map[string]*limiter, limits map[string]Limits) map[string]*limiter {
	next := make(map[string]*limiter, len(limits))
	for name, l := range limits {
		entry := old[name]
		if entry == nil {
			entry = &limiter{}
		}
		entry.limits = l
		next[name] = entry
	}
	return next
}
