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
		hall         string // hall is the hall of the engine.
		at           time.Time
	}

	// evacuation is a hall's evacuation, from its acknowledgement until the operator reverted it.
	evacuation struct {
		hall string
		interval
	}

	// result is the result of a request as its caller saw it.
	result struct {
		route, key, team string
		first            string // first is the first part of the prompt.
		sent, ended      time.Time
		status           int  // status is 0 if no complete response header arrived.
		complete         bool // complete is set if the body was read to its end.
		body             string
		late             bool   // late is set if requests became long late in the stop of its node, though nothing in them said so.
		last             string // last is the last attempt if the caller took the stream up; empty otherwise.
	}

	// sender is the node that a caller sent a request to, and the time.
	sender struct {
		node string
		at   time.Time
	}

	// interval is a period of time, usually that of a fault.
	interval struct{ from, to time.Time }

	// Ledger records what callers, engines and the operator observed.
	Ledger struct {
		mu         sync.Mutex
		runs       map[string][]run
		results    map[string]result
		revoked    map[string]time.Time   // revoked holds when the revocation of a key was acknowledged.
		left       map[string]time.Time   // left holds when callers left, or when the deadlines of those that stayed passed, by request id.
		broken     map[string]time.Time   // broken holds when an engine last refused a request or broke it off, by request id.
		leaving    map[string]time.Time   // leaving holds when the draining state of an engine was acknowledged.
		faults     []interval             // faults of nodes and of the store
		crashes    map[string][]time.Time // crashes holds the times of engine crashes, by body of the request that caused them.
		exits      []string               // exits holds unexpected exits and failures of the harness itself.
		violations []string

		evacuations []evacuation
		cuts        []cut
		brittle     []brittlePeriod
		silences    []silence
		pairs       []longPair
		partSeries  []partSeries
		popular     []popularSeries
		streamTries []streamTry

		stopped       []string               // stopped holds the requests that were sent to nodes that stop.
		kept          []keptRequest          // kept holds the requests that were sent over kept connections to nodes that stop.
		sigterms      map[string][]time.Time // sigterms holds when nodes got a SIGTERM, by node.
		standstills   map[string][]interval  // standstills holds when nodes that should have all their time did not run, by node.
		drainedUnread map[string]time.Time   // drainedUnread holds when engines began to drain while nodes read of them.
		injected      map[string][]interval  // injected holds the faults of all kinds, by name.

		partArrivals map[string][]time.Time // partArrivals holds when requests with a part that crashes engines reached them, by part.
		partCrashes  map[string][]time.Time // partCrashes holds the times of the crashes, by part.

		senders  map[string]sender        // senders holds where callers sent their requests, by request id.
		arrivals map[string][]arrival     // arrivals holds the requests that reached engines, by engine.
		signals  map[string][]sentSignals // signals holds what engines reported about themselves, by engine.
		outages  map[string][]interval    // outages holds the faults of nodes and of connections to engines, by name.
	}
)

// newLedger returns an empty ledger.
func newLedger() *Ledger {
	return &Ledger{
		runs: map[string][]run{}, results: map[string]result{}, revoked: map[string]time.Time{}, left: map[string]time.Time{}, leaving: map[string]time.Time{}, broken: map[string]time.Time{}, crashes: map[string][]time.Time{},
		sigterms: map[string][]time.Time{}, standstills: map[string][]interval{}, drainedUnread: map[string]time.Time{}, injected: map[string][]interval{}, partArrivals: map[string][]time.Time{}, partCrashes: map[string][]time.Time{},
		senders: map[string]sender{}, arrivals: map[string][]arrival{}, signals: map[string][]sentSignals{}, outages: map[string][]interval{},
	}
}

// recordRun records the start of a request at an engine.
func (l *Ledger) recordRun(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// recordResult records the result of a request.
func (l *Ledger) recordResult(id string, e result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[id] = e
}

// recordFault records a fault of nodes or of the store.
func (l *Ledger) recordFault(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, interval{from, to})
}

// recordCrash records that a request crashed its engine.
func (l *Ledger) recordCrash(body string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[body] = append(l.crashes[body], at)
}

// lateCrashes returns the requests with more than maxLateCrashes crashes later than
// recoveryTime after their third, counting those before which nodes and store were free of
// faults for as long.
func (l *Ledger) lateCrashes() []string {
	var out []string
	for body, runs := range l.crashes {
		later := 0
		for _, at := range runs[min(3, len(runs)):] {
			if at.After(runs[2].Add(recoveryTime)) && l.faultFree(at.Add(-recoveryTime), at) {
				later++
			}
		}
		if later > maxLateCrashes {
			out = append(out, fmt.Sprintf("%s crashed %d engines, %d of them later than %v after the third", body, len(runs), later, recoveryTime))
		}
	}
	return out
}

// recordEvacuation records an evacuation.
func (l *Ledger) recordEvacuation(hall string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuations = append(l.evacuations, evacuation{hall, interval{from, to}})
}

