package scaling

import (
	"slices"
	"time"
)

// Reasons of orders that do not follow from the load alone.
const (
	ReasonReclaim     = "spot engines reclaimed"   // The platform gave notice that it reclaims spot engines.
	ReasonUnavailable = "spot engines unavailable" // The platform refused spot engines.
)

const (
	// minReclaimedShare is the share of a hall's spot engines that drain if the hall is being
	// reclaimed. Single engines also drain at their planned end.
	minReclaimedShare = 0.1

	// minServingShare is the share of replacements that serve once a shortage is over. It is
	// below 1 since single engines may crash meanwhile.
	minServingShare = 0.9

	// keepWindow is how long the highest load keeps on-demand engines. Bursts come about every
	// 8 s, and a new engine takes 4 s to serve.
	keepWindow = 15 * time.Second

	// minSpotRoom is how many engines of a hall's maximum stay free for spot engines. Without
	// an order for them it would not be known when the platform has spot engines again.
	minSpotRoom = 1
)

const (
	spotRefused cause = iota + 1 // The platform has no spot engines.
	spotNotice                   // The platform reclaims spot engines.
	overflow                     // Another hall with a shortage is full.
)

type (
	// shortage is a period in which a hall has on-demand engines in place of spot engines.
	shortage struct {
		cause cause
		since time.Time // zero for an overflow, so that its orders are sent last
	}

	cause int
)

// Replacements returns how many on-demand engines are ordered in place of spot engines; ok is
// false if the pool is not interactive.
func (s *Scaler) Replacements() (n int, ok bool) {
	if s.replacements == nil {
		return 0, false
	}
	return *s.replacements, true
}

// coverShortages changes the wanted on-demand engines of an interactive pool where spot engines
// are reclaimed or unavailable. It returns the halls in the order in which to send their orders.
//
// It answers a peak load at which one hall after another is reclaimed with 2 to 3 s of notice, and
// the next burst before spot engines are available again. Requests cannot wait, and on-demand
// engines boot for longer than the notice, so they are ordered at the first notice, with the
// loss of one more hall in mind, and kept until the replacements serve.
func (s *Scaler) coverShortages(now time.Time, limits Limits, names []string, halls map[string]HallState, wanted map[string]target) []string {
	s.observeShortages(now, limits, names, halls, wanted)
	names = slices.Clone(names)
	slices.SortStableFunc(names, func(a, b string) int { return s.shortages[b].since.Compare(s.shortages[a].since) }) // The latest first.

	usual := 0
	for _, hall := range names {
		w, onDemand := wanted[hall], s.state(hall, false, halls[hall].OnDemand)
		usual += w.onDemand
		if s.keeps(now, hall) {
			w.onDemand = min(max(w.onDemand, onDemand.count), limits.Max)
		}
		wanted[hall] = w
	}
	s.keepServing(now, names, halls, wanted)
	s.addOnDemand(now, limits, names, halls, wanted)

	replacements := 0
	if len(s.shortages) > 0 {
		for _, hall := range names {
			replacements += wanted[hall].onDemand
		}
		replacements = max(0, replacements-usual)
	}
	s.replacements = &replacements
	return names
}

// observeShortages updates which halls have a shortage of spot engines.
func (s *Scaler) observeShortages(now time.Time, limits Limits, names []string, halls map[string]HallState, wanted map[string]target) {
	over := true // whether spot engines serve again in all halls that lacked them
	for _, hall := range names {
		seen, old := halls[hall], s.shortages[hall]
		onDemand, spot := s.state(hall, false, seen.OnDemand), s.state(hall, true, seen.Spot)
		refused := !spot.refused.IsZero() && now.Sub(spot.refused) < 2*refusalBackoff
		draining := seen.SpotDraining > 0 && float64(seen.SpotDraining) >= minReclaimedShare*float64(seen.SpotDraining+seen.Spot)
		replaced := float64(seen.Spot) >= minServingShare*float64(min(wanted[hall].spot, limits.Max-onDemand.count))
		switch {
		case old.cause != spotNotice && (draining && seen.Spot < spot.count || s.lostBefore(now, seen, spot)): // Engines that are given back drain too.
			s.shortages[hall] = shortage{spotNotice, now}
		case old.cause != spotNotice && old.cause != spotRefused && refused:
			s.shortages[hall] = shortage{spotRefused, now}
		case old.cause != overflow && !draining && !refused && replaced:
			delete(s.shortages, hall)
		}
		over = over && (s.shortages[hall].cause == overflow || s.shortages[hall].cause == 0)
	}
	if over {
		for _, hall := range names { // An evacuated hall keeps its shortage.
			delete(s.shortages, hall)
		}
	}
}

