// Package queue orders the requests that wait for one pool. Classes below their
// minimum share go first, then classes by tier. Within a class, requests that can
// still meet their target go before late ones, and teams share by weighted fair
// queueing. The package also selects the request to shed when too many wait.
package queue

import (
	"container/list"
	"math"
	"sort"
	"time"
)

const (
	// servedHalfLife is the half-life of the record of served work.
	servedHalfLife = 10 * time.Second

	// minWaitDivisor gives the part of its target (target/minWaitDivisor) that a
	// request may wait before it counts as late, however long engines take.
	minWaitDivisor = 4
)

type (
	// Class configures a service class.
	Class struct {
		Name     string
		Tier     int           // Tier orders classes; 1 is the highest.
		MinShare float64       // MinShare is the minimum share of served work while requests of the class wait.
		Limit    int           // Limit is the maximum number of waiting requests; 0 for no limit.
		MaxWait  time.Duration // MaxWait is the maximum waiting time of a request.
		Target   time.Duration // Target is the target time from arrival to first token; 0 for none.
	}

	// Item is one waiting request. The exported fields are set before Add.
	Item struct {
		ID      string
		Class   string
		Team    string
		Weight  float64   // Weight is the team's weight, above 0.
		Cost    float64   // Cost is the expected work, in tokens.
		Arrived time.Time // Arrived is when the request first arrived at any node.
		Value   any       // Value is for the caller's use.

		class     *classQueue
		team      *teamQueue
		classElem *list.Element // classElem is the element in the class's arrivals.
		teamElem  *list.Element // teamElem is the element in the team's list.
	}

	// Queue holds waiting requests. It is not safe for concurrent use.
	Queue struct {
		limit    int
		headroom time.Duration // headroom is the time that an engine takes to the first token.
		classes  []*classQueue // classes is sorted by tier, then by name.
		byName   map[string]*classQueue
		waiting  int
	}

	// classQueue holds the waiting requests of one class: fresh ones, which can
	// still meet their target, and late ones, which can't.
	classQueue struct {
		Class
		arrivals    *list.List // arrivals holds fresh and late requests, oldest first.
		fresh       fairQueue
		late        fairQueue
		oldestFresh *list.Element // oldestFresh is the oldest fresh request.
		served      decayingSum
		credit      float64 // credit is the work the class is owed by its minimum share, in tokens.
	}

	// decayingSum is an exponentially decaying sum.
	decayingSum struct {
		sum float64
		at  time.Time
	}
)

// New returns an empty queue in which at most limit requests wait.
func New(limit int, classes []Class) *Queue {
	q := &Queue{byName: map[string]*classQueue{}}
	q.Configure(limit, classes)
	return q
}

// Configure sets the limit and the classes. A class that is no longer listed
// keeps its last configuration and its requests.
func (q *Queue) Configure(limit int, classes []Class) {
	q.limit = limit
	for _, c := range classes {
		cq := q.byName[c.Name]
		if cq == nil {
			cq = &classQueue{arrivals: list.New()}
			cq.fresh.teams = map[string]*teamQueue{}
			cq.late.teams = map[string]*teamQueue{}
			q.byName[c.Name] = cq
			q.classes = append(q.classes, cq)
		}
		cq.Class = c
	}
	sort.SliceStable(q.classes, func(i, j int) bool {
		if q.classes[i].Tier != q.classes[j].Tier {
			return q.classes[i].Tier < q.classes[j].Tier
		}
		return q.classes[i].Name < q.classes[j].Name
	})
}

// SetHeadroom sets how long an engine takes to the first token. A request that
// still waits this long before its target counts as late.
func (q *Queue) SetHeadroom(d time.Duration) { q.headroom = d }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Ahead returns the number of waiting requests in the same tier or a higher one.
func (q *Queue) Ahead(tier int) int {
	n := 0
	for _, c := range q.classes {
		if c.Tier <= tier {
			n += c.arrivals.Len()
		}
	}
	return n
}

// insert adds a request to its class's lists by arrival time.
func (q *Queue) insert(now time.Time, c *classQueue, it *Item) {
	it.class = c
	it.classElem = insertByArrival(c.arrivals, it)
	if q.isLate(now, it) {
		c.late.push(it)
	} else {
		c.fresh.push(it)
		if c.oldestFresh == nil || it.Arrived.Before(c.oldestFresh.Value.(*Item).Arrived) {
			c.oldestFresh = it.classElem
		}
	}
	q.waiting++
}

// isLate reports whether a request can no longer meet its target.
func (q *Queue) isLate(now time.Time, it *Item) bool {
	target := it.class.Target
	if target <= 0 {
		return false
	}
	return now.Sub(it.Arrived) > max(target-q.headroom, target/minWaitDivisor)
}

