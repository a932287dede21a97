package dispatch

import (
	"testing"
	"time"
)

// TestSlowRun guards against requests that are taken from engines that respond, and against ones that stay at engines that don't.
func TestSlowRun(t *testing.T) {
	const target, left = 600 * time.Millisecond, 1300 * time.Millisecond
	for name, test := range map[string]struct {
		slow   slowRun
		action slowAction
		after  time.Duration
	}{
		"before two targets":             {slowRun{ran: target, left: left}, waitOn, target},
		"no sign":                        {slowRun{ran: 2 * target, left: left}, runElse, 0},
		"no sign, apart":                 {slowRun{ran: 2 * target, left: left, apart: true}, runElse, 0},
		"responds, a usual run fits":     {slowRun{ran: 2 * target, left: left, usual: target, responds: true}, waitOn, target / 2},
		"responds, just fits soon":       {slowRun{ran: 2 * target, left: left, usual: left - 10, responds: true}, waitOn, 10},
		"responds, just fits":            {slowRun{ran: 2 * target, left: left, usual: left, responds: true}, runBeside, 0},
		"responds, runs not known":       {slowRun{ran: 2 * target, left: target, responds: true}, runBeside, 0},
		"responds, nothing fits":         {slowRun{ran: 2 * target, left: left, usual: 5 * left, responds: true}, giveUp, 0},
		"responds, one engine at a time": {slowRun{ran: 2 * target, left: left, usual: left, responds: true, apart: true}, waitOn, target / 2},
	} {
		test.slow.target = target
		if action, after := test.slow.next(); action != test.action || after != test.after {
			t.Errorf("%s: action %d after %v, want %d after %v", name, action, after, test.action, test.after)
		}
	}
}

// TestUsualRunTime guards against a usual time that one long run in twenty sets.
func TestUsualRunTime(t *testing.T) {
	var r runTimes
	now := time.Unix(1000, 0)
	for i := range 100 {
		took := 400 * time.Millisecond
		if i%20 == 0 {
			took = 5 * time.Second
		}
		r.add(now, "r", size{}, took)
	}
	if usual := r.usual("r"); usual < 400*time.Millisecond || usual > 500*time.Millisecond {
		t.Errorf("most runs take 400 ms, got %v", usual)
	}
	if usual := r.usual("other"); usual != 0 {
		t.Errorf("got %v of no runs", usual)
	}
}
