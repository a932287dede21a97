package quarantine

import (
	"slices"
	"time"
)

// longerRun is by how much a run must have lasted longer than one that ended in a crash to speak for the request. Engines take
// different times until a request crashes them.
const longerRun = 100 * time.Millisecond

// Run is a request that an engine runs for this node.
type Run struct {
	f      Fingerprint
	engine string
	began  time.Time
}

// BeginRun records that an engine gets a request to run. EndRun must be called with the result.
func (q *Quarantine) BeginRun(now time.Time, f Fingerprint, engine string) *Run {
	run := &Run{f: f, engine: engine, began: now}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs[f] = append(q.runs[f], run)
	return run
}

// EndRun records that a run has ended.
func (q *Quarantine) EndRun(run *Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := slices.DeleteFunc(q.runs[run.f], func(o *Run) bool { return o == run })
	if len(list) == 0 {
		delete(q.runs, run.f)
		return
	}
	q.runs[run.f] = list
}

// Ran returns how long an engine has been running a request for this node, the longest of its runs; 0 if it does not run it.
func (q *Quarantine) Ran(now time.Time, f Fingerprint, engine string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return longestRuns(now, q.runs[f])[engine]
}

// evidenceBesideRuns returns how many pieces of evidence the crashes of a request are beside its other runs at this node. A crash does not
// count if more engines go on that have been running it for longer than have crashed, and is no evidence of its own if any does. The
// caller holds the lock.
func (q *Quarantine) evidenceBesideRuns(now time.Time, f Fingerprint, r *record) int {
	runs := longestRuns(now, q.runs[f])
	for _, c := range r.crashes {
		delete(runs, c.Engine)
	}
	var m momentCounter
	for _, c := range r.crashes {
		longer := 0
		for _, ran := range runs {
			if c.Ran > 0 && ran > c.Ran+longerRun {
				longer++
			}
		}
		if longer <= len(r.crashes) {
			m.add(c.At, time.Time{}, longer == 0 && c.isOwnEvidence())
		}
	}
	return m.n
}

// longestRuns returns by engine how long its longest run has taken.
func longestRuns(now time.Time, runs []*Run) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, run := range runs {
		out[run.engine] = max(out[run.engine], now.Sub(run.began))
	}
	return out
}
