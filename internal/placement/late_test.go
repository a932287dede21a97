package placement_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// runStream runs a stream at an engine in which every nth gap is a long one; none if every is 0.
func runStream(p *placement.Placement, e placement.Engine, gaps, every int, long time.Duration) {
	r := stream(1)
	call := p.Start(start, placement.Choice{Engine: e}, r)
	call.Began(start)
	now := start
	call.Received(now)
	for n := range gaps {
		gap := 60 * time.Millisecond
		if every > 0 && n%every == 0 {
			gap = long
		}
		now = now.Add(gap)
		call.Received(now)
	}
	call.End(now, placement.Answered)
}

// TestGapsDecideWhichStreamsAreSeparated checks that a stream is separated from long prompts
// if the gaps observed on engines that process them would make many such streams late. This
// depends on how often gaps are too long and on how many events the answer has.
func TestGapsDecideWhichStreamsAreSeparated(t *testing.T) {
	tests := []struct {
		name   string
		every  int
		long   time.Duration
		events int
		tight  bool
	}{
		{"short gaps", 0, 0, 20, false},
		{"gaps within the limit", 1, 240 * time.Millisecond, 20, false},
		{"long gaps", 1, 400 * time.Millisecond, 20, true},
		{"long gaps, few events", 1, 400 * time.Millisecond, 1, true},
		{"one long gap of 100", 100, 400 * time.Millisecond, 20, true},
		{"one long gap of 100, few events", 100, 400 * time.Millisecond, 1, false},
		{"one long gap of 100, unknown events", 100, 400 * time.Millisecond, 0, true},
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
				t.Errorf("separated: %v, want %v", c.GapSensitive, test.tight)
			}
		})
	}
}

// TestGapsOfSeparatedStreamsDoNotCount checks that streams stay separated although
// their gaps are short: the gaps are short because of the separation.
func TestGapsOfSeparatedStreamsDoNotCount(t *testing.T) {
	p := newPlacement(3)
	apart := choose(t, p, start, stream(1))
	if !apart.GapSensitive {
		t.Fatal("a gap-sensitive stream is not separated before any gap was observed")
	}
	runStream(p, apart.Engine, 5000, 0, 0)
	if c := choose(t, p, start, stream(1)); !c.GapSensitive {
		t.Error("short gaps on the engine of separated streams ended the separation")
	}
}
