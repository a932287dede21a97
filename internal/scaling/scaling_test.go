package scaling

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// step is the time between two looks of the holder.
const step = 250 * time.Millisecond

// limits are those of a pool with three halls, where engines that may be taken away have a price.
func limits(spot float64, boot time.Duration) Limits {
	return Limits{Min: 1, Max: 40, BootTime: boot, SpotPrice: spot, HallPrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
}

// fakePlatform is a platform that starts and takes away engines.
type fakePlatform struct {
	t           *testing.T
	s           *Scaler
	limits      Limits
	now         time.Time
	load        float64 // load is how many engines are kept busy.
	upper       float64 // upper is how many of these are by tiers above the lowest.
	want        map[engineKind]int
	have        map[engineKind]int
	starts      map[engineKind][]time.Time
	noSpotUntil time.Time // dry is until when no engine that may be taken away can be had.
	orders      int
	cost        float64 // price is what was paid, in seconds of an ordinary engine.
	minServing  int     // leastOf is the least number of engines that served at once since it was reset.
}

// newFakePlatform returns a platform with some ordinary engines in each of three halls.
func newFakePlatform(t *testing.T, l Limits, each int) *fakePlatform {
	x := &fakePlatform{t: t, s: New("p"), limits: l, now: start, want: map[engineKind]int{}, have: map[engineKind]int{}, starts: map[engineKind][]time.Time{}, minServing: 1 << 30}
	for hall := range l.HallPrices {
		x.want[engineKind{hall, false}], x.have[engineKind{hall, false}] = each, each
	}
	return x
}

// seen returns what service discovery shows.
func (x *fakePlatform) seen() map[string]HallState {
	out := map[string]HallState{}
	for hall := range x.limits.HallPrices {
		out[hall] = HallState{OnDemand: x.have[engineKind{hall, false}], Spot: x.have[engineKind{hall, true}]}
	}
	return out
}

// run lets some time pass.
func (x *fakePlatform) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(step) {
		x.s.ObserveLoad(x.now, Demand{All: x.load, Upper: x.upper})
		for _, o := range x.s.Decide(x.now, x.limits, x.seen()) {
			x.apply(o)
		}
		x.advance()
	}
}

// apply takes an order.
func (x *fakePlatform) apply(o Order) {
	x.orders++
	k := engineKind{o.Hall, o.Spot}
	if o.Spot && x.now.Before(x.noSpotUntil) && o.Count > x.have[k] {
		x.s.OrderRefused(x.now, o)
		return
	}
	other := x.want[engineKind{o.Hall, !o.Spot}]
	if o.Count < 0 || o.Count+other > x.limits.Max {
		x.t.Errorf("%v: order %+v beside %d of the other kind", x.now.Sub(start), o, other)
	}
	x.want[k] = o.Count
	x.have[k] = min(x.have[k], o.Count)
	x.starts[k] = nil
	for range o.Count - x.have[k] {
		x.starts[k] = append(x.starts[k], x.now.Add(x.limits.BootTime))
	}
	x.s.OrderAccepted(x.now, o)
}

// advance starts engines and counts what they cost.
func (x *fakePlatform) advance() {
	serving := 0
	for hall, price := range x.limits.HallPrices {
		for _, spot := range []bool{false, true} {
			k := engineKind{hall, spot}
			for len(x.starts[k]) > 0 && !x.now.Before(x.starts[k][0]) {
				x.starts[k] = x.starts[k][1:]
				x.have[k]++
			}
			serving += x.have[k]
			if spot {
				price *= x.limits.SpotPrice
			}
			x.cost += price * float64(x.have[k]) * step.Seconds()
		}
	}
	x.minServing = min(x.minServing, serving)
}

// reclaim takes all engines of a hall away that may be, and none can be had for a while.
func (x *fakePlatform) reclaim(hall string, dry time.Duration) {
	x.have[engineKind{hall, true}], x.starts[engineKind{hall, true}] = 0, nil
	x.noSpotUntil = x.now.Add(dry)
}

