package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashThreshold is how many engines must have ended under a request for it to get no more. With two, a
	// request that comes again after a crash, and meets one more that is not its doing, would be held.
	crashThreshold = 3

	// sameCrashWindow is how far apart nodes may learn of one end of an engine: each when its own
	// connections break, or by a message. An engine is back after some seconds.
	sameCrashWindow = 2 * time.Second

	// answerGrace is how long after a whole answer an end does not count: a request that engines answer
	// all the time is at work on those that are lost, too, also on several that are lost at once.
	answerGrace = 2 * time.Second

	// suspectTTL is how long the ends of an engine under a request are remembered while it
	// is not held. Those that come again came within seconds.
	suspectTTL = 10 * time.Minute

	// firstTrialDelay is how long after its newest crash a request that is held may be tried once more, and
	// mostTrials how often that time is doubled: engines may have got another version. A trial that
	// crashes costs its engine's other requests; at most three are made in the first six minutes.
	firstTrialDelay = time.Minute
	maxTrialDoublings = 5

	// maxCrashesKept is how many ends of one request are kept; they tell how often it was tried.
	maxCrashesKept = crashThreshold + maxTrialDoublings

	// answeredTTL is how long a request that was answered whole stays known, so that all peers hear of it.
	answeredTTL = 10 * time.Second

	// maxRecords is how many requests are remembered, over all teams. A record with one end takes 220 bytes of the heap.
	maxRecords = 4096
)

type (
	// Subject says whose request it is, and what it asks for.
	Subject struct {
		Team, Route string
	}

	// Crash is an engine's end while a request was at work there.
	Crash struct {
		Engine string
		At     time.Time
	}

	// Held is a request that gets no engine, and why.
	Held struct {
		Subject
		Fingerprint Fingerprint
		Crashes        []Crash     // Ends are the engines that ended under it, the oldest first.
		TrialAt     time.Time // TrialAt is when it may be tried once more.
	}

	// Quarantine knows under which requests engines have ended. Its methods may be called from many
	// goroutines.
	Quarantine struct {
		maySendTrial func(now time.Time, f Fingerprint) bool // tries says whether this node is the one to try a request once more.
		log   *slog.Logger

		held atomic.Int64 // held is how many requests are held.

		mu       sync.Mutex
		records  map[Fingerprint]*record
		answered map[string]*recentAnswers // answered are the newest whole answers, by team.
		unsaved   map[Fingerprint]bool // unkept are the requests of which the platform's store should hear.
		wake      chan struct{}        // due tells the keeper that there are some.
	}
)

// New returns an empty quarantine. A request that is held for long enough is tried again, once, by
// the node for which tries holds.
func New(maySendTrial func(now time.Time, f Fingerprint) bool, log *slog.Logger) *Quarantine {
	return &Quarantine{maySendTrial: maySendTrial, log: log, records: map[Fingerprint]*record{}, answered: map[string]*recentAnswers{}, unsaved: map[Fingerprint]bool{}, wake: make(chan struct{}, 1)}
}

// RecordCrash records that an engine has ended while a request was at work there.
func (q *Quarantine) RecordCrash(now time.Time, f Fingerprint, s Subject, engine string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.addCrash(now, f, s, Crash{Engine: engine, At: now}) {
		return
	}
	r := q.records[f]
	r.seenHere = true
	if r.isHeld() {
		q.markUnsaved(f)
	}
}

