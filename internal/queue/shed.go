package queue

import "time"

// Add adds a request regardless of the queue's limit. It returns false if the class
// is unknown or at its own limit.
func (q *Queue) Add(now time.Time, it *Item) bool {
	c := q.byName[it.Class]
	if c == nil || c.Limit > 0 && c.arrivals.Len() >= c.Limit {
		return false
	}
	q.insert(now, c, it)
	return true
}

// Shed removes and returns the newest request of the lowest tier if the queue is over
// its limit, else nil. A class below its minimum share keeps its last request while
// a higher tier has one to shed.
func (q *Queue) Shed() *Item {
	if q.waiting <= q.limit {
		return nil
	}
	victim := q.victim()
	q.Remove(victim)
	return victim
}

// victim returns the request to shed: the newest of the lowest tier that has a
// class whose last request is not protected by its minimum share.
func (q *Queue) victim() *Item {
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := q.classes[i]
		if c.arrivals.Len() == 0 || (c.arrivals.Len() == 1 && c.belowMinShare()) {
			continue
		}
		return q.newestInTier(c.Tier)
	}
	return q.newestInTier(q.classes[len(q.classes)-1].Tier)
}

// newestInTier returns the newest request of a tier's classes. It skips the last
// request of a class below its minimum share once it has found another.
func (q *Queue) newestInTier(tier int) *Item {
	var newest *Item
	for _, c := range q.classes {
		if c.Tier != tier || c.arrivals.Len() == 0 {
			continue
		}
		if c.arrivals.Len() == 1 && c.belowMinShare() && newest != nil {
			continue
		}
		it := c.arrivals.Back().Value.(*Item)
		if newest == nil || it.Arrived.After(newest.Arrived) {
			newest = it
		}
	}
	return newest
}