// serving returns how many engines serve.
func (x *fakePlatform) serving() int {
	n := 0
	for _, have := range x.have {
		n += have
	}
	return n
}

// TestCheapSpotEnginesReplaceOnDemandOnes holds that where engines that may be taken away cost little, they take the place of ordinary
// ones, that never fewer serve meanwhile than the operators began with, and that it then stays so.
func TestCheapSpotEnginesReplaceOnDemandOnes(t *testing.T) {
	x := newFakePlatform(t, limits(0.15, 4*time.Second), 20)
	x.run(20 * time.Second)
	if x.minServing < 60 {
		t.Errorf("only %d engines served meanwhile, of 60 at first", x.minServing)
	}
	for hall, seen := range x.seen() {
		if seen.OnDemand > 3 || seen.OnDemand+seen.Spot != 40 {
			t.Errorf("hall %s: %+v, want 40 and few ordinary ones", hall, seen)
		}
	}
	before := x.orders
	x.load = 20
	x.run(30 * time.Second)
	if x.orders-before > 6 {
		t.Errorf("%d orders in 30 s of an even load", x.orders-before)
	}
}

// TestSpotLossInOneOrAllHalls holds what serves once all engines that may be taken away have left one hall, or all halls, and
// none can be had for ten seconds: what the load needs, after the time in which ordinary ones start.
func TestSpotLossInOneOrAllHalls(t *testing.T) {
	for _, lost := range []int{1, 3} {
		x := newFakePlatform(t, limits(0.15, 4*time.Second), 20)
		x.load = 25
		x.run(30 * time.Second)
		for _, hall := range []string{"a", "b", "c"}[:lost] {
			x.reclaim(hall, 10*time.Second)
		}
		x.run(6 * time.Second)
		if need := int(x.load / maxUtilization); x.serving() < need {
			t.Errorf("%d halls: 6 s later %d engines serve, want %d", lost, x.serving(), need)
		}
		x.run(25 * time.Second)
		for hall, seen := range x.seen() {
			if seen.OnDemand > 3 || seen.Spot < 35 {
				t.Errorf("%d halls: 30 s later hall %s has %+v", lost, hall, seen)
			}
		}
	}
}

// TestOnDemandFollowsLoadWhereSpotIsExpensive holds that where engines that may be taken away cost nearly as much, ordinary ones follow the load:
// up at once, down not before a minute, and never by more orders than changes of the load.
func TestOnDemandFollowsLoadWhereSpotIsExpensive(t *testing.T) {
	for _, boot := range []time.Duration{4 * time.Second, 9 * time.Second} {
		x := newFakePlatform(t, limits(0.9, boot), 20)
		x.load = 10
		x.run(30 * time.Second)
		x.load = 30
		x.run(boot + 2*time.Second)
		if x.serving() < 75 {
			t.Errorf("boot %v: %d engines serve a load of 30, want 75", boot, x.serving())
		}
		x.load = 10
		x.run(40 * time.Second)
		if x.serving() < 75 {
			t.Errorf("boot %v: the reserve is gone 40 s after the peak, %d engines", boot, x.serving())
		}
		x.run(60 * time.Second)
		if x.serving() > 40 {
			t.Errorf("boot %v: %d engines still serve a load of 10", boot, x.serving())
		}
		for hall, seen := range x.seen() {
			if seen.Spot > 0 {
				t.Errorf("hall %s has %d dear engines that may be taken away", hall, seen.Spot)
			}
		}
		if x.orders > 24 {
			t.Errorf("boot %v: %d orders for three changes of the load", boot, x.orders)
		}
	}
}

