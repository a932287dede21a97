package lateness

import (
	"testing"
	"time"
)

// TestGaugeRemembersTheWorst guards against a gauge that forgets within a window, or tells of long ago.
func TestGaugeRemembersTheWorst(t *testing.T) {
	g, begin := &Gauge{}, time.Unix(1000, 0)
	g.Beat(begin.Add(-300*time.Millisecond - BeatInterval))
	for at := begin; at.Before(begin.Add(time.Second)); at = at.Add(BeatInterval + time.Millisecond) {
		g.Beat(at)
	}
	for _, test := range []struct{ after, want time.Duration }{
		{window - 1, 300 * time.Millisecond},
		{window, 300 * time.Millisecond},
		{2*window - 1, 300 * time.Millisecond},
		{2 * window, 0},
	} {
		if got := g.Recent(begin.Add(test.after)); got != test.want {
			t.Errorf("after %v it tells %v, want %v", test.after, got, test.want)
		}
	}
}

// TestProcessIsLateForAsLongAsItShows guards against a gauge that takes a process for late which has its time again, or for
// one that keeps up while it gets little time in turns.
func TestProcessIsLateForAsLongAsItShows(t *testing.T) {
	g, now := &Gauge{}, time.Unix(1000, 0)
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(BeatInterval) {
			g.Beat(now)
		}
	}
	run(time.Second)
	if late := g.Present(now); late != 0 {
		t.Errorf("a process that keeps up is %v late", late)
	}
	for _, cycle := range []struct{ runs, rests time.Duration }{{100 * time.Millisecond, 900 * time.Millisecond}, {50 * time.Millisecond, 350 * time.Millisecond}} {
		for range 8 {
			now = now.Add(cycle.rests)
			run(cycle.runs)
			if late := g.Present(now); late < cycle.rests-BeatInterval {
				t.Errorf("a process that rests for %v at a time is %v late", cycle.rests, late)
			}
		}
	}
	for _, stood := range []time.Duration{200 * time.Millisecond, time.Second} {
		run(10 * time.Second)
		now = now.Add(stood)
		g.Beat(now)
		if late := g.Present(now); late < stood-2*BeatInterval || late > stood {
			t.Errorf("right after it stood still for %v it is %v late", stood, late)
		}
		if run(3 * stood); g.Present(now) != 0 || g.Recent(now) < stood-2*BeatInterval {
			t.Errorf("long after it stood still for %v it is %v late, and was %v late", stood, g.Present(now), g.Recent(now))
		}
	}
}

// TestSignalOfAProcessThatStoodStillMayBeOld guards against a stop that is planned from when its signal is seen.
func TestSignalOfAProcessThatStoodStillMayBeOld(t *testing.T) {
	const stood = time.Second
	for name, test := range map[string]struct {
		beats []time.Duration // beats are when the process beats after it runs again.
		seen  time.Duration   // seen is when it sees the signal after that.
		want  time.Duration
	}{
		"seen first":               {nil, 0, stood},
		"seen after a beat":        {[]time.Duration{0}, BeatInterval / 5, stood},
		"seen after two at once":   {[]time.Duration{0, BeatInterval / 10}, BeatInterval / 5, stood},
		"seen in a later beat":     {[]time.Duration{0, BeatInterval, 2 * BeatInterval}, 3 * BeatInterval, 0},
		"seen as it had run again": {[]time.Duration{0, BeatInterval / 10, BeatInterval, 2 * BeatInterval}, 5 * BeatInterval / 2, 0},
	} {
		g, now := &Gauge{}, time.Unix(1000, 0)
		for range 4 {
			g.Beat(now)
			now = now.Add(BeatInterval)
		}
		now = now.Add(stood)
		for _, at := range test.beats {
			g.Beat(now.Add(at))
		}
		if got := g.NoticeDelay(now.Add(test.seen)); got < test.want-2*BeatInterval || got > test.want+BeatInterval {
			t.Errorf("%s: it may have waited for %v, want %v", name, got, test.want)
		}
	}
}
