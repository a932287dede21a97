package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxGossipEntries bounds the entries of one message, at about 5 KB.
	maxGossipEntries = 64

	// sameAnswerWindow is how far apart two reports of the same answer may lie. Transit time is not part of the age that is sent,
	// so each message makes the answer seem later; passed on often enough, it would seem later than the crashes after it.
	sameAnswerWindow = time.Second
)

type (
	// GossipEntry is the gossip about a request.
	GossipEntry struct {
		_             struct{} `cbor:",toarray"`
		Fingerprint   uint64
		Team, Route   string
		Crashes       []GossipCrash
		RanMs         []int64       `cbor:"-"` // RanMs holds by crash how long the engine had run the request, 0 if that is not known; SplitRuns and JoinRuns carry it beside the entries.
		AnsweredAgeMs int64         // AnsweredAgeMs is how long ago it was answered completely; -1 if not known.
		Age           time.Duration `cbor:"-"` // Age is how long ago the sender last learned something about it; it is not sent.
	}

	// GossipCrash is the crash of an engine while it ran a request.
	GossipCrash struct {
		_      struct{} `cbor:",toarray"`
		Engine string
		AgeMs  int64
	}
)

// GossipEntries returns what peers should know: all held requests, and those with changes within the
// window. The newest changes come first.
func (q *Quarantine) GossipEntries(now time.Time, window time.Duration) []GossipEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expireRecords(now)
	var out []GossipEntry
	for f, r := range q.records {
		if age := now.Sub(r.changed); age <= window || r.isHeld() {
			out = append(out, r.gossipEntry(now, f, age))
		}
	}
	slices.SortFunc(out, func(a, b GossipEntry) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxGossipEntries)]
}

// gossipEntry returns the gossip entry of a record.
func (r *record) gossipEntry(now time.Time, f Fingerprint, age time.Duration) GossipEntry {
	t := GossipEntry{Fingerprint: uint64(f), Team: r.Team, Route: r.Route, AnsweredAgeMs: -1, Age: age}
	for _, e := range r.crashes {
		t.Crashes = append(t.Crashes, GossipCrash{Engine: e.Engine, AgeMs: now.Sub(e.At).Milliseconds()})
		t.RanMs = append(t.RanMs, int64((e.Ran+time.Millisecond-1)/time.Millisecond)) // Rounded up, since 0 stands for unknown.
	}
	if !r.answered.IsZero() {
		t.AnsweredAgeMs = now.Sub(r.answered).Milliseconds()
	}
	return t
}

// SplitRuns returns the RanMs of entries. Nodes of releases that do not know it refuse longer entries.
func SplitRuns(list []GossipEntry) [][]int64 {
	var out [][]int64
	for _, t := range list {
		out = append(out, t.RanMs)
	}
	return out
}

// JoinRuns sets the RanMs of entries; runs is empty if their sender does not know it.
func JoinRuns(list []GossipEntry, runs [][]int64) []GossipEntry {
	out := slices.Clone(list)
	for i := range min(len(out), len(runs)) {
		out[i].RanMs = runs[i]
	}
	return out
}

// MergeGossip merges the entries of a peer. What was new to this node is passed on.
func (q *Quarantine) MergeGossip(now time.Time, list []GossipEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range list {
		f, s := Fingerprint(t.Fingerprint), Subject{Team: t.Team, Route: t.Route}
		if r, at := q.records[f], now.Add(-millis(t.AnsweredAgeMs)); r != nil && t.AnsweredAgeMs >= 0 && at.Sub(r.answered) > sameAnswerWindow {
			q.clearCrashes(now, at, f, r)
		}
		for i, e := range t.Crashes {
			at := now.Add(-millis(e.AgeMs))
			c := Crash{Engine: e.Engine, At: at}
			if i < len(t.RanMs) {
				c.Ran = max(0, millis(t.RanMs[i]))
			}
			if !q.addCrash(now, f, s, c) {
				q.correctPeers(now, f, s, at)
			}
		}
	}
}

// correctPeers adds an answer that this node knows of to its gossip, if that answer rules out a crash which a peer
// reported. The caller holds the lock.
func (q *Quarantine) correctPeers(now time.Time, f Fingerprint, s Subject, crashedAt time.Time) {
	r := q.records[f]
	last := q.lastAnswer(f, s, r)
	if last.IsZero() || crashedAt.Sub(last) > answerGrace || r != nil && !last.After(r.answered) {
		return
	}
	if r == nil {
		r = q.addRecord(now, f, s)
	}
	r.answered, r.changed = last, now
}

// millis converts milliseconds to a duration.
func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
