package placement_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// TestEngineBackoff checks how long an engine that asked for a backoff gets no requests, what
// preserves and what ends the backoff, and that one trial request precedes further ones.
func TestEngineBackoff(t *testing.T) {
	const duration = time.Second
	engine := placement.Engine{ID: "e", Pool: "p", Hall: "h", Slots: 8, Incarnation: 1}
	r := placement.Request{Pool: "p"}
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	send := func(p *placement.Placement, at time.Time) *placement.Call {
		c, _ := p.Choose(at, r)
		return p.Start(at, c, r)
	}
	for _, test := range []struct {
		name   string
		does   func(p *placement.Placement)
		at     int // time of the check after the first backoff began, in milliseconds
		chosen bool
	}{
		{"before it ends", func(*placement.Placement) {}, 990, false},
		{"after it", func(*placement.Placement) {}, 1210, true},
		{"a shorter backoff later", func(p *placement.Placement) { p.BackOff(after(100), "e", 100*time.Millisecond) }, 990, false},
		{"a longer backoff", func(p *placement.Placement) { p.BackOff(after(100), "e", 2*duration) }, 2090, false},
		{"an empty backoff", func(p *placement.Placement) { p.BackOff(after(100), "e", 0) }, 1210, true},
		{"its entry is removed and added again", func(p *placement.Placement) { p.Remove("e"); p.Set(engine) }, 990, false},
		{"it restarts", func(p *placement.Placement) {
			again := engine
			again.Incarnation = 2
			p.Set(again)
		}, 100, true},
		{"an earlier request is accepted", func(p *placement.Placement) {
			p.Start(after(10), placement.Choice{Engine: engine}, r).Began(after(20))
		}, 990, false},
		{"a trial request is in flight", func(p *placement.Placement) { send(p, after(1210)) }, 1220, false},
		{"the trial request is accepted", func(p *placement.Placement) { send(p, after(1210)).Began(after(1220)) }, 1230, true},
		{"the trial request is throttled", func(p *placement.Placement) {
			c := send(p, after(1210))
			p.BackOff(after(1220), "e", duration)
			c.End(after(1220), placement.Throttled)
		}, 2200, false},
		{"the trial request is aborted", func(p *placement.Placement) { send(p, after(1210)).End(after(1220), placement.Aborted) }, 1230, true},
	} {
		p := placement.New("h")
		p.Set(engine)
		p.BackOff(start, "e", duration)
		test.does(p)
		c, ok := p.Choose(after(test.at), r)
		if ok != test.chosen {
			t.Errorf("%s: chosen %v", test.name, ok)
		}
		if !ok && !c.AvailableAt.After(after(test.at)) {
			t.Errorf("%s: available at %v, want later than the check", test.name, c.AvailableAt)
		}
	}
}

// TestLongBackoffsAreBounded checks that an engine that asks for an excessively long backoff is
// tried again.
func TestLongBackoffsAreBounded(t *testing.T) {
	p := placement.New("h")
	p.Set(placement.Engine{ID: "e", Pool: "p", Hall: "h", Slots: 8})
	p.BackOff(start, "e", 24*time.Hour)
	if _, ok := p.Choose(start.Add(9*time.Minute), placement.Request{Pool: "p"}); ok {
		t.Error("the engine is used after nine minutes")
	}
	if _, ok := p.Choose(start.Add(11*time.Minute), placement.Request{Pool: "p"}); !ok {
		t.Error("the engine is not used after eleven minutes")
	}
}
