package gossip

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/quarantine"
)

// TestCrashRunsAreSentBesideTheirEntries guards against runs that peers do not get, and against entries that nodes of the release before
// refuse.
func TestCrashRunsAreSentBesideTheirEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	g := newTestGossip(t, start, 2)
	g.isHub = true
	entry := quarantine.GossipEntry{Fingerprint: 1, Crashes: []quarantine.GossipCrash{{Engine: "e", AgeMs: 5}}, RanMs: []int64{700}}
	g.node = &fakeNode{state: State{Crashing: []quarantine.GossipEntry{entry}}}
	sent := g.compose(func() time.Time { return start }, 0)
	if len(sent) == 0 {
		t.Fatal("nothing is sent")
	}
	var state State
	var before struct {
		Crashing []struct {
			_           struct{} `cbor:",toarray"`
			Fingerprint uint64
			Team, Route string
			Crashes     []struct {
				_      struct{} `cbor:",toarray"`
				Engine string
				AgeMs  int64
			}
			AnsweredAgeMs int64
		} `cbor:"14,keyasint"`
	}
	for _, into := range []any{&state, &before} {
		if err := cbor.Unmarshal(sent[0].State, into); err != nil {
			t.Fatal(err)
		}
	}
	if got := quarantine.JoinRuns(state.Crashing, state.CrashRuns); len(got) != 1 || len(got[0].RanMs) != 1 || got[0].RanMs[0] != 700 || len(before.Crashing) != 1 || before.Crashing[0].Crashes[0].Engine != "e" {
		t.Errorf("got %+v, and %+v by the release before", got, before)
	}
}
