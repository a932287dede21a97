// Package placement decides which engine takes a request. It weighs, in
// milliseconds, how long the request would wait at each engine, how much of its
// prompt the engine has cached, and how late it would make what runs there.
//
// A model engine reads prompts in pieces between the tokens of the streams that
// it runs. Long prompts one after another therefore make streams late whose
// callers bear only short pauses; such streams and long prompts are kept on
// different engines as far as the load allows.
package placement

import (
	"maps"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/scaling"
)

type (
	// Request is what placement needs to know of a request.
	Request struct {
		Pool           string
		Prompt         Prompt
		MaxGap         time.Duration // MaxGap is the longest pause between events that the caller bears; 0 if any.
		TokensPerEvent int           // TokensPerEvent is how many tokens an event of a stream of the pool holds.
		Events         int           // Events is how many events the answer is expected to have; 0 if unknown.
		Avoid          map[string]bool
		RegionBound    bool     // Bound says that it may be served in Regions alone.
		Regions        []string // Regions is described at Bound.
		LowestTier     bool     // Lowest says that its pool serves no lower tier.
		NeedSlot       bool     // NeedRoom says that an engine with a place free goes before all others.
		ExcludeLimited bool     // Unlimited says that engines which have named a limit don't count.

		gapSensitive bool // tight says that it is a stream which is kept from long prompts.
	}

	// Choice is the engine that was chosen, and why.
	Choice struct {
		Engine        Engine
		Cost          float64 // Cost is the expected time to the first token and what is weighed with it, in milliseconds.
		Wait          float64 // Wait is the expected time until the prompt is read, in milliseconds.
		PrefillTokens int     // Unread is how many tokens of the prompt the engine still has to read.
		QueuedTokens  int     // Ahead is how many tokens the engine reads until then, Unread among them.
		PrefillRate   float64 // Read is the rate at which the engine is expected to read, in tokens a millisecond.
		GapSensitive  bool    // Tight says that the request is a stream which long prompts would make late too often.
		SlotAvailable bool    // Room says that the request need not wait: the engine has a place free, or others of the pool have many.
		SlotsScarce   bool    // Scarce says that the pool, or the engine, has few places free.
		SlotsReserved bool    // Last says that the places that are free are the pool's last ones.

		Limited     bool      // Limited says that the engine has named a limit, so that the request needs a permit.
		AvailableAt time.Time // Opens is when a permit for it is expected to be free; zero or past if there is one. Where no engine was chosen, it is when one may be.

		Engines int // Engines is how many engines of the pool take new work.
		Usable  int // Free is how many of these are not held back by a limit or by rest.
	}

	// Use tells that an engine has read parts of a prompt.
	Use struct {
		_      struct{} `cbor:",toarray"`
		Engine string
		Part   uint64
	}

	// Placement knows all engines and chooses among them. Its methods may be
	// called from many goroutines.
	Placement struct {
		hall        string
		regions     map[string]string       // regions are those of halls.
		unseenNodes func(now time.Time) int // unheard returns how many nodes may have begun work of which this one has not heard.
		limits      Limits

		mu          sync.Mutex
		engines     map[string]*engine
		evacuated   map[string]bool // evacuated holds the halls whose engines get no new requests.
		pools       map[string]*pool
		changed     bool // changed says that the pools' lists of engines are out of date.
		cache       cache
		senders     senders
		ranking     ranking
		backoffs    map[string]*backoff       // rests are the rests that engines asked this node for.
		peerEngines map[string][]string       // told holds the engines at which each peer last told of work.
		uses        []Use                     // uses since the last call of TakeUses
		work        map[string]scaling.Demand // work is the reading that this node gave to the engines of a pool so far, in milliseconds.
	}
)

// Option changes a placement.
type Option func(*Placement)

// WithUnseenNodes tells a placement of how many nodes that have begun work it has not heard yet: those that
// started when this one did.
func WithUnseenNodes(nodes func(now time.Time) int) Option {
	return func(p *Placement) { p.unseenNodes = nodes }
}

