package placement

import (
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

const (
	// Answered means that the engine answered normally.
	Answered Outcome = iota

	// Failed means that the engine failed: it broke the connection, did not answer, or returned
	// an error of its own.
	Failed

	// Rejected means that the engine rejected the request without running it.
	Rejected

	// Throttled means that the engine rejected the request and asked for a backoff, which does
	// not count as a failure.
	Throttled

	// Aborted means that the request ended for a reason unrelated to the engine.
	Aborted
)

type (
	// Outcome is the result of a call as far as it concerns the engine's health.
	Outcome int

	// Call is one request to one engine, from sending to completion.
	Call struct {
		p            *Placement
		engine       *engine
		load         Load
		start        time.Time
		wait         time.Duration // expected time until the answer begins
		queuedTokens int           // prompt tokens that the engine was expected to process until then
		prefillRate  float64       // expected rate, in tokens per millisecond
		interactive  bool          // whether the pool is interactive
		inSet        bool          // whether the engine was of the stream set
		slowdown     float64       // slowdown of the engine: as reported with the answer, or else expected; 0 or 1 for none

		stream   bool      // the answer is a stream whose gaps matter
		lastData time.Time // when data last arrived
		lastSign time.Time // when the engine last responded, with the response header or data

		lost   bool   // the engine has restarted since
		onLost func() // called when the request is lost; may be nil

		sample   bool     // whether its time to the first event counts for the pool's estimate
		transfer transfer // what the engine copies from another one
		parts    []Part   // shared parts of the prompt; nil unless interactive
		newParts []Part   // those that the engine did not have

		began bool
		ended bool
	}
)

// Start records that a request is being sent to an engine.
func (p *Placement) Start(now time.Time, c Choice, r Request) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[c.Engine.ID]
	if e == nil {
		e = newEngine(c.Engine)
	}
	e.starting = max(0, e.starting-1)
	sample := r.Interactive && e.takesAtOnce(now)
	if c.transfer.source != nil {
		c, sample = p.startTransfer(now, c, e, r), false // The time of the transfer is no prefill.
	}
	call := &Call{
		p: p, engine: e, load: Load{PrefillTokens: c.PrefillTokens, InFlight: 1}, start: now, wait: time.Duration(c.Wait * float64(time.Millisecond)),
		queuedTokens: c.QueuedTokens, prefillRate: c.PrefillRate, interactive: r.Interactive, inSet: r.Interactive && e.poolIndex < p.poolState(r.Pool).setSize, slowdown: c.slowdown, stream: r.MaxGap > 0, lastSign: now,
		sample: sample, transfer: c.transfer,
	}
	if e.calls == nil {
		e.calls = map[*Call]bool{}
	}
	e.calls[call] = true
	p.noteTrial(now, call)
	p.noteCold(now, p.poolState(r.Pool), e)
	if c.PrefillTokens > 0 {
		p.addWork(r, float64(c.PrefillTokens)/c.usualRate(r))
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
	if r.Interactive {
		if p.engines[e.ID] == e {
			call.expectParts(now, r.Prompt.Shared)
		}
		p.notePartTokens(r.Prompt)
		known := p.poolState(r.Pool)
		e.recent.add(now, known.bearableRate, known.minStreamGap, c.PrefillTokens)
	}
	for _, part := range r.Prompt.Shared {
		p.cache.recordUse(now, e.ID, part.ID)
		p.uses = append(p.uses, Use{Engine: e.ID, Part: part.ID})
		if r.Interactive {
			p.noteUse(Use{Engine: e.ID, Part: part.ID})
		}
	}
	p.noteLoadChange(e)
	return call
}

// usualRate returns the expected prefill rate without the slowdown, in tokens per millisecond.
func (c Choice) usualRate(r Request) float64 {
	if !r.Interactive || c.slowdown == 0 {
		return c.PrefillRate
	}
	return c.PrefillRate * c.slowdown
}

// Began records that the engine has processed the prompt and its answer has begun.
func (c *Call) Began(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.begin(now, false)
}

// BeganWithError records that the answer has begun with an error of the engine, which may not have
// processed the prompt.
func (c *Call) BeganWithError(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.begin(now, c.interactive)
}

// begin implements Began. After an error the time is no sample, and the parts of the prompt do not count
// as cached. The caller must hold the lock.
func (c *Call) begin(now time.Time, failed bool) {
	c.engine.lastData, c.engine.answeredAt = now, now
	if !c.began {
		c.began, c.lastSign = true, now
		c.p.endBackoff(c)
		c.engine.own.PrefillTokens -= c.load.PrefillTokens
		c.p.noteLoadChange(c.engine)
		if failed {
			c.dropParts()
			return
		}
		took, expected := now.Sub(c.start), c.wait
		if c.noteTransfer(took) {
			expected += time.Duration(c.transfer.gain * float64(time.Millisecond)) // The engine is not slow.
		}
		c.notePace(now, took, expected)
		if c.sample && !c.inSet && c.load.PrefillTokens > 1 && c.alone() {
			fit := &c.p.poolState(c.engine.Pool).prefillTime
			overhead, _ := fit.estimate()
			fit.note(float64(c.queuedTokens), c.usualTime(milliseconds(took), overhead))
		}
		if c.transfer.source == nil && c.load.PrefillTokens >= minSampleTokens && c.alone() {
			c.engine.prefill.note(now, float64(c.queuedTokens), took-prefillOverhead, c.prefillRate)
		}
		c.confirmParts(now)
	}
}

// notePace compares the time to the first event with the expected one. In interactive pools the expected
// time has the overhead already, and a single request that waited for a slot does not make the engine
// slow. The caller must hold the lock.
func (c *Call) notePace(now time.Time, took, expected time.Duration) {
	if !c.interactive {
		c.engine.pace.note(now, float64(took)/float64(expected+firstTokenOverhead))
		return
	}
	c.engine.pace.note(now, min(float64(took)/float64(max(expected, time.Millisecond)), maxPaceRatio))
}

// alone reports whether the engine had next to nothing else queued when the request was sent.
func (c *Call) alone() bool {
	return float64(c.load.PrefillTokens) >= minSampleShare*float64(c.queuedTokens)
}

// Received records that data arrived from the engine.
func (c *Call) Received(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.engine.lastData = now
	if c.stream && !c.lastData.IsZero() {
		c.p.poolState(c.engine.Pool).noteGap(c.engine, now.Sub(c.lastData))
		c.engine.lastGap, c.engine.lastGapAt = now.Sub(c.lastData), now
	}
	c.lastData, c.lastSign = now, now
}

// NotRead records that the answer was not read until now, since its caller lags: that no data arrived
// says nothing about the engine. It has no effect once the call has ended.
func (c *Call) NotRead(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.ended {
		return
	}
	if c.engine.own.InFlight == 1 { // Other calls are read, and their silence counts.
		c.engine.lastData = now
	}
	c.lastData = time.Time{}
}

// Idle returns how long the engine has sent nothing for this request.
func (c *Call) Idle(now time.Time) time.Duration {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return now.Sub(c.lastSign)
}

// HeardSince reports whether the engine has sent this node something, for any request, after a time at which it had this one.
func (c *Call) HeardSince(t time.Time) bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return c.engine.lastData.After(t) || c.engine.answeredAt.After(t)
}

