package placement_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// runStream plays streams at an engine, one pause in so many of them a long one, 0 for none.
func runStream(p *placement.Placement, e placement.Engine, pauses, every int, long time.Duration) {
	r := stream(1)
	call := p.Start(start, placement.Choice{Engine: e}, r)
	call.Began(start)
	now := start
	call.Received(now)
	for n := range pauses {
		pause := 60 * time.Millisecond
		if every > 0 && n%every == 0 {
			pause = long
		}
		now = now.Add(pause)
		call.Received(now)
	}
	call.End(now, placement.Answered)
}

// TestPausesDecideWhichStreamsAreKeptApart holds that a stream is kept from long prompts
// where pauses, as they were seen on engines that read these, would make many of its like
// late: by how often they are too long, and by how many events the answer has.
func TestPausesDecideWhichStreamsAreKeptApart(t *testing.T) {
	tests := []struct {
		name   string
		every  int
		long   time.Duration
		events int
		tight  bool
	}{
		{"short pauses", 0, 0, 20, false},
		{"pauses that are borne", 1, 240 * time.Millisecond, 20, false},
		{"long pauses", 1, 400 * time.Millisecond, 20, true},
		{"long pauses, few events", 1, 400 * time.Millisecond, 1, true},
		{"one long pause of 100", 100, 400 * time.Millisecond, 20, true},
		{"one long pause of 100, few events", 100, 400 * time.Millisecond, 1, false},
		{"one long pause of 100, unknown events", 100, 400 * time.Millisecond, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPlacement(3)
			r := stream(1)
			apart := choose(t, p, start, r).Engine.ID
			for _, e := range p.Engines() {
				if e.ID != apart {
					runStream(p, e, 1500, test.every, test.long)
				}
			}
			r.Events = test.events
			if c := choose(t, p, start, r); c.GapSensitive != test.tight {
				t.Errorf("kept apart: %v, want %v", c.GapSensitive, test.tight)
			}
		})
	}
}

// TestPausesOfStreamsThatAreKeptApartDoNotCount holds that streams stay apart though they
// pause only shortly there: they do so because they are.
func TestPausesOfStreamsThatAreKeptApartDoNotCount(t *testing.T) {
	p := newPlacement(3)
	apart := choose(t, p, start, stream(1))
	if !apart.GapSensitive {
		t.Fatal("before any pause was seen a stream of short pauses is not kept apart")
	}
	runStream(p, apart.Engine, 5000, 0, 0)
	if c := choose(t, p, start, stream(1)); !c.GapSensitive {
		t.Error("after short pauses on the engine where streams are apart they no longer are")
	}
}