// New returns a placement for a node in a hall.
func New(hall string, options ...Option) *Placement {
	p := &Placement{
		hall: hall, unseenNodes: func(time.Time) int { return 0 }, limits: noLimits{}, senders: senders{names: func(time.Time) []string { return nil }},
		engines: map[string]*engine{}, evacuated: map[string]bool{}, pools: map[string]*pool{}, peerEngines: map[string][]string{}, backoffs: map[string]*backoff{}, work: map[string]scaling.Demand{}, cache: cache{parts: map[uint64]map[string]time.Time{}},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Set adds an engine or changes it, and reports whether it has started again. What was
// learned of it is kept, but for one that has started again: that one holds and runs nothing of
// before, is not slow or failing for what it did then, and its requests are lost.
func (p *Placement) Set(e Engine) (restarted bool) {
	lost, restarted := p.set(e)
	for _, c := range lost {
		c.markLost()
	}
	return restarted
}

// set takes an engine and returns the requests that it has lost.
func (p *Placement) set(e Engine) (lost []*Call, restarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = true
	known := p.engines[e.ID]
	switch {
	case known == nil:
		p.engines[e.ID] = newEngine(e)
		return nil, false
	case known.Incarnation == e.Incarnation:
		known.Engine = e
		return nil, false
	}
	p.engines[e.ID] = newEngine(e)
	delete(p.backoffs, e.ID)
	p.cache.forget(e.ID)
	p.uses = slices.DeleteFunc(p.uses, func(u Use) bool { return u.Engine == e.ID })
	return slices.Collect(maps.Keys(known.calls)), true
}

// Drain has an engine get no new requests from now on.
func (p *Placement) Drain(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil && !e.Draining {
		e.Draining = true
		p.changed = true
	}
}

// Remove forgets an engine.
func (p *Placement) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engines[id] == nil {
		return
	}
	delete(p.engines, id)
	p.cache.forget(id)
	p.changed = true
}

// Leaving reports whether an engine has said that it leaves, or its entry is gone.
func (p *Placement) Leaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	return e == nil || e.Draining
}

// HasEngines reports whether any engine is known.
func (p *Placement) HasEngines() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.engines) > 0
}

// pool returns a pool with the engines that take new work. The lists are rebuilt when
// they are first used after a change, since engines change many at once. The order is
// by hash, so that all nodes keep the same engines for streams.
func (p *Placement) pool(name string) *pool {
	if p.changed {
		p.rebuildPools()
	}
	return p.poolState(name)
}

// poolState returns what is known of a pool, which is nothing at first.
func (p *Placement) poolState(name string) *pool {
	known := p.pools[name]
	if known == nil {
		known = &pool{gaps: gapStats{}}
		p.pools[name] = known
	}
	return known
}

// rebuildPools rebuilds the lists of engines by pool.
func (p *Placement) rebuildPools() {
	p.changed = false
	for _, known := range p.pools {
		known.engines = nil
	}
	for _, e := range p.engines {
		if !e.Draining && !p.evacuated[e.Hall] {
			known := p.poolState(e.Pool)
			known.engines = append(known.engines, e)
		}
	}
	for _, known := range p.pools {
		list := known.engines
		sort.Slice(list, func(i, j int) bool { return list[i].hash < list[j].hash })
		for i, e := range list {
			e.poolIndex = i
		}
	}
}

// Choose returns the engine with the lowest cost; ok is false where the pool
// has no engine that may be used.
func (p *Placement) Choose(now time.Time, r Request) (choice Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pool(r.Pool)
	known.refreshMedians(now)
	known.refreshOccupancy(now, p.unseenNodes(now), p.throttled)
	r.gapSensitive = known.gapSensitive(r)
	var first time.Time // first is when the first engine may be sent to that may not be now.
	best := math.Inf(1)
	for rank, e := range p.ranking.order(known.engines, r.Prompt.Session()) {
		if known.minCost(r, rank) >= best {
			break // No engine after this one costs less.
		}
		if r.Avoid[e.ID] || !p.regionAllowed(r, e) || !p.allowsCold(now, known, e) {
			continue
		}
		at, limited := p.limits.Opens(e.ID)
		if rested := p.backoffUntil(now, e.ID); rested.After(at) {
			at = rested
		}
		if now.Before(at) || limited && r.ExcludeLimited {
			if first.IsZero() || at.Before(first) {
				first = at
			}
			continue
		}
		c := p.evaluate(now, known, e, r, max(0, e.poolIndex-known.streamEngines), rank)
		c.Limited = limited
		if c.Cost < best {
			best, choice, ok = c.Cost, c, true
		}
	}
	choice.Engines, choice.Usable = len(known.engines), known.usable
	if !ok {
		choice.AvailableAt = first
	}
	return choice, ok
}
