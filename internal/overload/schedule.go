package overload

import (
	"math"
	"time"
)

const (
	// slotLength is the length of a slot of the schedule, and slotCount how many slots are planned:
	// longer than callers heed.
	slotLength = 100 * time.Millisecond
	slotCount  = 128

	// spreadStep is the step between retry times within a slot, as a share of it: with the golden
	// ratio any number of them is spread evenly.
	spreadStep = 0.618

	// heededShare is the share of its remaining time up to which a caller heeds a retry time: a
	// third, less what the answer takes to reach it.
	heededShare = 0.33

	// promisedShare is the share of the capacity that is kept for late work, and promised in the next
	// slots. Callers are refused while new ones need all of it: with more, callers came back into
	// the same burst and were refused again. The share that is promised grows with the square of the
	// time, to all capacity in the last slot that a caller heeds, since most bursts are shorter.
	promisedShare = 0.05
)

// schedule holds the engine time promised to callers that should come back, by slot. The zero value
// is empty.
type schedule struct {
	start  time.Time
	newest int64                    // newest is the number of the slot that contains the present.
	spread float64                  // spread is the latest position within a slot, as a share of it.
	used   [slotCount]time.Duration // used is indexed by slot number modulo slotCount.
}

// promise reserves engine time in the first slots with free capacity and returns when the caller
// should come back: within the first of them after the least time, or within the last slot that it
// heeds if none is free. A cost of 0 reserves nothing.
func (s *schedule) promise(now time.Time, cost, least, heeded, capacity time.Duration) time.Duration {
	now = s.move(now)
	heeded = max(0, heeded) // The caller may have been held beyond its time by a suspension.
	last := s.newest + min(slotCount-1, int64((now.Sub(s.start)+heeded)/slotLength)-s.newest)
	at := min(max(s.newest+1, int64((now.Sub(s.start)+least)/slotLength)+1), last)
	share := func(slot int64) time.Duration {
		part := min(1, float64(slot-s.newest)/float64(max(1, last-s.newest)))
		return scale(max(promisedShare, part*part), capacity)
	}
	for at < last && s.used[at%slotCount] >= share(at) {
		at++
	}
	for slot := at; cost > 0 && slot < s.newest+slotCount; slot++ {
		free := max(0, min(cost, share(slot)-s.used[slot%slotCount]))
		s.used[slot%slotCount] += free
		cost -= free
	}
	_, s.spread = math.Modf(s.spread + spreadStep)
	from := s.start.Add(time.Duration(at) * slotLength).Sub(now)
	return max(0, from+scale(s.spread, min(slotLength, heeded-from)))
}

// move drops the slots that have passed, and returns the time. It is the start of the schedule at the earliest: a request that
// began it may have read the clock after one that waited since.
func (s *schedule) move(now time.Time) time.Time {
	if s.start.IsZero() {
		s.start = now
	}
	if now.Before(s.start) {
		now = s.start
	}
	at := int64(now.Sub(s.start) / slotLength)
	for slot := max(s.newest, at-slotCount); slot < at; slot++ {
		s.used[slot%slotCount] = 0
	}
	s.newest = max(s.newest, at)
	return now
}

// perSlot returns this node's part of the engine time in a slot. The caller holds the lock.
func (c *Controller) perSlot(engines int) time.Duration {
	return slotLength * time.Duration(engines) / time.Duration(max(1, c.cluster.nodes))
}
