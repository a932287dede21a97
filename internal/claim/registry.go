package claim

import (
	"container/list"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// minRetention is the minimum time for which a finished request is remembered.
	minRetention = 15 * time.Minute

	// maxStoredBytes limits the total size of the stored bodies.
	maxStoredBytes = 32 << 20
)

type (
	// Registry tracks the running and finished requests with keys at this node.
	Registry struct {
		retention time.Duration // retention is how long a finished request is remembered.

		mu       sync.Mutex
		runs     map[string]*Run
		finished *list.List // finished holds runs, oldest first.
		bodies   *list.List // bodies holds finished runs with stored bodies, oldest first.
		bytes    int
	}

	// Run is one request with a key.
	Run struct {
		Key, Attempt string

		done    chan struct{}
		outcome wire.Outcome
		ended   time.Time
	}
)

// NewRegistry returns an empty registry that remembers each key for at least twice
// the lifetime of a ticket.
func NewRegistry(ticketLifetime time.Duration) *Registry {
	return &Registry{retention: max(minRetention, 2*ticketLifetime), runs: map[string]*Run{}, finished: list.New(), bodies: list.New()}
}

// Begin returns the run of a key and whether the caller is the first. The first
// caller runs the request and must call Finish or Abandon.
func (r *Registry) Begin(now time.Time, key, attempt string) (*Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(now)
	if run := r.runs[key]; run != nil {
		return run, false
	}
	run := &Run{Key: key, Attempt: attempt, done: make(chan struct{})}
	r.runs[key] = run
	return run, true
}

// Finish records the outcome of a run that started on an engine, whether or not
// it completed.
func (r *Registry) Finish(now time.Time, run *Run, outcome wire.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.outcome, run.ended = outcome, now
	r.finished.PushBack(run)
	r.bodies.PushBack(run)
	r.bytes += len(outcome.Body)
	close(run.done)
	r.evict(now)
}

// Abandon passes the outcome of a run that did not start to its waiters, and removes
// the run so that a later attempt with the key may run.
func (r *Registry) Abandon(now time.Time, run *Run, outcome wire.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.outcome, run.ended = outcome, now
	delete(r.runs, run.Key)
	close(run.done)
}

// Done returns a channel that is closed when the outcome is available.
func (run *Run) Done() <-chan struct{} { return run.done }

// Outcome returns a run's outcome; it is valid once Done is closed.
func (r *Registry) Outcome(run *Run) wire.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return run.outcome
}

// Lookup returns the run of an attempt, or nil if this process does not know it.
func (r *Registry) Lookup(key, attempt string) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[key]
	if run == nil || run.Attempt != attempt {
		return nil
	}
	return run
}

// evict drops the oldest bodies over the size limit and the runs past their
// retention; the caller holds the lock. A run whose body was dropped keeps its key
// with an unknown outcome, so that it is not run again within its retention.
func (r *Registry) evict(now time.Time) {
	for r.bytes > maxStoredBytes {
		run := r.bodies.Remove(r.bodies.Front()).(*Run)
		r.bytes -= len(run.outcome.Body)
		run.outcome = wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "the answer is no longer kept"}
	}
	for e := r.finished.Front(); e != nil; e = r.finished.Front() {
		run := e.Value.(*Run)
		if now.Sub(run.ended) < r.retention {
			break
		}
		r.finished.Remove(e)
		r.dropBody(run)
		delete(r.runs, run.Key)
	}
}

// dropBody drops the body of the oldest run; if still stored, it is the oldest body.
func (r *Registry) dropBody(run *Run) {
	front := r.bodies.Front()
	if front == nil || front.Value.(*Run) != run {
		return
	}
	r.bodies.Remove(front)
	r.bytes -= len(run.outcome.Body)
}
