package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestLoadChangesKeepNodesApart guards against nodes that choose the same idle engines, because each
// knows only the others' last reports. The load: 8 nodes send 400 long prompts a second to 60 engines
// that prefill each in 80 ms; reports are exchanged every 200 ms, changes of load every 25 ms.
func TestLoadChangesKeepNodesApart(t *testing.T) {
	without, with := collisions(t, 0), collisions(t, 25*time.Millisecond)
	t.Logf("prompts behind more than one other: %.3f with reports alone, %.3f with changes", without, with)
	if with > without/2 {
		t.Errorf("%.3f of the prompts are behind more than one other, %.3f without changes, want at most half", with, without)
	}
}

// collisions returns the share of prompts that were sent to an engine with more than one other to
// prefill. every is the time between two exchanges of changes; 0 for none.
func collisions(t *testing.T, every time.Duration) float64 {
	t.Helper()
	const nodes, engines, seconds, prefill = 8, 60, 5, 80 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	var all []*placement.Placement
	for range nodes {
		p := placement.New("h")
		for e := range engines {
			p.Set(placement.Engine{ID: fmt.Sprint("e", e), Pool: "p", Hall: "h", Slots: 24})
		}
		all = append(all, p)
	}
	type work struct {
		call *placement.Call
		ends time.Time
	}
	free, pending, sent, behind := map[string]time.Time{}, []work{}, 0, 0
	begin := time.Unix(1, 0)
	for now := begin; now.Before(begin.Add(seconds * time.Second)); now = now.Add(2500 * time.Microsecond) {
		rest := pending[:0]
		for _, w := range pending {
			if w.ends.After(now) {
				rest = append(rest, w)
				continue
			}
			w.call.Began(now)
			w.call.End(now, placement.Answered)
		}
		pending = rest
		since := now.Sub(begin)
		exchange(now, all, every > 0 && since%every == 0, since%(200*time.Millisecond) == 0)
		r := placement.Request{Pool: "p", Interactive: true, Target: 300 * time.Millisecond, Prompt: placement.Prompt{Shared: []placement.Part{{ID: random.Uint64(), Tokens: 1}}, Tokens: 4000}}
		p := all[random.IntN(nodes)]
		choice, ok := p.Choose(now, r)
		if !ok {
			t.Fatal("no engine")
		}
		call := p.Start(now, choice, r)
		sent++
		if free[choice.Engine.ID].Sub(now) > prefill {
			behind++
		}
		ends := now.Add(prefill)
		if at := free[choice.Engine.ID]; at.After(now) {
			ends = at.Add(prefill)
		}
		free[choice.Engine.ID] = ends
		pending = append(pending, work{call, ends})
	}
	return float64(behind) / float64(sent)
}

// exchange lets nodes tell each other what has changed, and their whole load if a report is due.
func exchange(now time.Time, all []*placement.Placement, changes, report bool) {
	for i, from := range all {
		var loads map[string]placement.Load
		var uses []placement.Use
		if changes {
			loads, uses, _, _ = from.TakeLoadChanges(now)
		}
		for j, to := range all {
			if i == j {
				continue
			}
			if changes {
				to.UpdatePeerLoads(now, fmt.Sprint("n", i), history.Position{}, loads, uses)
			}
			if report {
				to.UpdatePeer(now, fmt.Sprint("n", i), history.Position{}, from.Loads(), nil)
			}
		}
	}
}

// TestLoadChangesOfEndedRequests guards against load that stays at an engine when the update with a
// request's end is lost, or when the peer's next report no longer lists the engine.
func TestLoadChangesOfEndedRequests(t *testing.T) {
	now := time.Unix(1, 0)
	from, to := placement.New("h"), placement.New("h")
	for _, p := range []*placement.Placement{from, to} {
		p.Set(placement.Engine{ID: "e", Pool: "p", Hall: "h", Slots: 24})
	}
	r := placement.Request{Pool: "p", Interactive: true, Prompt: placement.Prompt{Tokens: 4000}}
	choice, _ := from.Choose(now, r)
	call := from.Start(now, choice, r)
	loads, _, _, _ := from.TakeLoadChanges(now)
	to.UpdatePeerLoads(now, "n", history.Position{}, loads, nil)
	if to.PeersAt("e") != 1 || loads["e"].PrefillTokens != 4000 {
		t.Fatalf("changes %v, peers %d", loads, to.PeersAt("e"))
	}
	call.End(now, placement.Answered)
	from.TakeLoadChanges(now) // This update is lost.
	to.UpdatePeer(now, "n", history.Position{}, from.Loads(), nil)
	if to.PeersAt("e") != 0 {
		t.Error("the load of an ended request stays")
	}
	if loads, _, _, _ := from.TakeLoadChanges(now); len(loads) != 0 {
		t.Errorf("changes without a change: %v", loads)
	}
}

// TestPlainPoolsReportNoChanges guards against messages and wake-ups in pools that are not interactive.
func TestPlainPoolsReportNoChanges(t *testing.T) {
	now := time.Unix(1, 0)
	p := placement.New("h")
	p.Set(placement.Engine{ID: "e", Pool: "p", Hall: "h", Slots: 24})
	r := placement.Request{Pool: "p", Prompt: placement.Prompt{Shared: []placement.Part{{ID: 1, Tokens: 100}}, Tokens: 4000}}
	choice, _ := p.Choose(now, r)
	p.Start(now, choice, r).End(now, placement.Answered)
	select {
	case <-p.LoadChanged():
		t.Error("a change is signalled")
	default:
	}
	if loads, uses, _, _ := p.TakeLoadChanges(now); len(loads)+len(uses) > 0 {
		t.Errorf("changes %v, uses %v", loads, uses)
	}
}
