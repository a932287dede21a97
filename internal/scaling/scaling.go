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
	// busyMost is the share of an engine's time that prompts may take before streams beside them pause for too long, and
	// busyShort what is borne for as long as engines that may be taken away can't be had.
	busyMost  = 0.4
	busyShort = 0.7

	// reserveOf divided by the price of an engine, against an ordinary one, is how many times the engines that the load
	// needs are held, between reserveLeast and reserveMost.
	reserveOf    = 0.45
	reserveLeast = 1.3
	reserveMost  = 3.0

	// cheapBelow is the price from which on engines that may be taken away aren't worth their loss.
	cheapBelow = 0.8

	// stayingShare of what the load needs are ordinary engines at all times, and no less than can read the prompts of all
	// tiers but the lowest, reading all the time: what these need for some seconds if all others leave at once.
	stayingShare = 0.03

	// peakLife is how long the highest load counts, and shortLife for how long while engines can't be had.
	peakLife  = time.Minute
	shortLife = 4 * time.Second

	// firstFor is for how long the engines that are there have to be as many, until they count as what the operators began with.
	firstFor = time.Second

	// refusedFor is how long none is ordered of a kind that could not be had, and settle how long after an order the
	// engines seen are not expected to be as many as ordered, beyond their start.
	refusedFor = 1500 * time.Millisecond
	settle     = 3 * time.Second

	// demandLeast is the least load that counts as one: tests of a few requests come also where no caller does.
	demandLeast = 0.5

	// demandKnown is how long a new holder watches the load before it orders fewer ordinary engines.
	demandKnown = 3 * time.Second

	// downEvery is the least time between two steps down of a kind in a hall.
	downEvery = 2 * time.Second
)

type (
	// Limits are what the operators set for a pool.
	Limits struct {
		Min, Max int           // Min and Max bound the engines of a hall, of both kinds.
		Boot     time.Duration // Boot is how long an engine takes until it serves.
		Spot     float64       // Spot is the price of an engine that may be taken away, against that of an ordinary one.
		Prices   map[string]float64
	}

	// Seen is what a hall has of a pool.
	Seen struct {
		Staying int // Staying counts ordinary engines that serve and do not leave.
		Spot    int // Spot counts those that may be taken away, serve and do not leave.
		Leaving int // Leaving counts those that may be taken away and leave.

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
		pool  string
		kinds map[kind]*ordered
		peaks peaks // peaks are of all requests.
		upper peaks // upper are of those above the lowest tier.

		first   int       // first is how many engines there were at first: what the operators began with.
		firstAt time.Time // firstAt is since when they were as many.
		begun   bool      // begun says that first holds.
		since   time.Time // since is when this node began to decide.

		loadedAt time.Time // loadedAt is when a load was first seen.
	}

	// Demand is reading that engines are given: how many would be busy all the time with it or, in a sum, milliseconds of one.
	Demand struct {
		All   float64 `json:"all"`   // All is of all requests.
		Upper float64 `json:"upper"` // Upper is of those for which the pool serves a lower tier, too.
	}

	// kind is one kind of engine in a hall.
	kind struct {
		hall string
		spot bool
	}

	// ordered is what was asked for.
	ordered struct {
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
func New(pool string) *Scaler { return &Scaler{pool: pool, kinds: map[kind]*ordered{}} }

// Note takes the load: how many engines would be busy all the time with the prompts that come.
func (s *Scaler) Note(now time.Time, demand Demand) {
	s.peaks.note(now, demand.All)
	s.upper.note(now, demand.Upper)
	if s.loadedAt.IsZero() && demand.All >= demandLeast {
		s.loadedAt = now
	}
}

// note takes a load, and forgets those that don't count any more.
func (p *peaks) note(now time.Time, demand float64) {
	*p = slices.DeleteFunc(*p, func(old peak) bool { return now.Sub(old.at) > peakLife || old.demand <= demand })
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
	need := int(math.Ceil(s.peaks.highest(now.Add(-peakLife)) / busyMost))
	if s.loadedAt.IsZero() || now.Sub(s.loadedAt) < peakLife {
		need = max(need, s.first)
	}
	return need
}

// needOf returns what one of some halls has to hold of what is needed.
func needOf(need, halls int) int { return (need + halls - 1) / halls }

// needShort returns how many engines get through the load of the newest seconds; until there was any, it is what the
// operators began with.
func (s *Scaler) needShort(now time.Time) int {
	if s.loadedAt.IsZero() {
		return s.first
	}
	return int(math.Ceil(s.peaks.highest(now.Add(-shortLife)) / busyShort))
}

// begin settles what the operators began with, and reports whether that is known.
func (s *Scaler) begin(now time.Time, halls map[string]Seen) bool {
	n := present(halls)
	if !s.begun && (n != s.first || s.firstAt.IsZero()) {
		s.first, s.firstAt = n, now
	}
	s.begun = s.begun || n > 0 && now.Sub(s.firstAt) >= firstFor
	return s.begun
}

// Decide returns the orders that are due: at most one for each kind in a hall, and none that changes nothing.
func (s *Scaler) Decide(now time.Time, limits Limits, halls map[string]Seen) []Order {
	names := byPrice(limits, halls)
	if s.since.IsZero() {
		s.since = now
	}
	if !s.begin(now, halls) {
		return nil
	}
	names = serving(names, halls)
	need := s.Need(now)
	wanted := s.wanted(now, limits, names, halls, need)
	least := needOf(s.needShort(now), len(names))
	var orders []Order
	for _, hall := range names {
		orders = append(orders, s.inHall(now, limits, hall, halls[hall], wanted[hall], least)...)
	}
	return orders
}

// serving returns the halls that are not evacuated, which hold what the load needs meanwhile; all if there are none. An
// evacuated hall keeps its engines: it is taken back without notice, and new ones take seconds to start.
func serving(names []string, halls map[string]Seen) []string {
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

// inHall returns the orders that are due in a hall, of which least engines must go on serving. What both kinds are
// ordered to be never passes the limit, so that what makes room comes first.
func (s *Scaler) inHall(now time.Time, limits Limits, hall string, seen Seen, w target, least int) []Order {
	staying, spot := s.kind(hall, false, seen.Staying), s.kind(hall, true, seen.Spot)
	if w.staying < staying.count {
		w.staying = min(staying.count, max(w.staying, least-seen.Spot)) // They leave once others serve in their place.
	}
	changes := s.due(now, limits, staying, w.staying, seen.Staying) && (w.staying > staying.count || s.watched(now, demandKnown))
	if !changes {
		w.staying = staying.count
	}
	room := limits.Max - w.staying
	w.spot = min(w.spot, room)
	var orders []Order
	if spot.count > room { // Where none can be had, only as many as there are can be asked for.
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Spot: true, Count: min(room, seen.Spot)})
	}
	if changes {
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Count: w.staying})
	}
	more := w.spot >= spot.count || s.watched(now, peakLife)
	if spot.count <= room && more && s.due(now, limits, spot, w.spot, seen.Spot) && now.Sub(spot.refused) >= refusedFor {
		orders = append(orders, Order{Pool: s.pool, Hall: hall, Spot: true, Count: w.spot})
	}
	return orders
}

