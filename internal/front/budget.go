package front

import "sync"

const (
	// retryShare is the number of retries each new request adds to the budget.
	retryShare = 0.1

	// retryBurst is the maximum number of retries the budget accumulates.
	retryBurst = 10
)

// retryBudget limits retries to a share of the requests per pool, so that retries
// don't overload a failing pool.
type retryBudget struct {
	mu   sync.Mutex
	left map[string]float64
}

// newRetryBudget returns a budget that starts full in each pool.
func newRetryBudget() *retryBudget { return &retryBudget{left: map[string]float64{}} }

// countRequest adds the retry share of one new request to a pool's budget.
func (b *retryBudget) countRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, known := b.left[pool]
	if !known {
		left = retryBurst
	}
	b.left[pool] = min(left+retryShare, retryBurst)
}

// takeRetry spends one retry and reports whether the budget allowed it.
func (b *retryBudget) takeRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[pool] < 1 {
		return false
	}
	b.left[pool]--
	return true
}
