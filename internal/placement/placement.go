// Package placement decides which engine takes a request. It estimates, in milliseconds, how
// long the request would wait at each engine, how much of its prompt the engine has cached, and
// how much it would delay what runs there.
//
// A model engine processes prompts in chunks between the tokens of its running streams. Long
// prompts one after another therefore delay streams whose callers tolerate only short gaps, so
// such streams and long prompts are kept on different engines as far as the load allows.
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

// maxFastestRank bounds how many engines are compared by their expected wait, since no cost bounds the
// search. Among 600 engines a choice takes 85 us; with 256 compared it took 143 us.
const maxFastestRank = 128

type (
	// Request describes a request to be placed.
	Request struct {
		Pool           string
		Prompt         Prompt
		MaxGap         time.Duration // MaxGap is the longest gap between events that the caller accepts; 0 if any.
		TokensPerEvent int           // TokensPerEvent is the number of tokens per event of the pool's streams.
		Events         int           // Events is the expected number of events of the answer; 0 if unknown.
		Avoid          map[string]bool
		RegionBound    bool          // RegionBound restricts the request to Regions.
		Regions        []string      // Regions applies only if RegionBound is set.
		Resumable      bool          // Resumable means that the request is for a stream that may continue at another engine of the same version only.
		VersionBound   bool          // VersionBound restricts the request to engines with software of Version.
		Version        string        // Version applies only if VersionBound is set.
		MayLeave       bool          // MayLeave allows draining engines that are still in use if no other may take the request; in interactive pools they are used anyway.
		Reserved       []string      // Reserved are versions whose free slots are left to requests that are bound to them.
		LowestTier     bool          // LowestTier means that the pool serves no lower tier.
		NeedSlot       bool          // NeedSlot prefers any engine with a free slot to all others.
		ExcludeLimited bool          // ExcludeLimited excludes engines with a request limit.
		Fastest        bool          // Fastest chooses by the expected wait within the best class, among engines that are healthy and have a free slot.
		Interactive    bool          // Interactive means that the pool is interactive.
		TransferRate   float64       // TransferRate is how many cached tokens an engine copies from another in a millisecond; 0 for none.
		Target         time.Duration // Target is the time to the first event that the caller expects; 0 for none.
		Recoverable    bool          // Recoverable means that the request may be repeated or resumed if its engine is lost.
		Deadline       time.Time     // Deadline is when the request ends at the latest; zero if unknown.

		bound        *boundEngines // the engines that a version-bound request may go to; nil for others
		gapSensitive bool          // whether it is a stream to be separated from long prompts
		separated    bool          // whether the pool has a stream set
		intoSet      bool          // whether it is a long prompt that is expected to be late at the cheapest engine
		maxPrefill   int           // for such a prompt, most tokens to prefill outside the set
		sources      []transferSource
	}

	// Choice is the chosen engine with the figures behind the decision.
	Choice struct {
		Engine         Engine
		Cost           float64 // Cost is the expected time to first token plus the penalties, in milliseconds.
		Wait           float64 // Wait is the expected time until the prompt is processed, in milliseconds, with the transfer.
		PrefillTokens  int     // PrefillTokens is the number of prompt tokens the engine still has to process, without those copied.
		QueuedTokens   int     // QueuedTokens is the number of tokens the engine processes until then, including PrefillTokens.
		PrefillRate    float64 // PrefillRate is the expected rate, in tokens per millisecond; in interactive pools with the slowdown.
		TransferFrom   string  // TransferFrom is the address of the engine that cached parts are copied from; empty for none.
		TransferTokens int     // TransferTokens is the number of tokens copied from there.
		GapSensitive   bool    // GapSensitive means that long prompts would make this stream late too often.
		SlotAvailable  bool    // SlotAvailable means that the request need not wait: the engine has a free slot, or the rest of the pool has many.
		Full           bool    // Full means that the engine is brittle and this node may have no more requests there now.
		SlotsScarce    bool    // SlotsScarce means that the pool or the engine has few free slots.
		SlotsReserved  bool    // SlotsReserved means that the remaining free slots are reserved for the highest tier.

		Limited     bool      // Limited means that the engine has a request limit, so that the request needs a permit.
		AvailableAt time.Time // AvailableAt is when a permit is expected; zero or past if there is one. If no engine was chosen, it is when one may be available.

		Engines int // Engines is the number of engines of the pool that take new work.
		Usable  int // Usable is how many of these are neither limited nor in backoff.

		transfer transfer
		class    int     // class of the engine for the request; the lowest is chosen
		slowdown float64 // expected slowdown of the engine; 1 for none
	}

	// Use records that an engine has processed a prompt part.
	Use struct {
		_      struct{} `cbor:",toarray"`
		Engine string
		Part   uint64
	}

	// Placement holds the state of all engines and chooses among them. It is safe for concurrent
	// use.
	Placement struct {
		hall        string
		regions     map[string]string       // region by hall
		unseenNodes func(now time.Time) int // number of nodes whose current load is unknown here
		limits      Limits
		storeKnown  func(now time.Time) bool // whether changes in the platform's store reach this node

		mu          sync.Mutex
		engines     map[string]*engine
		evacuated   map[string]bool // halls whose engines get no new requests
		pools       map[string]*pool
		changed     bool // whether the pools' engine lists are out of date
		cache       cache
		senders     senders
		ranking     ranking
		candidates  []*engine                 // reused memory
		backoffs    map[string]*backoff       // backoffs that engines asked this node for
		peerEngines map[string][]string       // engines in each peer's last load report
		uses        []Use                     // uses since the last call of TakeUses
		partTokens  map[uint64]int            // lengths of shared prompt parts of interactive pools, in tokens; nil before the first
		changes     loadChanges               // changes that peers do not know yet
		work        map[string]scaling.Demand // prefill time sent to the engines of each pool, in milliseconds
	}
)

