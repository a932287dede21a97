package broker

import (
	"time"

	"github.com/croftturn/croftturn/internal/wire"
	"golang.org/x/time/rate"
)

type (
	// teamLimiter tracks one team's usage against its limits.
	teamLimiter struct {
		rate  *rate.Limiter
		inUse int // inUse counts the team's requests that wait or run on engines.
	}
)

// overLimit charges one request to the team's limits, or returns the exhausted
// limit and when to retry.
func (p *Pool) overLimit(now time.Time, req wire.Acquire) (string, time.Duration) {
	team := p.teams(req.Team)
	l := p.limiter(req.Team)
	if team.InFlight > 0 && l.inUse >= team.InFlight {
		return ReasonTeamInFlight, time.Duration(float64(time.Second) / p.drainRate(now))
	}
	l.set(now, team)
	if req.WaitedMs > 0 {
		return "", 0 // It was charged when it first asked.
	}
	r := l.rate.ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return ReasonTeamRate, wait
	}
	return "", 0
}

// limiter returns the limiter of a team, creating it if needed.
func (p *Pool) limiter(team string) *teamLimiter {
	l := p.limiters[team]
	if l == nil {
		l = &teamLimiter{rate: rate.NewLimiter(rate.Inf, 1)}
		p.limiters[team] = l
	}
	return l
}

// set applies a team's configured rate and burst.
func (l *teamLimiter) set(now time.Time, team Team) {
	limit, burst := rate.Inf, 1
	if team.Rate > 0 {
		limit = rate.Limit(team.Rate)
		burst = max(team.Burst, 1)
	}
	if l.rate.Limit() != limit || l.rate.Burst() != burst {
		l.rate.SetLimitAt(now, limit)
		l.rate.SetBurstAt(now, burst)
	}
}
