package claim

import (
	"container/list"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// keepLeast is how long a finished request is remembered at least.
	keepLeast = 15 * time.Minute

	// keepBytes bounds the bodies that are kept together.
	keepBytes = 32 << 20
)

type (
	// Registry knows the requests with keys that run or ran at this node.
	Registry struct {
		keep time.Duration // keep is how long a finished request is remembered.

		mu       sync.Mutex
		runs     map[string]*Run
		finished *list.List // finished holds runs, oldest first.
		bodies   *list.List // bodies holds the finished runs whose bodies are kept, oldest first.
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

// NewRegistry returns an empty registry that remembers each key for longer than
// a ticket lives.
func NewRegistry(ticketLife time.Duration) *Registry {
	return &Registry{keep: max(keepLeast, 2*ticketLife), runs: map[string]*Run{}, finished: list.New(), bodies: list.New()}
}

// Begin returns the run of a key, and whether the caller is the first and has
// to run it. The first must call Finish or Abandon.
func (r *Registry) Begin(now time.Time, key, attempt string) (*Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	if run := r.runs[key]; run != nil {
		return run, false
	}
	run := &Run{Key: key, Attempt: attempt, done: make(chan struct{})}
	r.runs[key] = run
	return run, true
}

// Finish records the outcome of a run that started on an engine, whole or not.
func (r *Registry) Finish(now time.Time, run *Run, outcome wire.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.outcome, run.ended = outcome, now
	r.finished.PushBack(run)
	r.bodies.PushBack(run)
	r.bytes += len(outcome.Body)
	close(run.done)
	r.forget(now)
}

// Abandon gives those who wait the outcome of a run that did not start, and
// forgets it, so that a later try of the key may run.
func (r *Registry) Abandon(now time.Time, run *Run, outcome wire.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.outcome, run.ended = outcome, now
	delete(r.runs, run.Key)
	close(run.done)
}

// Done is closed when the run has its outcome.
func (run *Run) Done() <-chan struct{} { return run.done }

// Outcome returns a run's outcome; it is valid once Done is closed.
func (r *Registry) Outcome(run *Run) wire.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return run.outcome
}

// Lookup returns the run of an attempt, or nil where this process does not know
// it.
func (r *Registry) Lookup(key, attempt string) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[key]
	if run == nil || run.Attempt != attempt {
		return nil
	}
	return run
}

// forget drops the bodies that are too many and the runs that are old; the
// caller holds the lock. A run without its body answers as unknown, so that it
// is never run again.
func (r *Registry) forget(now time.Time) {
	for r.bytes > keepBytes {
		run := r.bodies.Remove(r.bodies.Front()).(*Run)
		r.bytes -= len(run.outcome.Body)
		run.outcome = wire.Outcome{State: wire.OutcomeStateUnknown, Reason: "the answer is no longer kept"}
	}
	for e := r.finished.Front(); e != nil; e = r.finished.Front() {
		run := e.Value.(*Run)
		if now.Sub(run.ended) < r.keep {
			break
		}
		r.finished.Remove(e)
		r.dropBody(run)
		delete(r.runs, run.Key)
	}
}

// dropBody drops an old run's body, which is the oldest where it is still kept.
func (r *Registry) dropBody(run *Run) {
	front := r.bodies.Front()
	if front == nil || front.Value.(*Run) != run {
		return
	}
	r.bodies.Remove(front)
	r.bytes -= len(run.outcome.Body)
}
