// Package freshness tells how long ago it was proved that the configuration in
// force is the newest, on the steady clock. A node that can't prove it refuses
// requests with keys, since a key may have been taken away meanwhile.
package freshness

import (
	"sync"
	"time"
)

// Proof is the newest proof that the configuration in force is the newest.
type Proof struct {
	mu        sync.Mutex
	maxAge    time.Duration
	provenAt  time.Time
	proven    bool
	notBefore time.Time // from is the moment before which no proof counts.
}

// New returns a proof that holds for maxAge once it is given.
func New(maxAge time.Duration) *Proof { return &Proof{maxAge: maxAge} }

// SetMaxAge changes how long a proof holds.
func (p *Proof) SetMaxAge(maxAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAge = maxAge
}

// Renew records that the configuration in force was the newest at a moment; an
// older moment changes nothing.
func (p *Proof) Renew(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !at.Before(p.notBefore) && (!p.proven || at.After(p.provenAt)) {
		p.provenAt, p.proven = at, true
	}
}

// Forget drops the proof, and counts none of before a moment: that at which the process was back from an absence.
func (p *Proof) Invalidate(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proven, p.notBefore = false, now
}

// Age returns the age of the newest proof, and whether there is one.
func (p *Proof) Age(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.provenAt), p.proven
}

// AgeMs returns the age of the newest proof in milliseconds, -1 if there is none.
func (p *Proof) AgeMs(now time.Time) int64 {
	age, ok := p.Age(now)
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// Fresh reports whether the newest proof still holds.
func (p *Proof) Fresh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proven && now.Sub(p.provenAt) <= p.maxAge
}
