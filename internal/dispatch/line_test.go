package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

var begin = time.Unix(1000, 0)

// enqueue adds a request to a queue and fails the test if it is refused.
func enqueue(t *testing.T, q *queue, tier, tokens int) *waiter {
	t.Helper()
	w := &waiter{tier: tier, expectedTokens: tokens}
	ok := q.enqueue(begin, w, time.Second)
	if !ok {
		t.Fatalf("tier %d with %d tokens is refused", tier, tokens)
	}
	return w
}

// shedShareOf returns the share of requests of a tier that are shed.
func shedShareOf(q *queue, now time.Time, tier int) float64 {
	_, share := q.shedShare(now, tier, placement.Choice{Engines: 1, Usable: 1, SlotsScarce: true})
	return share
}

// isTopTier reports whether the pool serves no tier above the given one.
func isTopTier(q *queue, now time.Time, tier int) bool {
	is, _ := q.shedShare(now, tier, placement.Choice{Engines: 1, Usable: 1, SlotsScarce: true})
	return is
}

// TestQueueOrder checks that the highest tier goes first, within a tier the shortest expected
// answer, and among equals the earliest arrival.
func TestQueueOrder(t *testing.T) {
	q := newQueue(begin)
	low := enqueue(t, q, 1, 10)
	long := enqueue(t, q, 0, 900)
	first := enqueue(t, q, 0, 100)
	second := enqueue(t, q, 0, 100)
	for i, want := range []*waiter{first, second, long, low} {
		if !q.isHead(want) {
			t.Fatalf("request %d is not the one expected", i)
		}
		q.remove(begin, want, true)
	}
}

// TestEnqueueRefusesLongWaits checks that a request is refused on arrival if the requests ahead of
// it take longer than it may wait, based on the recent interval between slots.
func TestEnqueueRefusesLongWaits(t *testing.T) {
	q := newQueue(begin)
	now := begin
	for range 60 {
		w := &waiter{}
		ok := q.enqueue(now, w, time.Second)
		if !ok {
			t.Fatal("refused at the head of the queue")
		}
		now = now.Add(100 * time.Millisecond)
		q.remove(now, w, true)
	}
	for i := range 5 {
		if ok := q.enqueue(now, &waiter{}, 350*time.Millisecond); ok != (i < 4) {
			t.Errorf("with %d before it, at a slot each 100 ms and 350 ms to wait: accepted is %v", i, ok)
		}
	}
}

// TestWaitLimitOfLowerTiers checks that no tier waits longer than one above it.
func TestWaitLimitOfLowerTiers(t *testing.T) {
	q := newQueue(begin)
	high := q.waitLimit(0, 300*time.Millisecond)
	if low := q.waitLimit(1, 1200*time.Millisecond); low > high {
		t.Errorf("the lower tier waits %v, the highest %v", low, high)
	}
}

// TestSlotShortage checks that a pool counts as short of slots while more than a few recent
// requests of the highest tier got none, counted over all nodes.
func TestSlotShortage(t *testing.T) {
	q := newQueue(begin)
	for i := range 100 {
		q.countOutcome(begin, 0, i >= 4, true)
	}
	if shedShareOf(q, begin, 1) > 0 {
		t.Error("short with four of a hundred refused")
	}
	d := &Dispatcher{}
	d.queues.pools = map[string]*queue{"p": q}
	d.SetPeerTierStats(begin, "peer", map[string][]TierStats{"p": {{Requests: 20, NoSlot: 10}}})
	if shedShareOf(q, begin, 1) < 1 {
		t.Error("not short with ten more refused at a peer")
	}
	later := begin.Add(peerStatsTTL + time.Millisecond)
	if shedShareOf(q, later, 1) > 0 {
		t.Error("the report of a peer counts for too long")
	}
	for range 20 {
		q.countOutcome(later, 0, false, true)
	}
	if got := d.TierStats(later.Add(time.Second)); len(got["p"]) != 1 || got["p"][0].NoSlot != 24 {
		t.Errorf("peers get %v", got)
	}
	if shedShareOf(q, later.Add(4*time.Second), 1) < 1 {
		t.Error("not short four seconds after many were refused")
	}
	if shedShareOf(q, later.Add(6*time.Second), 1) > 0 {
		t.Error("still short six seconds after")
	}
}

