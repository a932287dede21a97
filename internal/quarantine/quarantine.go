package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashThreshold is how many pieces of evidence against a request hold it. With two, a request that is sent again
	// after a crash and then meets an unrelated crash would be held.
	crashThreshold = 3

	// sameCrashWindow is how far apart nodes may observe the same crash: each when its own connections
	// break, or by a message. An engine takes some seconds to restart.
	sameCrashWindow = 2 * time.Second

	// answerGrace is how long after a complete answer a crash is not counted. A request that engines answer
	// frequently is also running on engines that crash for other reasons, even several at once.
	answerGrace = 2 * time.Second

	// suspectTTL is how long crashes are remembered for a request that is not held. Requests that were
	// sent again came within seconds.
	suspectTTL = 10 * time.Minute

	// firstTrialDelay is how long after its latest crash a held request may be tried again, and maxTrialDoublings how
	// often this delay is doubled. Trials are made because engines may have a new version by then. A trial that crashes
	// fails the other requests of its engine; at most three are made in the first six minutes.
	firstTrialDelay   = time.Minute
	maxTrialDoublings = 5

	// maxCrashesKept is how many crashes are kept per request; their number determines the trial delay.
	maxCrashesKept = crashThreshold + maxTrialDoublings

	// answeredTTL is how long the record of an answered request is kept, so that all peers learn of the answer.
	answeredTTL = 10 * time.Second

	// maxRecords bounds the records of all teams together. A record with one crash takes 220 bytes of heap.
	maxRecords = 4096
)

type (
	// Subject is the team and the route of a request.
	Subject struct {
		Team, Route string
	}

	// Crash is the crash of an engine while it ran a request.
	Crash struct {
		Engine string
		At     time.Time
		Ran    time.Duration // Ran is how long the engine had run it by then, the longest of several runs; 0 if that is not known.
	}

	// Held is a request that is not sent to engines, and the reason.
	Held struct {
		Subject
		Fingerprint Fingerprint
		Crashes     []Crash   // Crashes are the crashes of engines that ran it, the oldest first.
		TrialAt     time.Time // TrialAt is when it may be sent to an engine again as a trial.
	}

	// Quarantine records which requests crashed engines. It is safe for concurrent use.
	Quarantine struct {
		maySendTrial func(now time.Time, f Fingerprint) bool // maySendTrial reports whether this node may send the trial of a request.
		log          *slog.Logger

		held atomic.Int64 // held is the number of held requests.

		mu       sync.Mutex
		records  map[Fingerprint]*record
		answered map[string]*recentAnswers // answered holds the latest complete answers by team.
		runs     map[Fingerprint][]*Run    // runs holds the requests that engines run for this node.
		unsaved  map[Fingerprint]bool      // unsaved holds the requests whose rows may be out of date.
		wake     chan struct{}             // wake wakes the Persister when there are unsaved requests.
	}
)

// New returns an empty quarantine. Once the trial of a held request is due, the node for which maySendTrial
// returns true sends it to an engine once.
func New(maySendTrial func(now time.Time, f Fingerprint) bool, log *slog.Logger) *Quarantine {
	return &Quarantine{maySendTrial: maySendTrial, log: log, records: map[Fingerprint]*record{}, answered: map[string]*recentAnswers{}, runs: map[Fingerprint][]*Run{}, unsaved: map[Fingerprint]bool{}, wake: make(chan struct{}, 1)}
}

// RecordCrash records that an engine crashed at a time while it ran a request, for a time that is not known.
func (q *Quarantine) RecordCrash(now, at time.Time, f Fingerprint, s Subject, engine string) {
	q.RecordRunCrash(now, f, s, Crash{Engine: engine, At: at})
}

// RecordRunCrash records the crash of an engine while it ran a request.
func (q *Quarantine) RecordRunCrash(now time.Time, f Fingerprint, s Subject, c Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.addCrash(now, f, s, c) {
		return
	}
	r := q.records[f]
	r.seenHere = true
	if r.isHeld() {
		q.markUnsaved(f)
	}
}

// addCrash adds a crash to the record of a request, and reports whether it was new and counted.
// The caller holds the lock.
func (q *Quarantine) addCrash(now time.Time, f Fingerprint, s Subject, e Crash) bool {
	r := q.records[f]
	if last := q.lastAnswer(f, s, r); !last.IsZero() && e.At.Sub(last) <= answerGrace {
		return false
	}
	if r == nil {
		r = q.addRecord(now, f, s)
	}
	before := r.isHeld()
	if known := r.findCrash(e); known != nil {
		if e.Ran > known.Ran {
			known.Ran, r.changed = e.Ran, now
			q.noteReleased(now, f, r, before)
		}
		return false
	}
	if !before {
		r.crashes = slices.DeleteFunc(r.crashes, func(o Crash) bool { return now.Sub(o.At) > suspectTTL })
	}
	r.insert(e)
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

// lastAnswer returns when a request was last known to be answered completely; r may be nil. The caller
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

// RecordAnswer records that an engine answered a request completely. A request that crashes engines is never
// answered, so crashes counted against this one had another cause.
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

// Release releases a held request on all nodes, and reports whether it was held.
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

// clearCrashes removes the crashes that don't count because the request was answered at a time. The caller holds the lock.
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
	q.noteReleased(now, f, r, before)
}

// noteReleased counts and logs that a request is no longer held, if it was before. The caller holds the lock.
func (q *Quarantine) noteReleased(now time.Time, f Fingerprint, r *record, before bool) {
	if !before || r.isHeld() {
		return
	}
	q.held.Add(-1)
	if r.seenHere {
		q.markUnsaved(f)
	}
	answered := int64(unknownAge)
	if !r.answered.IsZero() {
		answered = now.Sub(r.answered).Milliseconds()
	}
	q.log.Warn("request no longer held", "fingerprint", f.String(), "team", r.Team, "route", r.Route, "answered_ms", answered)
}

// Admit returns the reason why a request must not be sent to an engine, or nil if it may be sent. A held request may be
// sent once as a trial, if the trial is due and this node may send it. One for which its other runs at this node speak
// is sent as usual.
func (q *Quarantine) Admit(now time.Time, f Fingerprint) (held *Held, trial bool) {
	if q.held.Load() == 0 {
		return nil, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[f]
	switch {
	case r == nil || !r.isHeld() || q.evidenceBesideRuns(now, f, r) < crashThreshold:
		return nil, false
	case now.Before(r.trialAt()) || !q.maySendTrial(now, f):
		return r.held(f), false
	}
	r.tried = now
	q.log.Warn("trial of a held request", "fingerprint", f.String(), "team", r.Team, "route", r.Route, "engines", engineIDs(r.crashes))
	return nil, true
}

// List returns the held requests.
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

// Len returns the number of held requests.
func (q *Quarantine) Len() int64 { return q.held.Load() }

// Engines returns the engines that crashed while running the request.
func (h *Held) Engines() []string { return engineIDs(h.Crashes) }
