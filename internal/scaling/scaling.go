// Package scaling decides how many on-demand and spot engines each hall should hold. It does no
// I/O: observations and settings are passed as arguments.
//
// The load may double or triple within a second, while an engine takes seconds to start. All
// spot engines may be reclaimed from a hall, or be unavailable everywhere for a while, with a
// few seconds' notice. So the reserve is held in advance where it is cheap, and on-demand
// engines, which are not reclaimed, are ordered where spot ones are lost.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetUtilization is the share of an engine's time that prompt processing may take before
	// the gaps of concurrent streams get too long, and maxUtilization the share accepted while
	// spot engines are unavailable.
	targetUtilization = 0.4
	maxUtilization    = 0.7

	// reserveFactor, divided by the price of an engine relative to an on-demand one, is the
	// ratio of held engines to those that the load needs, between minReserve and maxReserve.
	reserveFactor = 0.45
	minReserve    = 1.3
	maxReserve    = 3.0

	// maxSpotPrice is the relative price from which spot engines are not worth the risk of their
	// loss.
	maxSpotPrice = 0.8

	// minOnDemandShare is the minimum share of needed engines that are on-demand. There are also
	// at least as many as can process the prompts of all tiers but the lowest at full
	// utilization, which those tiers need for some seconds if all spot engines leave at once.
	minOnDemandShare = 0.03

	// peakWindow is how long the highest load counts, and shortWindow how long while engines are
	// unavailable.
	peakWindow  = time.Minute
	shortWindow = 4 * time.Second

	// initialStableTime is how long the number of engines must be constant to count as the
	// operators' initial number.
	initialStableTime = time.Second

	// refusalBackoff is how long no spot engines are ordered after a refusal, and settleTime how
	// long after an order, beyond the boot time, the observed engines may be fewer than ordered.
	refusalBackoff = 1500 * time.Millisecond
	settleTime     = 3 * time.Second

	// minDemand is the lowest load that counts as load: a few test requests arrive even without
	// callers.
	minDemand = 0.5

	// demandWarmup is how long a new duty holder observes the load before it reduces on-demand
	// engines.
	demandWarmup = 3 * time.Second

	// scaleDownInterval is the minimum time between two reductions of one kind in a hall.
	scaleDownInterval = 2 * time.Second
)

type (
	// Limits holds the operators' settings for a pool.
	Limits struct {
		Min, Max   int           // Min and Max bound the engines of a hall, both kinds together.
		BootTime   time.Duration // BootTime is how long an engine takes until it serves.
		SpotPrice  float64       // SpotPrice is the price of a spot engine relative to an on-demand one.
		HallPrices map[string]float64

		Interactive bool // Interactive applies the rules for pools in which no request can wait.
	}

	// HallState is the observed state of a pool in a hall.
	HallState struct {
		OnDemand     int // OnDemand counts on-demand engines that serve and are not draining.
		Spot         int // Spot counts spot engines that serve and are not draining.
		SpotDraining int // SpotDraining counts spot engines that are draining.

		Evacuated bool // Evacuated means that engines there get no new requests.
	}

	// Order requests a number of engines of one kind in a hall.
	Order struct {
		Pool  string `json:"pool"`
		Hall  string `json:"hall"`
		Spot  bool   `json:"spot"`
		Count int    `json:"count"`

		Reason string `json:"-"` // Reason is for the log; empty if the order follows the load.
	}

	// Scaler decides for one pool. It is not safe for concurrent use.
	Scaler struct {
		pool   string
		states map[engineKind]*orderState
		peaks  peaks // load of all requests
		upper  peaks // load of requests above the lowest tier

		initial      int       // number of engines that the operators started with
		initialSince time.Time // since when that number has been constant
		initialKnown bool      // whether initial is final
		since        time.Time // when this node began to decide

		firstLoadAt time.Time // when load was first observed

		restored     bool                // whether a previous holder's orders were restored
		shortages    map[string]shortage // shortages of spot engines, by hall
		replacements *int                // on-demand engines ordered in place of spot engines; nil if the pool is not interactive
	}

	// Demand is prompt processing: the number of engines that it would keep fully busy or, as a
	// sum, engine milliseconds.
	Demand struct {
		All   float64 `json:"all"`   // All covers all requests.
		Upper float64 `json:"upper"` // Upper covers requests for which the pool also serves a lower tier.
	}

	// engineKind is one kind of engine in a hall.
	engineKind struct {
		hall string
		spot bool
	}

	// orderState is the last order of a kind.
	orderState struct {
		count   int
		known   bool
		at      time.Time // when it was ordered
		refused time.Time // when the platform last refused an order
	}

	// peaks holds recent load maxima in time order, each higher than the later ones.
	peaks []peak

	// peak is the load at a time.
	peak struct {
		at     time.Time
		demand float64
	}
)

