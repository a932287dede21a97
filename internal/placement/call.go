package placement

import "time"

const (
	// Answered says that the engine answered as it should.
	Answered Outcome = iota

	// Failed says that the engine failed: it broke off, did not answer, or
	// answered with a failure of its own.
	Failed

	// Rejected says that the engine turned the request away without running it.
	Rejected

	// Throttled says that the engine turned the request away and asked for rest, which is no failure.
	Throttled

	// Aborted says that the request ended for a reason that is not the engine's.
	Aborted
)

type (
	// Outcome is how a call ended, as far as it tells of the engine.
	Outcome int

	// Call is one request at one engine, from its sending to its end.
	Call struct {
		p            *Placement
		engine       *engine
		load         Load
		start        time.Time
		wait         time.Duration // wait is how long the engine was expected to take before it begins
		queuedTokens int           // ahead is how many tokens it was expected to read until then
		prefillRate  float64       // read is the rate that was expected, in tokens a millisecond

		stream   bool      // stream says that the answer is a stream whose pauses matter
		lastData time.Time // heard is when bytes last came
		lastSign time.Time // signed is when the engine last gave a sign, by the head of its answer or by bytes

		lost   bool   // lost says that the engine has started again since
		onLost func() // onLost is called then; it may be nil

		began bool
		ended bool
	}
)

// Start records that a request is sent to an engine.
func (p *Placement) Start(now time.Time, c Choice, r Request) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[c.Engine.ID]
	if e == nil {
		e = newEngine(c.Engine)
	}
	call := &Call{
		p: p, engine: e, load: Load{PrefillTokens: c.PrefillTokens, InFlight: 1}, start: now, wait: time.Duration(c.Wait * float64(time.Millisecond)),
		queuedTokens: c.QueuedTokens, prefillRate: c.PrefillRate, stream: r.MaxGap > 0, lastSign: now,
	}
	if e.calls == nil {
		e.calls = map[*Call]bool{}
	}
	e.calls[call] = true
	p.noteTrial(now, call)
	p.noteCold(now, p.poolState(r.Pool), e)
	if c.PrefillTokens > 0 {
		p.addWork(r, float64(c.PrefillTokens)/c.PrefillRate)
		p.poolState(r.Pool).notePrefill(c.PrefillTokens, c.GapSensitive)
	}
	if c.GapSensitive {
		call.load.Streams = 1
		p.poolState(r.Pool).noteStreamGap(r.MaxGap)
	}
	if e.own.InFlight == 0 {
		e.lastData = now
	}
	e.own = e.own.add(call.load)
	for _, part := range r.Prompt.Shared {
		p.cache.recordUse(now, e.ID, part.ID)
		p.uses = append(p.uses, Use{Engine: e.ID, Part: part.ID})
	}
	return call
}

// Began records that the engine has read the prompt: its answer has begun.
func (c *Call) Began(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.engine.lastData = now
	if !c.began {
		c.began, c.lastSign = true, now
		c.p.endBackoff(c)
		c.engine.own.PrefillTokens -= c.load.PrefillTokens
		c.engine.pace.note(now, now.Sub(c.start), c.wait)
		if own := float64(c.load.PrefillTokens); own >= minSampleTokens && own >= minSampleShare*float64(c.queuedTokens) {
			c.engine.prefill.note(now, float64(c.queuedTokens), now.Sub(c.start)-prefillOverhead, c.prefillRate)
		}
	}
}

// Received records that bytes came from the engine.
func (c *Call) Received(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.engine.lastData = now
	if c.stream && !c.lastData.IsZero() {
		c.p.poolState(c.engine.Pool).noteGap(c.engine, now.Sub(c.lastData))
	}
	c.lastData, c.lastSign = now, now
}

// Idle returns for how long nothing has come from the engine for this request.
func (c *Call) Idle(now time.Time) time.Duration {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return now.Sub(c.lastSign)
}

// OnLost has a function called once it is known that the engine has started again since
// the request was sent.
func (c *Call) OnLost(f func()) {
	c.p.mu.Lock()
	lost := c.lost
	c.onLost = f
	c.p.mu.Unlock()
	if lost {
		f()
	}
}

// markLost records that the engine has started again. The caller does not hold the lock.
func (c *Call) markLost() {
	c.p.mu.Lock()
	c.lost = true
	f := c.onLost
	c.p.mu.Unlock()
	if f != nil {
		f()
	}
}

// Report records what the engine told of its load.
func (c *Call) Report(now time.Time, running, waiting int) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.engine.reported = report{running: running, waiting: waiting, at: now}
}

// End records the end of the request; later calls change nothing.
func (c *Call) End(now time.Time, o Outcome) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.p.endBackoff(c)
	delete(c.engine.calls, c)
	if !c.began {
		c.engine.own.PrefillTokens -= c.load.PrefillTokens
	}
	c.engine.own.InFlight--
	c.engine.own.Streams -= c.load.Streams
	switch o {
	case Answered:
		c.engine.failures.note(now, false)
	case Failed, Rejected:
		c.engine.failures.note(now, true) // An engine that turns requests away is avoided for a while, too.
	}
}

// Loads returns this node's own work at each engine that has some.
func (p *Placement) Loads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for id, e := range p.engines {
		if e.own != (Load{}) {
			out[id] = e.own
		}
	}
	return out
}

// TakeUses returns the parts that this node gave to engines since the last call.
func (p *Placement) TakeUses() []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.uses
	p.uses = nil
	return out
}

// UpdatePeer records what a peer told: its work at each engine, in place of what it
// told before, and the parts it gave to engines since. known is the newest version of the
// engines' entries that it had then: what it told of an engine that has started again later
// is of the former incarnation.
func (p *Placement) UpdatePeer(now time.Time, peer string, known int64, loads map[string]Load, uses []Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.peerEngines[peer] {
		if e := p.engines[id]; e != nil {
			e.setPeer(now, peer, Load{})
		}
	}
	told := p.peerEngines[peer][:0]
	for id, l := range loads {
		if e := p.engines[id]; e != nil && known >= e.SinceVersion {
			e.setPeer(now, peer, l)
			told = append(told, id)
		}
	}
	p.peerEngines[peer] = told
	for _, u := range uses {
		if e := p.engines[u.Engine]; e != nil && known >= e.SinceVersion {
			p.cache.recordUse(now, u.Engine, u.Part)
		}
	}
}
