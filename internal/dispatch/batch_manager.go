package dispatch

import (
	"slices"

	"plumspindle/internal/batch"
	"plumspindle/internal/deployment/pb"
	"plumspindle/internal/embeddings"
	"plumspindle/internal/eventloop"
	"plumspindle/internal/vectors"
)

const (
	// maxVectorCaches bounds the number of vector caches; the least recently used one is evicted.
	maxVectorCaches = 64
	// maxBatchAnswerBytes is the limit on the answers of all running calls together.
	maxBatchAnswerBytes = 256 << 20
)

// batchManager holds the batch calls of one dispatcher. The parts of the calls are requests like any other; package
// batch decides which part is sent next, and how many may be in flight.
type batchManager struct {
	limits      *pb.Batches
	limiter     *batch.Limiter
	tenants     []*tenantBatches // tenants with calls; the first one is the next to send a part
	openCalls   int
	caches      []*vectorCache // the most recently used one is the last
	answerBytes int            // size that the answers of all running calls will have
}

// tenantBatches holds one tenant's calls, which send their parts in turn.
type tenantBatches struct {
	tenant *tenantSlot
	calls  []*batchCall
	queued int // number of parts that wait for admission
}

// vectorCacheKey identifies a cache. No two tenants have the same namespace, so two tenants never share a cache.
type vectorCacheKey struct {
	namespace  string
	dimensions int
}

type vectorCache struct {
	key vectorCacheKey
	*vectors.Cache
}

// vectorCache returns a tenant's own cache of vectors with the given number of dimensions.
func (b *batchManager) vectorCache(namespace string, dimensions int) *vectors.Cache {
	key := vectorCacheKey{namespace, dimensions}
	var cache *vectorCache
	if i := slices.IndexFunc(b.caches, func(c *vectorCache) bool { return c.key == key }); i >= 0 {
		cache = b.caches[i]
		b.caches = slices.Delete(b.caches, i, i+1)
	} else {
		if len(b.caches) >= maxVectorCaches {
			b.caches = slices.Delete(b.caches, 0, 1)
		}
		cache = &vectorCache{key, vectors.New(embeddings.VectorBytes(dimensions), int(b.limits.Cache))}
	}
	b.caches = append(b.caches, cache)
	return cache.Cache
}

// callsOf returns a tenant's calls. It adds the tenant if the tenant has no calls yet.
func (b *batchManager) callsOf(slot *tenantSlot) *tenantBatches {
	for _, calls := range b.tenants {
		if calls.tenant == slot {
			return calls
		}
	}
	calls := &tenantBatches{tenant: slot}
	b.tenants = append(b.tenants, calls)
	return calls
}

// add adds a call to its tenant's calls.
func (b *batchManager) add(c *batchCall) {
	b.openCalls++
	c.tenantCalls.calls = append(c.tenantCalls.calls, c)
}

// remove removes a call. It also removes the call's tenant if the tenant has no other call.
func (b *batchManager) remove(c *batchCall) {
	tenant := c.tenantCalls
	tenant.calls = slices.DeleteFunc(tenant.calls, func(other *batchCall) bool { return other == c })
	if len(tenant.calls) == 0 {
		b.tenants = slices.DeleteFunc(b.tenants, func(other *tenantBatches) bool { return other == tenant })
	}
	b.openCalls--
	b.answerBytes -= c.answerBytes
}

// next returns the tenant's next call that has a part to send, or nil if no call has a part to send.
func (t *tenantBatches) next(now eventloop.Micros) *batchCall {
	for range t.calls {
		call := t.calls[0]
		t.calls = append(t.calls[1:], call)
		if !call.closed && call.parts.Ready(now) {
			return call
		}
	}
	return nil
}

// sendParts sends as many parts as the limiter allows. It serves the tenants in turn, and each tenant's calls in turn.
func (d *Dispatcher) sendParts() {
	b := &d.batches
	now := d.loop.Now()
	for idle := 0; idle < len(b.tenants) && b.limiter.HasCapacity(); {
		tenant := b.tenants[0]
		b.tenants = append(b.tenants[1:], tenant)
		call := tenant.next(now)
		if call == nil || tenant.queued >= batch.MaxQueuedParts {
			idle++
			continue
		}
		idle = 0
		call.sendPart(now)
	}
}
