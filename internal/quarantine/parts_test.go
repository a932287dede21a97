package quarantine_test

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/quarantine"
)

const (
	first, bad, other = 1, 2, 3 // first, bad and other are parts.
)

// newParts returns a Parts whose trials other nodes send first.
func newParts() *quarantine.Parts {
	return quarantine.NewParts(func(time.Time, string) bool { return false }, slog.New(slog.DiscardHandler), quarantine.WithStagger(0))
}

// run returns an engine of version 1.
func run(engine string) quarantine.EngineRun { return quarantine.EngineRun{ID: engine, Version: "1"} }

// crashAll records crashes of different engines under some parts.
func crashAll(q *quarantine.Parts, times []int, ids ...uint64) {
	for i, ms := range times {
		q.RecordCrash(at(ms), time.Time{}, at(ms), "p", run(fmt.Sprint("e", i, "-", ms)), ids)
	}
}

// sends reports whether a request with some parts is sent.
func sends(q *quarantine.Parts, ms int, ids ...uint64) bool {
	return q.Admit(at(ms), time.Time{}, "p", ids).Held == nil
}

// TestPartIsHeldUnlessAnsweredBetweenCrashes checks which crashes and answers hold a part.
func TestPartIsHeldUnlessAnsweredBetweenCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		crashes  []int
		answered int // answered is when a request with the part was answered.
		version  string
		held     bool
	}{
		"three crashes":                           {[]int{1000, 2000, 3000}, 0, "1", true},
		"two crashes":                             {[]int{1000, 2000}, 0, "1", false},
		"answered between":                        {[]int{1000, 2000, 3000}, 1500, "1", false},
		"answered before":                         {[]int{1000, 2000, 3000}, 900, "1", true},
		"answered before and held all the same":   {[]int{1000, 2000, 3000, 4000}, 1500, "1", true},
		"answered afterwards":                     {[]int{1000, 2000, 3000}, 3500, "1", false},
		"answered by another version":             {[]int{1000, 2000, 3000}, 3500, "2", true},
		"engines crash together":                  {[]int{1000, 1010, 1020, 1030, 1040}, 0, "1", false},
		"engines crash together again":            {[]int{1000, 1010, 1020, 2000, 2010}, 0, "1", false},
		"one after another within half a second":  {[]int{1000, 1100, 1200, 1300, 1400}, 0, "1", true},
		"many at once, for a fifth of a second":   {[]int{1000, 1050, 1100, 1150, 1200}, 0, "1", true},
		"one each ten minutes":                    {[]int{0, 600_000, 1_200_000}, 0, "1", true},
		"one each half minute":                    {[]int{0, 30_000, 60_000}, 0, "1", true},
		"too far apart":                           {[]int{0, 2_000_000, 4_000_000}, 0, "1", false},
		"a part of its own beside, each time new": {[]int{1000, 2000, 3000}, 0, "1", true},
	} {
		q := newParts()
		times := slices.Clone(test.crashes)
		if test.answered > 0 {
			times = append(times, test.answered)
			slices.Sort(times)
		}
		for i, ms := range times {
			if ms == test.answered && test.answered > 0 {
				q.RecordAnswer(at(ms), "p", test.version, []uint64{bad})
				continue
			}
			q.RecordCrash(at(ms), time.Time{}, at(ms), "p", run(fmt.Sprint("e", i)), []uint64{bad, uint64(100 + i), bad})
		}
		end := times[len(times)-1] + 100
		if held := !sends(q, end, bad, 99); held != test.held {
			t.Errorf("%s: held %v, want %v", name, held, test.held)
		}
		if !sends(q, end, other, 100) || !sends(q, end) {
			t.Errorf("%s: another request is held", name)
		}
	}
}

