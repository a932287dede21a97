package placement_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestRestartedEngineLosesItsState checks that the state of an engine's previous
// incarnation is dropped once an entry shows a new one, that later results and reports about the
// previous incarnation have no effect, and that its requests in flight are lost.
func TestRestartedEngineLosesItsState(t *testing.T) {
	p := placement.New("hall")
	first := placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8, Incarnation: 100, Since: history.Position{Version: 5}}
	p.Set(first)
	r := long(1)
	failed := p.Start(start, choose(t, p, start, r), r)
	failed.Report(start, 8, 50)
	failed.End(start, placement.Failed)
	inFlight := p.Start(start, choose(t, p, start, r), r)
	lost := 0
	inFlight.OnLost(func() { lost++ })
	part := r.Prompt.Shared[0].ID
	p.UpdatePeer(start, "peer", history.Position{Version: 5}, map[string]placement.Load{"e": {PrefillTokens: 50000, InFlight: 9}}, []placement.Use{{Engine: "e", Part: part}})
	before := choose(t, p, start, r)

	if p.Set(first) {
		t.Error("an entry of the same incarnation counts as a restart")
	}
	again := first
	again.Incarnation, again.Since = 50, history.Position{Version: 9} // The engine's clock may have been set back.
	if !p.Set(again) || lost != 1 {
		t.Errorf("a new incarnation does not count as a restart, or the request in flight is not lost (%d)", lost)
	}
	late := 0
	inFlight.OnLost(func() { late++ })
	if late != 1 {
		t.Error("a callback registered after the loss is not called")
	}
	if len(p.TakeUses()) > 0 {
		t.Error("parts processed by the previous incarnation are reported to peers")
	}
	p.UpdatePeer(start, "peer", history.Position{Version: 8}, map[string]placement.Load{"e": {PrefillTokens: 50000, InFlight: 9}}, []placement.Use{{Engine: "e", Part: part}})
	inFlight.End(start, placement.Failed)
	fresh := placement.New("hall")
	fresh.Set(again)
	if got, want := choose(t, p, start, r), choose(t, fresh, start, r); got != want || got == before {
		t.Errorf("after the restart %+v, want the same as for a new engine %+v; before %+v", got, want, before)
	}
	if len(p.Loads()) > 0 || p.PeersAt("e") > 0 {
		t.Errorf("load of the previous incarnation remains: %v, %d peers", p.Loads(), p.PeersAt("e"))
	}
	p.UpdatePeer(start, "peer", history.Position{Version: 9}, map[string]placement.Load{"e": {InFlight: 1}}, nil)
	if p.PeersAt("e") != 1 {
		t.Error("the report of a peer that knows of the restart is ignored")
	}
}

// TestIdleCountsFromTheLastResponse checks the time for which a request has had no response from
// its engine.
func TestIdleCountsFromTheLastResponse(t *testing.T) {
	p := placement.New("hall")
	p.Set(placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8})
	call := p.Start(start, choose(t, p, start, long(1)), long(1))
	for _, sign := range []func(time.Time){func(time.Time) {}, call.Began, call.Received} {
		sign(start.Add(time.Second))
		sign(start)
		if got := call.Idle(start.Add(2 * time.Second)); got > 2*time.Second {
			t.Errorf("idle for %v", got)
		}
	}
	call.Received(start.Add(time.Second))
	if got := call.Idle(start.Add(1500 * time.Millisecond)); got != 500*time.Millisecond {
		t.Errorf("idle for %v, want 500ms since the last data", got)
	}
}

// TestEndedCallHidesNoSilence guards against a caller that lags behind a complete answer and makes its
// engine, which no longer sends anything for another request, look well.
func TestEndedCallHidesNoSilence(t *testing.T) {
	p := newPlacement(1)
	c := choose(t, p, start, long(1))
	ended := p.Start(start, c, long(1))
	p.Start(start, c, long(1)).Began(start)
	ended.End(start, placement.Answered)
	later := start.Add(time.Second)
	before := choose(t, p, later, long(2)).Cost
	ended.NotRead(later)
	if after := choose(t, p, later, long(2)).Cost; after < before {
		t.Errorf("the cost of the silent engine falls from %.0f to %.0f ms", before, after)
	}
}
