package overload

import "time"

const (
	// growthRatio is how much a team's work, in proportion to that of all others, must exceed its usual
	// proportion before the team is bounded. Equal parts for all bounded the six largest of 24 teams in
	// each burst, although they sent no more than their usual shares.
	growthRatio = 1.5

	// usualWarmup is how long a controller observes teams before it knows their usual shares. Until then
	// no team is bounded. A team that comes later has the usual share 0.
	usualWarmup = 3 * time.Second

	// usualDecay is the time constant of the usual shares, and excessDecay that of a team that exceeds
	// its own: a burst of some seconds does not become usual.
	usualDecay  = 10 * time.Second
	excessDecay = time.Minute

	// maxUsualGap bounds the time that one observation stands for.
	maxUsualGap = time.Second
)

// usualShares learns the share of all work that each team usually brings. The zero value is empty.
type usualShares struct {
	since, at time.Time          // since is when the first work was observed, at when the last.
	shares    map[string]float64 // shares add up to about 1.
}

// observe records the recent work of the teams.
func (u *usualShares) observe(now time.Time, work map[string]float64) {
	sum := 0.0
	for _, w := range work {
		sum += w
	}
	if sum == 0 {
		return
	}
	if u.since.IsZero() {
		u.since, u.at, u.shares = now, now, map[string]float64{}
	}
	step := min(now.Sub(u.at), maxUsualGap)
	u.at = now
	for team := range work {
		if _, ok := u.shares[team]; !ok {
			u.shares[team] = 0
		}
	}
	for team, usual := range u.shares {
		share := work[team] / sum
		decay := usualDecay
		if u.exceeds(now, team, work) {
			decay = excessDecay
		}
		decay = min(decay, max(now.Sub(u.since), step)) // The first shares are plain means.
		if decay > 0 {
			usual += (share - usual) * float64(step) / float64(decay)
		} else {
			usual = share
		}
		if u.shares[team] = usual; usual < 1e-6 && share == 0 {
			delete(u.shares, team)
		}
	}
}

// known reports whether the usual shares are known.
func (u *usualShares) known(now time.Time) bool {
	return !u.since.IsZero() && now.Sub(u.since) >= usualWarmup
}

// exceeds reports whether a team brings much more than its usual share of some work, in proportion to that
// of all others.
func (u *usualShares) exceeds(now time.Time, team string, work map[string]float64) bool {
	if !u.known(now) {
		return false
	}
	sum := 0.0
	for _, w := range work {
		sum += w
	}
	usual := u.shares[team]
	return work[team]*(1-usual) > growthRatio*usual*(sum-work[team])
}
