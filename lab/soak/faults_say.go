package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// engineSignals is what an engine reports about itself in response headers.
type engineSignals struct {
	limit      float64       // limit is the advertised limit in requests per second, over all nodes; 0 for none.
	leaving    bool          // leaving is set if the engine announces that it is leaving.
	retryAfter time.Duration // retryAfter is the Retry-After of rejected requests; 0 if the engine accepts requests.
}

// writeSignals sets the signal headers of a response, and reports whether the engine rejects
// the request.
func (e *engine) writeSignals(w http.ResponseWriter, id string) (rejected bool) {
	now := time.Now()
	e.ledger.recordArrival(e.id, id, now)
	s := e.signals.Load()
	if s == nil {
		return false
	}
	if s.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', 2, 64))
	}
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if s.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(s.retryAfter.Seconds(), 'f', 3, 64))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	e.ledger.recordSignals(e.id, id, *s, now)
	return s.retryAfter > 0
}

// advertiseLimit makes an engine advertise a limit, and later a lower one.
func advertiseLimit(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	return env.withSignals(r, func(e *engine) {
		limit := 0.5 + 5*r.Float64()
		e.signals.Store(&engineSignals{limit: limit})
		pause.For(ctx, limitSettleTime+limitWindow)
		e.signals.Store(&engineSignals{limit: limit / 2})
		pause.For(ctx, d)
	})
}

// sendRetryAfter makes an engine reject all requests with a Retry-After.
func sendRetryAfter(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	return env.withSignals(r, func(e *engine) {
		e.signals.Store(&engineSignals{retryAfter: 700*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second)))})
		pause.For(ctx, d)
	})
}

// withSignals reserves an engine and calls do, which sets its signals; they are cleared
// afterwards.
func (env *Environment) withSignals(r *rand.Rand, do func(e *engine)) error {
	e := env.reserveEngine(r)
	if e == nil {
		return nil
	}
	defer env.releaseEngine(e)
	e.lifecycleMu.Lock()
	defer e.lifecycleMu.Unlock()
	do(e)
	e.signals.Store(nil)
	env.ledger.recordSignalsEnd(e.id)
	return nil
}

// drainByHeader makes an engine announce in response headers that it is leaving while its
// entry stays ready; the engine keeps serving for a while, then stops.
func drainByHeader(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	e, _ := env.randomEngine(r)
	if err := env.replace(e); err != nil {
		return err
	}
	e.lifecycleMu.Lock() // Prevents restarts while it drains.
	e.signals.Store(&engineSignals{leaving: true})
	pause.For(ctx, drainWithin+d)
	e.close()
	return env.write(row{"servers", e.id, nil})
}
