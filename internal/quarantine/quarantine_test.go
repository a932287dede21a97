package quarantine_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/quarantine"
)

const fingerprint = quarantine.Fingerprint(7)

var (
	start   = time.Unix(1000, 0)
	subject = quarantine.Subject{Team: "t", Route: "r"}
)

// never refuses every trial.
func never(time.Time, quarantine.Fingerprint) bool { return false }

// newQuarantine returns an empty quarantine.
func newQuarantine(maySendTrial func(time.Time, quarantine.Fingerprint) bool) *quarantine.Quarantine {
	return quarantine.New(maySendTrial, slog.New(slog.DiscardHandler))
}

// at returns the time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// isHeld reports whether a request is held and no trial is due.
func isHeld(q *quarantine.Quarantine, now time.Time, f quarantine.Fingerprint) bool {
	held, _ := q.Admit(now, f)
	return held != nil
}

// TestHeldAfterThreeCrashes checks the number of crashes after which a request is held, and that a crash which is
// observed twice counts once.
func TestHeldAfterThreeCrashes(t *testing.T) {
	q := newQuarantine(never)
	for i, end := range []struct {
		ms     int
		engine string
		held   bool
	}{{0, "e1", false}, {50, "e1", false}, {400, "e2", false}, {450, "e1", false}, {900, "e3", true}} {
		q.RecordCrash(at(end.ms), at(end.ms), fingerprint, subject, end.engine)
		if got := isHeld(q, at(end.ms), fingerprint); got != end.held {
			t.Errorf("after crash %d: held %v, want %v", i, got, end.held)
		}
	}
	if isHeld(q, at(900), fingerprint+1) {
		t.Error("another request is held")
	}
	held, _ := q.Admit(at(1000), fingerprint)
	if got := fmt.Sprint(held.Engines()); got != "[e1 e2 e3]" || held.Subject != subject || q.Len() != 1 || len(q.List()) != 1 {
		t.Errorf("held because of %v, subject %+v, %d held in all", got, held.Subject, q.Len())
	}
}

// TestRepeatedCrashOfOneEngineCounts checks that a pool with a single engine is protected too.
func TestRepeatedCrashOfOneEngineCounts(t *testing.T) {
	q := newQuarantine(never)
	for i := range 3 {
		q.RecordCrash(at(5000*i), at(5000*i), fingerprint, subject, "e1")
	}
	if !isHeld(q, at(10_000), fingerprint) {
		t.Error("a request that crashed one engine three times is not held")
	}
}

// TestAPopularRequestIsNotHeld checks that a request which engines answer frequently is still served although several
// engines running it crash at once, repeatedly, and that a complete answer releases a held request.
func TestAPopularRequestIsNotHeld(t *testing.T) {
	q := newQuarantine(never)
	for ms := 0; ms < 30_000; ms += 10 {
		if ms%5000 == 4990 {
			for i := range 4 {
				q.RecordCrash(at(ms+i), at(ms+i), fingerprint, subject, fmt.Sprint("e", i))
			}
		}
		if isHeld(q, at(ms), fingerprint) {
			t.Fatalf("held after %d ms", ms)
		}
		q.RecordAnswer(at(ms), fingerprint, subject.Team)
	}
	q = newQuarantine(never)
	for i := range 3 {
		q.RecordCrash(at(i), at(i), fingerprint, subject, fmt.Sprint("e", i))
	}
	if !isHeld(q, at(10), fingerprint) {
		t.Fatal("three crashes and no answer: not held")
	}
	q.RecordAnswer(at(20), fingerprint, subject.Team)
	if isHeld(q, at(30), fingerprint) || q.Len() != 0 {
		t.Error("held although an engine answered it completely")
	}
}

// TestRecentAnswersAreKeptPerTeam checks that a team with many different requests does not evict the
// answers of another team.
func TestRecentAnswersAreKeptPerTeam(t *testing.T) {
	q := newQuarantine(never)
	q.RecordAnswer(at(0), fingerprint, subject.Team)
	for i := range 10_000 {
		q.RecordAnswer(at(1), fingerprint+1+quarantine.Fingerprint(i), "other")
	}
	for i := range 3 {
		q.RecordCrash(at(100), at(100), fingerprint, subject, fmt.Sprint("e", i))
	}
	if isHeld(q, at(110), fingerprint) {
		t.Error("held, though it was answered 100 ms before")
	}
}

// TestRecordsAreEvictedFromTheLargestTeam checks that the number of records is bounded, and that a team with many
// records loses its own.
func TestRecordsAreEvictedFromTheLargestTeam(t *testing.T) {
	q := newQuarantine(never)
	for i := range 3 {
		q.RecordCrash(at(i), at(i), fingerprint, subject, fmt.Sprint("e", i))
	}
	q.RecordCrash(at(5), at(5), fingerprint+1, subject, "e9")
	for i := range 3 * 4096 {
		q.RecordCrash(at(10+i/100), at(10+i/100), fingerprint+2+quarantine.Fingerprint(i), quarantine.Subject{Team: "other"}, "e1")
	}
	if !isHeld(q, at(500), fingerprint) {
		t.Error("the record of a held request was evicted")
	}
	q.RecordCrash(at(600), at(600), fingerprint+1, subject, "e10")
	q.RecordCrash(at(700), at(700), fingerprint+1, subject, "e11")
	if !isHeld(q, at(700), fingerprint+1) {
		t.Error("the crashes of a request were evicted by another team's records")
	}
}

// TestOldCrashesExpire checks that crashes which lie far apart do not add up.
func TestOldCrashesExpire(t *testing.T) {
	q := newQuarantine(never)
	for i := range 6 {
		now := start.Add(time.Duration(i) * 6 * time.Minute)
		q.RecordCrash(now, now, fingerprint, subject, fmt.Sprint("e", i))
		if isHeld(q, now, fingerprint) {
			t.Fatalf("held after %d crashes six minutes apart", i+1)
		}
	}
}

