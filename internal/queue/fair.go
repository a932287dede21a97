package queue

import (
	"container/heap"
	"container/list"
	"math"
)

type (
	// fairQueue implements weighted fair queueing between teams.
	fairQueue struct {
		teams       map[string]*teamQueue
		active      teamHeap
		virtualTime float64
	}

	// teamQueue holds a team's requests, oldest first.
	teamQueue struct {
		fair   *fairQueue
		name   string
		items  *list.List
		finish float64 // finish is the virtual time that orders the team among the others.
		index  int
	}

	// teamHeap orders teams by virtual finish time.
	teamHeap []*teamQueue
)

// push adds a request to its team's list. A team that was idle starts no earlier
// than the current virtual time.
func (f *fairQueue) push(it *Item) {
	t := f.teams[it.Team]
	if t == nil {
		t = &teamQueue{fair: f, name: it.Team, items: list.New()}
		f.teams[it.Team] = t
	}
	it.team = t
	it.teamElem = insertByArrival(t.items, it)
	if t.items.Len() == 1 {
		t.finish = math.Max(t.finish, f.virtualTime)
		heap.Push(&f.active, t)
	}
}

// insertByArrival inserts a request into a list sorted oldest first and returns
// its element. It searches from the back, since most requests arrive in order.
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

// front returns the oldest request of the team that is next, or nil.
func (f *fairQueue) front() *Item {
	if len(f.active) == 0 {
		return nil
	}
	return f.active[0].items.Front().Value.(*Item)
}

// remove removes a request from the team's list.
func (t *teamQueue) remove(it *Item) {
	t.items.Remove(it.teamElem)
	if t.items.Len() > 0 {
		return
	}
	heap.Remove(&t.fair.active, t.index)
	if t.finish <= t.fair.virtualTime {
		delete(t.fair.teams, t.name)
	}
}

// charge advances a team's finish time by the request's cost over its weight.
func (t *teamQueue) charge(it *Item) {
	t.fair.virtualTime = math.Max(t.fair.virtualTime, t.finish)
	t.finish = math.Max(t.finish, t.fair.virtualTime) + it.Cost/it.Weight
	if t.items.Len() > 0 {
		heap.Fix(&t.fair.active, t.index)
		return
	}
	t.fair.teams[t.name] = t
	t.fair.dropIdle()
}

// maxIdleTeams is how many idle teams a fairQueue keeps before it drops those
// whose finish time has passed.
const maxIdleTeams = 1024

// dropIdle drops idle teams whose finish time has passed, if there are too many.
func (f *fairQueue) dropIdle() {
	if len(f.teams) < maxIdleTeams+2*len(f.active) {
		return
	}
	for name, t := range f.teams {
		if t.items.Len() == 0 && t.finish <= f.virtualTime {
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
