package placement

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// maxBackoff is the longest backoff that is honored. An engine that asks for more is tried
	// again after it.
	maxBackoff = 10 * time.Minute

	// backoffJitter is the maximum random extension of a backoff, as a share of it, and
	// maxBackoffJitter the maximum as a duration. Nodes that got the same backoff therefore do
	// not return at once.
	backoffJitter    = 0.2
	maxBackoffJitter = 500 * time.Millisecond

	// backoffRetention is how long an expired backoff is kept if the engine is not tried.
	backoffRetention = time.Minute
)

// backoff is a time in which an engine asked this node to send nothing. After it one trial request
// is sent, and more once the engine has accepted that one.
type backoff struct {
	until time.Time
	trial *Call // request sent after the end; nil if none
}

// BackOff records that an engine asked this node to send nothing for a time. Of several backoffs
// the latest end counts.
func (p *Placement) BackOff(now time.Time, id string, d time.Duration) {
	if d <= 0 {
		return
	}
	d = min(d, maxBackoff)
	until := now.Add(d + time.Duration(rand.Float64()*float64(min(time.Duration(backoffJitter*float64(d)), maxBackoffJitter))))
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.backoffs, func(_ string, r *backoff) bool { return now.Sub(r.until) > backoffRetention })
	known := p.backoffs[id]
	if known == nil {
		known = &backoff{}
		p.backoffs[id] = known
	}
	if until.After(known.until) {
		known.until = until
	}
	known.trial = nil
}

// BackingOff returns the number of engines in backoff.
func (p *Placement) BackingOff(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.backoffs {
		if now.Before(r.until) {
			n++
		}
	}
	return n
}

// backoffUntil returns when an engine's backoff allows a request; a past time if now. The caller
// must hold the lock.
func (p *Placement) backoffUntil(now time.Time, id string) time.Time {
	r := p.backoffs[id]
	switch {
	case r == nil:
		return time.Time{}
	case r.trial != nil && now.After(r.until):
		return now.Add(firstTokenOverhead) // Wait for the result of the trial request.
	}
	return r.until
}

// noteTrial records a trial request to an engine whose backoff is over. The caller must hold the
// lock.
func (p *Placement) noteTrial(now time.Time, c *Call) {
	if r := p.backoffs[c.engine.ID]; r != nil && r.trial == nil && !now.Before(r.until) {
		r.trial = c
	}
}

// endBackoff removes an engine's backoff once its trial request was accepted, or ended without
// another backoff. The caller must hold the lock.
func (p *Placement) endBackoff(c *Call) {
	if r := p.backoffs[c.engine.ID]; r != nil && r.trial == c {
		delete(p.backoffs, c.engine.ID)
	}
}
