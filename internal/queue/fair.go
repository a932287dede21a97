package queue

import (
	"container/heap"
	"container/list"
	"math"
)

type (
	// fairQueue shares between teams by virtual time.
	fairQueue struct {
		teams  map[string]*teamQueue
		active teamHeap
		clock  float64
	}

	// teamQueue holds one team's requests, oldest first.
	teamQueue struct {
		fair   *fairQueue
		name   string
		items  *list.List
		finish float64 // finish is the virtual time at which the team's turn comes.
		index  int
	}

	// teamHeap orders teams by their turn.
	teamHeap []*teamQueue
)

// push adds a request to its team's list; a team that had none takes its turn
// no earlier than the present virtual time.
func (f *fairQueue) push(it *Item) {
	t := f.teams[it.Team]
	if t == nil {
		t = &teamQueue{fair: f, name: it.Team, items: list.New()}
		f.teams[it.Team] = t
	}
	it.team = t
	it.place = insertByArrival(t.items, it)
	if t.items.Len() == 1 {
		t.finish = math.Max(t.finish, f.clock)
		heap.Push(&f.active, t)
	}
}

// insertByArrival puts a request into a list that is kept oldest first, and
// returns its place. Most come in order and go to the back.
func insertByArrival(l *list.List, it *Item) *list.Element {
	at := l.Back()
	for at != nil && at.Value.(*Item).Arrived.After(it.Arrived) {
		at = at.Prev()
	}
	if at == nil {
		return l.PushFront(it)
	}
	return l.InsertAfter(it, at)
}

// front returns the oldest request of the team whose turn it is, or nil.
func (f *fairQueue) front() *Item {
	if len(f.active) == 0 {
		return nil
	}
	return f.active[0].items.Front().Value.(*Item)
}

// remove takes a request out of the team's list.
func (t *teamQueue) remove(it *Item) {
	t.items.Remove(it.place)
	if t.items.Len() > 0 {
		return
	}
	heap.Remove(&t.fair.active, t.index)
	if t.finish <= t.fair.clock {
		delete(t.fair.teams, t.name)
	}
}

// charge moves a team's turn back by the work it got.
func (t *teamQueue) charge(it *Item) {
	t.fair.clock = math.Max(t.fair.clock, t.finish)
	t.finish = math.Max(t.finish, t.fair.clock) + it.Cost/it.Weight
	if t.items.Len() > 0 {
		heap.Fix(&t.fair.active, t.index)
		return
	}
	t.fair.teams[t.name] = t
	t.fair.forget()
}

// forgetAt is how many idle teams a fairQueue keeps before it forgets those
// whose turn would be due anyway.
const forgetAt = 1024

// forget drops idle teams that are owed nothing and owe nothing.
func (f *fairQueue) forget() {
	if len(f.teams) < forgetAt+2*len(f.active) {
		return
	}
	for name, t := range f.teams {
		if t.items.Len() == 0 && t.finish <= f.clock {
			delete(f.teams, name)
		}
	}
}

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].name < h[j].name
}

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
