package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

// saying is what an engine says of itself in its answers.
type saying struct {
	limit   float64       // limit is how many requests a second it takes from all nodes; 0 if it names none.
	leaving bool          // leaving says that it leaves.
	rest    time.Duration // rest is for how long it asks a node for rest that it turns away; 0 if it runs what comes.
}

// say puts what the engine says into an answer that goes to a node, and reports whether it turns the request away.
func (e *engine) say(w http.ResponseWriter, id string) (turned bool) {
	now := time.Now()
	e.ledger.arrived(e.id, id, now)
	s := e.says.Load()
	if s == nil {
		return false
	}
	if s.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', 2, 64))
	}
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if s.rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(s.rest.Seconds(), 'f', 3, 64))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	e.ledger.said(e.id, id, *s, now)
	return s.rest > 0
}

// nameLimit lets an engine name a limit, and later a lower one.
func nameLimit(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	return w.saying(r, func(e *engine) {
		limit := 0.5 + 5*r.Float64()
		e.says.Store(&saying{limit: limit})
		pause.For(ctx, limitSettles+limitSpan)
		e.says.Store(&saying{limit: limit / 2})
		pause.For(ctx, d)
	})
}

// askForRest lets an engine turn away what comes, and ask for rest.
func askForRest(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	return w.saying(r, func(e *engine) {
		e.says.Store(&saying{rest: 700*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second)))})
		pause.For(ctx, d)
	})
}

// saying has an engine say something while no other fault has it in hand.
func (w *World) saying(r *rand.Rand, do func(e *engine)) error {
	e := w.borrow(r)
	if e == nil {
		return nil
	}
	defer w.returnEngine(e)
	e.ending.Lock()
	defer e.ending.Unlock()
	do(e)
	e.says.Store(nil)
	w.ledger.saidNoMore(e.id)
	return nil
}

// leaveUnseen lets an engine say in its answers that it leaves, while its entry says that it is ready, serve on for a while,
// and end.
func leaveUnseen(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	e, _ := w.anyEngine(r)
	if err := w.replace(e); err != nil {
		return err
	}
	e.ending.Lock() // It serves on, and does not start again.
	e.says.Store(&saying{leaving: true})
	pause.For(ctx, drainWithin+d)
	e.close()
	return w.write(row{"servers", e.id, nil})
}
