package broker

import (
	"math"
	"time"
)

const (
	// lengthBuckets is the number of buckets of a LengthHistogram, which are
	// spaced exponentially.
	lengthBuckets = 64

	// bucketsPerDoubling is the number of buckets in which the bound doubles.
	bucketsPerDoubling = 4

	// lengthDecay is the factor by which each new sample reduces the weight of older ones.
	lengthDecay = 0.995

	// defaultLength is the length assumed before the first sample, in tokens.
	defaultLength = 128
)

// LengthHistogram is a histogram with exponential decay of lengths, such as the
// answers of one class. The zero value is ready for use.
type LengthHistogram struct {
	weights [lengthBuckets]float64
	total   float64
}

// Observe adds a sample, such as the length of a complete answer in tokens.
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

// Quantile returns the length that a share q of the samples does not exceed.
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

// headroom returns the firstTokenQuantile of the samples, taken as milliseconds
// to the first token, or 0 before the first sample.
func (l *LengthHistogram) headroom() time.Duration {
	if l.total == 0 {
		return 0
	}
	return time.Duration(l.Quantile(firstTokenQuantile)) * time.Millisecond
}

// bucketOf returns the index of the bucket for a length.
func bucketOf(tokens int) int {
	i := int(math.Ceil(math.Log2(float64(tokens)) * bucketsPerDoubling))
	return min(i, lengthBuckets-1)
}

// bucketUpperBound returns the greatest length that falls into a bucket.
func bucketUpperBound(i int) int { return int(math.Exp2(float64(i) / bucketsPerDoubling)) }
