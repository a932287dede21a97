package dispatch

import "time"

// Events are counted over recentSlices slices of time, five seconds in all: over so
// long the users ask whether a tier got nothing while one below it was served.
const (
	recentSlices = 10
	recentSlice  = 500 * time.Millisecond
)

// recent counts events of the newest seconds, in slices.
type recent struct {
	counts [recentSlices]int
	newest int64 // newest is the number of the newest slice, from the zero time.
}

// add counts an event.
func (r *recent) add(now time.Time) {
	r.move(now)
	r.counts[r.newest%recentSlices]++
}

// sum returns the number of recent events.
func (r *recent) sum(now time.Time) int {
	r.move(now)
	total := 0
	for _, n := range r.counts {
		total += n
	}
	return total
}

// move clears the slices that are no longer recent.
func (r *recent) move(now time.Time) {
	at := now.UnixMilli() / recentSlice.Milliseconds()
	for step := max(r.newest+1, at-recentSlices+1); step <= at; step++ {
		r.counts[step%recentSlices] = 0
	}
	r.newest = max(r.newest, at)
}
