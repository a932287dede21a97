// Package freshness tracks how long ago the configuration in force was proven to be the newest, by the monotonic
// clock. A node without a recent proof refuses requests with API keys, since a key may have been revoked meanwhile.
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
	notBefore time.Time // notBefore is the time before which proofs are not accepted.
}

// New returns an empty Proof; a proof is valid for maxAge.
func New(maxAge time.Duration) *Proof { return &Proof{maxAge: maxAge} }

// SetMaxAge changes how long a proof is valid.
func (p *Proof) SetMaxAge(maxAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxAge = maxAge
}

// Renew records that the configuration in force was the newest at a time; an
// older time changes nothing.
func (p *Proof) Renew(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !at.Before(p.notBefore) && (!p.proven || at.After(p.provenAt)) {
		p.provenAt, p.proven = at, true
	}
}

// Invalidate drops the proof and rejects proofs from before now, the time at which the process resumed after a suspension.
func (p *Proof) Invalidate(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proven = false
	if now.After(p.notBefore) {
		p.notBefore = now
	}
}

// Hold rejects proofs from before a time, at which what the platform had lost is written again. The present proof
// stays. An earlier time changes nothing.
func (p *Proof) Hold(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.notBefore) {
		p.notBefore = until
	}
}

// Wait returns for how long no proof is accepted.
func (p *Proof) Wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.notBefore.Sub(now))
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

// Fresh reports whether the newest proof is still valid.
func (p *Proof) Fresh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proven && now.Sub(p.provenAt) <= p.maxAge
}
