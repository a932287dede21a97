// Package scaling decides how many engines each hall should hold, of ordinary ones and of those that the platform may
// take away. It knows no network: what is seen and asked for comes as arguments.
//
// The load that it answers: it doubles or triples within a second, while an engine starts in seconds; and all engines that
// may be taken away leave a hall, or cannot be had anywhere for a while, with a few seconds' notice. So the reserve is
// held beforehand where it is cheap, and ordinary engines, which stay, are ordered where the cheap ones are gone.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetUtilization is the share of an engine's time that prompts may take before streams beside them pause for too long, and
	// busyShort what is borne for as long as engines that may be taken away can't be had.
	targetUtilization = 0.4
	maxUtilization    = 0.7

	// reserveFactor divided by the price of an engine, against an ordinary one, is how many times the engines that the load
	// needs are held, between reserveLeast and reserveMost.
	reserveFactor = 0.45
	minReserve    = 1.3
	maxReserve    = 3.0

	// maxSpotPrice is the price from which on engines that may be taken away aren't worth their loss.
	maxSpotPrice = 0.8

	// minOnDemandShare of what the load needs are ordinary engines at all times, and no less than can read the prompts of all
	// tiers but the lowest, reading all the time: what these need for some seconds if all others leave at once.
	minOnDemandShare = 0.03

	// peakWindow is how long the highest load counts, and shortLife for how long while engines can't be had.
	peakWindow  = time.Minute
	shortWindow = 4 * time.Second

	// initialStableTime is for how long the engines that are there have to be as many, until they count as what the operators began with.
	initialStableTime = time.Second

	// refusalBackoff is how long none is ordered of a kind that could not be had, and settle how long after an order the
	// engines seen are not expected to be as many as ordered, beyond their start.
	refusalBackoff = 1500 * time.Millisecond
	settleTime     = 3 * time.Second

	// minDemand is the least load that counts as one: tests of a few requests come also where no caller does.
	minDemand = 0.5

	// demandWarmup is how long a new holder watches the load before it orders fewer ordinary engines.
	demandWarmup = 3 * time.Second

	// scaleDownInterval is the least time between two steps down of a kind in a hall.
	scaleDownInterval = 2 * time.Second
)

type (
	// Limits are what the operators set for a pool.
	Limits struct {
		Min, Max   int           // Min and Max bound the engines of a hall, of both kinds.
		BootTime   time.Duration // Boot is how long an engine takes until it serves.
		SpotPrice  float64       // Spot is the price of an engine that may be taken away, against that of an ordinary one.
		HallPrices map[string]float64
	}

	// HallState is what a hall has of a pool.
	HallState struct {
		OnDemand     int // Staying counts ordinary engines that serve and do not leave.
		Spot         int // Spot counts those that may be taken away, serve and do not leave.
		SpotDraining int // Leaving counts those that may be taken away and leave.

		Evacuated bool // Evacuated says that engines there get no new requests.
	}

	// Order asks for a number of engines of one kind in a hall.
	Order struct {
		Pool  string `json:"pool"`
		Hall  string `json:"hall"`
		Spot  bool   `json:"spot"`
		Count int    `json:"count"`
	}

	// Scaler decides for one pool. It is not safe for concurrent use.
	Scaler struct {
		pool   string
		states map[engineKind]*orderState
		peaks  peaks // peaks are of all requests.
		upper  peaks // upper are of those above the lowest tier.

		initial      int       // first is how many engines there were at first: what the operators began with.
		initialSince time.Time // firstAt is since when they were as many.
		initialKnown bool      // begun says that first holds.
		since        time.Time // since is when this node began to decide.

		firstLoadAt time.Time // loadedAt is when a load was first seen.
	}

	// Demand is reading that engines are given: how many would be busy all the time with it or, in a sum, milliseconds of one.
	Demand struct {
		All   float64 `json:"all"`   // All is of all requests.
		Upper float64 `json:"upper"` // Upper is of those for which the pool serves a lower tier, too.
	}

	// engineKind is one engineKind of engine in a hall.
	engineKind struct {
		hall string
		spot bool
	}

	// orderState is what was asked for.
	orderState struct {
		count   int
		known   bool
		at      time.Time // at is when it was ordered.
		refused time.Time // refused is when none could be had.
	}

	// peaks are the highest loads of late, each higher than those after it.
	peaks []peak

	// peak is a load at a moment.
	peak struct {
		at     time.Time
		demand float64
	}
)

// New returns a scaler of a pool.
func New(pool string) *Scaler { return &Scaler{pool: pool, states: map[engineKind]*orderState{}} }

