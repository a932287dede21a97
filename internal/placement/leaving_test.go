package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// leavingRequest is a request of reclaimed.run.
type leavingRequest struct {
	*stepRequest
	node    *placement.Placement
	engine  int
	choice  placement.Choice
	events  int
	leaving bool // whether its engine was leaving when it was sent
	cut     bool
}

// reclaimed is a pool of 60 engines in three halls, two of which are reclaimed 1.2 s apart.
type reclaimed struct {
	load    float64 // share of the prefill capacity of all engines
	streams float64 // mean number of running streams with short prompts at each engine
}

// run returns how many requests the leaving engines got until 1 s before their end, as a share of those
// in as long a time before the notice, and the share of those sent while leaving that were cut off.
func (m reclaimed) run(t *testing.T, seed uint64) (served, cutOff float64) {
	const count, notice, lastSend, calm = 60, 2 * time.Second, 1500 * time.Millisecond, time.Second
	notices := []time.Time{start.Add(4 * time.Second), start.Add(5200 * time.Millisecond)}
	names := []string{"n0", "n1", "n2", "n3", "n4", "n5"}
	rng := rand.New(rand.NewPCG(seed, 9))
	engines := make([]*stepEngine, count)
	var uses []placement.Use
	for i := range engines {
		engines[i] = &stepEngine{}
		uses = append(uses, placement.Use{Engine: fmt.Sprint("e", i), Part: placement.NewPart("root", 0).ID})
	}
	var nodes []*placement.Placement
	for _, name := range names {
		p := interactivePool(count, placement.WithSenders(name, func(time.Time) map[string]float64 { return equalRates(names) }))
		p.UpdatePeer(start, "earlier", history.Position{}, nil, uses)
		nodes = append(nodes, p)
	}
	var running, all []*leavingRequest
	shortRate := m.streams * count / 2.1
	longRate := (m.load*stepCapacity*1000*count - shortRate*shortTokens) / longUncached
	send := func(now time.Time, r placement.Request, uncached int) {
		x := &leavingRequest{node: nodes[rng.IntN(len(nodes))], events: max(1, int(float64(r.Events)*math.Exp(0.6*rng.NormFloat64())))}
		r.Recoverable, r.Deadline = uncached == shortTokens, now.Add(time.Second)
		c, ok := x.node.Choose(now, r)
		if !ok {
			return
		}
		fmt.Sscanf(c.Engine.ID, "e%d", &x.engine)
		x.choice, x.leaving = c, c.Engine.Draining
		x.stepRequest = &stepRequest{call: x.node.Start(now, c, r), uncached: uncached, left: 5 * x.events, sent: now}
		engines[x.engine].waiting = append(engines[x.engine].waiting, x.stepRequest)
		running, all = append(running, x), append(all, x)
	}
	for now := start; now.Before(start.Add(9 * time.Second)); now = now.Add(time.Millisecond) {
		for hall, noticed := range notices {
			for i := hall; i < count; i += 3 {
				for _, p := range nodes {
					switch {
					case now.Equal(noticed):
						p.Set(placement.Engine{ID: fmt.Sprint("e", i), Pool: "p", Hall: fmt.Sprint("h", i%2), Slots: stepSlots, Spot: true, Draining: true, LeavesAt: now.Add(notice), LastSend: now.Add(lastSend), ServesUntil: now.Add(notice)})
					case now.Equal(noticed.Add(notice)):
						p.Remove(fmt.Sprint("e", i))
					}
				}
				if now.Equal(noticed.Add(notice)) {
					engines[i] = nil
				}
			}
		}
		if rng.Float64() < shortRate/1000 {
			send(now, shortStream(rng.IntN(400)), shortTokens)
		}
		if rng.Float64() < longRate/1000 {
			r := longPrompt(rng.IntN(400))
			r.Events = 3 // Its answer takes 0.2 to 0.3 s in all.
			send(now, r, longUncached)
		}
		for _, e := range engines {
			if e != nil {
				e.step(now)
			}
		}
		var left []*leavingRequest
		for _, x := range running {
			switch {
			case x.left <= 0:
				x.node.NoteAnswer(x.choice, x.events, x.last.Sub(x.first))
			case engines[x.engine] == nil:
				x.cut = true
				x.call.End(now, placement.Failed)
			default:
				left = append(left, x)
			}
		}
		running = left
		if now.Sub(start)%replayGossip == 0 {
			gossip(now, nodes)
		}
	}
	before, after, sent, cut := 0.0, 0.0, 0.0, 0.0
	for _, x := range all {
		if x.engine%3 >= len(notices) {
			continue
		}
		switch at := x.sent.Sub(notices[x.engine%3]); {
		case at < 0 && at >= calm-notice:
			before++
		case at >= 0 && at < notice-calm:
			after++
		}
		if x.leaving {
			sent++
			if x.cut {
				cut++
			}
		}
	}
	return after / before, cut / sent
}

