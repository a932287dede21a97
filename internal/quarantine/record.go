package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// record is what is known of one request under which an engine has ended.
type record struct {
	Subject
	crashes     []Crash     // ends are those since the newest whole answer, the oldest first.
	answered time.Time // answered is when it was last known to be answered whole.
	tried    time.Time // tried is when this node last let it be tried.
	seenHere      bool      // own says that this node has seen an end or an answer itself: those that have keep the request in the platform's store.
	changed  time.Time // changed is when something was learned that peers may not know.
}

// isHeld reports whether so many engines have ended under the request that it gets none.
func (r *record) isHeld() bool { return len(r.crashes) >= crashThreshold }

// held returns what is told of the request, which is held.
func (r *record) held(f Fingerprint) *Held {
	return &Held{Subject: r.Subject, Fingerprint: f, Crashes: slices.Clone(r.crashes), TrialAt: r.trialAt()}
}

// hasCrash reports whether an end is one that is known already.
func (r *record) hasCrash(e Crash) bool {
	return slices.ContainsFunc(r.crashes, func(o Crash) bool { return o.Engine == e.Engine && e.At.Sub(o.At).Abs() <= sameCrashWindow })
}

// trialAt returns when the request may be tried once more: the later, the more ends there were.
func (r *record) trialAt() time.Time {
	newest := r.crashes[len(r.crashes)-1].At
	if r.tried.After(newest) {
		newest = r.tried
	}
	return newest.Add(firstTrialDelay << (len(r.crashes) - crashThreshold))
}

// engineIDs returns the engineIDs that ended.
func engineIDs(crashes []Crash) []string {
	out := make([]string, 0, len(crashes))
	for _, e := range crashes {
		out = append(out, e.Engine)
	}
	return out
}

// addRecord adds a record, in place of a less important one where there is no room. The caller holds
// the lock.
func (q *Quarantine) addRecord(now time.Time, f Fingerprint, s Subject) *record {
	if len(q.records) >= maxRecords {
		q.evictRecords()
	}
	r := &record{Subject: s, changed: now}
	q.records[f] = r
	return r
}

// expireRecords drops records that have nothing to tell any more. The caller holds the lock.
func (q *Quarantine) expireRecords(now time.Time) {
	for f, r := range q.records {
		if age := now.Sub(r.changed); age > suspectTTL && !r.isHeld() || age > answeredTTL && len(r.crashes) == 0 {
			delete(q.records, f)
		}
	}
}

// evictRecords drops an eighth of the records of the team that has the most: those with the fewest ends, and among
// these the oldest. No team's records so push out those of another that has fewer. The caller holds the lock.
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

// compare orders records by how much they matter, the least first.
func (r *record) compare(o *record) int {
	return cmp.Or(cmp.Compare(len(r.crashes), len(o.crashes)), r.changed.Compare(o.changed))
}
