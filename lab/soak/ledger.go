package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

type (
	// run is one start of a request at an engine.
	run struct {
		engine, team string
		hall         string // hall is the engine's.
		at           time.Time
	}

	// evacuated is the evacuation of a hall, from its acknowledgement until the operator took it back.
	evacuated struct {
		hall string
		span
	}

	// ending is how a request ended for its caller.
	ending struct {
		route, key, team string
		sent, ended      time.Time
		status           int  // status is 0 where no whole head came.
		whole            bool // whole says that the body came to its end.
		body             string
	}

	// sender is where a caller sent a request, and when.
	sender struct {
		node string
		at   time.Time
	}

	// span is a time in which something was at fault.
	span struct{ from, to time.Time }

	// Ledger keeps what callers, engines and the operator saw.
	Ledger struct {
		mu      sync.Mutex
		runs    map[string][]run
		endings map[string]ending
		revoked map[string]time.Time   // revoked holds when the loss of a key was acknowledged.
		leaving map[string]time.Time   // leaving holds when an engine's leaving was acknowledged.
		faults  []span                 // faults of nodes and of the store
		crashes map[string][]time.Time // crashes holds when requests that crash engines were run, by their bodies.
		exits   []string               // exits of processes that nobody ended

		evacuations []evacuated

		senders  map[string]sender    // senders holds where callers sent their requests, by id.
		arrivals map[string][]arrival // arrivals are by engine.
		told     map[string][]told    // told holds what engines said of themselves, by engine.
		aways    map[string][]span    // aways holds the faults of nodes and of ways to engines, by name.
	}
)

// newLedger returns an empty ledger.
func newLedger() *Ledger {
	return &Ledger{
		runs: map[string][]run{}, endings: map[string]ending{}, revoked: map[string]time.Time{}, leaving: map[string]time.Time{}, crashes: map[string][]time.Time{},
		senders: map[string]sender{}, arrivals: map[string][]arrival{}, told: map[string][]told{}, aways: map[string][]span{},
	}
}

// ran records a start at an engine.
func (l *Ledger) ran(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// ended records how a request ended.
func (l *Ledger) ended(id string, e ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endings[id] = e
}

// fault records a time of fault of nodes or of the store.
func (l *Ledger) fault(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, span{from, to})
}

// crashed records a run of a request that crashes its engine.
func (l *Ledger) crashed(body string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[body] = append(l.crashes[body], at)
}

// lateCrashes returns requests of which more than crashesLater runs began later than settle after the third, while nodes
// and the store had been without fault for as long.
func (l *Ledger) lateCrashes() []string {
	var out []string
	for body, runs := range l.crashes {
		later := 0
		for _, at := range runs[min(3, len(runs)):] {
			if at.After(runs[2].Add(settle)) && l.calm(at.Add(-settle), at) {
				later++
			}
		}
		if later > crashesLater {
			out = append(out, fmt.Sprintf("%s crashed %d engines, %d of them later than %v after the third", body, len(runs), later, settle))
		}
	}
	return out
}

// evacuate records an evacuation.
func (l *Ledger) evacuate(hall string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuations = append(l.evacuations, evacuated{hall, span{from, to}})
}

// startsWhileEvacuated returns starts in a hall too long after it was evacuated, while nodes and the store had been without
// fault for that long.
func (l *Ledger) startsWhileEvacuated(e evacuated) []string {
	var out []string
	for id, runs := range l.runs {
		for _, r := range runs {
			if r.hall == e.hall && r.at.After(e.from.Add(evacuateWithin)) && r.at.Before(e.to) && l.calm(e.from.Add(-settle), r.at) {
				out = append(out, fmt.Sprintf("%s started at %s %v after hall %s was evacuated", id, r.engine, r.at.Sub(e.from), e.hall))
			}
		}
	}
	return out
}

// mark records a moment under a name.
func (l *Ledger) mark(in map[string]time.Time, name string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in[name] = at
}

// exited records the end of a process that nobody ended.
func (l *Ledger) exited(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exits = append(l.exits, what)
}

// Served returns how many requests ended well among those sent after a moment.
func (l *Ledger) Served(after time.Time) (served, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.endings {
		if e.sent.After(after) && e.status != unauthorized {
			asked++
			if e.status == success && e.whole {
				served++
			}
		}
	}
	return served, asked
}

// Broken returns every broken promise, one a line.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	out = append(out, l.exits...)
	out = append(out, l.lateCrashes()...)
	out = append(out, l.unheard()...)
	for id, e := range l.endings {
		out = append(out, l.brokenBy(id, e)...)
	}
	for _, e := range l.evacuations {
		out = append(out, l.startsWhileEvacuated(e)...)
	}
	for engine, at := range l.leaving {
		if l.calm(at.Add(-settle), at.Add(drainWithin+afterDrain)) {
			out = append(out, l.lateStarts(engine, at)...)
		}
	}
	return out
}

// brokenBy checks the promises to one request.
func (l *Ledger) brokenBy(id string, e ending) []string {
	var out []string
	runs := l.runs[id]
	once := e.route == routeUnsafe || e.route == routeStream
	if once && len(runs) > 1 {
		out = append(out, fmt.Sprintf("%s %s ran %d times", e.route, id, len(runs)))
	}
	if (e.status == unavailable || e.status == tooMany) && once && len(runs) > 0 {
		out = append(out, fmt.Sprintf("%s %s ran, though its caller got %d", e.route, id, e.status))
	}
	if e.status == success && e.whole && e.body != wholeAnswer(e.route, id) {
		out = append(out, fmt.Sprintf("%s %s got %q", e.route, id, e.body))
	}
	for _, r := range runs {
		if r.team != e.team {
			out = append(out, fmt.Sprintf("%s %s ran for team %q, its key is of %q", e.route, id, r.team, e.team))
		}
		if gone, ok := l.revoked[e.key]; ok && r.at.After(gone.Add(revokeWithin)) {
			out = append(out, fmt.Sprintf("%s %s ran %v after its key was taken away", e.route, id, r.at.Sub(gone)))
		}
	}
	return out
}

// lateStarts returns starts at an engine too long after it said that it leaves.
func (l *Ledger) lateStarts(engine string, at time.Time) []string {
	var out []string
	for id, runs := range l.runs {
		for _, r := range runs {
			if r.engine == engine && r.at.After(at.Add(drainWithin)) {
				out = append(out, fmt.Sprintf("%s started at %s %v after it said that it leaves", id, engine, r.at.Sub(at)))
			}
		}
	}
	return out
}

// calm reports whether nodes and store were without fault in a span.
func (l *Ledger) calm(from, to time.Time) bool {
	return !overlaps(l.faults, from, to)
}

// overlaps reports whether one of some spans overlaps another.
func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}
