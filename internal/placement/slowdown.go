package placement

import (
	"math"
	"sort"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

const (
	// slowdownTTL is how long a reported slowdown counts in pools that are not interactive, and for
	// peers. Engines are slowed for some 600 ms at a time.
	slowdownTTL = 300 * time.Millisecond

	// slowdownDecay is the time in which a reported slowdown decays to the usual in interactive pools.
	// With slowdownExponent half of its deviation is left after 200 ms: half of the reports "2.5 times
	// slower" were outdated then, and nearly all after 600 ms.
	slowdownDecay    = 600 * time.Millisecond
	slowdownExponent = 1.7

	// minSlowdown and maxSlowdown bound the values that count.
	minSlowdown = 0.01
	maxSlowdown = 100.0

	// maxStreamSlowdown is the slowdown from which an engine is avoided for streams with tight pauses.
	maxStreamSlowdown = 1.5

	// maxExpectedSlowdown is the expected slowdown from which streams of a stream set avoid an engine: for
	// 0.4 s after a report of 2.5. With 1.5, 0.3 s, all nodes came back at once to engines that were still
	// slowed: in a replay the pauses of 0.96, 0.94 and 0.99 of the streams held, and of 0.98, 0.97 and 0.99
	// with 1.2.
	maxExpectedSlowdown = 1.2

	// slowdownCost is the cost of such an engine for them in pools without a stream set, in
	// milliseconds: more than that of an engine beyond those reserved for streams.
	slowdownCost = 500.0

	// slowedPoolTTL is how long after such a report any engine of the pool may be slowed without having
	// said so yet.
	slowedPoolTTL = 5 * time.Second

	// longPause is the length of a pause of a stream, as a multiple of the steps of an event, from which
	// an engine of such a pool is kept from long prompts, and longPauseTTL how long that pause counts. In
	// a replay with engines slowed for 15% of the time the pauses of 0.93, 0.93 and 0.98 of the streams
	// held, and of 0.83, 0.90 and 0.85 without this rule.
	longPause    = 1.6
	longPauseTTL = 150 * time.Millisecond

	// usualDeviation is the deviation from the usual time up to which an engine counts as usual for
	// peers, and maxSlowdownEntries how many engines a message has at most: 16 take about 250 bytes.
	usualDeviation     = 0.1
	maxSlowdownEntries = 16
)

type (
	// Slowdown is the slowdown that an engine reported to a node. It is sent beside Load, not in it:
	// a node of the release before rejects a message with a load of another number of elements.
	Slowdown struct {
		_       struct{} `cbor:",toarray"`
		Engine  string
		Percent uint16 // Percent is the time that work takes there, in percent of the usual.
		AgeMs   uint16 // AgeMs is the age of the report when it was sent, in milliseconds.
	}

	// slowdown is the newest reported slowdown of an engine; the zero value means none.
	slowdown struct {
		factor float64 // factor is the time that work takes as a multiple of the usual.
		at     time.Time
		own    bool // own is set if the engine reported it to this node.
		notify bool // notify is set if the report matters to peers: the engine is not as usual, or was not.
	}
)

// ValidSlowdown reports whether a slowdown is a number between 0.01 and 100.
func ValidSlowdown(factor float64) bool { return factor >= minSlowdown && factor <= maxSlowdown }

// note records a report; the newest one wins.
func (s *slowdown) note(at time.Time, factor float64, own bool) {
	if !ValidSlowdown(factor) || at.Before(s.at) {
		return
	}
	unusual := math.Abs(factor-1) > usualDeviation
	before := at.Sub(s.at) <= slowdownTTL && (s.notify || math.Abs(s.factor-1) > usualDeviation)
	*s = slowdown{factor: factor, at: at, own: own, notify: own && (unusual || before)}
}

// current returns the factor by which work takes longer than usual; 1 if no recent report is known.
func (s *slowdown) current(now time.Time) float64 {
	if s.factor == 0 || now.Sub(s.at) > slowdownTTL {
		return 1
	}
	return s.factor
}

// expected returns the factor by which work is expected to take longer than usual in an interactive
// pool: it decays from the newest reported one to 1.
func (s *slowdown) expected(now time.Time) float64 {
	age := now.Sub(s.at)
	switch {
	case s.factor == 0 || age >= slowdownDecay:
		return 1
	case age <= 0:
		return s.factor
	}
	return 1 + (s.factor-1)*math.Pow(1-float64(age)/float64(slowdownDecay), slowdownExponent)
}

// slowdownAt returns the factor by which work is expected to take longer than usual at an engine.
func (p *pool) slowdownAt(now time.Time, e *engine) float64 {
	if p.interactive {
		return e.slowdown.expected(now)
	}
	return e.slowdown.current(now)
}

// ReportSlowdown records the slowdown that the engine reported, as a multiple of the usual time.
// Values out of bounds are ignored.
func (c *Call) ReportSlowdown(now time.Time, factor float64) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.p.noteSlowdown(c.engine, now, factor, true)
	c.p.noteSlowdownChange(c.engine)
	if ValidSlowdown(factor) && !c.began {
		c.slowdown = factor
	}
}

