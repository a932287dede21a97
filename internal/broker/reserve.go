package broker

import (
	"math"
	"time"
)

const (
	// useHalfLife is the time in which the record of a tier's use halves.
	useHalfLife = 10 * time.Second

	// maxReservedDivisor bounds what is kept free, as a part of a pool's slots: one in
	// maxReservedDivisor.
	maxReservedDivisor = 2
)

// tierUse is how many places a tier uses, now and on average over the time that
// it was known.
type tierUse struct {
	now    int
	sum    float64 // sum is the decayed sum behind the average, and weight its weight.
	weight float64
	at     time.Time
}

// updateAverage brings the average up to a time.
func (u *tierUse) updateAverage(now time.Time) {
	if u.at.IsZero() {
		u.at = now
	}
	if now.After(u.at) {
		keep := math.Exp2(-float64(now.Sub(u.at)) / float64(useHalfLife))
		u.sum = keep*u.sum + (1-keep)*float64(u.now)
		u.weight = keep*u.weight + (1 - keep)
		u.at = now
	}
}

// add counts places that were taken, or given back where n is below 0.
func (u *tierUse) add(now time.Time, n int) {
	u.updateAverage(now)
	u.now += n
}

// expectedDemand returns how many places the tier is likely to want besides those it
// has: up to its average and margin times the spread of a random stream.
func (u *tierUse) expectedDemand(now time.Time, margin float64) float64 {
	u.updateAverage(now)
	if u.weight == 0 {
		return 0
	}
	mean := u.sum / u.weight
	return math.Max(0, mean+margin*math.Sqrt(mean)-float64(u.now))
}

// reserved returns how many places a request of a tier must leave free for the
// tiers above it.
func (p *Pool) reserved(now time.Time, tier, slots int) float64 {
	if p.reserveMargin <= 0 {
		return 0
	}
	sum := 0.0
	for t, u := range p.tierUses {
		if t < tier {
			sum += u.expectedDemand(now, p.reserveMargin)
		}
	}
	return math.Min(sum, float64(slots/maxReservedDivisor))
}

// freeSlotsReserved reports whether all places that are free are freeSlotsReserved for tiers above a
// class.
func (p *Pool) freeSlotsReserved(now time.Time, class string, free, slots int) bool {
	reserved := p.reserved(now, p.classes[class].Tier, slots)
	return reserved > 0 && float64(free) <= reserved
}

// tierUseOf returns the use of a class's tier.
func (p *Pool) tierUseOf(class string) *tierUse {
	tier := p.classes[class].Tier
	u := p.tierUses[tier]
	if u == nil {
		u = &tierUse{}
		p.tierUses[tier] = u
	}
	return u
}
