// Package overload decides on arrival whether an interactive pool serves a request or refuses it,
// and when a refused caller should come back. In an interactive pool every request has a short
// target, so a queue makes answers late instead of absorbing load. The decision depends on the work
// that is queued at the engine which suits a request best, not on the number of arrivals: callers who
// come back would raise the demand that made them come back. Only the shares of teams count arrivals.
package overload

import (
	"sync"
	"time"
)

const (
	// firstMargin is the share of its target that a new request of the two highest tiers must be
	// expected to begin before the target, until the margin is learned, and tierStep what each further
	// tier has more, so that lower tiers are refused first. The margin covers what other nodes have sent
	// to the same engine since their last report.
	firstMargin = 0.2
	tierStep    = 0.2

	// onTimeShare is the share of the served requests that should begin within the margin of what was
	// expected, and marginStep the step by which the margin follows, both shares of one. A higher share
	// or a larger step refuses requests that would have begun in time.
	onTimeShare = 0.8
	marginStep  = 0.003

	// leastMargin and mostMargin bound the margin, so that late answers with another cause than queued
	// work, such as lost packets, do not make a pool refuse callers while its engines idle.
	leastMargin, mostMargin = 0.1, 0.5

	// returningShare is that share for returning callers, whose target has passed: they get what new
	// callers leave.
	returningShare = 0.5

	// minAheadShare is the work, as a share of the target, that may be queued before any request. An
	// engine with less is about to idle, and a prompt that takes longer than its target would be
	// refused forever without it.
	minAheadShare = 0.1

	// boundedAheadShare is that share for requests beyond the share of their team, which get what would
	// idle otherwise. With minAheadShare they took as much as requests of other teams whose own prefill
	// leaves them no longer queue.
	boundedAheadShare = 0.02

	// maxRemainingShare is the share of the time left to a caller that a request of the highest tier
	// may be expected to wait while any node admits lower tiers, that is, within lowerWindow of the last
	// one: it is not refused for work of lower tiers, which engines let in after it.
	maxRemainingShare = 0.5
	lowerWindow       = time.Second

	// returnedShare identifies a returning caller: less than this share of the timeout is left. Some
	// callers wait for only 0.8 of the timeout at first.
	returnedShare = 0.75

	// recognitionMargin is how much later than needed to be recognised a returning caller comes.
	recognitionMargin = 10 * time.Millisecond

	// contentionWindow is how long after the refusal of a new caller the shares of teams are enforced,
	// and teamWindow the period over which the work of teams is measured.
	contentionWindow = 500 * time.Millisecond
	teamWindow       = 2 * time.Second
	windowSlices     = 10
)

type (
	// Request describes a request on arrival and what placement expects for it.
	Request struct {
		Tier      int
		Team      string
		Target    time.Duration // Target is the longest time to the first event that is in time; greater than 0.
		Timeout   time.Duration // Timeout is the time that callers of the route have at first; 0 if unknown.
		Remaining time.Duration // Remaining is how much longer the caller waits.
		Overhead  time.Duration // Overhead is the fixed part of the time to the first event.
		Own       time.Duration // Own is the engine time to prefill the request's prompt.
		Engines   int           // Engines is the number of usable engines of the pool.
	}

	// Standing is what a request may claim.
	Standing struct {
		Returning bool          // Returning is set if the caller was refused before.
		Late      bool          // Late is set if the request cannot be in time at any engine.
		TeamShare float64       // TeamShare is the share of the team's requests that its fair share of the pool covers.
		Bounded   bool          // Bounded is set if that share does not cover the request; it covers new callers only.
		Limit     time.Duration // Limit is the longest expected time to the first event at which the request is served; 0 if Bounded.
		IdleAhead time.Duration // IdleAhead is the work that may be queued before the request in any case.

		// BesideLower is set if the request is of the highest tier and lower tiers are admitted.
		BesideLower bool
	}

	// Controller decides for one pool at one node. It is safe for concurrent use.
	Controller struct {
		mu        sync.Mutex
		teams     map[string]*team
		peers     map[string]peerReport
		refusedAt time.Time            // refusedAt is when a new caller was last refused at this node.
		lowerAt   time.Time            // lowerAt is when this node last admitted a request below the highest tier.
		peerLower map[string]time.Time // peerLower is when a peer last reported that it admits lower tiers.
		cluster   cluster
		usual     usualShares
		schedule  schedule
		margin    float64 // margin is the learned margin, as a share of the target.
	}
)

