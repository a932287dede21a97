package dispatch

import (
	"sync"
	"time"
)

const (
	// runTimesWindow is for how long a run counts at least among the recent ones of its route.
	runTimesWindow = 30 * time.Second
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
	r := t.current(now, route)
	r.count++
	r.longest = max(r.longest, took)
}

// addUnfinished records a run that was ended after a time. It would have taken longer.
func (t *runTimes) addUnfinished(now time.Time, route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current(now, route)
	r.longest = max(r.longest, took)
}

// current returns the runs of a route with the window of a time. The caller holds the lock.
func (t *runTimes) current(now time.Time, route string) *routeRuns {
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
	return r
}

// longest returns the longest recent run of a route, and how many are known.
func (t *runTimes) longest(route string) (took time.Duration, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return 0, 0
	}
	return max(r.longest, r.former), r.count + r.before
}