// watched reports whether the load has been watched for so long.
func (s *Scaler) watched(now time.Time, d time.Duration) bool { return now.Sub(s.since) >= d }

// target is what a hall should hold.
type target struct{ staying, spot int }

// wanted returns what each hall should hold.
func (s *Scaler) wanted(now time.Time, limits Limits, names []string, halls map[string]Seen, need int) map[string]target {
	out := map[string]target{}
	n := len(names)
	price := 1.0
	if limits.Spot < cheapBelow {
		price = limits.Spot
	}
	total := float64(need) * min(max(reserveOf/price, reserveLeast), reserveMost)
	perHall := min(max(int(math.Ceil(total/float64(n))), limits.Min), limits.Max)
	if price == 1 {
		for _, hall := range names {
			out[hall] = target{staying: perHall}
		}
		return out
	}
	always := max(stayingShare*float64(need), s.upper.highest(now.Add(-peakLife)))
	staying := min(int(math.Ceil(always/float64(n))), perHall)
	have := 0
	for _, hall := range names {
		t := target{staying: staying, spot: perHall - staying}
		if spot := s.kinds[kind{hall, true}]; halls[hall].Leaving > 0 || spot != nil && !spot.refused.IsZero() && now.Sub(spot.refused) < 2*refusedFor {
			have += t.staying + min(t.spot, halls[hall].Spot) // None can be had there now.
		} else {
			have += t.staying + t.spot
		}
		out[hall] = t
	}
	for short := s.needShort(now) - have; short > 0; {
		before := short
		for _, hall := range names {
			t := out[hall]
			if short > 0 && t.staying+halls[hall].Spot < limits.Max {
				t.staying++
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
func (s *Scaler) due(now time.Time, limits Limits, o *ordered, want, seen int) bool {
	switch {
	case want == o.count:
		return seen < want && now.Sub(o.at) > limits.Boot+settle // Some were lost, or taken away.
	case want > o.count:
		return true
	case now.Sub(o.at) < downEvery:
		return false
	}
	return seen >= o.count || now.Sub(o.at) > limits.Boot+settle
}

// kind returns what was ordered of a kind; before the first order it is what is there.
func (s *Scaler) kind(hall string, spot bool, seen int) *ordered {
	k := kind{hall, spot}
	o := s.kinds[k]
	if o == nil {
		o = &ordered{}
		s.kinds[k] = o
	}
	if !o.known {
		o.count = seen
	}
	return o
}

// Restore takes what a holder before ordered: what there is now is not what the operators began with.
func (s *Scaler) Restore(now time.Time, order Order) {
	s.begun, s.first = true, 0
	s.Ordered(now, order)
}

// Ordered says that an order was taken by the platform.
func (s *Scaler) Ordered(now time.Time, order Order) {
	o := s.kind(order.Hall, order.Spot, 0)
	o.count, o.known, o.at, o.refused = order.Count, true, now, time.Time{}
}

// Refused says that none can be had of the kind at present.
func (s *Scaler) Refused(now time.Time, order Order) {
	s.kind(order.Hall, order.Spot, 0).refused = now
}

// All returns what was ordered last of each kind, always in one order.
func (s *Scaler) All() []Order {
	var out []Order
	for k, o := range s.kinds {
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

// present returns how many engines there are.
func present(halls map[string]Seen) int {
	n := 0
	for _, h := range halls {
		n += h.Staying + h.Spot
	}
	return n
}

// byPrice returns the names of halls, the cheapest first.
func byPrice(limits Limits, halls map[string]Seen) []string {
	names := make([]string, 0, len(halls))
	for name := range halls {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(limits.Prices[a], limits.Prices[b]), cmp.Compare(a, b))
	})
	return names
}