// Option configures a Placement.
type Option func(*Placement)

// WithUnseenNodes sets the function that counts the nodes which may have sent requests but have
// not reported any load here yet: those that started at the same time as this node.
func WithUnseenNodes(nodes func(now time.Time) int) Option {
	return func(p *Placement) { p.unseenNodes = nodes }
}

// New returns a Placement for a node in a hall.
func New(hall string, options ...Option) *Placement {
	p := &Placement{
		hall: hall, unseenNodes: func(time.Time) int { return 0 }, limits: noLimits{}, storeKnown: func(time.Time) bool { return true }, senders: senders{rates: func(time.Time) map[string]float64 { return nil }},
		engines: map[string]*engine{}, evacuated: map[string]bool{}, pools: map[string]*pool{}, peerEngines: map[string][]string{}, backoffs: map[string]*backoff{}, work: map[string]scaling.Demand{}, cache: cache{parts: map[uint64]map[string]time.Time{}},
	}
	p.changes = newLoadChanges()
	for _, option := range options {
		option(p)
	}
	return p
}

// Set adds or updates an engine and reports whether it has restarted. The state of an engine is
// kept unless it has restarted: then its cache and load are empty, earlier failures and slowness
// no longer count, and its requests are lost.
func (p *Placement) Set(e Engine) (restarted bool) {
	lost, restarted := p.set(e)
	for _, c := range lost {
		c.markLost()
	}
	return restarted
}

// set implements Set and returns the lost requests.
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
		if known.Draining && known.LastSend.IsZero() {
			e.LeavesAt, e.LastSend, e.ServesUntil = time.Time{}, time.Time{}, time.Time{} // Its use has ended.
		}
		known.Engine = e
		return nil, false
	}
	p.engines[e.ID] = newEngine(e)
	delete(p.backoffs, e.ID)
	p.cache.forget(e.ID)
	ofEngine := func(u Use) bool { return u.Engine == e.ID }
	p.uses, p.changes.uses = slices.DeleteFunc(p.uses, ofEngine), slices.DeleteFunc(p.changes.uses, ofEngine)
	return slices.Collect(maps.Keys(known.calls)), true
}

// Drain stops new requests to an engine.
func (p *Placement) Drain(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[id]; e != nil && (!e.Draining || !e.LastSend.IsZero()) {
		e.Draining, e.LeavesAt, e.LastSend, e.ServesUntil = true, time.Time{}, time.Time{}, time.Time{}
		p.changed = true
	}
}

// DrainIncarnation is Drain unless the engine has restarted since it was chosen.
func (p *Placement) DrainIncarnation(e Engine) {
	p.mu.Lock()
	known := p.engines[e.ID]
	current := known != nil && known.Incarnation == e.Incarnation
	p.mu.Unlock()
	if current {
		p.Drain(e.ID)
	}
}

// Remove removes an engine.
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

// Leaving reports whether an engine is draining or its entry is gone.
func (p *Placement) Leaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	return e == nil || e.Draining
}

// HasEngines reports whether there are any engines.
func (p *Placement) HasEngines() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.engines) > 0
}

// pool returns a pool with its list of engines that take new work. The lists are rebuilt on
// first use after a change, since many engines change at once. They are ordered by hash, so that
// all nodes reserve the same engines for streams.
func (p *Placement) pool(name string) *pool {
	if p.changed {
		p.rebuildPools()
	}
	return p.poolState(name)
}

