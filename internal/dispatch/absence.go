package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/routing"
)

// A machine may be suspended for seconds. Go timers stop meanwhile, so a request in progress would
// be held that much longer, and a decision made before the suspension would be carried out after
// it.

// errSuspended ends a request whose deadline passed while this process was suspended.
var errSuspended = errors.New("dispatch: the deadline passed while this process was suspended")

// activeExchanges tracks the requests in progress, so that those that span a suspension of the
// process still end at their deadlines.
type activeExchanges struct {
	resumes atomic.Int64 // resumes counts the suspensions that this process has returned from.

	mu      sync.Mutex
	cancels map[*exchange]context.CancelCauseFunc
	ended   error // ended is the cause with which all requests end; nil while they may go on.
}

// add registers a request. The returned function removes it and is called when the request ends.
func (a *activeExchanges) add(x *exchange, cancel context.CancelCauseFunc) (remove func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels[x] = cancel
	if a.ended != nil {
		cancel(a.ended)
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.cancels, x)
	}
}

// end ends all requests in progress, and each one that is added later. Those that were never sent end first, so that none is
// sent with the slot of another that ends.
func (a *activeExchanges) end(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = cause
	for _, sent := range []bool{false, true} {
		for x, cancel := range a.cancels {
			if x.everSent.Load() == sent {
				cancel(cause)
			}
		}
	}
}

// endUnsent ends the requests in progress that were never sent.
func (a *activeExchanges) endUnsent(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for x, cancel := range a.cancels {
		if !x.everSent.Load() {
			cancel(cause)
		}
	}
}

// endWrites ends what is written to callers. Whether one has left is asked before: a write that fails closes its connection.
func (a *activeExchanges) endWrites() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for x := range a.cancels {
		x.writesEnded.Store(!x.caller.Left())
		if i, ok := x.answer.(Interrupter); ok {
			i.Interrupt()
		}
	}
}

// ids returns the ids of at most so many requests in progress, the oldest first.
func (a *activeExchanges) ids(most int) []string {
	a.mu.Lock()
	list := slices.Collect(maps.Keys(a.cancels))
	a.mu.Unlock()
	slices.SortFunc(list, func(x, y *exchange) int { return x.arrived.Compare(y.arrived) })
	ids := make([]string, 0, min(len(list), most))
	for _, x := range list[:cap(ids)] {
		ids = append(ids, x.req.ID)
	}
	return ids
}

// oldest returns how long the oldest request of a route has been in progress, without the time in which its body arrived.
func (a *activeExchanges) oldest(now time.Time, route *routing.Route) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	oldest := time.Duration(0)
	for x := range a.cancels {
		if x.route.Name == route.Name {
			oldest = max(oldest, now.Sub(x.whole))
		}
	}
	return oldest
}

// Resumed is called when this process was suspended until now. Requests in progress end at their
// deadlines on a clock that includes the suspension, unsent ones are decided again, and new ones
// wait until the node can serve, as after a start.
func (d *Dispatcher) Resumed(now time.Time) {
	d.started.Store(false)
	d.exchanges.resumes.Add(1)
	d.exchanges.mu.Lock()
	defer d.exchanges.mu.Unlock()
	for x, cancel := range d.exchanges.cancels {
		time.AfterFunc(x.deadline.Sub(now), func() { cancel(errSuspended) })
	}
}
