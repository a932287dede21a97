package broker

import (
	"math"
	"time"
)

const (
	// useHalfLife is the half-life of a tier's average use.
	useHalfLife = 10 * time.Second

	// maxReservedDivisor bounds the reserved slots to one in maxReservedDivisor of a pool's slots.
	maxReservedDivisor = 2
)

// tierUse tracks how many slots a tier uses, now and as a decaying average over
// the time that it has been known.
type tierUse struct {
	now    int
	sum    float64 // sum and weight are decayed; sum/weight is the average.
	weight float64
	at     time.Time
}

// updateAverage advances the decaying average to a time.
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

// add counts n slots as taken, or as given back if n is negative.
func (u *tierUse) add(now time.Time, n int) {
	u.updateAverage(now)
	u.now += n
}

// expectedDemand returns how many more slots the tier is likely to need: up to its
// average plus margin standard deviations of a Poisson process.
func (u *tierUse) expectedDemand(now time.Time, margin float64) float64 {
	u.updateAverage(now)
	if u.weight == 0 {
		return 0
	}
	mean := u.sum / u.weight
	return math.Max(0, mean+margin*math.Sqrt(mean)-float64(u.now))
}

// reserved returns how many slots a request of a tier must leave free for higher tiers.
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

// freeSlotsReserved reports whether all free slots are reserved for tiers above a class.
func (p *Pool) freeSlotsReserved(now time.Time, class string, free, slots int) bool {
	reserved := p.reserved(now, p.classes[class].Tier, slots)
	return reserved > 0 && float64(free) <= reserved
}

// tierUseOf returns the usage record of a class's tier, creating it if needed.
func (p *Pool) tierUseOf(class string) *tierUse {
	tier := p.classes[class].Tier
	u := p.tierUses[tier]
	if u == nil {
		u = &tierUse{}
		p.tierUses[tier] = u
	}
	return u
}
