package placement

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// maxBackoff is the longest rest that is kept to. An engine that asks for more is tried again after it.
	maxBackoff = 10 * time.Minute

	// backoffJitter is by how much longer than an engine asked for it rests at most, as a share, and mostSpread the longest: nodes
	// that it asked together don't come back together.
	backoffJitter    = 0.2
	maxBackoffJitter = 500 * time.Millisecond

	// backoffRetention is for how long a rest is remembered after its end where the engine is not tried.
	backoffRetention = time.Minute
)

// backoff is the backoff that an engine asked this node for. After its end one request is sent there, and more once the engine has
// taken it.
type backoff struct {
	until time.Time
	trial *Call // trial is the request that was sent after the end; nil for none.
}

// BackOff takes that an engine asked this node to send nothing for a time. Of several rests the one that ends last counts.
func (p *Placement) BackOff(now time.Time, id string, lasts time.Duration) {
	if lasts <= 0 {
		return
	}
	lasts = min(lasts, maxBackoff)
	until := now.Add(lasts + time.Duration(rand.Float64()*float64(min(time.Duration(backoffJitter*float64(lasts)), maxBackoffJitter))))
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

// BackingOff returns how many engines rest.
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

// backoffUntil returns when an engine may be sent a request, as far as it asked for rest; in the past if now. The caller holds the lock.
func (p *Placement) backoffUntil(now time.Time, id string) time.Time {
	r := p.backoffs[id]
	switch {
	case r == nil:
		return time.Time{}
	case r.trial != nil && now.After(r.until):
		return now.Add(firstTokenOverhead) // The answer of the one that was sent will tell.
	}
	return r.until
}

// noteTrial records a request to an engine whose rest is over. The caller holds the lock.
func (p *Placement) noteTrial(now time.Time, c *Call) {
	if r := p.backoffs[c.engine.ID]; r != nil && r.trial == nil && !now.Before(r.until) {
		r.trial = c
	}
}

// endBackoff forgets the rest of an engine that has taken the request which was sent after its end, or has not asked for another.
// The caller holds the lock.
func (p *Placement) endBackoff(c *Call) {
	if r := p.backoffs[c.engine.ID]; r != nil && r.trial == c {
		delete(p.backoffs, c.engine.ID)
	}
}