// TestSoundPartBesideACrashingOneIsFoundByATrial checks that parts which occurred in the same crashes are held together, that a request
// which has only some of them is sent as a trial, one at a time, and that its answer or crash shows which part is the cause.
func TestSoundPartBesideACrashingOneIsFoundByATrial(t *testing.T) {
	q := newParts()
	crashAll(q, []int{1000, 2000, 3000}, first, bad)
	if sends(q, 3100, first, bad) || q.Len() != 2 {
		t.Fatalf("%d parts held, want both", q.Len())
	}
	if d := q.Admit(at(3100), time.Time{}, "p", []uint64{first, other}); !d.Trial {
		t.Fatalf("a request with one of the parts is no trial: %+v", d)
	}
	if d := q.Admit(at(3150), time.Time{}, "p", []uint64{first, 4}); d.Held == nil || d.RetryAfter == 0 {
		t.Errorf("a second trial at the same time: %+v", d)
	}
	q.RecordAnswer(at(3300), "p", "2", []uint64{first, other})
	q.EndTrial(at(3300), "p", []uint64{first, other}, false)
	if !sends(q, 3400, first, 4) || sends(q, 3400, first, bad) || q.Len() != 1 {
		t.Errorf("%d parts held after the answer, want the other one", q.Len())
	}

	q = newParts()
	crashAll(q, []int{1000, 2000, 3000}, first, bad)
	if d := q.Admit(at(3100), time.Time{}, "p", []uint64{bad, other}); !d.Trial {
		t.Fatal("no trial")
	}
	q.RecordCrash(at(3200), time.Time{}, at(3200), "p", run("e9"), []uint64{bad, other})
	q.EndTrial(at(3200), "p", []uint64{bad, other}, false)
	if sends(q, 3300, bad, 4) || !q.Admit(at(3300), time.Time{}, "p", []uint64{first, 4}).Trial {
		t.Error("after a trial that crashed its engine the other part is not tried")
	}
}

// TestLongTrialClearsItsPartsOnceBeforeItsEnd guards against requests that wait for the end of a long answer to the trial of a sound
// part, and against a part that is cleared again and again though engines crash under it later in their answers.
func TestLongTrialClearsItsPartsOnceBeforeItsEnd(t *testing.T) {
	q := newParts()
	ids := []uint64{first, other}
	for i, want := range []bool{true, false} {
		ms := 100_000 * i
		cause := uint64(bad + 10*i)
		crashAll(q, []int{ms + 1000, ms + 2000, ms + 3000}, first, cause)
		if !q.Admit(at(ms+3100), time.Time{}, "p", ids).Trial {
			t.Fatal("no trial")
		}
		q.TrialSurvives(at(ms+6000), "p", ids)
		if sends(q, ms+6100, first, 4) != want || sends(q, ms+6100, first, cause) {
			t.Errorf("trial %d: after %v of its answer a request with the sound part is sent: %v", i, quarantine.SurvivalTime, !want)
		}
		q.RecordAnswer(at(ms+9000), "p", "1", ids)
		q.EndTrial(at(ms+9000), "p", ids, false)
		if !sends(q, ms+9100, first, 4) {
			t.Errorf("trial %d: held after its end", i)
		}
	}
}

// TestNodesSendTrialsOneAfterTheOther guards against a popular part that crashes an engine at each node whose trial is due at once.
func TestNodesSendTrialsOneAfterTheOther(t *testing.T) {
	const stagger = 700 * time.Millisecond
	for name, test := range map[string]struct {
		times []int
		parts []uint64 // parts are those of the crashes.
		due   int
	}{
		"doubtful": {[]int{1000, 2000, 2010, 3000}, []uint64{bad}, 4000 + 5000},
		"rivals":   {[]int{1000, 2000, 3000}, []uint64{first, bad}, 3000 + 5000},
	} {
		q := quarantine.NewParts(func(time.Time, string) bool { return false }, slog.New(slog.DiscardHandler), quarantine.WithStagger(stagger))
		crashAll(q, test.times, test.parts...)
		ids := append(test.parts, other)
		if name == "rivals" {
			q.RecordCrash(at(3000), time.Time{}, at(3000), "p", run("e2-3000"), []uint64{5})
			q.RecordCrash(at(2000), time.Time{}, at(2000), "p", run("e1-2000"), []uint64{5})
		}
		if q.Admit(at(test.due+600), time.Time{}, "p", ids).Trial {
			t.Errorf("%s: a trial before the time of this node", name)
		}
		if !q.Admit(at(test.due+800), time.Time{}, "p", ids).Trial {
			t.Errorf("%s: no trial", name)
		}
	}
}

// TestPeriodicTrialsOfAPart checks when a part is tried whose crashes nothing else explains.
func TestPeriodicTrialsOfAPart(t *testing.T) {
	q := quarantine.NewParts(func(time.Time, string) bool { return true }, slog.New(slog.DiscardHandler))
	crashAll(q, []int{1000, 2000, 3000}, bad)
	d := q.Admit(at(10_000), time.Time{}, "p", []uint64{bad})
	if d.Held == nil || d.RetryAfter != 0 || fmt.Sprint(d.Held.Engines()) != "[e0-1000 e1-2000 e2-3000]" {
		t.Errorf("before the trial is due: %+v", d)
	}
	if !q.Admit(at(64_000), time.Time{}, "p", []uint64{bad}).Trial {
		t.Error("no trial a minute after the newest crash")
	}
	q.RecordCrash(at(64_100), time.Time{}, at(64_100), "p", run("e7"), []uint64{bad})
	q.EndTrial(at(64_100), "p", []uint64{bad}, false)
	if !q.Admit(at(64_100), at(64_000), "p", []uint64{bad}).Held.TrialAt.Equal(at(64_100 + 120_000)) {
		t.Error("want the next trial two minutes after the crash in the first")
	}
}

