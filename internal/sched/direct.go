package sched

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/engine"
)

// noEngineRetryAfter is the retry time if no engine of a pool accepts requests.
const noEngineRetryAfter = time.Second

type (
	// Loads gives access to the engines' last load reports.
	Loads interface {
		Load(engine string) engine.Load
	}

	// Views gives access to the current configuration.
	Views interface {
		View() *config.View
	}

	// Direct decides at each node alone by the power of two choices: of two random
	// engines it takes the one with less load, from the engine's report and this
	// node's requests. It never waits; a full engine refuses.
	Direct struct {
		views Views
		loads Loads

		mu       sync.Mutex
		rand     *rand.Rand
		inFlight map[string]int
	}

	// RoundRobin takes a pool's engines in rotation, at each node alone.
	RoundRobin struct {
		views Views

		mu   sync.Mutex
		next map[string]int
	}
)

// NewDirect returns a Direct scheduler with a seed for its random choices.
func NewDirect(views Views, loads Loads, seed uint64) *Direct {
	return &Direct{views: views, loads: loads, rand: rand.New(rand.NewPCG(seed, seed)), inFlight: map[string]int{}}
}

// Acquire chooses two random engines and takes the one with less load.
func (d *Direct) Acquire(_ context.Context, req Request) (Grant, error) {
	open := candidates(d.views.View(), req)
	if len(open) == 0 {
		return Grant{}, &Refusal{Reason: ReasonNoEngine, RetryAfter: noEngineRetryAfter, Why: "no engine of the pool takes work"}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := open[d.rand.IntN(len(open))]
	b := open[d.rand.IntN(len(open))]
	if d.load(b) < d.load(a) {
		a = b
	}
	d.inFlight[a.Name]++
	return Grant{Engine: a, Why: "two random choices on reported load"}, nil
}

// load returns an engine's load as a share of its slots.
func (d *Direct) load(e *config.Engine) float64 {
	l := d.loads.Load(e.Name)
	if l.Leaving {
		return 1e9
	}
	return float64(max(l.Running+l.Waiting, d.inFlight[e.Name])) / float64(e.Slots)
}

// Release removes a request from this node's count for the engine.
func (d *Direct) Release(_ Request, g Grant, _ Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight[g.Engine.Name]--; d.inFlight[g.Engine.Name] <= 0 {
		delete(d.inFlight, g.Engine.Name)
	}
}

// candidates returns a pool's engines that are not draining, without the excluded
// one if there are others.
func candidates(view *config.View, req Request) []*config.Engine {
	var out []*config.Engine
	var excluded *config.Engine
	for _, e := range view.Engines(req.Pool) {
		switch {
		case e.State == config.EngineStateDraining:
		case e.Name == req.Exclude:
			excluded = e
		default:
			out = append(out, e)
		}
	}
	if len(out) == 0 && excluded != nil {
		out = append(out, excluded)
	}
	return out
}

// NewRoundRobin returns a RoundRobin scheduler.
func NewRoundRobin(views Views) *RoundRobin { return &RoundRobin{views: views, next: map[string]int{}} }

// Acquire takes the next engine of the pool.
func (r *RoundRobin) Acquire(_ context.Context, req Request) (Grant, error) {
	open := candidates(r.views.View(), req)
	if len(open) == 0 {
		return Grant{}, &Refusal{Reason: ReasonNoEngine, RetryAfter: noEngineRetryAfter, Why: "no engine of the pool takes work"}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.next[req.Pool]
	r.next[req.Pool] = i + 1
	return Grant{Engine: open[i%len(open)], Why: "next in turn"}, nil
}

// Release does nothing.
func (r *RoundRobin) Release(Request, Grant, Result) {}