// ObserveLoad takes the load: how many engines would be busy all the time with the prompts that come.
func (s *Scaler) ObserveLoad(now time.Time, demand Demand) {
	s.peaks.note(now, demand.All)
	s.upper.note(now, demand.Upper)
	if s.firstLoadAt.IsZero() && demand.All >= minDemand {
		s.firstLoadAt = now
	}
}

// note takes a load, and forgets those that don't count any more.
func (p *peaks) note(now time.Time, demand float64) {
	*p = slices.DeleteFunc(*p, func(old peak) bool { return now.Sub(old.at) > peakWindow || old.demand <= demand })
	*p = append(*p, peak{at: now, demand: demand})
}

// highest returns the highest load since a moment.
func (p peaks) highest(since time.Time) float64 {
	highest := 0.0
	for _, each := range p {
		if !each.at.Before(since) {
			highest = max(highest, each.demand)
		}
	}
	return highest
}

// Need returns how many engines the highest load of late needs. Until a load was seen for long enough, it is no less
// than what the operators began with.
func (s *Scaler) Need(now time.Time) int {
	need := int(math.Ceil(s.peaks.highest(now.Add(-peakWindow)) / targetUtilization))
	if s.firstLoadAt.IsZero() || now.Sub(s.firstLoadAt) < peakWindow {
		need = max(need, s.initial)
	}
	return need
}

// needPerHall returns what one of some halls has to hold of what is needed.
func needPerHall(need, halls int) int { return (need + halls - 1) / halls }

// shortTermNeed returns how many engines get through the load of the newest seconds; until there was any, it is what the
// operators began with.
func (s *Scaler) shortTermNeed(now time.Time) int {
	if s.firstLoadAt.IsZero() {
		return s.initial
	}
	return int(math.Ceil(s.peaks.highest(now.Add(-shortWindow)) / maxUtilization))
}

// learnInitial settles what the operators began with, and reports whether that is known.
func (s *Scaler) learnInitial(now time.Time, halls map[string]HallState) bool {
	n := countEngines(halls)
	if !s.initialKnown && (n != s.initial || s.initialSince.IsZero()) {
		s.initial, s.initialSince = n, now
	}
	s.initialKnown = s.initialKnown || n > 0 && now.Sub(s.initialSince) >= initialStableTime
	return s.initialKnown
}

// Decide returns the orders that are due: at most one for each kind in a hall, and none that changes nothing.
func (s *Scaler) Decide(now time.Time, limits Limits, halls map[string]HallState) []Order {
	names := hallsByPrice(limits, halls)
	if s.since.IsZero() {
		s.since = now
	}
	if !s.learnInitial(now, halls) {
		return nil
	}
	names = excludeEvacuated(names, halls)
	need := s.Need(now)
	wanted := s.targets(now, limits, names, halls, need)
	least := needPerHall(s.shortTermNeed(now), len(names))
	var orders []Order
	for _, hall := range names {
		orders = append(orders, s.decideHall(now, limits, hall, halls[hall], wanted[hall], least)...)
	}
	return orders
}

// excludeEvacuated returns the halls that are not evacuated, which hold what the load needs meanwhile; all if there are none. An
// evacuated hall keeps its engines: it is taken back without notice, and new ones take seconds to start.
func excludeEvacuated(names []string, halls map[string]HallState) []string {
	var out []string
	for _, name := range names {
		if !halls[name].Evacuated {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return names
	}
	return out
}

// decideHall returns the orders that are due in a hall, of which least engines must go on serving. What both kinds are
// ordered to be never passes the limit, so that what makes room comes first.
func (s *Scaler) decideHall(now time.Time, limits Limits, hall string, seen HallState, w target, least int) []Order {
	staying, spot := s.state(hall, false, seen.OnDemand), s.state(hall, true, seen.Spot)
	if w.onDemand < staying.count {
		w.onDemand = min(staying.count, max(w.onDemand, least-seen.Spot)) // They leave once others serve in their place.
	}
	changes := s.due(now, limits, staying, w.onDemand, seen.OnDemand) && (w.onDemand > staying.count || s.observedFor(now, demandWarmup))
	if !changes {
		w.onDemand = staying.count
	}
	room := limits.Max - w.onDemand
	w.spot = min(w.spot, room)
	var orders []Order
	if spot.count > room { // Where none can be had, only as many as there are can be asked for.
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Spot: true, Count: min(room, seen.Spot)})
	}
	if changes {
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Count: w.onDemand})
	}
	more := w.spot >= spot.count || s.observedFor(now, peakWindow)
	if spot.count <= room && more && s.due(now, limits, spot, w.spot, seen.Spot) && now.Sub(spot.refused) >= refusalBackoff {
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Spot: true, Count: w.spot})
	}
	return orders
}