// usualTime returns how long the first event, which took some milliseconds, would have taken at the usual
// speed of the engine. The overhead is not slowed.
func (c *Call) usualTime(took, overhead float64) float64 {
	if c.slowdown == 0 || c.slowdown == 1 {
		return took
	}
	return overhead + (took-overhead)/c.slowdown
}

// noteSlowdown records a report of an engine. The caller must hold the lock.
func (p *Placement) noteSlowdown(e *engine, at time.Time, factor float64, own bool) {
	e.slowdown.note(at, factor, own)
	if ValidSlowdown(factor) && factor > maxStreamSlowdown {
		p.poolState(e.Pool).slowedAt = at
	}
}

// hasSlowed reports whether engines of the pool are slowed now and then, so that any of them may be.
func (p *pool) hasSlowed(now time.Time) bool {
	return !p.slowedAt.IsZero() && now.Sub(p.slowedAt) < slowedPoolTTL
}

// pausesLong reports whether the newest pause of a stream at an engine was so long that the engine may be
// slowed, before its next answer says so.
func (e *engine) pausesLong(now time.Time, r Request) bool {
	return now.Sub(e.lastGapAt) < longPauseTTL && milliseconds(e.lastGap) > longPause*r.steps()*plainStep
}

// Slowdowns returns the newest reports to this node that matter to peers, the newest first.
func (p *Placement) Slowdowns(now time.Time) []Slowdown {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Slowdown
	for id, e := range p.engines {
		if s, ok := e.slowdown.forPeers(now, id); ok {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].AgeMs < out[j].AgeMs })
	return out[:min(len(out), maxSlowdownEntries)]
}

// forPeers returns the report as peers are told of it; ok is false if it does not matter to them.
func (s *slowdown) forPeers(now time.Time, engine string) (report Slowdown, ok bool) {
	age := now.Sub(s.at)
	if !s.notify || !s.own || age > slowdownTTL {
		return Slowdown{}, false
	}
	return Slowdown{Engine: engine, Percent: uint16(math.Round(100 * s.factor)), AgeMs: uint16(max(0, age.Milliseconds()))}, true
}

// UpdateSlowdowns records the slowdowns that a peer reported. known is the newest version of the
// engine entries that the peer had, as in UpdatePeer.
func (p *Placement) UpdateSlowdowns(now time.Time, known history.Position, list []Slowdown) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range list {
		if e := p.engines[s.Engine]; e != nil && !e.Since.After(known) {
			p.noteSlowdown(e, now.Add(-time.Duration(s.AgeMs)*time.Millisecond), float64(s.Percent)/100, false)
		}
	}
}

// SlowedEngines returns, by pool, how many engines are too slow for streams with tight pauses. Pools
// none of whose engines reported a slowdown are not listed.
func (p *Placement) SlowedEngines(now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for _, e := range p.engines {
		switch {
		case p.poolState(e.Pool).slowdownAt(now, e) > maxStreamSlowdown:
			out[e.Pool]++
		case e.slowdown.factor > 0:
			out[e.Pool] += 0
		}
	}
	return out
}