// TestLeavingEnginesServeOn guards against a pool that drops reclaimed engines at the first notice, and
// against requests that are cut off when these leave. Two thirds of the engines leave.
func TestLeavingEnginesServeOn(t *testing.T) {
	for _, m := range []reclaimed{{0.5, 2}, {0.8, 4}} {
		for seed := range uint64(3) {
			served, cutOff := m.run(t, seed)
			t.Logf("%+v, seed %d: %.3f of the requests before, %.4f cut off", m, seed, served, cutOff)
			if served < 1 || cutOff > 0.02 {
				t.Errorf("%+v, seed %d: want at least as many requests as before and at most 0.02 cut off", m, seed)
			}
		}
	}
}

// TestLeavingEngineIsUsedWithinItsTime guards against requests to a draining engine that it may not get
// any more, that would be cut off, or that were not to be sent to such engines at all. It is the only
// engine, and short streams take 0.8 s from the first event to the last.
func TestLeavingEngineIsUsedWithinItsTime(t *testing.T) {
	leaving := placement.Engine{ID: "e0", Pool: "p", Hall: "h0", Slots: stepSlots, Draining: true, LeavesAt: start.Add(2500 * time.Millisecond), LastSend: start.Add(1500 * time.Millisecond), ServesUntil: start.Add(2400 * time.Millisecond)}
	answers := placement.Choice{Engine: leaving, GapSensitive: true}
	short := shortStream(1)
	recoverable, plain, unknown := short, short, leaving
	recoverable.Recoverable, plain.Interactive, unknown.LastSend = true, false, time.Time{}
	fits, outlasts := short, short
	fits.Deadline, outlasts.Deadline = start.Add(2400*time.Millisecond), start.Add(2401*time.Millisecond)
	for _, test := range []struct {
		name   string
		after  time.Duration
		r      placement.Request
		update func(p *placement.Placement)
		chosen bool
	}{
		{"at first", 0, recoverable, nil, true},
		{"ends in time by a margin", time.Second, recoverable, nil, true},
		{"would be cut off", 1400 * time.Millisecond, recoverable, nil, false},
		{"cannot be resumed and might be cut off", 200 * time.Millisecond, short, nil, false},
		{"cannot be resumed and ends in time", time.Second, fits, nil, true},
		{"cannot be resumed and may outlast the engine", time.Millisecond, outlasts, nil, false},
		{"after the last time to send", 1500 * time.Millisecond, longPrompt(1), nil, false},
		{"pool that is not interactive", 0, plain, nil, false},
		{"store lost", 0, recoverable, func(p *placement.Placement) { placement.WithStoreKnown(func(time.Time) bool { return false })(p) }, false},
		{"announced it in an answer, entry renewed", 0, recoverable, func(p *placement.Placement) { p.Drain("e0"); p.Set(leaving) }, false},
		{"time unknown", 0, recoverable, func(p *placement.Placement) { p.Set(unknown) }, false},
		{"entry gone", 0, recoverable, func(p *placement.Placement) { p.Remove("e0") }, false},
		{"hall evacuated", 0, recoverable, func(p *placement.Placement) { p.SetEvacuated("h0", true) }, false},
	} {
		p := interactivePool(1)
		before := choose(t, p, start, recoverable)
		p.Set(leaving)
		p.NoteAnswer(answers, 58, 800*time.Millisecond)
		if test.update != nil {
			test.update(p)
		}
		now := start.Add(test.after)
		c, ok := p.Choose(now, test.r)
		if ok != test.chosen || ok && c.Engines != 1 {
			t.Errorf("%s: chosen %t, %d engines", test.name, ok, c.Engines)
		}
		// A request that was placed earlier, and waited, is held to the last time to send, and to its deadline if it can't be resumed.
		want := test.chosen || test.r.Recoverable && test.after > 0 && test.after < 1500*time.Millisecond || !test.r.Interactive
		if _, ok := p.MaySend(now, before, test.r); ok != want {
			t.Errorf("%s: may be sent %t", test.name, ok)
		}
		if n := len(p.StreamSet("p")); n > 0 {
			t.Errorf("%s: %d engines in the stream set", test.name, n)
		}
	}
}
