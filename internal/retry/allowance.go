package retry

import (
	"sync"
	"time"
)

const (
	// allowedPart is the inverse of the share of the time of all answered runs that engines may spend on runs whose answers are
	// not used: a twentieth, with a margin for runs that take longer than was set aside.
	allowedPart = 30

	// firstAllowance is what each pool has before any run was answered, and maxAllowance the most that it keeps.
	firstAllowance = time.Second
	maxAllowance   = time.Minute
)

// Allowance bounds the time that the engines of a pool spend on second runs of requests whose first run may still be answered.
// It is safe for concurrent use.
type Allowance struct {
	mu   sync.Mutex
	left map[string]time.Duration // left is what each pool may still spend; less than zero where runs took longer than set aside.
}

// Answered adds to the allowance of a pool for a run that was answered.
func (a *Allowance) Answered(pool string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(pool, a.of(pool)+took/allowedPart)
}

// Take sets a time aside for a second run and reports whether it may begin.
func (a *Allowance) Take(pool string, d time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.of(pool) < d {
		return false
	}
	a.set(pool, a.of(pool)-d)
	return true
}

// Settle records what a run whose answer is not used took in place of the time that was set aside for it.
func (a *Allowance) Settle(pool string, aside, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(pool, a.of(pool)+aside-took)
}

// of returns what a pool may spend. The caller holds the lock.
func (a *Allowance) of(pool string) time.Duration {
	if left, ok := a.left[pool]; ok {
		return left
	}
	return firstAllowance
}

// set sets what a pool may spend. The caller holds the lock.
func (a *Allowance) set(pool string, left time.Duration) {
	if a.left == nil {
		a.left = map[string]time.Duration{}
	}
	a.left[pool] = max(-maxAllowance, min(left, maxAllowance))
}
