package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

var begin = time.Unix(1000, 0)

// join joins a line and fails the test where it is refused.
func join(t *testing.T, l *line, tier, tokens int) *waiter {
	t.Helper()
	w, ok := l.join(begin, tier, tokens, time.Second)
	if !ok {
		t.Fatalf("tier %d with %d tokens is refused", tier, tokens)
	}
	return w
}

// giveWay returns the share of a tier's requests that get nothing.
func giveWay(l *line, now time.Time, tier int) float64 {
	_, share := l.standing(now, tier, placement.Choice{Engines: 1, Usable: 1, SlotsScarce: true})
	return share
}

// highest reports whether the pool serves no tier above one.
func highest(l *line, now time.Time, tier int) bool {
	is, _ := l.standing(now, tier, placement.Choice{Engines: 1, Usable: 1, SlotsScarce: true})
	return is
}

// TestLineOrder holds that the highest tier goes first, within a tier the shortest
// expected answer, and among equals the one that came first.
func TestLineOrder(t *testing.T) {
	l := newLine(begin)
	low := join(t, l, 1, 10)
	long := join(t, l, 0, 900)
	first := join(t, l, 0, 100)
	second := join(t, l, 0, 100)
	for i, want := range []*waiter{first, second, long, low} {
		if !l.first(want) {
			t.Fatalf("request %d is not the one expected", i)
		}
		l.leave(begin, want, true)
	}
}

// TestLineRefusesWhoWouldWaitTooLong holds that a request is refused at its arrival where
// those before it take longer than it may wait, judged by the places found lately.
func TestLineRefusesWhoWouldWaitTooLong(t *testing.T) {
	l := newLine(begin)
	now := begin
	for range 60 {
		w, ok := l.join(now, 0, 0, time.Second)
		if !ok {
			t.Fatal("refused at the head of the line")
		}
		now = now.Add(100 * time.Millisecond)
		l.leave(now, w, true)
	}
	for i := range 5 {
		if _, ok := l.join(now, 0, 0, 350*time.Millisecond); ok != (i < 4) {
			t.Errorf("with %d before it, at a place each 100 ms and 350 ms to wait: taken is %v", i, ok)
		}
	}
}

// TestLimitOfLowerTiers holds that no tier waits longer than one above it.
func TestLimitOfLowerTiers(t *testing.T) {
	l := newLine(begin)
	high := l.limit(0, 300*time.Millisecond)
	if low := l.limit(1, 1200*time.Millisecond); low > high {
		t.Errorf("the lower tier waits %v, the highest %v", low, high)
	}
}

// TestShortOfPlaces holds that a pool counts as short of places while more than a few of
// the highest tier's requests of the newest seconds got none, counted over all nodes.
func TestShortOfPlaces(t *testing.T) {
	l := newLine(begin)
	for i := range 100 {
		l.count(begin, 0, i >= 4, true)
	}
	if giveWay(l, begin, 1) > 0 {
		t.Error("short with four of a hundred refused")
	}
	d := &Dispatcher{}
	d.lines.pools = map[string]*line{"p": l}
	d.HeardPlaces(begin, "peer", map[string][]Places{"p": {{Asked: 20, Lacked: 10}}})
	if giveWay(l, begin, 1) < 1 {
		t.Error("not short with ten more refused at a peer")
	}
	later := begin.Add(shortLife + time.Millisecond)
	if giveWay(l, later, 1) > 0 {
		t.Error("a peer's word counts for too long")
	}
	for range 20 {
		l.count(later, 0, false, true)
	}
	if got := d.Places(later.Add(time.Second)); len(got["p"]) != 1 || got["p"][0].Lacked != 24 {
		t.Errorf("peers are told %v", got)
	}
	if giveWay(l, later.Add(4*time.Second), 1) < 1 {
		t.Error("not short four seconds after many were refused")
	}
	if giveWay(l, later.Add(6*time.Second), 1) > 0 {
		t.Error("still short six seconds after")
	}
}

// TestLowerTiersGiveWayToEachAbove holds that a tier gets nothing while any tier above it
// lacks many places, not the highest alone, less where it lacks some, and that those above are
// served.
func TestLowerTiersGiveWayToEachAbove(t *testing.T) {
	l := newLine(begin)
	for range 50 {
		l.count(begin, 0, true, true)
		l.count(begin, 1, false, true)
		l.count(begin, 2, true, true)
	}
	for tier, want := range []float64{0, 0, 1, 1} {
		if got := giveWay(l, begin, tier); got != want {
			t.Errorf("while tier 1 lacks places %.2f of tier %d get nothing, want %.2f", got, tier, want)
		}
	}
	for range 950 {
		l.count(begin, 1, true, true)
	}
	if got := giveWay(l, begin, 2); got < 0.2 || got > 0.6 {
		t.Errorf("while tier 1 lacks one place of twenty %.2f of tier 2 get nothing, want some", got)
	}
	for tier, want := range []bool{true, false, false} {
		if got := highest(l, begin, tier); got != want {
			t.Errorf("tier %d counts as the highest: %v, want %v", tier, got, want)
		}
	}
}

// TestWhatEnginesCantReadGivesWay holds that of the lowest tier that asks as much is refused as the engines can't read besides
// what is above it, that tiers between are refused only where what is above them takes all, and that it counts over all nodes.
func TestWhatEnginesCantReadGivesWay(t *testing.T) {
	const engines = 4
	most := engines * readingSpan // most is what the engines can read.
	for _, c := range []struct {
		name                   string
		high, middle, low      time.Duration
		wantMiddle, wantLowest float64
	}{
		{"all can be read", most / 4, most / 4, most / 2, 0, 0},
		{"half of the lowest", most / 4, most / 4, most, 0, 0.5},
		{"none of the lowest", most / 4, 3 * most / 4, most, 0, 1},
		{"more than all in the middle", most / 2, most, most, 0, 1},
		{"all for the highest", most, most, most, 1, 1},
		{"no lower one asks", most / 2, most, 0, 0.5, 1},
	} {
		l, peer := newLine(begin), newLine(begin)
		for tier, reading := range []time.Duration{c.high, c.middle, c.low} {
			l.arrived(begin, tier, reading/4)
			peer.arrived(begin, tier, 3*reading/4)
			l.count(begin, tier, true, true)
		}
		l.peers["peer"] = told{places: peer.places(begin), at: begin}
		_, middle := l.standing(begin, 1, placement.Choice{Engines: engines, Usable: engines})
		_, lowest := l.standing(begin, 2, placement.Choice{Engines: engines, Usable: engines})
		if math.Abs(middle-c.wantMiddle) > 0.01 || math.Abs(lowest-c.wantLowest) > 0.01 {
			t.Errorf("%s: %.2f of the middle tier and %.2f of the lowest give way, want %.2f and %.2f", c.name, middle, lowest, c.wantMiddle, c.wantLowest)
		}
	}
}

// TestPlacesThatCameLateCountWhileTheyAreScarce holds that lower tiers give way for requests of the highest that got places too late
// only while places are scarce, but for those that got none in any case.
func TestPlacesThatCameLateCountWhileTheyAreScarce(t *testing.T) {
	for _, placed := range []bool{true, false} {
		for _, scarce := range []bool{true, false} {
			l := newLine(begin)
			for range 20 {
				l.count(begin, 0, placed, false)
			}
			_, got := l.standing(begin, 1, placement.Choice{Engines: 1, Usable: 1, SlotsScarce: scarce})
			if want := scarce || !placed; (got == 1) != want {
				t.Errorf("got places: %v, scarce: %v: %.2f of a lower tier give way", placed, scarce, got)
			}
		}
	}
}
