// Package recent counts events of the newest span of time. It goes by the steady clock
// that moments of one process carry, so that a change of the time of day counts nothing
// twice and forgets nothing.
package recent

import "time"

// Counter counts events by slices of its span: an event is forgotten with its slice. It is
// not safe for use from many goroutines.
type Counter struct {
	start  time.Time     // start is when slice 0 begins.
	slice  time.Duration // slice is the length of one slice.
	counts []int         // counts are by the number of the slice, modulo their number.
	newest int64         // newest is the number of the newest slice.
}

// New returns a count that begins at a moment, of a span in a number of slices.
func New(start time.Time, span time.Duration, slices int) *Counter {
	return &Counter{start: start, slice: span / time.Duration(slices), counts: make([]int, slices)}
}

// Add counts an event.
func (c *Counter) Add(now time.Time) { c.AddN(now, 1) }

// AddN counts so many events, or an amount of something.
func (c *Counter) AddN(now time.Time, n int) {
	c.move(now)
	c.counts[c.newest%int64(len(c.counts))] += n
}

// Sum returns the number of recent events.
func (c *Counter) Sum(now time.Time) int {
	c.move(now)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// move clears the slices that are no longer recent; a moment before the newest slice
// changes nothing.
func (c *Counter) move(now time.Time) {
	at := int64(now.Sub(c.start) / c.slice)
	for step := max(c.newest+1, at-int64(len(c.counts))+1); step <= at; step++ {
		c.counts[step%int64(len(c.counts))] = 0
	}
	c.newest = max(c.newest, at)
}