// New returns a scaler for a pool.
func New(pool string) *Scaler {
	return &Scaler{pool: pool, states: map[engineKind]*orderState{}, shortages: map[string]shortage{}}
}

// ObserveLoad records the load: how many engines the arriving prompts would keep fully busy.
func (s *Scaler) ObserveLoad(now time.Time, demand Demand) {
	s.peaks.note(now, demand.All)
	s.upper.note(now, demand.Upper)
	if s.firstLoadAt.IsZero() && demand.All >= minDemand {
		s.firstLoadAt = now
	}
}

// note records a load and removes entries that no longer matter.
func (p *peaks) note(now time.Time, demand float64) {
	*p = slices.DeleteFunc(*p, func(old peak) bool { return now.Sub(old.at) > peakWindow || old.demand <= demand })
	*p = append(*p, peak{at: now, demand: demand})
}

// highest returns the highest load since a given time.
func (p peaks) highest(since time.Time) float64 {
	highest := 0.0
	for _, each := range p {
		if !each.at.Before(since) {
			highest = max(highest, each.demand)
		}
	}
	return highest
}

// Need returns how many engines the highest recent load needs. Until load has been observed for
// peakWindow, it is at least the operators' initial number.
func (s *Scaler) Need(now time.Time) int {
	need := int(math.Ceil(s.peaks.highest(now.Add(-peakWindow)) / targetUtilization))
	if s.firstLoadAt.IsZero() || now.Sub(s.firstLoadAt) < peakWindow {
		need = max(need, s.initial)
	}
	return need
}

// needPerHall returns the share of one hall in the needed engines, rounded up.
func needPerHall(need, halls int) int { return (need + halls - 1) / halls }

// minNeed returns how many engines can handle the highest load within a period; before any load,
// it is the operators' initial number.
func (s *Scaler) minNeed(now time.Time, period time.Duration) int {
	if s.firstLoadAt.IsZero() {
		return s.initial
	}
	return int(math.Ceil(s.peaks.highest(now.Add(-period)) / maxUtilization))
}

// learnInitial determines the operators' initial number of engines and reports whether it is
// known.
func (s *Scaler) learnInitial(now time.Time, halls map[string]HallState) bool {
	n := countEngines(halls)
	if !s.initialKnown && (n != s.initial || s.initialSince.IsZero()) {
		s.initial, s.initialSince = n, now
	}
	s.initialKnown = s.initialKnown || n > 0 && now.Sub(s.initialSince) >= initialStableTime
	return s.initialKnown
}

// Decide returns the due orders: at most one for each kind in a hall, and none that changes
// nothing.
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
	least := needPerHall(s.minNeed(now, shortWindow), len(names))
	if limits.Interactive {
		names, least = s.coverShortages(now, limits, names, halls, wanted), 0
	}
	var orders []Order
	for _, hall := range names {
		orders = append(orders, s.decideHall(now, limits, hall, halls[hall], wanted[hall], least)...)
	}
	return orders
}

