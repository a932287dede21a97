package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// record is what is known of a request that was running when an engine crashed.
type record struct {
	Subject
	crashes  []Crash   // crashes are those since the latest complete answer, the oldest first.
	answered time.Time // answered is when it was last known to be answered completely.
	tried    time.Time // tried is when this node last sent a trial.
	seenHere bool      // seenHere is set once this node itself observed a crash or an answer; only such nodes update the stored row.
	changed  time.Time // changed is when something was learned that peers may not know.
}

// isHeld reports whether there is enough evidence for the request to be held.
func (r *record) isHeld() bool {
	return len(r.crashes) >= crashThreshold && r.evidence() >= crashThreshold
}

// evidence returns how many pieces of evidence the crashes are.
func (r *record) evidence() int {
	var m momentCounter
	for _, c := range r.crashes {
		m.add(c.At, time.Time{}, c.isOwnEvidence())
	}
	return m.n
}

// isOwnEvidence reports whether the engine crashed soon after it had got the request, or may have.
func (c Crash) isOwnEvidence() bool { return c.Ran <= shortRun }

// insert adds a crash. Beyond maxCrashesKept one is removed that adds no evidence, or else the oldest.
func (r *record) insert(c Crash) {
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(r.crashes) <= maxCrashesKept {
		return
	}
	var m momentCounter
	remove := max(0, slices.IndexFunc(r.crashes, func(c Crash) bool { return !m.add(c.At, time.Time{}, c.isOwnEvidence()) }))
	r.crashes = slices.Delete(r.crashes, remove, remove+1)
}

// held returns the description of a held request.
func (r *record) held(f Fingerprint) *Held {
	return &Held{Subject: r.Subject, Fingerprint: f, Crashes: slices.Clone(r.crashes), TrialAt: r.trialAt()}
}

// findCrash returns the record of a crash, or nil if it is new.
func (r *record) findCrash(e Crash) *Crash {
	for i := range r.crashes {
		if o := &r.crashes[i]; o.Engine == e.Engine && e.At.Sub(o.At).Abs() <= sameCrashWindow {
			return o
		}
	}
	return nil
}

// trialAt returns when the next trial is due; the delay grows with the number of crashes.
func (r *record) trialAt() time.Time {
	newest := r.crashes[len(r.crashes)-1].At
	if r.tried.After(newest) {
		newest = r.tried
	}
	return newest.Add(firstTrialDelay << (r.evidence() - crashThreshold))
}

// engineIDs returns the engines that crashed.
func engineIDs(crashes []Crash) []string {
	out := make([]string, 0, len(crashes))
	for _, e := range crashes {
		out = append(out, e.Engine)
	}
	return out
}

// addRecord adds a record and evicts others if there is no room. The caller holds the lock.
func (q *Quarantine) addRecord(now time.Time, f Fingerprint, s Subject) *record {
	if len(q.records) >= maxRecords {
		q.evictRecords()
	}
	r := &record{Subject: s, changed: now}
	q.records[f] = r
	return r
}

// expireRecords removes records that are no longer needed. The caller holds the lock.
func (q *Quarantine) expireRecords(now time.Time) {
	for f, r := range q.records {
		if age := now.Sub(r.changed); age > suspectTTL && !r.isHeld() || age > answeredTTL && len(r.crashes) == 0 {
			delete(q.records, f)
		}
	}
}

// evictRecords removes an eighth of the records of the team with the most records: those with the fewest crashes, and the
// oldest among these. A team thus can't evict the records of teams that have fewer. The caller holds the lock.
func (q *Quarantine) evictRecords() {
	teams := map[string][]Fingerprint{}
	most := ""
	for f, r := range q.records {
		teams[r.Team] = append(teams[r.Team], f)
		if len(teams[r.Team]) > len(teams[most]) {
			most = r.Team
		}
	}
	list := teams[most]
	slices.SortFunc(list, func(a, b Fingerprint) int { return q.records[a].compare(q.records[b]) })
	for _, f := range list[:1+len(list)/8] {
		if q.records[f].isHeld() {
			q.held.Add(-1)
		}
		delete(q.records, f)
	}
}

// compare orders records by importance, the least important first.
func (r *record) compare(o *record) int {
	return cmp.Or(cmp.Compare(len(r.crashes), len(o.crashes)), r.changed.Compare(o.changed))
}
