package replay_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/replay"
	"github.com/sebdah/goldie/v2"
)

// ms is a thousandth of a second.
const ms = time.Millisecond

// options are the demonstration's classes on the users' engines.
func options(engines int, margin float64) replay.Options {
	return replay.Options{
		Engines: engines, Slots: 16, Pool: broker.Options{QueueLimit: 1000, ReserveMargin: margin},
		Classes: []queue.Class{
			{Name: "confirm", Tier: 1, Target: 380 * ms, MaxWait: 2000 * ms},
			{Name: "offer", Tier: 2, Target: 2000 * ms, MaxWait: 10000 * ms, MinShare: 0.1},
			{Name: "explain", Tier: 3, Target: 5000 * ms, MaxWait: 60000 * ms, MinShare: 0.1},
		},
	}
}

// TestStatedOutcomes plays each workload and compares what happened with the
// stated outcome beside the test; nothing may be shed against the tiers.
func TestStatedOutcomes(t *testing.T) {
	slow := options(9, 2)
	slow.Slow = map[int]float64{1: 5}
	tight := options(9, 2)
	tight.Pool.QueueLimit = 100
	for name, tc := range map[string]struct {
		workload string
		opts     replay.Options
	}{
		"ebrolan-confirm-burst":         {"ebrolan-confirm-burst", options(9, 2)},
		"ebrolan-confirm-burst-tight":   {"ebrolan-confirm-burst", tight},
		"ebrolan-explain-burst":         {"ebrolan-explain-burst", options(9, 2)},
		"ebrolan-explain-burst-goodput": {"ebrolan-explain-burst", options(9, -1)},
		"ebrolan-explain-burst-slow":    {"ebrolan-explain-burst", slow},
		"majlis-subtitle-burst":         {"majlis-subtitle-burst", options(12, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			w, err := load.Read("../workloads/" + tc.workload + ".json")
			if err != nil {
				t.Fatal(err)
			}
			out := replay.Play(w.Trace(1), tc.opts)
			if n := replay.Inversions(out); n > 0 {
				t.Errorf("%d requests were shed against the tiers", n)
			}
			var text bytes.Buffer
			replay.Print(&text, out)
			goldie.New(t).Assert(t, name, text.Bytes())
		})
	}
}

// TestRefusedCallersComeBackSpread holds that callers who were refused in one
// burst and obey are spread over time: no tenth of the time sees more than a
// third of them.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	w, err := load.Read("../workloads/ebrolan-confirm-burst.json")
	if err != nil {
		t.Fatal(err)
	}
	opts := options(9, 2)
	opts.Pool.QueueLimit = 100
	var back []time.Duration
	var last time.Duration
	for _, o := range replay.Play(w.Trace(1), opts) {
		if o.Refusal != "" {
			at := o.At + o.Waited + o.Retry
			back = append(back, at)
			last = max(last, at)
		}
	}
	if len(back) < 100 {
		t.Fatalf("only %d were refused", len(back))
	}
	first := back[0]
	for _, at := range back {
		first = min(first, at)
	}
	counts := make([]int, 11)
	for _, at := range back {
		counts[int(10*(at-first)/(last-first+1))]++
	}
	t.Logf("%d refused come back from %v to %v: %v", len(back), first, last, counts)
	for _, n := range counts {
		if n > len(back)/3 {
			t.Errorf("%d of %d come back in one tenth of the time", n, len(back))
		}
	}
}