// lostBefore reports whether a hall's spot engines were reclaimed under the previous holder,
// which may not have ordered others.
func (s *Scaler) lostBefore(now time.Time, seen HallState, spot *orderState) bool {
	return s.restored && !s.observedFor(now, demandWarmup) && (seen.SpotDraining > seen.Spot || 2*seen.Spot < spot.count)
}

// keeps reports whether a hall keeps all on-demand engines. A new holder does not know the load
// of the last keepWindow.
func (s *Scaler) keeps(now time.Time, hall string) bool {
	_, short := s.shortages[hall]
	return short || s.restored && !s.observedFor(now, keepWindow)
}

// addOnDemand adds the on-demand engines that the load needs beside the spot engines that serve.
// After a notice, the spot engines of one more hall do not count.
func (s *Scaler) addOnDemand(now time.Time, limits Limits, names []string, halls map[string]HallState, wanted map[string]target) {
	if len(s.shortages) == 0 {
		return
	}
	available, largest, noticed, reason := 0, 0, false, ReasonUnavailable
	for _, hall := range names {
		available += wanted[hall].onDemand + halls[hall].Spot
		largest = max(largest, halls[hall].Spot)
		noticed = noticed || s.shortages[hall].cause == spotNotice
	}
	if noticed {
		available -= largest
		reason = ReasonReclaim
	}
	missing := s.minNeed(now, peakWindow) - available
	for _, hall := range names {
		w := wanted[hall]
		added := min(missing, s.onDemandRoom(now, limits, hall, halls[hall], w))
		if added <= 0 {
			continue
		}
		missing -= added
		w.onDemand += added
		w.reason = reason
		wanted[hall] = w
		if _, short := s.shortages[hall]; !short {
			s.shortages[hall] = shortage{cause: overflow}
		}
	}
}

// onDemandRoom returns how many more on-demand engines a hall can take beside spot engines that
// serve or boot.
func (s *Scaler) onDemandRoom(now time.Time, limits Limits, hall string, seen HallState, w target) int {
	onDemand, spot := s.state(hall, false, seen.OnDemand), s.state(hall, true, seen.Spot)
	if !onDemand.refused.IsZero() && now.Sub(onDemand.refused) < refusalBackoff {
		return 0
	}
	kept := max(seen.Spot, minSpotRoom)
	short := s.shortages[hall]
	lost := short.cause == spotNotice && !spot.at.After(short.since) // Those ordered before a notice do not come.
	if !lost && now.Sub(spot.at) <= limits.BootTime+settleTime {
		kept = max(kept, spot.count)
	}
	return limits.Max - w.onDemand - kept
}

// keepServing limits reductions of on-demand engines so that those that serve in all halls can
// handle the highest load of keepWindow.
func (s *Scaler) keepServing(now time.Time, names []string, halls map[string]HallState, wanted map[string]target) {
	spare := -s.minNeed(now, keepWindow)
	kept := map[string]int{}
	for _, hall := range names {
		seen, w := halls[hall], wanted[hall].onDemand
		spare += seen.OnDemand + seen.Spot
		kept[hall] = max(w, min(s.state(hall, false, seen.OnDemand).count, seen.OnDemand))
	}
	for before := spare + 1; spare > 0 && spare < before; { // Evenly over the halls.
		before = spare
		for _, hall := range names {
			if spare > 0 && kept[hall] > wanted[hall].onDemand {
				kept[hall]--
				spare--
			}
		}
	}
	for _, hall := range names {
		w := wanted[hall]
		w.onDemand = kept[hall]
		wanted[hall] = w
	}
}
