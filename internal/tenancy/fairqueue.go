package tenancy

const (
	// maxRounds limits the cost of an item. Once an item is first in its tenant's queue, its tenant has enough credit
	// for it after at most this many rounds.
	maxRounds = 32
	minWeight = 0.01
	// minCompaction is the number of served items at the front of a tenant's queue above which their memory may be
	// reused.
	minCompaction = 64
)

// fairQueue serves the queued items of tenants in proportion to the tenants' weights. It is a deficit round robin
// (Shreedhar and Varghese): tenants with queued items are in a ring, and on each of its turns a tenant gains credit in
// proportion to its weight.
//
// No order among the tenants is maintained, so Add takes constant time, and so does Next as long as the first tenants
// in the ring have enough credit and eligible items. Otherwise Next goes round the ring until a tenant has enough
// credit, which takes up to maxRounds rounds. Next gives up after as many ineligible items as there are tenants. Remove
// searches the queue of one tenant. A tenant without queued items has no credit.
type fairQueue[T any] struct {
	tenants map[ID]*tenantQueue[T]
	current *tenantQueue[T] // the tenant whose turn it is; nil if nothing is queued
	size    int
	quantum float64
}

// tenantQueue is the queue of one tenant in the ring.
type tenantQueue[T any] struct {
	id         ID
	weight     float64
	credit     float64
	credited   bool // whether the tenant has gained credit on its current turn
	items      []queuedItem[T]
	first      int // index of the first item that was not served
	next, prev *tenantQueue[T]
}

type queuedItem[T any] struct {
	item    T
	cost    float64
	removed bool
}

func (t *tenantQueue[T]) length() int { return len(t.items) - t.first }

// newFairQueue returns an empty queue. The quantum is the credit that a tenant of weight 1 gains on a turn. It should
// be near the usual cost of an item, so that most turns serve one item.
func newFairQueue[T any](quantum float64) *fairQueue[T] {
	return &fairQueue[T]{tenants: map[ID]*tenantQueue[T]{}, quantum: quantum}
}

// Len returns the number of queued items.
func (f *fairQueue[T]) Len() int { return f.size }

// LenOf returns the number of items in one tenant's queue. It includes removed items that still occupy a position.
func (f *fairQueue[T]) LenOf(id ID) int {
	if t := f.tenants[id]; t != nil {
		return t.length()
	}
	return 0
}

// Add appends an item to the queue of its tenant.
func (f *fairQueue[T]) Add(id ID, weight float64, item T, cost float64) {
	t := f.tenants[id]
	if t == nil {
		t = &tenantQueue[T]{id: id}
		f.tenants[id] = t
		f.link(t)
	}
	t.weight = max(weight, minWeight)
	t.items = append(t.items, queuedItem[T]{item: item, cost: min(cost, maxRounds*t.weight*f.quantum)})
	f.size++
}

// link adds a tenant at the end of the ring.
func (f *fairQueue[T]) link(t *tenantQueue[T]) {
	if f.current == nil {
		f.current, t.next, t.prev = t, t, t
		return
	}
	t.next, t.prev = f.current, f.current.prev
	t.prev.next, t.next.prev = t, t
}

// unlink removes a tenant without items from the ring.
func (f *fairQueue[T]) unlink(t *tenantQueue[T]) {
	if t.next == t {
		f.current = nil
	} else {
		t.prev.next, t.next.prev = t.next, t.prev
		if f.current == t {
			f.current = t.next
		}
	}
	t.next, t.prev = nil, nil
	delete(f.tenants, t.id)
}

// Next removes and returns the next item. It calls eligible for the first item of a tenant that has enough credit for
// it. If the item is not eligible, it stays first in its queue and the turn passes to the next tenant.
func (f *fairQueue[T]) Next(eligible func(T) bool) (item T, found bool) {
	for blocked := 0; f.current != nil && blocked < len(f.tenants); {
		t := f.current
		if !t.credited {
			t.credit += t.weight * f.quantum
			t.credited = true
		}
		first := &t.items[t.first]
		switch {
		case first.removed:
			f.dropFirst(t)
		case first.cost > t.credit:
			f.nextTurn()
		case !eligible(first.item):
			blocked++
			t.credit = min(t.credit, first.cost) // unused credit does not accumulate
			f.nextTurn()
		default:
			item = first.item
			t.credit -= first.cost
			f.size--
			f.dropFirst(t)
			return item, true
		}
	}
	return item, false
}

func (f *fairQueue[T]) nextTurn() {
	f.current.credited = false
	f.current = f.current.next
}

// dropFirst removes the first item of a tenant. It also removes the tenant from the ring if no item is left.
func (f *fairQueue[T]) dropFirst(t *tenantQueue[T]) {
	t.items[t.first] = queuedItem[T]{}
	t.first++
	switch {
	case t.length() == 0:
		f.unlink(t)
	case t.first > minCompaction && t.first > len(t.items)/2:
		t.items = append(t.items[:0], t.items[t.first:]...)
		t.first = 0
	}
}

// Remove removes the first matching item of a tenant, and reports whether there was one. The item may keep its position
// in the queue, marked as removed, until it is the first.
func (f *fairQueue[T]) Remove(id ID, matches func(T) bool) bool {
	t := f.tenants[id]
	if t == nil {
		return false
	}
	for i := t.first; i < len(t.items); i++ {
		queued := &t.items[i]
		if queued.removed || !matches(queued.item) {
			continue
		}
		queued.removed = true
		f.size--
		for t.length() > 0 && t.items[t.first].removed {
			f.dropFirst(t)
		}
		return true
	}
	return false
}
