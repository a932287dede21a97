// Package recent counts events within a sliding window. It uses the monotonic clock, so that a
// change of the wall clock neither counts an event twice nor drops one.
package recent

import "time"

// Counter counts events in slices of its window; an event expires together with its slice. It is
// not safe for concurrent use.
type Counter struct {
	start  time.Time     // start is when slice 0 begins.
	slice  time.Duration // slice is the length of one slice.
	counts []int         // counts is indexed by slice number modulo the number of slices.
	newest int64         // newest is the number of the newest slice.
}

// New returns a counter that starts at a given time, for a window of span divided into slices.
func New(start time.Time, span time.Duration, slices int) *Counter {
	return &Counter{start: start, slice: span / time.Duration(slices), counts: make([]int, slices)}
}

// Add counts an event.
func (c *Counter) Add(now time.Time) { c.AddN(now, 1) }

// AddN counts n events, or adds an amount n.
func (c *Counter) AddN(now time.Time, n int) {
	c.move(now)
	c.counts[c.newest%int64(len(c.counts))] += n
}

// Sum returns the number of events within the window.
func (c *Counter) Sum(now time.Time) int {
	c.move(now)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// move clears the slices that have expired. A time before the newest slice changes nothing.
func (c *Counter) move(now time.Time) {
	at := int64(now.Sub(c.start) / c.slice)
	for step := max(c.newest+1, at-int64(len(c.counts))+1); step <= at; step++ {
		c.counts[step%int64(len(c.counts))] = 0
	}
	c.newest = max(c.newest, at)
}
