package front

import "sync"

const (
	// retryShare is how many retries each first try allows.
	retryShare = 0.1

	// retryReserve is how many retries are allowed after quiet times.
	retryReserve = 10
)

// retryBudget bounds retries to a share of first tries, so that a failing pool
// is not loaded further by repetition.
type retryBudget struct {
	mu   sync.Mutex
	left map[string]float64
}

// newRetryBudget returns a budget with full reserves.
func newRetryBudget() *retryBudget { return &retryBudget{left: map[string]float64{}} }

// first counts a first try in a pool.
func (b *retryBudget) first(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, known := b.left[pool]
	if !known {
		left = retryReserve
	}
	b.left[pool] = min(left+retryShare, retryReserve)
}

// take takes one retry, if there is one.
func (b *retryBudget) take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[pool] < 1 {
		return false
	}
	b.left[pool]--
	return true
}