// poolState returns the state of a pool, which is empty at first.
func (p *Placement) poolState(name string) *pool {
	known := p.pools[name]
	if known == nil {
		known = &pool{gaps: gapStats{}}
		p.pools[name] = known
	}
	return known
}

// rebuildPools rebuilds the engine lists of the pools.
func (p *Placement) rebuildPools() {
	p.changed = false
	for _, known := range p.pools {
		known.engines, known.leaving = nil, nil
	}
	for _, e := range p.engines {
		if !e.Draining && !p.evacuated[e.Hall] {
			known := p.poolState(e.Pool)
			known.engines = append(known.engines, e)
		} else if e.Draining && !e.LastSend.IsZero() {
			known := p.poolState(e.Pool)
			known.leaving = append(known.leaving, e)
		}
	}
	for _, known := range p.pools {
		list := known.engines
		sort.Slice(list, func(i, j int) bool { return list[i].hash < list[j].hash })
		for i, e := range list {
			e.poolIndex = i
		}
		known.appendLeaving()
	}
}

// Choose returns the engine with the lowest cost; ok is false if the pool has no engine that may
// be used.
func (p *Placement) Choose(now time.Time, r Request) (choice Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pool(r.Pool)
	known.interactive = r.Interactive
	known.refreshMedians(now)
	known.refreshOccupancy(now, p.unseenNodes(now), p.throttled)
	r.bound = p.boundEngines(now, known, r)
	if r.Interactive {
		known.separate(now, &r)
	} else {
		known.endSeparation()
		r.gapSensitive = known.gapSensitive(r)
	}
	if r.TransferRate > 0 {
		r.sources = p.transferSources(now, r)
	}
	if r.separated && r.gapSensitive {
		if known.packSize < known.setSize {
			if choice, ok = p.cheapest(now, known, r, known.engines[:known.packSize]); ok && choice.class == classOwn {
				return choice, true
			}
		}
		if choice, ok = p.cheapest(now, known, r, known.engines[:known.setSize]); ok && choice.class < classOther {
			return choice, true
		}
	}
	choice, ok = p.cheapest(now, known, r, known.candidates(r))
	if !ok && r.MayLeave && !r.Interactive {
		return p.cheapest(now, known, r, known.leaving)
	}
	if !ok || !r.separated || r.gapSensitive || !choice.late(r) && choice.class < classHarmful {
		return choice, ok
	}
	if other, found := p.inTime(now, known, r, choice); found {
		return other, true
	}
	return choice, ok
}

// cheapest returns the engine with the lowest class and, within it, the lowest cost. If none may be
// used, AvailableAt is the earliest time at which one may be.
func (p *Placement) cheapest(now time.Time, known *pool, r Request, engines []*engine) (choice Choice, ok bool) {
	var first time.Time // earliest time at which a currently unavailable engine may be used
	best := math.Inf(1)
	for rank, e := range p.ranking.order(engines, r.Prompt.Session()) {
		if !r.Fastest && choice.class == 0 && known.minCost(r, rank) >= best || r.Fastest && rank >= maxFastestRank {
			break // No later engine can cost less, or enough engines were compared.
		}
		if r.Avoid[e.ID] || !p.regionAllowed(r, e) || !r.versionAllowed(e) || r.Resumable && e.mayHaveRestarted(now) || !p.allowsCold(now, known, e) || e.Draining && !p.usesLeaving(now, e) {
			continue
		}
		at, limited := p.limits.Opens(e.ID)
		if backoffEnd := p.backoffUntil(now, e.ID); backoffEnd.After(at) {
			at = backoffEnd
		}
		if now.Before(at) || limited && r.ExcludeLimited {
			if first.IsZero() || at.Before(first) {
				first = at
			}
			continue
		}
		c := p.evaluate(now, known, e, r, known.beyond(r, e), rank)
		c.Limited = limited
		if e.Draining && !known.takesWhileLeaving(now, e, r, &c) {
			continue
		}
		if r.Fastest {
			if c.Cost = c.Wait; e.failures.share(now) > maxHealthyFailures || e.silent(now) || !hasSlot(e, e.load(now)) {
				continue
			}
		}
		if !ok || c.class < choice.class || c.class == choice.class && c.Cost < best {
			best, choice, ok = c.Cost, c, true
		}
	}
	choice.Engines, choice.Usable = p.counts(now, known, r)
	if !ok {
		choice.AvailableAt = first
	}
	return choice, ok
}
