package evacuation_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/evacuation"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestAnEvacuatedHallGetsNoRequests checks that no engine of an evacuated hall is chosen, not even one that is added
// during the evacuation, that engines of other halls are, and that the hall is used again after the evacuation.
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
		{"own hall evacuated", []evacuation.Change{{Hall: "a", Version: 3}}, "b"},
		{"repeated, and the end for a hall that was not evacuated", []evacuation.Change{{Hall: "a", Version: 4}, {Hall: "c", Ends: true, Version: 5}}, "b"},
		{"last hall evacuated", []evacuation.Change{{Hall: "b", Version: 6}}, ""},
		{"first evacuation ended", []evacuation.Change{{Hall: "a", Ends: true, Version: 7}}, "a"},
		{"start and end in one batch", []evacuation.Change{{Hall: "a", Version: 8}, {Hall: "b", Ends: true, Version: 9}}, "b"},
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
		t.Errorf("evacuated halls: %+v, want a with version 8", list)
	}
}