// startsWhileEvacuated returns starts in an evacuated hall later than evacuateWithin allows,
// if nodes and store were free of faults from recoveryTime before the evacuation until the
// start.
func (l *Ledger) startsWhileEvacuated(e evacuation) []string {
	var out []string
	for id, runs := range l.runs {
		for _, r := range runs {
			if r.hall == e.hall && r.at.After(e.from.Add(evacuateWithin)) && r.at.Before(e.to) && l.faultFree(e.from.Add(-recoveryTime), r.at) {
				out = append(out, fmt.Sprintf("%s started at %s %v after hall %s was evacuated", id, r.engine, r.at.Sub(e.from), e.hall))
			}
		}
	}
	return out
}

// recordTime records a time under a name.
func (l *Ledger) recordTime(in map[string]time.Time, name string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	in[name] = at
}

// recordViolation records what an engine saw against the guarantees.
func (l *Ledger) recordViolation(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, what)
}

// recordExit records an unexpected exit or a failure of the harness.
func (l *Ledger) recordExit(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exits = append(l.exits, what)
}

// Served returns how many of the requests sent after a time were served, and how many count;
// unauthorized ones do not.
func (l *Ledger) Served(after time.Time) (served, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.results {
		if e.sent.After(after) && e.status != unauthorized {
			asked++
			if e.status == success && e.complete {
				served++
			}
		}
	}
	return served, asked
}

// Violations returns all violations of the guarantees, one per string.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	out = append(out, l.exits...)
	out = append(out, l.violations...)
	out = append(out, l.lateCrashes()...)
	out = append(out, l.ignoredSignals()...)
	out = append(out, l.streamsLost()...)
	out = append(out, l.runsWithoutCaller()...)
	out = append(out, l.cutByStops()...)
	out = append(out, l.endedWithoutAnswer()...)
	out = append(out, l.startsAfterUnreadDrains()...)
	out = append(out, l.longLost()...)
	out = append(out, l.popularRefused()...)
	for id, e := range l.results {
		out = append(out, l.requestViolations(id, e)...)
	}
	for _, e := range l.evacuations {
		out = append(out, l.startsWhileEvacuated(e)...)
	}
	for _, p := range l.brittle {
		out = append(out, l.tooManyFalls(p)...)
	}
	for _, s := range l.partSeries {
		out = append(out, l.partViolations(s)...)
	}
	for _, s := range l.silences {
		out = append(out, l.movedFromSilent(s)...)
	}
	for _, c := range l.cuts {
		out = append(out, l.unservedWhileCut(c)...)
	}
	for engine, at := range l.leaving {
		if l.faultFree(at.Add(-recoveryTime), at.Add(drainWithin+drainObservation)) {
			out = append(out, l.lateStarts(engine, at)...)
		}
	}
	return out
}

// requestViolations checks the guarantees for one request.
func (l *Ledger) requestViolations(id string, e result) []string {
	var out []string
	runs := l.runs[id]
	once := e.route == routeUnsafe || e.route == routeStream
	if once && len(runs) > 1 {
		out = append(out, fmt.Sprintf("%s %s ran %d times", e.route, id, len(runs)))
	}
	if (e.status == unavailable || e.status == tooManyRequests) && once && len(runs) > 0 {
		out = append(out, fmt.Sprintf("%s %s ran, though its caller got %d", e.route, id, e.status))
	}
	if e.status == success && e.complete && versionLine.ReplaceAllString(e.body, "") != expectedBody(e.route, id) && !endsUnseen(id, e) {
		out = append(out, fmt.Sprintf("%s %s got %q", e.route, id, e.body))
	}
	if e.status > 599 {
		out = append(out, fmt.Sprintf("%s %s got the status %d", e.route, id, e.status))
	}
	if len(versionsIn(e.body)) > 1 {
		out = append(out, fmt.Sprintf("%s %s holds events of several versions: %q", e.route, id, e.body))
	}
	for _, r := range runs {
		if r.team != e.team {
			out = append(out, fmt.Sprintf("%s %s ran for team %q, its key belongs to %q", e.route, id, r.team, e.team))
		}
		at := r.at
		if l.hadOutage(r.engine, e.sent, r.at) {
			at = e.sent // The way to the engine may have held the request back.
		}
		if revokedAt, ok := l.revoked[e.key]; ok && at.After(revokedAt.Add(revokeWithin)) {
			out = append(out, fmt.Sprintf("%s %s ran %v after its key was revoked", e.route, id, r.at.Sub(revokedAt)))
		}
	}
	return out
}

// lateStarts returns starts at an engine later than drainWithin after it began draining.
func (l *Ledger) lateStarts(engine string, at time.Time) []string {
	var out []string
	for id, runs := range l.runs {
		for _, r := range runs {
			if r.engine == engine && r.at.After(at.Add(drainWithin)) {
				out = append(out, fmt.Sprintf("%s started at %s %v after it reported that it is leaving", id, engine, r.at.Sub(at)))
			}
		}
	}
	return out
}

// faultFree reports whether nodes and store had no fault during an interval.
func (l *Ledger) faultFree(from, to time.Time) bool {
	return !overlaps(l.faults, from, to)
}

// overlaps reports whether any of the intervals overlaps the given one.
func overlaps(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(s interval) bool { return s.from.Before(to) && s.to.After(from) })
}
