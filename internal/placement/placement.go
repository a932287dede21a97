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
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Request is what placement needs to know of a request.
	Request struct {
		Pool   string
		Prompt Prompt
		Stream bool // Stream says that the caller bears only short pauses between events.
		Avoid  map[string]bool
	}

	// Choice is the engine that was chosen, and why.
	Choice struct {
		Engine Engine
		Cost   float64 // Cost is the expected time to the first token and what is weighed with it, in milliseconds.
		Wait   float64 // Wait is the expected time until the prompt is read, in milliseconds.
		Unread int     // Unread is how many tokens of the prompt the engine still has to read.
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
		hall string

		mu      sync.Mutex
		engines map[string]*engine
		pools   map[string][]*engine // pools are sorted by the order in which engines are kept for streams; nil once an engine changed.
		cache   cache
		told    map[string][]string // told holds the engines at which each peer last told of work.
		uses    []Use               // uses since the last call of TakeUses
	}
)

// New returns a placement for a node in a hall.
func New(hall string) *Placement {
	return &Placement{hall: hall, engines: map[string]*engine{}, pools: map[string][]*engine{}, told: map[string][]string{}, cache: cache{parts: map[uint64]map[string]time.Time{}}}
}

// Set adds an engine or changes it; what was learned of it is kept.
func (p *Placement) Set(e Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.engines[e.ID]
	if known == nil {
		known = &engine{peers: map[string]peerLoad{}}
		p.engines[e.ID] = known
	}
	known.Engine = e
	p.pools = nil
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
	p.pools = nil
}

// Known reports whether any engine is known.
func (p *Placement) Known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.engines) > 0
}

// pool returns the engines of a pool that take new work. The lists are rebuilt when
// they are first used after a change, since engines change many at once. The order is
// by hash, so that all nodes keep the same engines for streams.
func (p *Placement) pool(name string) []*engine {
	if p.pools == nil {
		p.sortPools()
	}
	return p.pools[name]
}

// sortPools rebuilds the lists of engines by pool.
func (p *Placement) sortPools() {
	p.pools = map[string][]*engine{}
	for _, e := range p.engines {
		if !e.Draining {
			p.pools[e.Pool] = append(p.pools[e.Pool], e)
		}
	}
	for _, list := range p.pools {
		sort.Slice(list, func(i, j int) bool { return xxhash.Sum64String(list[i].ID) < xxhash.Sum64String(list[j].ID) })
	}
}

// Choose returns the engine with the lowest cost; ok is false where the pool
// has no engine that may be used.
func (p *Placement) Choose(now time.Time, r Request) (choice Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.pool(r.Pool)
	ranks := rank(list, r.Prompt.Session())
	usual := usualPace(list)
	gather := gatherOn(now, list)
	best := math.Inf(1)
	for i, e := range list {
		if r.Avoid[e.ID] {
			continue
		}
		c := p.weigh(now, e, r, usual, max(0, i-gather), ranks[e.ID])
		if c.Cost < best {
			best, choice, ok = c.Cost, c, true
		}
	}
	return choice, ok
}
