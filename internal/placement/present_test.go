package placement_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/scaling"
)

// TestHallEnginesAndPrefillWork checks that engines are counted by hall and kind, and that the prefill work
// of sent requests is added up.
func TestHallEnginesAndPrefillWork(t *testing.T) {
	p, now := placement.New("a"), time.Unix(1000, 0)
	for id, e := range map[string]placement.Engine{
		"1": {Hall: "a"}, "2": {Hall: "a", Draining: true}, "3": {Hall: "a", Spot: true}, "4": {Hall: "b", Spot: true, Draining: true}, "5": {Hall: "b"},
	} {
		e.ID, e.Pool, e.Slots = id, "p", 8
		p.Set(e)
	}
	got := p.HallEngines("p")
	if want := (scaling.HallState{OnDemand: 1, Spot: 1}); got["a"] != want {
		t.Errorf("hall a: %+v, want %+v", got["a"], want)
	}
	if want := (scaling.HallState{OnDemand: 1, SpotDraining: 1}); got["b"] != want {
		t.Errorf("hall b: %+v, want %+v", got["b"], want)
	}
	r := placement.Request{Pool: "p", Prompt: placement.Prompt{Tokens: 5000}}
	choice, ok := p.Choose(now, r)
	if !ok {
		t.Fatal("no engine")
	}
	p.Start(now, choice, r)
	once := p.PrefillWork()["p"].All
	p.Start(now, choice, r)
	if twice := p.PrefillWork()["p"].All; once != 5000/choice.PrefillRate || twice != 2*once {
		t.Errorf("5,000 tokens at %v per millisecond took %v ms, twice as many %v", choice.PrefillRate, once, twice)
	}
}
