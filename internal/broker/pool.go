// Package broker schedules the requests of a pool: it decides which engine gets
// a request, which requests wait and which are refused. One node at a time is
// the broker of a pool; when the broker changes, the new one rebuilds its state
// from the slots that nodes hold and the requests that wait at them.
package broker

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/wire"
)

// Refusal reasons, as callers and operators see them.
const (
	ReasonQueueFull    = "queue_full"     // ReasonQueueFull: too many requests of its tier or higher wait.
	ReasonMaxWait      = "max_wait"       // ReasonMaxWait: it waited as long as its class allows.
	ReasonTeamRate     = "team_rate"      // ReasonTeamRate: the team's requests_per_second is exhausted.
	ReasonTeamInFlight = "team_in_flight" // ReasonTeamInFlight: the team's in_flight limit is reached.
	ReasonMoved        = "moved"          // ReasonMoved: this node is no longer the broker; nodes ask the current one.
	ReasonDuplicate    = "duplicate"      // ReasonDuplicate: a request with the same id waits or runs already.
	ReasonStale        = "stale"          // ReasonStale: the node has given up this ask.
)

// Statuses of a release.
const (
	StatusOK        = "ok"        // StatusOK: the answer was complete.
	StatusFull      = "full"      // StatusFull: the engine was full and refused; the request did not run.
	StatusFailed    = "failed"    // StatusFailed: the engine failed or stalled.
	StatusCancelled = "cancelled" // StatusCancelled: the caller disconnected, or the grant was not used.
)

const (
	// lengthQuantile is the share of answers that fit the token space reserved for one.
	lengthQuantile = 0.8

	// firstTokenQuantile is the share of first tokens that arrive within the
	// headroom subtracted from each class's target.
	firstTokenQuantile = 0.9

	// networkAllowance is the part of a target spent outside the queue and the
	// engine, between caller, node and broker.
	networkAllowance = 15 * time.Millisecond

	// rebuildTimeout bounds how long a new broker waits for the nodes' reports.
	rebuildTimeout = 500 * time.Millisecond

	// shedGracePeriod is how long after the nodes' reports a new broker sheds nothing:
	// requests that waited at the previous broker ask again after 50 ms, later on busy
	// nodes. Without it, early requests would be shed before lower tiers have asked at all.
	shedGracePeriod = 250 * time.Millisecond

	// slowCheckInterval is how often the broker looks for slow engines.
	slowCheckInterval = 500 * time.Millisecond

	// rateHalfLife is the half-life of the grant count behind the drain rate.
	rateHalfLife = 5 * time.Second

	// minDrainRate is the lowest drain rate assumed, in grants a second.
	minDrainRate = 0.5

	// maxRetryAfter is the longest time that a refused caller is told to wait.
	maxRetryAfter = 30 * time.Second

	// prefixBonus is how much load a cached prefix outweighs, as a share of an
	// engine's limit.
	prefixBonus = 0.3

	// maxPrefixes bounds how many prefixes a broker remembers.
	maxPrefixes = 8192
)

type (
	// Team holds the limits of one team in a pool.
	Team struct {
		Weight   float64
		Rate     float64 // Rate is requests a second; 0 for no limit.
		Burst    int
		InFlight int // InFlight limits requests that wait or run on engines; 0 for no limit.
	}

	// Options are the settings of a pool.
	Options struct {
		QueueLimit    int     // QueueLimit is the maximum number of waiting requests.
		ReserveMargin float64 // ReserveMargin weighs attainment of higher tiers against goodput; 0 reserves nothing.
	}

	// Teams looks up a team's limits.
	Teams func(name string) Team

	// Pool is the broker's state of one pool. It is safe for concurrent use.
	Pool struct {
		mu            sync.Mutex
		name          string
		queue         *queue.Queue
		classes       map[string]queue.Class
		engines       map[string]*Engine
		order         []*Engine // order holds the engines sorted by name, for deterministic results.
		teams         Teams
		limiters      map[string]*teamLimiter
		waiting       map[string]*waiter
		holds         map[string]*hold
		asks          map[string]nodeAsks // asks holds what the nodes last reported of their asks.
		lengths       map[string]*LengthHistogram
		firstTokens   LengthHistogram // firstTokens is the time from dispatch to the first token, in milliseconds.
		prefixes      map[string]string
		tierUses      map[int]*tierUse
		reserveMargin float64 // reserveMargin is Options.ReserveMargin, in standard deviations of a tier's use.

		unreported      map[string]bool // unreported holds the nodes whose report a new broker waits for.
		rebuildDeadline time.Time
		shedAfter       time.Time // shedAfter is when shedding starts; zero before the nodes have reported.
		slowCheckedAt   time.Time
		grants          float64 // grants is the decayed count behind the drain rate.
		grantsAt        time.Time
		nextRetryAt     time.Time // nextRetryAt is the earliest retry time for the next refused caller.
	}

	// waiter is a waiting request.
	waiter struct {
		req   wire.Acquire
		item  *queue.Item
		reply chan wire.Grant
	}

	// hold is a slot that a node holds on an engine.
	hold struct {
		wire.Hold
		node    string
		process int
		ask     int // ask is the ask that was granted; 0 if it is not known.
		since   time.Time
	}
)

