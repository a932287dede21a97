// Package engine is a small stand-in of a model engine: chat completions with
// server-sent events, continuous batching whose step time grows with the batch,
// a bounded room for tokens, priorities, cancelling, going on with a partial
// answer, a load report that lags, draining and fenced orders.
package engine

import (
	"container/heap"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/croftturn/croftturn/lab/record"
)

type (
	// Options are an engine's sizes and times.
	Options struct {
		Name         string
		Slots        int           // Slots is the largest batch.
		KVTokens     int           // KVTokens is the room for tokens.
		QueueLimit   int           // QueueLimit is how many may wait before it refuses.
		StepBase     time.Duration // StepBase is the time of a step with an empty batch.
		StepEach     time.Duration // StepEach is what each running request adds to a step.
		PrefillToken time.Duration // PrefillToken is the time for one token of a prompt that is not cached.
		LoadLag      time.Duration // LoadLag is how old the load report is.
		ChecksFence  bool          // ChecksFence makes it refuse orders with an old fence.
	}

	// Engine serves the stand-in.
	Engine struct {
		opts Options
		log  *record.Log

		mu       sync.Mutex
		faults   Faults
		waiting  jobHeap
		running  []*job
		tokens   int
		prefixes map[string]bool
		reports  []report
		orders   []order
		fence    int
		wake     chan struct{}
		arrivals int // arrivals counts jobs, for their order at equal priorities.
	}
)

// New returns an engine; Run makes it work.
func New(opts Options, log *record.Log) *Engine {
	return &Engine{opts: opts, log: log, prefixes: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Handler returns the HTTP handler, control port included.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /orders", e.handleOrders)
	mux.HandleFunc("POST /control/faults", e.handleFaults)
	return mux
}

// Run generates tokens, step by step, until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, idle := e.step()
		if idle {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-time.After(e.opts.LoadLag/4 + time.Millisecond):
			}
			continue
		}
		time.Sleep(pause)
		e.emit()
	}
}

// step admits what fits and returns how long the step takes.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		j := e.waiting[0]
		if e.opts.KVTokens > 0 && len(e.running) > 0 && e.tokens+j.room > e.opts.KVTokens {
			break
		}
		heap.Pop(&e.waiting)
		e.running = append(e.running, j)
		e.tokens += j.room
		if !e.prefixes[j.prefix] {
			prefill += j.prompt
		}
		e.prefixes[j.prefix] = j.prefix != ""
	}
	e.noteLoad()
	if len(e.running) == 0 {
		return 0, true
	}
	slow := e.faults.Slow
	if slow <= 0 {
		slow = 1
	}
	step := e.opts.StepBase + time.Duration(len(e.running))*e.opts.StepEach + time.Duration(prefill)*e.opts.PrefillToken
	return time.Duration(slow * float64(step)), false
}

// emit gives each running request its next token, and drops those that ended.
func (e *Engine) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, j := range e.running {
		if j.ctx.Err() == nil && j.from < j.to {
			j.out <- j.from // The channel has room for all tokens.
			j.from++
		}
		if j.ctx.Err() == nil && j.from < j.to {
			kept = append(kept, j)
			continue
		}
		e.tokens -= j.room
		close(j.out)
	}
	clear(e.running[len(kept):])
	e.running = kept
}
