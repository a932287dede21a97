package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/quarantine"
)

// lose records that engines crash at some times, each under a run that had begun so long before, at the given node.
func lose(q *quarantine.Quarantine, name string, times, ran []int) {
	for i, ms := range times {
		q.RecordRunCrash(at(ms), fingerprint, subject, quarantine.Crash{Engine: fmt.Sprint(name, i), At: at(ms), Ran: time.Duration(ran[i]) * time.Millisecond})
	}
}

// tell passes what a node knows on to another, as encoded between nodes, with or without the runs.
func tell(t *testing.T, ms int, from, to *quarantine.Quarantine, withRuns bool) {
	t.Helper()
	entries := from.GossipEntries(at(ms), time.Second)
	raw, err := cbor.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	var runs [][]int64
	if withRuns {
		runs = quarantine.SplitRuns(entries)
	}
	entries = nil
	if err := cbor.Unmarshal(raw, &entries); err != nil {
		t.Fatal(err)
	}
	to.MergeGossip(at(ms+20), quarantine.JoinRuns(entries, runs))
}

// TestEnginesLostAtOneMomentCountOnce guards against a popular request that is refused for good since it ran on engines that
// one disruption took down, and against one that crashes engines at once and is not held.
func TestEnginesLostAtOneMomentCountOnce(t *testing.T) {
	for name, test := range map[string]struct {
		times, ran []int
		held       bool
	}{
		"a dozen under long runs":                 {[]int{0, 1, 2, 3, 5, 8, 13, 21, 30, 40, 50, 60}, []int{900, 4000, 3000, 2000, 700, 800, 5000, 600, 900, 900, 900, 900}, false},
		"two moments":                             {[]int{0, 10, 20, 5000, 5010, 5020}, []int{900, 4000, 3000, 900, 4000, 3000}, false},
		"one had only just begun":                 {[]int{0, 10, 20}, []int{900, 20, 3000}, false},
		"three moments":                           {[]int{0, 10, 5000, 5010, 9000}, []int{900, 900, 900, 900, 900}, true},
		"a tenth of a second apart":               {[]int{0, 100, 200}, []int{900, 900, 900}, true},
		"ten seconds apart":                       {[]int{0, 10_000, 20_000}, []int{900, 900, 900}, true},
		"each as soon as it began":                {[]int{0, 2, 4}, []int{20, 25, 20}, true},
		"runs that are not known":                 {[]int{0, 2, 4}, []int{0, 0, 0}, true},
		"many at one moment before two of others": {[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 500, 1000}, []int{900, 900, 900, 900, 900, 900, 900, 900, 900, 900, 900, 900}, true},
	} {
		q, peer, third := newQuarantine(never), newQuarantine(never), newQuarantine(never)
		lose(q, "e", test.times, test.ran)
		end := test.times[len(test.times)-1]
		tell(t, end+20, q, peer, true)
		tell(t, end+50, peer, third, true)
		for i, node := range []*quarantine.Quarantine{q, peer, third} {
			if held, _ := node.Admit(at(end+80), fingerprint); (held != nil) != test.held || held != nil && held.TrialAt.After(at(end+80).Add(time.Minute)) {
				t.Errorf("%s: node %d: held %+v, want %v, and a trial a minute later", name, i, held, test.held)
			}
		}
	}
}

// TestPeersTellWhenRunsBegan guards against crashes that one node knows of only in part: which runs had begun long before.
func TestPeersTellWhenRunsBegan(t *testing.T) {
	q, peer, old := newQuarantine(never), newQuarantine(never), newQuarantine(never)
	lose(q, "e", []int{0, 5, 10}, []int{50, 60, 70})
	lose(peer, "e", []int{3, 8, 13}, []int{3000, 2000, 4000})
	if !isHeld(q, at(20), fingerprint) || isHeld(peer, at(20), fingerprint) {
		t.Fatal("want it held where the runs were short alone")
	}
	tell(t, 20, q, old, false)
	if !isHeld(old, at(50), fingerprint) {
		t.Error("crashes of a node of the earlier release don't count one by one")
	}
	raw, err := json.Marshal(peer.GossipEntries(at(60), time.Second))
	var entries []quarantine.GossipEntry
	if err != nil || json.Unmarshal(raw, &entries) != nil || len(entries) != 1 || fmt.Sprint(entries[0].RanMs) != "[3000 2000 4000]" {
		t.Errorf("encoded as JSON: %s", raw)
	}
	tell(t, 60, peer, q, true)
	tell(t, 90, q, old, true)
	if isHeld(q, at(120), fingerprint) || isHeld(old, at(120), fingerprint) || q.Len() != 0 || old.Len() != 0 {
		t.Error("held though a peer's runs had begun long before")
	}
}

// TestRunsThatGoOnSpeakForTheirRequest guards against a request that is refused for good since engines were lost one after the other,
// while more of them go on with it.
func TestRunsThatGoOnSpeakForTheirRequest(t *testing.T) {
	for name, test := range map[string]struct {
		others, ran int // others is how many engines run it until the end, and ran for how long by the third crash.
		held        bool
	}{
		"most engines go on":                 {4, 2000, false},
		"as many go on as were lost":         {3, 2000, true},
		"none of them has run it for longer": {9, 1050, true},
		"it runs nowhere else":               {0, 0, true},
	} {
		q := newQuarantine(never)
		var runs []*quarantine.Run
		for i := range test.others {
			runs = append(runs, q.BeginRun(at(600-test.ran), fingerprint, fmt.Sprint("other", i)))
		}
		lose(q, "e", []int{0, 300, 600}, []int{1000, 1000, 1000})
		if got := isHeld(q, at(601), fingerprint); got != test.held {
			t.Errorf("%s: held %v, want %v", name, got, test.held)
		}
		for _, run := range runs {
			q.EndRun(run)
		}
		if !isHeld(q, at(700), fingerprint) {
			t.Errorf("%s: not held once none goes on", name)
		}
	}
	q := newQuarantine(never)
	lose(q, "e", []int{600, 605, 610}, []int{200, 150, 100})
	run := q.BeginRun(at(100), fingerprint, "other")
	if isHeld(q, at(620), fingerprint) {
		t.Error("held for engines lost at one moment soon after they got it, though another one has been running it for longer")
	}
	if q.EndRun(run); !isHeld(q, at(620), fingerprint) {
		t.Error("not held though it runs nowhere else")
	}
}