// addCrash takes an addCrash of an engine under a request, and reports whether it was not known and counts.
// The caller holds the lock.
func (q *Quarantine) addCrash(now time.Time, f Fingerprint, s Subject, e Crash) bool {
	r := q.records[f]
	if last := q.lastAnswer(f, s, r); !last.IsZero() && e.At.Sub(last) <= answerGrace {
		return false
	}
	if r == nil {
		r = q.addRecord(now, f, s)
	}
	if r.hasCrash(e) {
		return false
	}
	before := r.isHeld()
	if !before {
		r.crashes = slices.DeleteFunc(r.crashes, func(o Crash) bool { return now.Sub(o.At) > suspectTTL })
	}
	r.crashes = append(r.crashes, e)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashesKept):]
	r.changed = now
	if r.isHeld() {
		q.log.Warn("request held", "fingerprint", f.String(), "team", s.Team, "route", s.Route, "engines", engineIDs(r.crashes), "since_ms", now.Sub(r.crashes[0].At).Milliseconds(),
			"newest_ms", now.Sub(e.At).Milliseconds(), "trial_in_ms", r.trialAt().Sub(now).Milliseconds())
		if !before {
			q.held.Add(1)
		}
		if !before && r.seenHere {
			q.markUnsaved(f)
		}
	}
	return true
}

// lastAnswer returns when a request was last known to be answered whole; r may be nil. The caller
// holds the lock.
func (q *Quarantine) lastAnswer(f Fingerprint, s Subject, r *record) time.Time {
	var last time.Time
	if own := q.answered[s.Team]; own != nil {
		last = own.answeredAt(f)
	}
	if r != nil && r.answered.After(last) {
		last = r.answered
	}
	return last
}

// RecordAnswer records that an engine has answered a request whole. A request that crashes engines
// never is: what was counted against it was not its doing.
func (q *Quarantine) RecordAnswer(now time.Time, f Fingerprint, team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := q.answered[team]
	if own == nil {
		own = &recentAnswers{}
		q.answered[team] = own
	}
	own.add(now, f)
	if r := q.records[f]; r != nil {
		r.seenHere = true
		q.clearCrashes(now, now, f, r)
	}
}

// Release frees a request that is held, at all nodes, and reports whether it was.
func (q *Quarantine) Release(now time.Time, f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[f]
	if r == nil || !r.isHeld() {
		return false
	}
	q.log.Warn("request released", "fingerprint", f.String(), "team", r.Team, "route", r.Route, "engines", engineIDs(r.crashes))
	r.seenHere = true
	q.clearCrashes(now, now, f, r)
	return true
}

// clearCrashes drops the ends under a request that was answered whole at a moment. The caller holds the lock.
func (q *Quarantine) clearCrashes(now, at time.Time, f Fingerprint, r *record) {
	if at.After(r.answered) {
		r.answered = at
	}
	known, before := len(r.crashes), r.isHeld()
	r.crashes = slices.DeleteFunc(r.crashes, func(e Crash) bool { return e.At.Sub(r.answered) <= answerGrace })
	if len(r.crashes) == known {
		return
	}
	r.changed = now
	if before && !r.isHeld() {
		q.held.Add(-1)
		if r.seenHere {
			q.markUnsaved(f)
		}
		q.log.Warn("request no longer held", "fingerprint", f.String(), "team", r.Team, "route", r.Route, "answered_ms", now.Sub(r.answered).Milliseconds())
	}
}

// Admit returns why a request may not be sent to an engine, or nil if it may. One that is held may be sent once
// where its time for a trial has come and this node is the one to try it; it is a trial then.
func (q *Quarantine) Admit(now time.Time, f Fingerprint) (held *Held, trial bool) {
	if q.held.Load() == 0 {
		return nil, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[f]
	switch {
	case r == nil || !r.isHeld():
		return nil, false
	case now.Before(r.trialAt()) || !q.maySendTrial(now, f):
		return r.held(f), false
	}
	r.tried = now
	q.log.Warn("request tried again", "fingerprint", f.String(), "team", r.Team, "route", r.Route, "engines", engineIDs(r.crashes))
	return nil, true
}

// List returns the requests that are held.
func (q *Quarantine) List() []*Held {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []*Held
	for f, r := range q.records {
		if r.isHeld() {
			out = append(out, r.held(f))
		}
	}
	return out
}

// Len returns how many requests are held.
func (q *Quarantine) Len() int64 { return q.held.Load() }

// Engines returns the engines that ended under a request that is held.
func (h *Held) Engines() []string { return engineIDs(h.Crashes) }
