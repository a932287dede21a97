package broker

import (
	"math"
	"time"
)

const (
	// lengthBuckets is how many buckets a LengthHistogram has; each is twice as wide as
	// the one before, in quarter steps.
	lengthBuckets = 64

	// bucketsPerDoubling is how fine the buckets are.
	bucketsPerDoubling = 4

	// lengthDecay is what each new answer leaves of the weight of the old ones.
	lengthDecay = 0.995

	// defaultLength is the length assumed before any answer was seen, in tokens.
	defaultLength = 128
)

// LengthHistogram learns how long something is, such as the answers of one class, as a
// distribution in which old samples fade. The zero value is ready.
type LengthHistogram struct {
	weights [lengthBuckets]float64
	total   float64
}

// Observe takes the length of a complete answer, in tokens.
func (l *LengthHistogram) Observe(tokens int) {
	if tokens < 1 {
		return
	}
	for i := range l.weights {
		l.weights[i] *= lengthDecay
	}
	l.weights[bucketOf(tokens)]++
	l.total = l.total*lengthDecay + 1
}

// Quantile returns the length that a share q of the answers does not exceed.
func (l *LengthHistogram) Quantile(q float64) int {
	if l.total == 0 {
		return defaultLength
	}
	sum := 0.0
	for i, w := range l.weights {
		sum += w
		if sum >= q*l.total {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(lengthBuckets - 1)
}

// headroom returns the time to the first token that is seldom exceeded, or 0
// before any was seen.
func (l *LengthHistogram) headroom() time.Duration {
	if l.total == 0 {
		return 0
	}
	return time.Duration(l.Quantile(firstTokenQuantile)) * time.Millisecond
}

// bucketOf returns the bucket that a length falls into.
func bucketOf(tokens int) int {
	i := int(math.Ceil(math.Log2(float64(tokens)) * bucketsPerDoubling))
	return min(i, lengthBuckets-1)
}

// bucketUpperBound returns the greatest length of a bucket.
func bucketUpperBound(i int) int { return int(math.Exp2(float64(i) / bucketsPerDoubling)) }
