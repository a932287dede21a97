package dispatch

import (
	"context"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// maxPermitAttempts is how many engines a request asks for a permit. After that it goes to an
	// engine that needs none.
	maxPermitAttempts = 3

	// permitWaitShare is how long a request without a target waits for a permit, as a share of the
	// time that its caller waits.
	permitWaitShare = 0.25
)

// Permits issues permits to send requests to engines with a rate limit, across all nodes.
type Permits interface {
	// Answered records the rate limit that an engine declared in the answer to a request sent at a
	// given time.
	Answered(now, sent time.Time, engine string, rate float64, limited bool)

	// Take requests a permit for one request to an engine in a hall. The permit is valid after a
	// wait of at most longest.
	Take(ctx context.Context, now time.Time, hall, engine string, longest time.Duration) limit.Permit
}

// WithPermits makes a dispatcher respect the rate limits of engines.
func WithPermits(p Permits) Option {
	return func(d *Dispatcher) { d.permits = p }
}

// pickEngine chooses an engine for the request: one that can take it now or, if there is none, the
// one whose rate limit allows it first.
func (x *exchange) pickEngine(now time.Time, request placement.Request) (placement.Choice, bool) {
	return x.d.pickEngine(now, request, x.origin.bound)
}

// pickEngine is pickEngine of a request; bound is set if it is for a stream of which the caller has events. One that has not
// begun goes anywhere if no engine can take it whose version is certain and established.
func (d *Dispatcher) pickEngine(now time.Time, request placement.Request, bound bool) (placement.Choice, bool) {
	choice, ok := d.placement.Choose(now, request)
	if ok {
		return choice, true
	}
	if limited, ok := d.placement.ChooseLimited(now, request); ok {
		return limited, true
	}
	if request.Resumable && !bound {
		request.VersionBound, request.Resumable = false, false
		if anywhere, ok := d.placement.Choose(now, request); ok {
			return anywhere, true
		}
	}
	return choice, false
}

// acquirePermit gets a permit if the chosen engine needs one, or chooses another engine if none is
// available. The limits of interactive pools are checked again afterwards.
func (x *exchange) acquirePermit(ctx context.Context, request placement.Request) *Refusal {
	if !x.choice.Limited || x.d.permits == nil {
		return nil
	}
	if refusal := x.awaitPermit(ctx, request); refusal != nil {
		return refusal
	}
	return x.recheckLimit(clock.Now(), request)
}

// awaitPermit waits for a permit, but only if all remaining engines need one.
func (x *exchange) awaitPermit(ctx context.Context, request placement.Request) *Refusal {
	for try := 1; x.choice.Limited; try++ {
		now := clock.Now()
		request.ExcludeLimited = true
		other, exempt := x.d.placement.Choose(now, request)
		if exempt && try > maxPermitAttempts {
			x.choice = other
			return nil
		}
		longest, left := time.Duration(0), x.choice.AvailableAt.Sub(now)
		if !exempt {
			longest = x.permitWaitLimit(now)
		}
		if left > longest || try > maxPermitAttempts {
			return x.refuseNoPermit(left)
		}
		if x.requestPermit(ctx, now, longest) {
			return x.recheckAfterWait(ctx)
		}
		request.ExcludeLimited = false
		now = clock.Now()
		choice, ok := x.pickEngine(now, request)
		if !ok {
			return x.refuseNoEngine(now, choice)
		}
		x.choice = choice
	}
	return nil
}

// requestPermit requests a permit for the chosen engine, waits until it is valid, and reports
// whether it was issued.
func (x *exchange) requestPermit(ctx context.Context, now time.Time, longest time.Duration) bool {
	engine := x.choice.Engine
	permit := x.d.permits.Take(ctx, now, engine.Hall, engine.ID, longest)
	x.d.log.Info("permit", "request", x.req.ID, "engine", engine.ID, "issued", permit.Issued, "wait_ms", permit.Wait.Milliseconds(), "longest_ms", longest.Milliseconds(),
		"rate", permit.Rate, "age_ms", permit.Age.Milliseconds())
	if permit.Issued {
		x.permitWait += permit.Wait
		pause.For(ctx, permit.Wait)
	}
	return permit.Issued
}

// refuseNoPermit returns the refusal of a request for which no permit is available within a given
// time.
func (x *exchange) refuseNoPermit(left time.Duration) *Refusal {
	x.capacityDelay = left
	return &Refusal{Reason: x.unlessMayHaveRun(Busy), RetryAfter: x.retryAfterAtLeast(left)}
}

// recheckAfterWait checks a request again after it has waited.
func (x *exchange) recheckAfterWait(ctx context.Context) *Refusal {
	if x.callerLeft(ctx) {
		return &Refusal{Reason: x.unlessMayHaveRun(CallerLeft)}
	}
	return x.stillAllowed(clock.Now())
}

// permitWaitLimit returns how long the request may wait for a permit: each tier half as long as the
// one above it. Permits are issued in the order of the requests for them, so lower tiers get what
// higher ones leave.
func (x *exchange) permitWaitLimit(now time.Time) time.Duration {
	longest := time.Duration(permitWaitShare * float64(x.deadline.Sub(x.arrived)))
	if x.route.Target > 0 {
		longest = x.d.queues.of(now, x.pool).waitLimit(x.tier(), x.route.Target)
	}
	longest >>= min(x.tier(), queueTiers)
	return max(0, min(longest-now.Sub(x.arrived), x.deadline.Sub(now)))
}
