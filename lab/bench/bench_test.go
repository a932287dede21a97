package bench

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/record"
)

// sending returns a request for the model pool.
func sending(class string, tier int, at int64, outcome string, firstMs float64) record.Attempt {
	return record.Attempt{Mark: class, Class: class, Tier: tier, SentMs: at, Outcome: outcome, FirstMs: firstMs, TotalMs: 10, OutputRequested: 20, OnTime: outcome == "completed"}
}

func TestPlotsAreDrawn(t *testing.T) {
	dir := t.TempDir()
	r := &Result{
		Report: &load.Report{Sent: []record.Attempt{sending("confirm", 1, 0, "completed", 5), sending("confirm", 1, 1500, "not_run", 0), sending("explain", 3, 2500, "completed", 9)}},
		Queue:  []QueueSample{{Seconds: 0.25, Tiers: map[int]int{1: 3}}, {Seconds: 0.5, Tiers: map[int]int{1: 1, 3: 7}}},
	}
	if err := Plot(dir, "run", r); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"run-attainment.svg", "run-queue.svg"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || !bytes.Contains(text, []byte("<svg")) {
			t.Errorf("%s: %d bytes, %v", name, len(text), err)
		}
	}
}

func TestInversionsAreCounted(t *testing.T) {
	refused := sending("confirm", 1, 100, "not_run", 0)
	for name, tc := range map[string]struct {
		other record.Attempt
		want  int
	}{
		"a lower tier waited and was served after": {sending("explain", 3, 50, "completed", 500), 1},
		"it was served before":                     {sending("explain", 3, 50, "completed", 20), 0},
		"it came later":                            {sending("explain", 3, 105, "completed", 500), 0},
		"it is no lower tier":                      {sending("submit", 1, 50, "completed", 500), 0},
	} {
		if got := inversions([]record.Attempt{refused, tc.other}); got != tc.want {
			t.Errorf("%s: %d inversions, want %d", name, got, tc.want)
		}
	}
}

func TestJain(t *testing.T) {
	if got := jain(map[string][2]int{"a": {5, 10}, "b": {10, 20}}); math.Abs(got-1) > 1e-9 {
		t.Errorf("equal shares give %v", got)
	}
	if got := jain(map[string][2]int{"a": {10, 10}, "b": {0, 10}}); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("one of two served gives %v", got)
	}
}

// TestBoundsFindWhatIsOut holds that each bound fails a run that is out of it.
func TestBoundsFindWhatIsOut(t *testing.T) {
	b := &Bounds{TopAttainment: 0.95, Goodput: 0.95, TopToDirect: 1, GoodputToDirect: 1, Wasted: 0.01, RoutedP50: 2, RoutedP99: 2, TokenToRequest: 0.1, ControlToBudget: 1}
	run := func(policy string, attainment, goodput float64) Result {
		return Result{Policy: policy, Fault: FaultNone, Report: &load.Report{Goodput: goodput, Classes: []load.ClassReport{{Class: "confirm", Attainment: attainment}}}}
	}
	good := []Result{run("broker", 0.9, 100), run("direct", 0.8, 90), run(PolicyOracle, 0.9, 100)}
	if errs := b.Check(good); len(errs) > 0 {
		t.Errorf("a good run: %v", errs)
	}
	bad := []Result{run("broker", 0.7, 80), run("direct", 0.8, 90), run(PolicyOracle, 0.9, 100)}
	bad[0].Wasted, bad[0].Violations = 0.2, 1
	if errs := b.Check(bad); len(errs) != 6 {
		t.Errorf("a bad run: %d faults found of 6: %v", len(errs), errs)
	}
	o := &Overhead{DirectP50: 1, RoutedP50: 3, DirectP99: 1, RoutedP99: 3, CPUToken: 2, CPURequest: 10, Bytes: 1000}
	if errs := b.CheckOverhead(o); len(errs) != 4 {
		t.Errorf("bad overhead: %d faults found of 4: %v", len(errs), errs)
	}
}