// NewPool returns the broker's state of a pool. It grants nothing until the
// nodes have reported the slots they hold, or rebuildTimeout has passed.
func NewPool(now time.Time, name string, teams Teams, nodes []string) *Pool {
	p := &Pool{
		name: name, queue: queue.New(0, nil), teams: teams,
		classes: map[string]queue.Class{}, engines: map[string]*Engine{},
		limiters: map[string]*teamLimiter{}, waiting: map[string]*waiter{}, holds: map[string]*hold{}, asks: map[string]nodeAsks{},
		lengths: map[string]*LengthHistogram{}, prefixes: map[string]string{}, unreported: map[string]bool{},
		tierUses: map[int]*tierUse{}, rebuildDeadline: now.Add(rebuildTimeout), grantsAt: now,
	}
	for _, n := range nodes {
		p.unreported[n] = true
	}
	if len(nodes) == 0 {
		p.shedAfter = now
	}
	return p
}

// Configure applies the pool's part of a configuration.
func (p *Pool) Configure(now time.Time, opts Options, classes []queue.Class, engines []Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Configure(opts.QueueLimit, classes)
	p.reserveMargin = opts.ReserveMargin
	for _, c := range classes {
		p.classes[c.Name] = c
	}
	keep := map[string]*Engine{}
	p.order = p.order[:0]
	for _, e := range engines {
		have := p.engines[e.Name]
		if have == nil {
			have = p.newEngine(e.Name)
		}
		have.Name, have.Slots, have.KVTokens, have.Draining = e.Name, e.Slots, e.KVTokens, e.Draining
		keep[e.Name] = have
		p.order = append(p.order, have)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].Name < p.order[j].Name })
	p.engines = keep
	p.dispatch(now)
}

// newEngine returns an engine that counts the slots that nodes hold on it already.
func (p *Pool) newEngine(name string) *Engine {
	e := &Engine{slotFraction: 1, slowdown: 1}
	for _, h := range p.holds {
		if h.Engine == name {
			e.inFlight++
			e.tokens += h.Tokens
		}
	}
	return e
}

// SetLeaving records whether an engine's load report says that it is leaving.
func (p *Pool) SetLeaving(now time.Time, engine string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[engine]
	if e == nil || e.leaving == leaving {
		return
	}
	e.leaving = leaving
	p.dispatch(now)
}

// Acquire asks for a slot. The answer is sent on the returned channel, which is
// buffered for one value; Cancel gives up the wait.
func (p *Pool) Acquire(now time.Time, req wire.Acquire) <-chan wire.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &waiter{req: req, reply: make(chan wire.Grant, 1)}
	if p.asks[req.Node].ended(req.Process, req.Ask) {
		w.refuse(ReasonStale, 0, "the node has given up this ask")
		return w.reply
	}
	if p.waiting[req.Request] != nil || p.holds[req.Request] != nil {
		w.refuse(ReasonDuplicate, 0, "the id waits or runs already")
		return w.reply
	}
	if reason, wait := p.overLimit(now, req); reason != "" {
		w.refuse(reason, wait, "limit of team "+req.Team)
		return w.reply
	}
	team := p.teams(req.Team)
	w.item = &queue.Item{
		ID: req.Request, Class: req.Class, Team: req.Team, Weight: math.Max(team.Weight, 0.01),
		Cost: float64(p.estimateTokens(req)), Arrived: now.Add(-time.Duration(req.WaitedMs) * time.Millisecond), Value: w,
	}
	p.waiting[req.Request] = w
	p.limiter(req.Team).inUse++
	if !p.queue.Add(now, w.item) {
		p.refuseItem(now, w.item, ReasonQueueFull)
	}
	p.shed(now)
	p.dispatch(now)
	return w.reply
}