// TestTrialWhoseEngineFailedIsNotRepeatedAtOnce guards against trials one after another while crashes are not known to be such.
func TestTrialWhoseEngineFailedIsNotRepeatedAtOnce(t *testing.T) {
	for _, failed := range []bool{true, false} {
		q := quarantine.NewParts(func(time.Time, string) bool { return true }, slog.New(slog.DiscardHandler))
		crashAll(q, []int{1000, 2000, 2010, 3000}, bad)
		trials := 0
		for ms := 4100; ms < 30_000; ms += 100 {
			if q.Admit(at(ms), time.Time{}, "p", []uint64{bad}).Trial {
				trials++
				q.EndTrial(at(ms+50), "p", []uint64{bad}, failed)
			}
		}
		if failed && trials != 1 || !failed && trials < 2 {
			t.Errorf("failed %v: %d trials", failed, trials)
		}
	}
}

// TestCrashesOfPartsAreSharedBetweenPeers checks that crashes seen by different nodes add up at all, also at one that has just started,
// and that an answer or a release at one of them holds for all.
func TestCrashesOfPartsAreSharedBetweenPeers(t *testing.T) {
	all := []*quarantine.Parts{newParts(), newParts(), newParts(), newParts()}
	exchange := func(ms int) {
		for _, from := range all {
			for _, to := range all {
				if from != to {
					to.MergeGossip(at(ms+20), from.GossipEntries(at(ms), 400*time.Millisecond).Recent(400*time.Millisecond))
				}
			}
		}
	}
	for round, clearing := range []func(ms int){
		func(ms int) { all[2].RecordAnswer(at(ms), "p", "1", []uint64{bad}) },
		func(ms int) { all[1].Release(at(ms), bad) },
	} {
		base := round * 30_000
		for i := range 3 {
			all[i].RecordCrash(at(base+1000*i), time.Time{}, at(base+1000*i), "p", run(fmt.Sprint("e", i)), []uint64{first, bad, uint64(10 + i)})
			all[i+1].RecordCrash(at(base+1000*i+30), time.Time{}, at(base+1000*i+30), "p", run(fmt.Sprint("e", i)), []uint64{other}) // Another request ran on the same engine.
			all[0].RecordAnswer(at(base+1000*i+40), "p", "1", []uint64{first, other})
			exchange(base + 1000*i + 50)
			exchange(base + 1000*i + 150)
		}
		started := newParts()
		started.MergeGossip(at(base+20_000), all[3].GossipEntries(at(base+20_000), 400*time.Millisecond))
		for i, q := range append(slices.Clone(all), started) {
			if sends(q, base+20_100, bad) || !sends(q, base+20_100, first, other) {
				t.Fatalf("round %d, node %d: held %+v, want one; bad sent: %v", round, i, q.List(), sends(q, base+20_100, bad))
			}
		}
		clearing(base + 21_000)
		exchange(base + 21_010)
		exchange(base + 21_110)
		for i, q := range all {
			if !sends(q, base+21_200, bad) {
				t.Errorf("node %d still holds it", i)
			}
		}
	}
}