// OnLost registers a function to call once the engine is known to have restarted after the
// request was sent. If that is already known, it calls the function at once.
func (c *Call) OnLost(f func()) {
	c.p.mu.Lock()
	lost := c.lost
	c.onLost = f
	c.p.mu.Unlock()
	if lost {
		f()
	}
}

// markLost records that the engine has restarted. The caller must not hold the lock.
func (c *Call) markLost() {
	c.p.mu.Lock()
	c.lost = true
	f := c.onLost
	c.p.mu.Unlock()
	if f != nil {
		f()
	}
}

// Report records the load that the engine reported.
func (c *Call) Report(now time.Time, running, waiting int) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.engine.reported = report{running: running, waiting: waiting, at: now}
}

// End records the end of the request; further calls have no effect.
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
		c.dropParts()
	}
	c.engine.own.InFlight--
	c.engine.own.Streams -= c.load.Streams
	c.p.noteLoadChange(c.engine)
	switch o {
	case Answered:
		c.engine.failures.note(now, false)
	case Failed, Rejected:
		c.engine.failures.note(now, true) // An engine that rejects requests is avoided for a while as well.
	}
}

// Loads returns this node's own load at each engine where it has any.
func (p *Placement) Loads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for id, e := range p.engines {
		if l := p.reportedLoad(e); l != (Load{}) {
			out[id] = l
		}
	}
	return out
}

// TakeUses returns the parts that this node sent to engines since the last call.
func (p *Placement) TakeUses() []Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.uses
	p.uses = nil
	return out
}

// UpdatePeer records a peer's report: its load at each engine, which replaces its previous
// report, and the parts it sent to engines since. known is the newest version of the engine
// entries that the peer had; what it reports of an engine that restarted after that version
// concerns the previous incarnation and is ignored.
func (p *Placement) UpdatePeer(now time.Time, peer string, known history.Position, loads map[string]Load, uses []Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.peerEngines[peer] {
		if e := p.engines[id]; e != nil {
			e.setPeer(now, peer, Load{})
		}
	}
	reported := p.peerEngines[peer][:0]
	for id, l := range loads {
		if e := p.engines[id]; e != nil && !e.Since.After(known) {
			e.setPeer(now, peer, l)
			reported = append(reported, id)
		}
	}
	p.peerEngines[peer] = reported
	p.recordPeerUses(now, known, loads, uses)
}