// estimateTokens returns how many tokens a request is expected to occupy on an engine.
func (p *Pool) estimateTokens(req wire.Acquire) int {
	l := p.lengths[req.Class]
	output := defaultLength
	if l != nil {
		output = l.Quantile(lengthQuantile)
	}
	if req.MaxTokens > 0 {
		output = min(output, req.MaxTokens)
	}
	return req.PromptTokens + output
}

// Cancel gives up the wait of an ask. A slot that was granted meanwhile is given back. A cancel may
// arrive after its node has asked again for the same request, and leaves the later ask alone.
func (p *Pool) Cancel(now time.Time, request string, ask int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.waiting[request]; w != nil && sameAsk(w.req.Ask, ask) {
		p.queue.Remove(w.item)
		p.removeWaiter(w)
	}
	if h := p.holds[request]; h != nil && sameAsk(h.ask, ask) {
		p.removeHold(now, h)
	}
	p.dispatch(now)
}

// sameAsk reports whether two numbers may be those of one ask; 0 may be any.
func sameAsk(a, b int) bool { return a == b || a == 0 || b == 0 }

// Release gives a slot back and records the result of the request.
func (p *Pool) Release(now time.Time, rel wire.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.holds[rel.Request]
	if h == nil {
		return
	}
	p.removeHold(now, h)
	if e := p.engines[h.Engine]; e != nil {
		e.observe(now, rel.Status, rel.OutputTokens, ms(rel.DurationMs), ms(rel.FirstTokenMs))
	}
	if rel.Status == StatusOK {
		p.length(h.Class).Observe(rel.OutputTokens)
		p.firstTokens.Observe(rel.FirstTokenMs)
	}
	p.dispatch(now)
}

// length returns the histogram of answer lengths of a class, creating it if needed.
func (p *Pool) length(class string) *LengthHistogram {
	l := p.lengths[class]
	if l == nil {
		l = &LengthHistogram{}
		p.lengths[class] = l
	}
	return l
}

// Report reconciles the holds with a node's report: slots unknown to the broker are added, and
// slots and waits of asks that the node has ended are removed. Where it is not known which ask a
// slot was granted to, it is removed once it is older than the maximum delay of a report.
func (p *Pool) Report(now time.Time, r wire.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	const lateness = time.Second
	if p.asks[r.Node].after(r) {
		return
	}
	asks := asksOf(r)
	p.asks[r.Node] = asks
	p.removeEndedWaits(r.Node, asks)
	named := make(map[string]bool, len(r.Holds))
	for _, h := range r.Holds {
		named[h.Request] = true
		if p.holds[h.Request] == nil {
			p.addHold(&hold{Hold: h, node: r.Node, since: now})
		}
	}
	for id, h := range p.holds {
		if h.node != r.Node || named[id] {
			continue
		}
		gone := now.Sub(h.since) > lateness
		if asks.numbers(h.process, h.ask) {
			gone = asks.ended(h.process, h.ask) // If not, the node has not had the answer yet.
		}
		if gone {
			p.removeHold(now, h)
		}
	}
	delete(p.unreported, r.Node)
	p.dispatch(now)
}

// Adopt counts a slot that was granted to a node by another broker.
func (p *Pool) Adopt(now time.Time, node string, h wire.Hold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holds[h.Request] == nil {
		p.addHold(&hold{Hold: h, node: node, since: now})
	}
}

// NodeGone removes the holds and waiting requests of a dead node.
func (p *Pool) NodeGone(now time.Time, node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.holds {
		if h.node == node {
			p.removeHold(now, h)
		}
	}
	for _, w := range p.waiting {
		if w.req.Node == node {
			p.queue.Remove(w.item)
			p.removeWaiter(w)
		}
	}
	delete(p.unreported, node)
	delete(p.asks, node)
	p.dispatch(now)
}

// Sweep refuses requests that have waited too long, looks for slow engines and
// grants slots that have become available with time.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, it := range p.queue.Expire(now) {
		p.refuseItem(now, it, ReasonMaxWait)
	}
	p.shed(now)
	if now.Sub(p.slowCheckedAt) >= slowCheckInterval {
		p.slowCheckedAt = now
		limitSlowEngines(p.engines)
		p.queue.SetHeadroom(networkAllowance + p.firstTokens.headroom())
	}
	p.dispatch(now)
}

// RefuseMoved answers all that wait that another node is the broker now.
func (p *Pool) RefuseMoved() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, it := range p.queue.Drain() {
		w := it.Value.(*waiter)
		p.removeWaiter(w)
		w.refuse(ReasonMoved, 0, "")
	}
}

// ms converts a message's milliseconds to a duration.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
