package tenancy

// Reason is why a request is rejected. The answer to the client contains the text of the reason.
type Reason uint8

// Reasons of a rejection. NotRejected means that there was none.
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

// AdmissionRequest describes a request to an AdmissionController.
type AdmissionRequest struct {
	Tenant          ID
	Key             string // id of the registered key that the request came with; empty if it came with none
	Product         string
	PromptTokens    int
	MaxOutputTokens int
}

// cost returns the tokens to reserve. It counts half of the allowed output tokens, as answers use half on average.
func (r AdmissionRequest) cost() float64 { return float64(r.PromptTokens + r.MaxOutputTokens/2) }

// Decision says whether a request is admitted or queued. A request that is neither is rejected.
type Decision struct {
	Admitted   bool
	Queued     bool // AdmitNext returns the ticket once the request is admitted, unless the ticket was released before
	Reason     Reason
	RetryAfter Micros // for a rejected request; 0 if unknown
}

type ticketState uint8

const (
	ticketQueued ticketState = iota
	ticketAdmitted
	ticketReleased
)

// Ticket stands for a request that was admitted or queued. Its holder must pass it to Release.
type Ticket struct {
	Owner any // set and used by the caller only

	tenant    *tenantAccount
	limiters  [3]*limiter // of the tenant, the key and the product; nil for one that has no limits
	cost      float64     // reserved tokens
	overQuota bool
	state     ticketState
	// prefillEnded is set for an over-quota request only, at its first token or at its end.
	prefillEnded bool
	admittedAt   Micros // set for over-quota requests only
}

// OverQuota reports whether the request exceeds its tenant's quota.
func (t *Ticket) OverQuota() bool { return t.overQuota }

// tenantAccount is the state of one tenant in an AdmissionController.
type tenantAccount struct {
	id        ID
	serving   bool
	limiter   limiter
	quota     tokenBucket // in requests
	keys      map[string]*limiter
	products  map[string]*limiter
	open      map[*Ticket]uint64 // tickets that are not released, with their positions in the order of arrival
	overQuota overQuotaCount
}

// setLimits returns the limiters of keys or products with new limits. It reuses the old limiters, so that keys and
// products that stay keep the levels of their buckets.
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
