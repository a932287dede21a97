package evacuation_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/evacuation"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestAnEvacuatedHallGetsNoRequests holds that engines of a hall which is evacuated are not chosen, also such as become
// known later, that those of the others are, and that they are again once the evacuation is taken back.
func TestAnEvacuatedHallGetsNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := placement.New("a")
	e := evacuation.New(p, slog.New(slog.NewTextHandler(io.Discard, nil)))
	p.Set(placement.Engine{ID: "a1", Pool: "p", Hall: "a", Slots: 4})
	p.Set(placement.Engine{ID: "b1", Pool: "p", Hall: "b", Slots: 4})
	chosen := func() string {
		c, ok := p.Choose(now, placement.Request{Pool: "p"})
		if !ok {
			return ""
		}
		return c.Engine.Hall
	}
	steps := []struct {
		name    string
		changes []evacuation.Change
		want    string
	}{
		{"at first", nil, "a"},
		{"its hall is evacuated", []evacuation.Change{{Hall: "a", Version: 3}}, "b"},
		{"told again, and of a hall that was not", []evacuation.Change{{Hall: "a", Version: 4}, {Hall: "c", Ends: true, Version: 5}}, "b"},
		{"the last hall, too", []evacuation.Change{{Hall: "b", Version: 6}}, ""},
		{"the first is taken back", []evacuation.Change{{Hall: "a", Ends: true, Version: 7}}, "a"},
		{"both at once", []evacuation.Change{{Hall: "a", Version: 8}, {Hall: "b", Ends: true, Version: 9}}, "b"},
	}
	for i, step := range steps {
		e.Apply(now, step.changes)
		if i == 1 {
			p.Set(placement.Engine{ID: "a2", Pool: "p", Hall: "a", Slots: 4})
		}
		if got := chosen(); got != step.want {
			t.Errorf("%s: a request goes to hall %q, want %q", step.name, got, step.want)
		}
	}
	if list := e.List(); len(list) != 1 || list[0].Hall != "a" || list[0].Version != 8 || !list[0].Since.Equal(now) {
		t.Errorf("evacuated are %+v, want a with version 8", list)
	}
}