// decideHall returns the due orders of a hall in which at least least engines must keep serving.
// The ordered counts of both kinds together never exceed the limit, so reductions come first.
func (s *Scaler) decideHall(now time.Time, limits Limits, hall string, seen HallState, w target, least int) []Order {
	onDemand, spot := s.state(hall, false, seen.OnDemand), s.state(hall, true, seen.Spot)
	if w.onDemand < onDemand.count {
		w.onDemand = min(onDemand.count, max(w.onDemand, least-seen.Spot)) // Reduce only once other engines serve instead.
	}
	changes := s.due(now, limits, onDemand, w.onDemand, seen.OnDemand) && (w.onDemand > onDemand.count || s.observedFor(now, demandWarmup))
	if !changes {
		w.onDemand = onDemand.count
	}
	room := max(0, limits.Max-w.onDemand)
	w.spot = min(w.spot, room)
	var orders []Order
	if spot.count > room { // If spot engines are unavailable, only as many as exist can be ordered.
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Spot: true, Count: min(room, seen.Spot), Reason: w.reason})
	}
	if changes {
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Count: w.onDemand, Reason: w.reason})
	}
	scaleSpot := w.spot >= spot.count || s.observedFor(now, peakWindow)
	if spot.count <= room && scaleSpot && s.due(now, limits, spot, w.spot, seen.Spot) && now.Sub(spot.refused) >= refusalBackoff {
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Spot: true, Count: w.spot})
	}
	return orders
}

// observedFor reports whether this node has observed the load for a duration.
func (s *Scaler) observedFor(now time.Time, d time.Duration) bool { return now.Sub(s.since) >= d }

// target is the number of engines a hall should hold, and the reason of an order for it.
type target struct {
	onDemand, spot int
	reason         string
}

// targets returns the number of engines each hall should hold.
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
	minOnDemand := max(minOnDemandShare*float64(need), s.upper.highest(now.Add(-peakWindow)))
	onDemand := min(int(math.Ceil(minOnDemand/float64(n))), perHall)
	expected := 0
	for _, hall := range names {
		t := target{onDemand: onDemand, spot: perHall - onDemand}
		if spot := s.states[engineKind{hall, true}]; halls[hall].SpotDraining > 0 || spot != nil && !spot.refused.IsZero() && now.Sub(spot.refused) < 2*refusalBackoff {
			expected += t.onDemand + min(t.spot, halls[hall].Spot) // Spot engines are currently unavailable there.
		} else {
			expected += t.onDemand + t.spot
		}
		out[hall] = t
	}
	for missing := s.minNeed(now, shortWindow) - expected; missing > 0 && !limits.Interactive; {
		before := missing
		for _, hall := range names {
			t := out[hall]
			if missing > 0 && t.onDemand+halls[hall].Spot < limits.Max {
				t.onDemand++
				missing--
				out[hall] = t
			}
		}
		if missing == before {
			break
		}
	}
	return out
}

// due reports whether an order should be sent.
func (s *Scaler) due(now time.Time, limits Limits, o *orderState, want, seen int) bool {
	switch {
	case want == o.count:
		return seen < want && now.Sub(o.at) > limits.BootTime+settleTime // Some engines failed or were reclaimed.
	case want > o.count:
		return true
	case now.Sub(o.at) < scaleDownInterval:
		return false
	}
	return seen >= o.count || now.Sub(o.at) > limits.BootTime+settleTime
}

// state returns the order state of a kind; before the first order its count is the observed
// number.
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

// Restore records an order of a previous duty holder. The current number of engines is then not
// the operators' initial one.
func (s *Scaler) Restore(now time.Time, order Order) {
	s.initialKnown, s.initial, s.restored = true, 0, true
	s.OrderAccepted(now, order)
}

// OrderAccepted records that the platform accepted an order.
func (s *Scaler) OrderAccepted(now time.Time, order Order) {
	o := s.state(order.Hall, order.Spot, 0)
	o.count, o.known, o.at, o.refused = order.Count, true, now, time.Time{}
}

// OrderRefused records that engines of the order's kind are currently unavailable.
func (s *Scaler) OrderRefused(now time.Time, order Order) {
	s.state(order.Hall, order.Spot, 0).refused = now
}

// Orders returns the last order of each kind, sorted.
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
			return -1 // On-demand engines come first.
		}
		return 1
	})
	return out
}