// TestTrials checks that a held request is tried once, by the node that may send the trial, after a longer delay with
// each crash, and that it is released when a trial is answered.
func TestTrials(t *testing.T) {
	mine := false
	q := newQuarantine(func(time.Time, quarantine.Fingerprint) bool { return mine })
	for i := range 3 {
		q.RecordCrash(at(i), at(i), fingerprint, subject, fmt.Sprint("e", i))
	}
	trial := func(now time.Time) bool {
		held, trial := q.Admit(now, fingerprint)
		return held == nil && trial
	}
	soon, due := start.Add(59*time.Second), start.Add(61*time.Second)
	if trial(due) {
		t.Error("trial sent by a node that may not send it")
	}
	mine = true
	if trial(soon) || !trial(due) || trial(due.Add(time.Second)) {
		t.Error("want one trial after a minute")
	}
	q.RecordCrash(due, due, fingerprint, subject, "e4")
	if trial(due.Add(119*time.Second)) || !trial(due.Add(121*time.Second)) {
		t.Error("want the next trial two minutes after the crash in the first")
	}
	q.RecordAnswer(due.Add(122*time.Second), fingerprint, subject.Team)
	if held, again := q.Admit(due.Add(123*time.Second), fingerprint); held != nil || again {
		t.Error("still held after a trial was answered completely")
	}
}

// TestCrashesAreSharedBetweenPeers checks that crashes observed by several nodes add up on all of them, each counted
// once however often it is gossiped, that an answer known to one node releases the request on all, and that gossiped
// ages don't make known crashes look new.
func TestCrashesAreSharedBetweenPeers(t *testing.T) {
	const nodes = 4
	var all [nodes]*quarantine.Quarantine
	for i := range all {
		all[i] = newQuarantine(never)
	}
	exchange := func(ms int) {
		for i, from := range all {
			for j, to := range all {
				if i != j {
					to.MergeGossip(at(ms+20), from.GossipEntries(at(ms), 400*time.Millisecond))
				}
			}
		}
	}
	for i := range 3 {
		all[i].RecordCrash(at(100*i), at(100*i), fingerprint, subject, fmt.Sprint("e", i))
		all[i+1].RecordCrash(at(100*i+30), at(100*i+30), fingerprint, subject, fmt.Sprint("e", i)) // Another node ran a copy of the request on the same engine.
		exchange(100*i + 50)
	}
	for i, q := range all {
		if held, _ := q.Admit(at(400), fingerprint); held == nil || len(held.Crashes) != 3 {
			t.Fatalf("node %d: held %+v", i, held)
		}
	}
	for ms := 400; ms < 20_000; ms += 100 {
		exchange(ms)
	}
	if entries := all[0].GossipEntries(at(20_000), 400*time.Millisecond); len(entries) != 1 || entries[0].Age < 19*time.Second {
		t.Errorf("a record known to all nodes is gossiped as new: %+v", entries)
	}
	all[3].RecordAnswer(at(20_100), fingerprint, subject.Team)
	exchange(20_110)
	exchange(20_210)
	for i, q := range all {
		if isHeld(q, at(20_300), fingerprint) {
			t.Errorf("node %d still holds it", i)
		}
	}
}

// TestPeerWithRecentAnswerCorrectsOthers checks that a node with a recent answer to a request informs peers that
// count crashes against it.
func TestPeerWithRecentAnswerCorrectsOthers(t *testing.T) {
	one, other := newQuarantine(never), newQuarantine(never)
	other.RecordAnswer(at(0), fingerprint, subject.Team)
	for i := range 4 {
		one.RecordCrash(at(100), at(100), fingerprint, subject, fmt.Sprint("e", i))
	}
	if !isHeld(one, at(110), fingerprint) {
		t.Fatal("not held at first")
	}
	other.MergeGossip(at(120), one.GossipEntries(at(110), time.Second))
	if isHeld(other, at(130), fingerprint) {
		t.Error("held by the node with the answer")
	}
	one.MergeGossip(at(140), other.GossipEntries(at(130), time.Second))
	if isHeld(one, at(150), fingerprint) {
		t.Error("held although a peer reported an answer 100 ms before the crashes")
	}
}

// TestGossipedAnswerDoesNotGetYounger checks that an answer from before the crashes never releases a request, however
// often nodes exchange it. Each message makes the answer seem a little later.
func TestGossipedAnswerDoesNotGetYounger(t *testing.T) {
	one, other := newQuarantine(never), newQuarantine(never)
	one.RecordCrash(at(0), at(0), fingerprint, subject, "e0")
	other.RecordCrash(at(0), at(0), fingerprint, subject, "e0")
	one.RecordAnswer(at(10), fingerprint, subject.Team)
	other.MergeGossip(at(40), one.GossipEntries(at(20), time.Second))
	for i := range 3 {
		one.RecordCrash(at(3000+i), at(3000+i), fingerprint, subject, fmt.Sprint("e", i))
	}
	for ms := 3100; ms < 600_000; ms += 1000 {
		other.MergeGossip(at(ms+30), one.GossipEntries(at(ms), time.Second))
		one.MergeGossip(at(ms+80), other.GossipEntries(at(ms+50), time.Second))
	}
	if held, _ := one.Admit(at(30_000), fingerprint); held == nil || !held.Crashes[0].At.Equal(at(3000)) || !isHeld(other, at(30_000), fingerprint) {
		t.Errorf("held for %+v, want the crashes at the times they were observed", held)
	}
}