// Pop removes and returns the next request, or nil if none waits.
func (q *Queue) Pop(now time.Time) *Item {
	c := q.nextClass(now)
	if c == nil {
		return nil
	}
	q.moveLate(now, c)
	it := c.fresh.front()
	if it == nil {
		it = c.late.front()
	}
	q.Remove(it)
	it.team.charge(it)
	c.served.add(now, it.Cost)
	q.updateCredits(c, it.Cost)
	return it
}

// Peek returns the next request without removing it, or nil if none waits.
func (q *Queue) Peek(now time.Time) *Item {
	c := q.nextClass(now)
	if c == nil {
		return nil
	}
	q.moveLate(now, c)
	if it := c.fresh.front(); it != nil {
		return it
	}
	return c.late.front()
}

// nextClass returns the class to serve next: the one with the largest credit
// from its minimum share, else the least served waiting class of the highest tier.
func (q *Queue) nextClass(now time.Time) *classQueue {
	var best *classQueue
	for _, c := range q.classes {
		if c.arrivals.Len() == 0 || !c.belowMinShare() {
			continue
		}
		if best == nil || c.credit > best.credit {
			best = c
		}
	}
	if best != nil {
		return best
	}
	for _, c := range q.classes {
		if c.arrivals.Len() == 0 {
			continue
		}
		if best != nil && c.Tier > best.Tier {
			break
		}
		if best == nil || c.served.value(now) < best.served.value(now) {
			best = c
		}
	}
	return best
}

// updateCredits credits the waiting classes with their minimum shares of some
// served work and debits the class that was served. A class with no waiting
// requests accumulates no credit.
func (q *Queue) updateCredits(got *classQueue, cost float64) {
	for _, c := range q.classes {
		if c.MinShare <= 0 {
			continue
		}
		if c == got {
			c.credit -= cost
		}
		if c == got || c.arrivals.Len() > 0 {
			c.credit += c.MinShare * cost
		}
		if c.arrivals.Len() == 0 {
			c.credit = math.Min(c.credit, 0)
		}
		c.credit = math.Max(c.credit, -cost/c.MinShare)
	}
}

// BelowMinShare reports whether a class got less than its minimum share.
func (q *Queue) BelowMinShare(class string) bool {
	c := q.byName[class]
	return c != nil && c.belowMinShare()
}

// belowMinShare reports whether the class got less than its minimum share.
func (c *classQueue) belowMinShare() bool { return c.MinShare > 0 && c.credit > 0 }

// moveLate moves requests that have become late from fresh to late.
func (q *Queue) moveLate(now time.Time, c *classQueue) {
	for c.oldestFresh != nil {
		it := c.oldestFresh.Value.(*Item)
		if !q.isLate(now, it) {
			return
		}
		c.oldestFresh = c.oldestFresh.Next()
		if it.team.fair == &c.fresh {
			it.team.remove(it)
			c.late.push(it)
		}
	}
}

// Remove removes a request, such as when its caller has disconnected.
func (q *Queue) Remove(it *Item) {
	if it.classElem == nil {
		return
	}
	c := it.class
	if c.oldestFresh == it.classElem {
		c.oldestFresh = it.classElem.Next()
	}
	c.arrivals.Remove(it.classElem)
	it.classElem = nil
	it.team.remove(it)
	q.waiting--
}

// Expire removes and returns the requests that have reached the MaxWait of their
// class.
func (q *Queue) Expire(now time.Time) []*Item {
	var out []*Item
	for _, c := range q.classes {
		for c.arrivals.Len() > 0 {
			it := c.arrivals.Front().Value.(*Item)
			if now.Sub(it.Arrived) < c.MaxWait {
				break
			}
			q.Remove(it)
			out = append(out, it)
		}
	}
	return out
}

// Drain removes and returns all requests.
func (q *Queue) Drain() []*Item {
	var out []*Item
	for _, c := range q.classes {
		for c.arrivals.Len() > 0 {
			it := c.arrivals.Front().Value.(*Item)
			q.Remove(it)
			out = append(out, it)
		}
	}
	return out
}

// Items returns all waiting requests, ordered by class and arrival.
func (q *Queue) Items() []*Item {
	out := make([]*Item, 0, q.waiting)
	for _, c := range q.classes {
		for e := c.arrivals.Front(); e != nil; e = e.Next() {
			out = append(out, e.Value.(*Item))
		}
	}
	return out
}

// value returns the sum decayed to the given time.
func (d *decayingSum) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-float64(now.Sub(d.at))/float64(servedHalfLife))
}

// add decays the sum to the given time and adds x.
func (d *decayingSum) add(now time.Time, x float64) {
	d.sum = d.value(now) + x
	d.at = now
}