// New returns a controller without history.
func New() *Controller {
	return &Controller{teams: map[string]*team{}, peers: map[string]peerReport{}, peerLower: map[string]time.Time{}, margin: firstMargin}
}

// Arrive counts a request and returns what it may claim.
func (c *Controller) Arrive(now time.Time, r Request) Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(now, r.Engines)
	s := Standing{TeamShare: 1, Late: r.Overhead+r.Own > r.Target, Returning: r.Remaining < scale(returnedShare, r.Timeout)}
	if !s.Returning {
		c.team(now, r.Team).work.AddN(now, int(r.Own.Microseconds()))
	}
	if c.contended(now) {
		var covered bool
		s.TeamShare, covered = c.takeTeamShare(now, r.Team)
		s.Bounded = !covered || s.Returning && s.TeamShare < 1
	}
	s.IdleAhead = scale(minAheadShare, r.Target)
	if s.Bounded {
		s.IdleAhead = scale(boundedAheadShare, r.Target)
	}
	s.BesideLower = r.Tier <= 0 && (c.admitsLower(now) || c.cluster.admitsLower)
	if !s.Bounded {
		s.Limit = r.limit(s, c.margin)
	}
	return s
}

// limit returns the longest expected time to the first event at which a request is served.
func (r *Request) limit(s Standing, margin float64) time.Duration {
	if s.BesideLower {
		return scale(maxRemainingShare, r.Remaining)
	}
	share := 1 - margin
	if s.Returning {
		share = returningShare
	}
	return scale(share-tierStep*float64(max(0, r.Tier-1)), r.Target)
}

// contended reports whether new callers were refused recently, at this node or at others, which
// report the work of teams only then. The caller holds the lock.
func (c *Controller) contended(now time.Time) bool {
	return c.cluster.contended || !c.refusedAt.IsZero() && now.Sub(c.refusedAt) < contentionWindow
}

// Ahead returns how much work may be queued before the request at an engine, where its first event
// takes a fixed time and the time of its own prefill.
func (s Standing) Ahead(overhead, own time.Duration) time.Duration {
	return max(s.IdleAhead, s.Limit-overhead-own)
}

// Allows reports whether a request may go to an engine with some work queued before it.
func (s Standing) Allows(overhead, own, ahead time.Duration) bool {
	return ahead <= s.Ahead(overhead, own)
}

// AllowsSecond reports whether a request that Allows keeps from the engine which suits it best may go
// to the engine where it is expected to begin first. If it has more of its prompt to prefill there, it
// takes capacity from other requests, so that the engine must be about to idle.
func (s Standing) AllowsSecond(overhead, own, ahead time.Duration, more bool) bool {
	if more {
		return ahead <= s.IdleAhead
	}
	return s.Allows(overhead, own, ahead)
}

// Reason returns why a request is refused, for metrics: "team", "returning", "late" or "wait".
func (s Standing) Reason() string {
	switch {
	case s.Bounded:
		return "team"
	case s.Returning:
		return "returning"
	case s.Late:
		return "late"
	}
	return "wait"
}

// Admit records that a request is served.
func (c *Controller) Admit(now time.Time, r Request) {
	if r.Tier <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowerAt = now
}

// Began records how long the first event of a served request took, and how long it was expected to
// take. Only requests that the margin applies to count.
func (c *Controller) Began(s Standing, target, expected, took time.Duration) {
	if s.Returning || s.Late || s.Bounded || s.BesideLower || target <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	step := marginStep * (onTimeShare - 1)
	if float64(took-expected) > c.margin*float64(target) {
		step = marginStep * onTimeShare
	}
	c.margin = min(max(c.margin+step, leastMargin), mostMargin)
}

// Margin returns the learned margin, as a share of the target.
func (c *Controller) Margin() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.margin
}

// Refuse records that a request is refused and returns when its caller should come back.
func (c *Controller) Refuse(now time.Time, r Request, s Standing) (retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := r.Own
	if s.Returning {
		cost = 0 // It does not come back again.
	} else {
		c.refusedAt = now
	}
	least := r.Remaining - scale(returnedShare, r.Timeout) + recognitionMargin
	return c.schedule.promise(now, cost, least, scale(heededShare, r.Remaining), c.perSlot(r.Engines))
}

// scale returns a share of a duration.
func scale(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }
