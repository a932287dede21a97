package dispatch

import (
	"time"

	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/recent"
)

// Places lack where callers bring more than the engines of a pool can work on: in bursts, when
// engines are lost, or all day. Then tiers are kept in order over all nodes: each node counts
// how the requests of each tier fared lately and tells its peers; a tier gives way while one
// above it lacks places, leaves it the last ones, and a higher one waits longer for places
// that a lower one took.

const (
	// shortShare is the share of the highest tier's requests that must lack places for a pool
	// to count as short of places, and shortLeast their least number over all nodes, in the
	// newest shortSpan: lower tiers then get none, so that no higher one is refused for them.
	// Over so long the users ask whether a tier got nothing while one below it was served.
	shortShare  = 0.05
	shortLeast  = 4
	shortSpan   = 5 * time.Second
	shortSlices = 10

	// yieldFrom and yieldWhole are the shares of a middle tier's requests that lack places
	// from which tiers below it get less, and nothing. Where only the highest tier counted, 145
	// of 178 requests of the second got nothing in five seconds in which requests of the third
	// began (12 places an engine, load 1.56 of three tiers); the users bear a twelfth. Where
	// the third got nothing from a twentieth on, it lost more than the second gained.
	yieldFrom  = 0.03
	yieldWhole = 0.08

	// leastOfTier is the share of a pool's newest requests from which a tier counts as one
	// that the pool serves. A pool whose routes are all of lower tiers has no higher one to
	// leave places to: where it left some, 568 of 5,677 short requests of the third tier were
	// refused in eleven seconds, with 36 places for them.
	leastOfTier = 0.02

	// shortLife is how long a peer's word that a pool is short of places counts.
	shortLife = time.Second
)

type (
	// Places tells how the requests of a tier fared lately in a pool. Peers of other releases may know fewer fields, or more.
	Places struct {
		Tier   int `cbor:"1,keyasint,omitempty"` // Tier is that of their routes.
		Asked  int `cbor:"2,keyasint,omitempty"`
		Lacked int `cbor:"3,keyasint,omitempty"` // Lacked is how many of them got no place.
		Late   int `cbor:"4,keyasint,omitempty"` // Late is how many got one too late.

		// Reading is how long engines take to read the prompts that came in the newest readingSpan, refused ones among them, in
		// microseconds of an engine.
		Reading int `cbor:"5,keyasint,omitempty"`
	}

	// tierCount counts how a tier's requests fared in the newest shortSpan.
	tierCount struct {
		asked, lacked *recent.Count
		late          *recent.Count // late counts those that got a place too late.
		reading       *recent.Count // reading is what the prompts take that came in the newest readingSpan, in microseconds.
		began         time.Time     // began is when one last got a place.
	}

	// told is what a peer told, by tier, and when.
	told struct {
		places []Places
		at     time.Time
	}
)

// newTierCount returns a count of nothing.
func newTierCount(now time.Time) tierCount {
	return tierCount{
		asked: recent.New(now, shortSpan, shortSlices), lacked: recent.New(now, shortSpan, shortSlices),
		late: recent.New(now, shortSpan, shortSlices), reading: recent.New(now, readingSpan, shortSlices),
	}
}

// lineTier returns the tier of a line that stands for one of a route.
func lineTier(tier int) int { return max(0, min(tier, lineTiers-1)) }

// arrived counts what an engine takes to read the prompt of a request of a tier that came.
func (l *line) arrived(now time.Time, tier int, reading time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tiers[lineTier(tier)].reading.AddMany(now, int(reading/time.Microsecond))
}

// count counts a request by the tier of its route, which got a place, in time or late, or
// none.
func (l *line) count(now time.Time, tier int, placed, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tiers[lineTier(tier)]
	t.asked.Add(now)
	if placed {
		t.began = now
	}
	switch {
	case !placed:
		t.lacked.Add(now)
	case !inTime:
		t.late.Add(now)
	}
}

// all returns how all tiers fared, here and at the peers. The caller holds the lock.
func (l *line) all(now time.Time) (all [lineTiers]Places) {
	for _, p := range l.places(now) {
		all[p.Tier] = p
	}
	for peer, told := range l.peers {
		if now.Sub(told.at) > shortLife {
			delete(l.peers, peer)
			continue
		}
		for _, p := range told.places {
			at := &all[lineTier(p.Tier)]
			at.Asked += p.Asked
			at.Lacked += p.Lacked
			at.Late += p.Late
			at.Reading += p.Reading
		}
	}
	return all
}

// served reports whether a tier has a part in a pool's requests.
func served(all [lineTiers]Places, tier int) bool {
	total := 0
	for _, p := range all {
		total += p.Asked
	}
	asked := all[tier].Asked
	return asked > 0 && float64(asked) >= leastOfTier*float64(total)
}

// places returns how each tier that asked here lately fared. The caller holds the lock.
func (l *line) places(now time.Time) []Places {
	var out []Places
	for tier := range l.tiers {
		t := &l.tiers[tier]
		p := Places{Tier: tier, Asked: t.asked.Sum(now), Lacked: t.lacked.Sum(now), Late: t.late.Sum(now), Reading: t.reading.Sum(now)}
		if p.Asked > 0 || p.Reading > 0 {
			out = append(out, p)
		}
	}
	return out
}

// yielded reports whether a request of a lower tier got a place so lately that none of a
// tier should be refused for want of one: it waits for those places, as long as it can still
// be answered. Where 12 places an engine lacked all day, 27 of 208 short questions of the
// first five seconds were refused, while long reviews had begun in them.
func (l *line) yielded(now time.Time, tier int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lower := range l.tiers[lineTier(tier)+1:] {
		if !lower.began.IsZero() && now.Sub(lower.began) <= shortSpan {
			return true
		}
	}
	return false
}

// standing returns whether the pool serves no tier above a route's, and the share of the
// tier's requests that should get nothing, since tiers above it lack places, over all nodes:
// all where the highest does, and else the more the more it is; or since the engines can't read more. What is known of the
// engines is that of the choice made for the request.
func (l *line) standing(now time.Time, tier int, known placement.Choice) (highest bool, giveWay float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.all(now)
	highest = true
	for higher, p := range all[:lineTier(tier)] {
		if !served(all, higher) {
			continue
		}
		lacked := p.lacking(known.SlotsScarce)
		share := float64(lacked) / float64(p.Asked)
		switch {
		case lacked < shortLeast:
		case highest && share > shortShare:
			return false, 1
		case !highest:
			giveWay = max(giveWay, min((share-yieldFrom)/(yieldWhole-yieldFrom), 1))
		}
		highest = false
	}
	if !highest {
		giveWay = max(giveWay, beyondReading(all, lineTier(tier), known.Usable))
	}
	return highest, giveWay
}

// lacking returns how many of a tier's requests count as ones that lacked a place: those that got none, and while places are
// scarce those that got one too late. Where many are free again, the latter keep lower tiers from engines that stand idle: after
// all engines that may be taken away had left three halls within 0.7 s, 1,100 short requests of three seconds at waits
// of 0.02 to 0.07 s.
func (p Places) lacking(scarce bool) int {
	if scarce {
		return p.Lacked + p.Late
	}
	return p.Lacked
}

// Places returns how the tiers fared here lately, by pool.
func (d *Dispatcher) Places(now time.Time) map[string][]Places {
	d.lines.mu.Lock()
	defer d.lines.mu.Unlock()
	out := map[string][]Places{}
	for name, l := range d.lines.pools {
		l.mu.Lock()
		if p := l.places(now); len(p) > 0 {
			out[name] = p
		}
		l.mu.Unlock()
	}
	return out
}

// HeardPlaces takes what a peer tells of how the tiers fare there.
func (d *Dispatcher) HeardPlaces(now time.Time, peer string, pools map[string][]Places) {
	for name, p := range pools {
		l := d.lines.of(now, name)
		l.mu.Lock()
		l.peers[peer] = told{places: p, at: now}
		l.mu.Unlock()
	}
}