// TestInventedPartsEvictNoEvidence checks that a caller with many parts, in each request or over many crashes, evicts no other's and that all stays bounded.
func TestInventedPartsEvictNoEvidence(t *testing.T) {
	q := newParts()
	crashAll(q, []int{1000, 2000, 3000}, bad)
	invented := uint64(1000)
	for i := range 1200 {
		ids := make([]uint64, 100)
		for range 20 {
			for j := range ids {
				invented++
				ids[j] = invented
			}
			q.RecordCrash(at(4000+10*i), time.Time{}, at(4000+10*i), "p", run(fmt.Sprint("x", i)), ids)
		}
		q.RecordAnswer(at(4000+10*i), "p", "1", ids[50:])
	}
	if sends(q, 60_000, bad) || q.Len() != 1 {
		t.Errorf("%d parts held, want the one", q.Len())
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	t.Logf("%d MB of heap", memory.HeapAlloc>>20)
	if memory.HeapAlloc > 40<<20 {
		t.Errorf("%d MB of heap", memory.HeapAlloc>>20)
	}
	g := q.GossipEntries(at(16_100), 400*time.Millisecond)
	told, parts := false, 0
	for _, c := range g.Crashes {
		parts += len(c.Parts)
		told = told || slices.Contains(c.Parts, uint64(bad))
	}
	if parts > 400 {
		t.Errorf("%d parts in one message", parts)
	}
	if g = q.GossipEntries(at(60_000), 400*time.Millisecond); len(g.Crashes) != 3 || told {
		t.Errorf("%d crashes are told of once nothing is new, want those of the held part", len(g.Crashes))
	}
}

// TestHeldPartsArePersisted checks that held parts are written, restored with what tells them apart, and deleted once released.
func TestHeldPartsArePersisted(t *testing.T) {
	now := time.Now()
	q, s := newParts(), &store{failures: 2, written: make(chan feed.Tx, 9)}
	for i := range 3 {
		q.RecordCrash(now.Add(time.Duration(i-5)*time.Second), time.Time{}, now.Add(time.Duration(i-5)*time.Second), "p", run(fmt.Sprint("e", i)), []uint64{first, bad})
	}
	runPartPersister(t, q, s)
	put := (<-s.written).Put
	if len(put) != 2 {
		t.Fatalf("written: %+v", put)
	}
	restarted := newParts()
	runPartPersister(t, restarted, &store{written: make(chan feed.Tx, 9), rows: append(put, feed.Row{Key: "x@p", Value: put[0].Value}, feed.Row{Key: "8@p", Value: []byte("\xff")})})
	for end := time.Now().Add(5 * time.Second); restarted.Len() != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d held after the start, want 2", restarted.Len())
		}
	}
	if now := time.Now(); restarted.Admit(now, time.Time{}, "p", []uint64{bad, first}).Held == nil || !restarted.Admit(now, time.Time{}, "p", []uint64{first}).Trial {
		t.Error("want both held, and a request with one of them as a trial")
	}
	q.Release(time.Now(), bad)
	if tx := <-s.written; len(tx.Delete) != 1 || tx.Delete[0].Key != "0000000000000002@p" {
		t.Errorf("written after a release: %+v", tx)
	}
}

// runPartPersister is runPersister for parts.
func runPartPersister(t *testing.T, q *quarantine.Parts, s *store) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		quarantine.NewPartPersister(q, s, false, func(time.Time) bool { return true }, slog.New(slog.DiscardHandler)).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// TestRetriesThatCrashEnginesAtOnceCount guards against routes with several tries, on which a part crashes two or three engines within moments.
func TestRetriesThatCrashEnginesAtOnceCount(t *testing.T) {
	one, other := newParts(), newParts()
	for i := range 3 {
		resent := time.Time{}
		if i > 0 {
			resent = at(1000 + 10*i - 5)
		}
		one.RecordCrash(at(1000+10*i), resent, at(1000+10*i), "p", run(fmt.Sprint("e", i)), []uint64{bad, uint64(100 + i)})
	}
	other.MergeGossip(at(1100), one.GossipEntries(at(1090), time.Second))
	if sends(one, 1200, bad) || sends(other, 1200, bad) || !sends(one, 1200, 100) {
		t.Error("a part is not held after one request with it crashed three engines")
	}
}

// TestRetriesThatCrashedEnginesAtOnceCountAfterARestart guards against a held part that is sent again once all nodes were killed.
func TestRetriesThatCrashedEnginesAtOnceCountAfterARestart(t *testing.T) {
	now := time.Now().Add(-time.Second)
	q, s := newParts(), &store{written: make(chan feed.Tx, 9)}
	for i := range 3 {
		crashed, resent := now.Add(time.Duration(10*i)*time.Millisecond), time.Time{}
		if i > 0 {
			resent = crashed.Add(-5 * time.Millisecond)
		}
		q.RecordCrash(crashed, resent, crashed, "p", run(fmt.Sprint("e", i)), []uint64{bad})
	}
	runPartPersister(t, q, s)
	restarted := newParts()
	runPartPersister(t, restarted, &store{written: make(chan feed.Tx, 9), rows: (<-s.written).Put})
	for end := time.Now().Add(5 * time.Second); restarted.Len() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the part is not held after the restart")
		}
	}
}
