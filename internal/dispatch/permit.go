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
	// permitTries is how many engines a request asks a permit for. After that it goes to one that needs none.
	permitTries = 3

	// permitShare is how long a request without a target waits for a permit, as a share of the time that its caller waits.
	permitShare = 0.25
)

// Permits issues permits to send requests to engines that have named a limit, over all nodes together.
type Permits interface {
	// Answered takes what an engine said of its limit in the answer to a request that was sent at a moment.
	Answered(now, sent time.Time, engine string, rate float64, limited bool)

	// Take takes a permit for one request to an engine in a hall, which may be used after a wait, the longest at most.
	Take(ctx context.Context, now time.Time, hall, engine string, longest time.Duration) limit.Permit
}

// WithPermits has a dispatcher keep to the limits of engines.
func WithPermits(p Permits) Option {
	return func(d *Dispatcher) { d.permits = p }
}

// place chooses an engine for the request: one that it may be sent to now or, where there is none, the one whose limit leaves
// room first.
func (w *walk) place(now time.Time, request placement.Request) (placement.Choice, bool) {
	choice, ok := w.d.placement.Choose(now, request)
	if ok {
		return choice, true
	}
	if limited, ok := w.d.placement.ChooseLimited(now, request); ok {
		return limited, true
	}
	return choice, false
}

// takePermit takes a permit where the chosen engine needs one, or chooses another engine where none is free. The request waits
// for a permit only where all engines that are left need one.
func (w *walk) takePermit(ctx context.Context, request placement.Request) *Refusal {
	for try := 1; w.choice.Limited && w.d.permits != nil; try++ {
		now := clock.Now()
		request.ExcludeLimited = true
		other, exempt := w.d.placement.Choose(now, request)
		if exempt && try > permitTries {
			w.choice = other
			return nil
		}
		longest, left := time.Duration(0), w.choice.AvailableAt.Sub(now)
		if !exempt {
			longest = w.bearsPermit(now)
		}
		if left > longest || try > permitTries {
			return w.withoutPermit(left)
		}
		if w.askPermit(ctx, now, longest) {
			return w.mayStillSend(ctx)
		}
		request.ExcludeLimited = false
		now = clock.Now()
		choice, ok := w.place(now, request)
		if !ok {
			return w.withoutEngine(now, choice)
		}
		w.choice = choice
	}
	return nil
}

// askPermit asks for a permit for the chosen engine, waits until it may be used, and reports whether it was issued.
func (w *walk) askPermit(ctx context.Context, now time.Time, longest time.Duration) bool {
	engine := w.choice.Engine
	permit := w.d.permits.Take(ctx, now, engine.Hall, engine.ID, longest)
	w.d.log.Info("permit", "request", w.req.ID, "engine", engine.ID, "issued", permit.Issued, "wait_ms", permit.Wait.Milliseconds(), "longest_ms", longest.Milliseconds(),
		"rate", permit.Rate, "age_ms", permit.Age.Milliseconds())
	if permit.Issued {
		w.permitWait += permit.Wait
		pause.For(ctx, permit.Wait)
	}
	return permit.Issued
}

// withoutPermit returns the refusal of a request for which no permit gets free before a time has passed.
func (w *walk) withoutPermit(left time.Duration) *Refusal {
	w.opens = left
	return &Refusal{Reason: w.orMayHaveRun(Busy), ComeBack: w.comeBackAfter(left)}
}

// mayStillSend checks a request again that has waited.
func (w *walk) mayStillSend(ctx context.Context) *Refusal {
	if w.callerLeft(ctx) {
		return &Refusal{Reason: CallerLeft}
	}
	return w.stillAllowed(clock.Now())
}

// bearsPermit returns how long the request may wait for a permit: each tier half as long as the one above it. Permits are
// issued in the order in which they are asked for, so that lower tiers get what higher ones leave.
func (w *walk) bearsPermit(now time.Time) time.Duration {
	longest := time.Duration(permitShare * float64(w.deadline.Sub(w.arrived)))
	if w.route.Target > 0 {
		longest = w.d.lines.of(now, w.pool).limit(w.tier(), w.route.Target)
	}
	longest >>= min(w.tier(), lineTiers)
	return max(0, min(longest-now.Sub(w.arrived), w.deadline.Sub(now)))
}
