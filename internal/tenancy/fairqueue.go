package tenancy

// FairQueue hands out turns among tenants that wait, by weight: a deficit round robin (Shreedhar and Varghese). Every
// operation takes the same time however many tenants there are, as no order among them is kept: those that wait stand in a
// ring, and each gains on its turn what its weight gives it. A tenant that waits for nothing keeps nothing.
type FairQueue[T any] struct {
	lines map[ID]*turn[T]
	head  *turn[T] // whose turn it is
	size  int
	// Quantum is what a weight of 1 gains on one turn. It should be near the usual cost, so that most turns serve one.
	Quantum float64
}

const turnsMost = 32

// turn is one tenant in the ring.
type turn[T any] struct {
	id         ID
	weight     float64
	deficit    float64
	queue      []waiting[T]
	first      int // of the queue that is still there
	next, prev *turn[T]
	fresh      bool // it has not yet gained on this visit
}

type waiting[T any] struct {
	item T
	cost float64
	gone bool
}

// NewFairQueue makes one.
func NewFairQueue[T any](quantum float64) *FairQueue[T] {
	return &FairQueue[T]{lines: map[ID]*turn[T]{}, Quantum: quantum}
}

// Len is how many wait; Of how many of one tenant do.
func (f *FairQueue[T]) Len() int { return f.size }

// LenOf is how many of a tenant's stand in its line, those dropped and not yet passed over included.
func (f *FairQueue[T]) LenOf(id ID) int {
	if t := f.lines[id]; t != nil {
		return len(t.queue) - t.first
	}
	return 0
}

// Add puts something at the end of its tenant's line.
func (f *FairQueue[T]) Add(id ID, weight float64, item T, cost float64) {
	t := f.lines[id]
	if t == nil {
		t = &turn[T]{id: id}
		f.lines[id] = t
	}
	t.weight = max(weight, 0.01)
	if len(t.queue) == t.first {
		t.queue, t.first, t.deficit, t.fresh = t.queue[:0], 0, 0, true
		f.link(t)
	}
	// What costs very much goes after so many turns all the same: a turn must not cost the more rounds the dearer it is.
	t.queue = append(t.queue, waiting[T]{item, min(cost, turnsMost*t.weight*f.Quantum), false})
	f.size++
}

// link puts a tenant in front of whose turn it is, so that it comes last.
func (f *FairQueue[T]) link(t *turn[T]) {
	if f.head == nil {
		f.head, t.next, t.prev = t, t, t
		return
	}
	t.next, t.prev = f.head, f.head.prev
	t.prev.next, t.next.prev = t, t
}

func (f *FairQueue[T]) unlink(t *turn[T]) {
	if t.next == t {
		f.head = nil
	} else {
		t.prev.next, t.next.prev = t.next, t.prev
		if f.head == t {
			f.head = t.next
		}
	}
	t.next, t.prev = nil, nil
	delete(f.lines, t.id)
}

// Next gives who is next, among those whose items may go now; may is asked once for each item at the head of its line
// that could be served. A tenant whose head may not go loses its turn, not its place.
func (f *FairQueue[T]) Next(may func(T) bool) (item T, some bool) {
	refused := 0
	for f.head != nil && refused < len(f.lines) {
		t := f.head
		if t.fresh {
			t.deficit += t.weight * f.Quantum
			t.fresh = false
		}
		w := &t.queue[t.first]
		switch {
		case w.gone:
			f.pop(t)
			continue
		case w.cost > t.deficit:
			f.pass(t)
			continue
		case !may(w.item):
			refused++
			t.deficit = min(t.deficit, w.cost) // what can't be used is not saved up
			f.pass(t)
			continue
		}
		item, t.deficit = w.item, t.deficit-w.cost
		f.size--
		f.pop(t)
		return item, true
	}
	return item, false
}

func (f *FairQueue[T]) pass(t *turn[T]) {
	t.fresh = true
	f.head = t.next
}

func (f *FairQueue[T]) pop(t *turn[T]) {
	t.queue[t.first] = waiting[T]{}
	t.first++
	if t.first == len(t.queue) {
		f.unlink(t)
	} else if t.first > 64 && t.first > len(t.queue)/2 {
		t.queue = append(t.queue[:0], t.queue[t.first:]...)
		t.first = 0
	}
}

// Remove takes out what matches, of one tenant; its place in the line is passed over when its turn comes.
func (f *FairQueue[T]) Remove(id ID, is func(T) bool) bool {
	t := f.lines[id]
	if t == nil {
		return false
	}
	for i := t.first; i < len(t.queue); i++ {
		if w := &t.queue[i]; !w.gone && is(w.item) {
			w.gone = true
			f.size--
			for t.next != nil && t.first < len(t.queue) && t.queue[t.first].gone {
				f.pop(t)
			}
			return true
		}
	}
	return false
}
