package broker

import (
	"fmt"
	"math"
	"time"

	"github.com/croftturn/croftturn/internal/wire"
)

// rebuilding reports whether the broker still waits for nodes to report the slots they hold.
func (p *Pool) rebuilding(now time.Time) bool {
	return len(p.unreported) > 0 && now.Before(p.rebuildDeadline)
}

// dispatch grants slots to waiting requests while engines have room.
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
		e, free, slots := p.selectEngine(now, w.req, int(it.Cost))
		if e == nil {
			return
		}
		if !p.queue.BelowMinShare(it.Class) && p.freeSlotsReserved(now, it.Class, free, slots) {
			return
		}
		p.queue.Pop(now)
		p.grant(now, w, e)
	}
}

// selectEngine returns the least loaded engine with room, counting a cached
// prefix as less load, and the pool's free and total slots. An engine that
// failed the request before is selected only if there is no other.
func (p *Pool) selectEngine(now time.Time, req wire.Acquire, tokens int) (best *Engine, free, slots int) {
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

// lastResort returns an engine to try when failures have paused the whole pool,
// so that never all engines are ejected at once. The one with the fewest
// consecutive failures gets one request.
func (p *Pool) lastResort(now time.Time) *Engine {
	var best *Engine
	for _, e := range p.order {
		if e.Draining || e.leaving {
			continue
		}
		if e.failures == 0 || !now.Before(e.pausedUntil) {
			return nil // The engine is full, not ejected.
		}
		if e.inFlight == 0 && (best == nil || e.failures < best.failures) {
			best = e
		}
	}
	return best
}

// removeWaiter removes a request from the waiting ones and its team's count.
func (p *Pool) removeWaiter(w *waiter) {
	delete(p.waiting, w.req.Request)
	p.limiter(w.req.Team).inUse--
}

// grant gives a waiting request a slot on an engine.
func (p *Pool) grant(now time.Time, w *waiter, e *Engine) {
	p.removeWaiter(w)
	waited := now.Sub(w.item.Arrived)
	p.addHold(&hold{
		Hold: wire.Hold{Request: w.req.Request, Engine: e.Name, Class: w.req.Class, Team: w.req.Team, Tokens: int(w.item.Cost)},
		node: w.req.Node, process: w.req.Process, ask: w.req.Ask, since: now,
	})
	p.countGrant(now)
	p.rememberPrefix(w.req.Prefix, e.Name)
	why := fmt.Sprintf("waited %d ms; %d of %d in use", waited.Milliseconds(), e.inFlight, e.limit())
	w.reply <- wire.Grant{Engine: e.Name, Why: why}
}

// rememberPrefix records which engine was last given a prefix.
func (p *Pool) rememberPrefix(prefix, engine string) {
	if prefix == "" {
		return
	}
	if len(p.prefixes) >= maxPrefixes {
		clear(p.prefixes)
	}
	p.prefixes[prefix] = engine
}

// addHold counts a slot as held.
func (p *Pool) addHold(h *hold) {
	p.holds[h.Request] = h
	p.tierUseOf(h.Class).add(h.since, 1)
	if e := p.engines[h.Engine]; e != nil {
		e.inFlight++
		e.tokens += h.Tokens
	}
	p.limiter(h.Team).inUse++
}

// removeHold counts a slot as free.
func (p *Pool) removeHold(now time.Time, h *hold) {
	delete(p.holds, h.Request)
	p.tierUseOf(h.Class).add(now, -1)
	if e := p.engines[h.Engine]; e != nil {
		e.inFlight--
		e.tokens -= h.Tokens
	}
	p.limiter(h.Team).inUse--
}
