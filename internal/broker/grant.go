package broker

import (
	"fmt"
	"math"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

// rebuilding reports whether nodes have still to tell which places they hold.
func (p *Pool) rebuilding(now time.Time) bool { return len(p.missing) > 0 && now.Before(p.readyAt) }

// dispatch grants places while there is room and something waits.
func (p *Pool) dispatch(now time.Time) {
	if p.rebuilding(now) {
		return
	}
	for {
		it := p.queue.Peek(now)
		if it == nil {
			return
		}
		w := it.Value.(*waiter)
		e, free, slots := p.choose(now, w.req, int(it.Cost))
		if e == nil {
			return
		}
		if !p.queue.BelowMinShare(it.Class) && p.kept(now, it.Class, free, slots) {
			return
		}
		p.queue.Pop(now)
		p.grant(now, w, e)
	}
}

// choose returns the engine with room that is loaded least, counting a cached
// prefix as less load, and how many places of how many are free in the pool. An
// engine that failed the request is taken only where there is no other.
func (p *Pool) choose(now time.Time, req wire.Acquire, tokens int) (best *Engine, free, slots int) {
	least := math.Inf(1)
	for _, e := range p.order {
		slots += e.limit()
		if !e.hasRoom(now, tokens) {
			continue
		}
		free += e.limit() - e.inFlight
		if e.Name == req.Exclude && len(p.order) > 1 {
			continue
		}
		load := e.load()
		if req.Prefix != "" && p.prefixes[req.Prefix] == e.Name {
			load -= prefixBonus
		}
		if load < least {
			best, least = e, load
		}
	}
	if best == nil {
		best = p.lastResort(now)
	}
	return best, free, slots
}

// lastResort returns an engine to try where failures have paused all of a pool:
// never are all engines ejected at once. The one that failed least gets one
// request.
func (p *Pool) lastResort(now time.Time) *Engine {
	var best *Engine
	for _, e := range p.order {
		if e.Draining || e.leaving {
			continue
		}
		if e.failures == 0 || !now.Before(e.pausedTil) {
			return nil // It is full, not ejected.
		}
		if e.inFlight == 0 && (best == nil || e.failures < best.failures) {
			best = e
		}
	}
	return best
}

// endWait counts a request as no longer waiting.
func (p *Pool) endWait(w *waiter) {
	delete(p.waiting, w.req.Request)
	p.limiter(w.req.Team).inUse--
}

// grant gives a waiting request a place on an engine.
func (p *Pool) grant(now time.Time, w *waiter, e *Engine) {
	p.endWait(w)
	waited := now.Sub(w.item.Arrived)
	p.take(&hold{
		Hold: wire.Hold{Request: w.req.Request, Engine: e.Name, Class: w.req.Class, Team: w.req.Team, Tokens: int(w.item.Cost)},
		node: w.req.Node, since: now,
	})
	p.countGrant(now)
	p.remember(w.req.Prefix, e.Name)
	why := fmt.Sprintf("waited %d ms; %d of %d in use", waited.Milliseconds(), e.inFlight, e.limit())
	w.reply <- wire.Grant{Engine: e.Name, Why: why}
}

// remember notes which engine has a prefix.
func (p *Pool) remember(prefix, engine string) {
	if prefix == "" {
		return
	}
	if len(p.prefixes) >= prefixMemory {
		clear(p.prefixes)
	}
	p.prefixes[prefix] = engine
}

// take counts a place as held.
func (p *Pool) take(h *hold) {
	p.holds[h.Request] = h
	p.useOf(h.Class).add(h.since, 1)
	if e := p.engines[h.Engine]; e != nil {
		e.inFlight++
		e.tokens += h.Tokens
	}
	p.limiter(h.Team).inUse++
}

// drop counts a place as free.
func (p *Pool) drop(now time.Time, h *hold) {
	delete(p.holds, h.Request)
	p.useOf(h.Class).add(now, -1)
	if e := p.engines[h.Engine]; e != nil {
		e.inFlight--
		e.tokens -= h.Tokens
	}
	p.limiter(h.Team).inUse--
}
