package dispatch

import (
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/routing"
)

const (
	// runTimesWindow is for how long a run counts at least among the recent ones of its route.
	runTimesWindow = 30 * time.Second

	// minRuns is how many recent runs of a route tell how long others may take.
	minRuns = 20

	// longestRunMargin is how much longer than the longest recent run another may take.
	longestRunMargin = 1.5
)

type (
	// runTimes knows how long requests of each route ran lately.
	runTimes struct {
		mu     sync.Mutex
		routes map[string]*routeRuns
	}

	// routeRuns are the runs of one route in the present window and the one before.
	routeRuns struct {
		began           time.Time // began is when the present window began.
		count, before   int
		longest, former time.Duration // former is the longest of the window before.
	}
)

// add records a run of a route that was answered.
func (t *runTimes) add(now time.Time, route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]*routeRuns{}
	}
	r := t.routes[route]
	if r == nil {
		r = &routeRuns{began: now}
		t.routes[route] = r
	}
	if now.Sub(r.began) >= runTimesWindow {
		*r = routeRuns{began: now, before: r.count, former: r.longest}
	}
	r.count++
	r.longest = max(r.longest, took)
}

// longest returns the longest recent run of a route; ok is false if there were few.
func (t *runTimes) longest(route string) (took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil || r.count+r.before < minRuns {
		return 0, false
	}
	return max(r.longest, r.former), true
}

// fitsBeforeStop reports whether a request can end before this node does. One that may run again is only delayed if
// it is cut off; any other must fit as long as it may take, which recent runs of its route tell.
func (d *Dispatcher) fitsBeforeStop(left time.Duration, r *Request, route *routing.Route) bool {
	if left < stopMargin || route.Kind == routing.Stream && left < streamStopMargin {
		return false
	}
	if route.Repeatable() {
		return true
	}
	longest := patience(r, route)
	if took, ok := d.runs.longest(route.Name); ok {
		longest = min(longest, time.Duration(longestRunMargin*float64(took)))
	}
	return left >= longest
}