// TestLowerTiersAreShedForEachAbove checks that a tier is shed completely while any tier above it,
// not only the highest, is short of many slots, and partly while one is short of some, and that the
// tiers above are served.
func TestLowerTiersAreShedForEachAbove(t *testing.T) {
	q := newQueue(begin)
	for range 50 {
		q.countOutcome(begin, 0, true, true)
		q.countOutcome(begin, 1, false, true)
		q.countOutcome(begin, 2, true, true)
	}
	for tier, want := range []float64{0, 0, 1, 1} {
		if got := shedShareOf(q, begin, tier); got != want {
			t.Errorf("while tier 1 is short of slots %.2f of tier %d are shed, want %.2f", got, tier, want)
		}
	}
	for range 950 {
		q.countOutcome(begin, 1, true, true)
	}
	if got := shedShareOf(q, begin, 2); got < 0.2 || got > 0.6 {
		t.Errorf("while tier 1 is short of one slot in twenty %.2f of tier 2 are shed, want some", got)
	}
	for tier, want := range []bool{true, false, false} {
		if got := isTopTier(q, begin, tier); got != want {
			t.Errorf("tier %d counts as the highest: %v, want %v", tier, got, want)
		}
	}
}

// TestPrefillExcessIsShed checks that the lowest tier with requests is shed by the prefill demand
// that the engines cannot serve besides the tiers above it, that tiers between are shed only if
// those above them use all capacity, and that demand counts over all nodes.
func TestPrefillExcessIsShed(t *testing.T) {
	const engines = 4
	capacity := engines * prefillWindow // capacity is the prefill time that the engines have.
	for _, c := range []struct {
		name                   string
		high, middle, low      time.Duration
		wantMiddle, wantLowest float64
	}{
		{"within capacity", capacity / 4, capacity / 4, capacity / 2, 0, 0},
		{"half of the lowest", capacity / 4, capacity / 4, capacity, 0, 0.5},
		{"none of the lowest", capacity / 4, 3 * capacity / 4, capacity, 0, 1},
		{"middle exceeds capacity", capacity / 2, capacity, capacity, 0, 1},
		{"highest takes all", capacity, capacity, capacity, 1, 1},
		{"no lower tier", capacity / 2, capacity, 0, 0.5, 1},
	} {
		q, peer := newQueue(begin), newQueue(begin)
		for tier, reading := range []time.Duration{c.high, c.middle, c.low} {
			q.countPrefill(begin, tier, reading/4)
			peer.countPrefill(begin, tier, 3*reading/4)
			q.countOutcome(begin, tier, true, true)
		}
		q.peerStats["peer"] = peerReport{stats: peer.localStats(begin), at: begin}
		_, middle := q.shedShare(begin, 1, placement.Choice{Engines: engines, Usable: engines})
		_, lowest := q.shedShare(begin, 2, placement.Choice{Engines: engines, Usable: engines})
		if math.Abs(middle-c.wantMiddle) > 0.01 || math.Abs(lowest-c.wantLowest) > 0.01 {
			t.Errorf("%s: %.2f of the middle tier and %.2f of the lowest are shed, want %.2f and %.2f", c.name, middle, lowest, c.wantMiddle, c.wantLowest)
		}
	}
}

// TestLateSlotsCountWhileScarce checks that lower tiers are shed for requests of the highest tier
// that got slots too late only while slots are scarce, but always for those that got none.
func TestLateSlotsCountWhileScarce(t *testing.T) {
	for _, placed := range []bool{true, false} {
		for _, scarce := range []bool{true, false} {
			q := newQueue(begin)
			for range 20 {
				q.countOutcome(begin, 0, placed, false)
			}
			_, got := q.shedShare(begin, 1, placement.Choice{Engines: 1, Usable: 1, SlotsScarce: scarce})
			if want := scarce || !placed; (got == 1) != want {
				t.Errorf("got slots: %v, scarce: %v: %.2f of a lower tier are shed", placed, scarce, got)
			}
		}
	}
}