// TestNothingIsOrderedBeforeTheEnginesAreKnown holds that a holder which does not know the engines yet orders nothing.
func TestNothingIsOrderedBeforeTheEnginesAreKnown(t *testing.T) {
	s := New("p")
	l := limits(0.15, 4*time.Second)
	for i := range 40 {
		now := start.Add(time.Duration(i) * step)
		if got := s.Decide(now, l, map[string]HallState{"a": {}, "b": {}, "c": {}}); len(got) > 0 {
			t.Fatalf("ordered %+v with no engine known", got)
		}
	}
}

// TestOrdersOutliveTheHolder holds that a holder which knows what was ordered before does not order it again.
func TestOrdersOutliveTheHolder(t *testing.T) {
	x := newFakePlatform(t, limits(0.15, 4*time.Second), 20)
	x.load = 25
	x.run(30 * time.Second)
	next := New("p")
	for _, o := range x.s.Orders() {
		next.Restore(x.now, o)
	}
	before := fmt.Sprint(x.want)
	x.s, x.orders = next, 0
	x.run(3 * time.Second)
	if x.orders > 3 {
		t.Errorf("%d orders of a new holder: %s, then %v", x.orders, before, x.want)
	}
}

// TestAllOrdersComeInOneOrder holds that what was ordered is always told in one order, also where both kinds have as many: it is
// written to the store whenever it differs.
func TestAllOrdersComeInOneOrder(t *testing.T) {
	s := New("p")
	for _, hall := range []string{"b", "a"} {
		for _, spot := range []bool{true, false} {
			s.OrderAccepted(start, Order{Pool: "p", Hall: hall, Spot: spot, Count: 20})
		}
	}
	first := fmt.Sprint(s.Orders())
	for range 50 {
		if got := fmt.Sprint(s.Orders()); got != first {
			t.Fatalf("first %s, then %s", first, got)
		}
	}
}

// TestOtherHallsReplaceAnEvacuatedOne holds that the halls which are not evacuated get engines for the whole load at once,
// that the evacuated one keeps its own, and that where all are evacuated nothing is ordered for it.
func TestOtherHallsReplaceAnEvacuatedOne(t *testing.T) {
	s := New("p")
	halls := map[string]HallState{"a": {OnDemand: 12}, "b": {OnDemand: 12}, "c": {OnDemand: 12}}
	now := start
	decide := func() (orders []Order) {
		for end := now.Add(2 * initialStableTime); now.Before(end); now = now.Add(step) {
			s.ObserveLoad(now, Demand{All: 10})
			for _, o := range s.Decide(now, limits(1, 4*time.Second), halls) {
				s.OrderAccepted(now, o)
				orders = append(orders, o)
			}
		}
		return orders
	}
	before := decide()
	halls["b"] = HallState{OnDemand: 12, Evacuated: true}
	count := map[string]int{}
	for _, o := range decide() {
		count[o.Hall] = o.Count
	}
	want := int(math.Ceil(minReserve * 36 / 2))
	if _, ordered := count["b"]; ordered || count["a"] != want || count["c"] != want {
		t.Errorf("ordered %v after %v, want %d in a and in c each, and none changed in b", count, before, want)
	}
}

// TestOnDemandEnginesCarryTiersAboveTheLowest holds that as many ordinary engines are there as read the prompts of all tiers
// but the lowest, where all others are taken away at once, and no more of them than a small share where there is one tier.
func TestOnDemandEnginesCarryTiersAboveTheLowest(t *testing.T) {
	for _, upper := range []float64{0, 6} {
		x := newFakePlatform(t, limits(0.18, 4*time.Second), 10)
		x.load, x.upper = 20, upper
		x.run(90 * time.Second)
		staying := 0
		for hall := range x.limits.HallPrices {
			staying += x.have[engineKind{hall, false}]
		}
		if least := upper; float64(staying) < least || float64(staying) > least+6 {
			t.Errorf("%d ordinary engines, want %.0f or few more for what is above the lowest tier", staying, math.Ceil(least))
		}
	}
}