// observedFor reports whether the load has been observedFor for so long.
func (s *Scaler) observedFor(now time.Time, d time.Duration) bool { return now.Sub(s.since) >= d }

// target is what a hall should hold.
type target struct{ onDemand, spot int }

// targets returns what each hall should hold.
func (s *Scaler) targets(now time.Time, limits Limits, names []string, halls map[string]HallState, need int) map[string]target {
	out := map[string]target{}
	n := len(names)
	price := 1.0
	if limits.SpotPrice < maxSpotPrice {
		price = limits.SpotPrice
	}
	total := float64(need) * min(max(reserveFactor/price, minReserve), maxReserve)
	perHall := min(max(int(math.Ceil(total/float64(n))), limits.Min), limits.Max)
	if price == 1 {
		for _, hall := range names {
			out[hall] = target{onDemand: perHall}
		}
		return out
	}
	always := max(minOnDemandShare*float64(need), s.upper.highest(now.Add(-peakWindow)))
	staying := min(int(math.Ceil(always/float64(n))), perHall)
	have := 0
	for _, hall := range names {
		t := target{onDemand: staying, spot: perHall - staying}
		if spot := s.states[engineKind{hall, true}]; halls[hall].SpotDraining > 0 || spot != nil && !spot.refused.IsZero() && now.Sub(spot.refused) < 2*refusalBackoff {
			have += t.onDemand + min(t.spot, halls[hall].Spot) // None can be had there now.
		} else {
			have += t.onDemand + t.spot
		}
		out[hall] = t
	}
	for short := s.shortTermNeed(now) - have; short > 0; {
		before := short
		for _, hall := range names {
			t := out[hall]
			if short > 0 && t.onDemand+halls[hall].Spot < limits.Max {
				t.onDemand++
				short--
				out[hall] = t
			}
		}
		if short == before {
			break
		}
	}
	return out
}

// due reports whether an order should go out.
func (s *Scaler) due(now time.Time, limits Limits, o *orderState, want, seen int) bool {
	switch {
	case want == o.count:
		return seen < want && now.Sub(o.at) > limits.BootTime+settleTime // Some were lost, or taken away.
	case want > o.count:
		return true
	case now.Sub(o.at) < scaleDownInterval:
		return false
	}
	return seen >= o.count || now.Sub(o.at) > limits.BootTime+settleTime
}

// state returns what was ordered of a state; before the first order it is what is there.
func (s *Scaler) state(hall string, spot bool, seen int) *orderState {
	k := engineKind{hall, spot}
	o := s.states[k]
	if o == nil {
		o = &orderState{}
		s.states[k] = o
	}
	if !o.known {
		o.count = seen
	}
	return o
}

// Restore takes what a holder before ordered: what there is now is not what the operators began with.
func (s *Scaler) Restore(now time.Time, order Order) {
	s.initialKnown, s.initial = true, 0
	s.OrderAccepted(now, order)
}

// OrderAccepted says that an order was taken by the platform.
func (s *Scaler) OrderAccepted(now time.Time, order Order) {
	o := s.state(order.Hall, order.Spot, 0)
	o.count, o.known, o.at, o.refused = order.Count, true, now, time.Time{}
}

// OrderRefused says that none can be had of the kind at present.
func (s *Scaler) OrderRefused(now time.Time, order Order) {
	s.state(order.Hall, order.Spot, 0).refused = now
}

// Orders returns what was ordered last of each kind, always in one order.
func (s *Scaler) Orders() []Order {
	var out []Order
	for k, o := range s.states {
		if o.known {
			out = append(out, Order{Pool: s.pool, Hall: k.hall, Spot: k.spot, Count: o.count})
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		if a.Hall != b.Hall {
			return cmp.Compare(a.Hall, b.Hall)
		}
		if b.Spot {
			return -1 // Ordinary ones come first.
		}
		return 1
	})
	return out
}

// countEngines returns how many engines there are.
func countEngines(halls map[string]HallState) int {
	n := 0
	for _, h := range halls {
		n += h.OnDemand + h.Spot
	}
	return n
}

// hallsByPrice returns the names of halls, the cheapest first.
func hallsByPrice(limits Limits, halls map[string]HallState) []string {
	names := make([]string, 0, len(halls))
	for name := range halls {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(limits.HallPrices[a], limits.HallPrices[b]), cmp.Compare(a, b))
	})
	return names
}
