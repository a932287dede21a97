package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// A machine may be suspended for seconds. Go's timers stand still meanwhile, so that a request which was at work
// would be held for as much longer, and what was decided before the absence would be done after it.

// errAway ends a request whose deadline passed while this process was away.
var errAway = errors.New("dispatch: the deadline passed while this process was away")

// present holds the requests at work, to end those in time that are at work when the process was away.
type present struct {
	returns atomic.Int64 // returns counts absences.

	mu    sync.Mutex
	walks map[*walk]context.CancelCauseFunc
}

// add adds a request; remove is called at its end.
func (p *present) add(w *walk, cancel context.CancelCauseFunc) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.walks[w] = cancel
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.walks, w)
	}
}

// Resumed says that this process was away until now. Requests at work end at their deadlines by a clock that counts the
// absence, those that are not sent yet are decided on again, and new ones wait as after a start until the node can serve.
func (d *Dispatcher) Resumed(now time.Time) {
	d.started.Store(false)
	d.present.returns.Add(1)
	d.present.mu.Lock()
	defer d.present.mu.Unlock()
	for w, cancel := range d.present.walks {
		time.AfterFunc(w.deadline.Sub(now), func() { cancel(errAway) })
	}
}
