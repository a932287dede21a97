package placement

const (
	// priorOverhead is the assumed time to the first event apart from the prefill, in milliseconds.
	priorOverhead = 30.0

	// firstPriorWeight is the weight of the assumed overhead and rate, in samples, before the first
	// sample. It decays like a sample but not below lastPriorWeight: where all prompts have about the
	// same length, the samples alone say nothing about the rate, and it would become random.
	firstPriorWeight = 20.0
	lastPriorWeight  = 5.0

	// priorSpread is the variance, in tokens squared, of the prompt lengths that the weight of the
	// assumed rate stands for: that of lengths up to 10,000.
	priorSpread = 8e6

	// fitDecay is what is left of the weight of older samples after a new one: about the last 200
	// count, some seconds of a node's requests.
	fitDecay = 0.995

	// maxSampleRatio limits a sample's deviation from the estimate, as a factor in both directions:
	// an engine that stalled once, or failed at once, says nothing about the others. A limited sample
	// has the weight outlierWeight. At full weight a tenth of such samples makes the estimate 20%
	// too long; at none it could never move to values that are far from the assumption.
	maxSampleRatio = 2.5
	outlierWeight  = 0.25

	// minFitRate and maxFitRate bound the estimated rate, in tokens per millisecond.
	minFitRate = 10.0
	maxFitRate = 400.0
)

type (
	// prefillTime estimates the time to the first event as an overhead plus the prefill time, by a
	// least-squares fit over the newest requests that had nothing queued before them. An estimate of
	// the rate alone takes the overhead for slow prefill, which makes long prompts look twice as long
	// as they are. The zero value is ready for use.
	prefillTime struct {
		samples        fitSums
		prior          float64 // prior is the present weight of the assumption; 0 before the first sample.
		overhead, rate float64 // overhead and rate are the estimate; rate is 0 before the first sample.
	}

	// fitSums are weighted sums over samples of tokens and milliseconds.
	fitSums struct{ weight, tokens, ms, tokensSquared, product float64 }
)

// note records the time to the first event after some tokens, in milliseconds.
func (f *prefillTime) note(tokens, ms float64) {
	if f.prior == 0 {
		f.prior = firstPriorWeight
	}
	overhead, rate := f.estimate()
	expected := overhead + tokens/rate
	limited, weight := min(max(ms, expected/maxSampleRatio), expected*maxSampleRatio), 1.0
	if limited != ms {
		weight = outlierWeight
	}
	f.samples.decay()
	f.samples.add(weight, tokens, limited)
	f.prior = max(f.prior*fitDecay, lastPriorWeight)
	f.fit()
}

// estimate returns the overhead in milliseconds and the rate in tokens per millisecond.
func (f *prefillTime) estimate() (overhead, rate float64) {
	if f.rate == 0 {
		return priorOverhead, defaultPrefillRate
	}
	return f.overhead, f.rate
}

// fit computes the estimate: first the rate from the samples' deviations from their means, then the
// overhead from what the rate leaves. The assumption is added to each by its weight.
func (f *prefillTime) fit() {
	s, spread := f.samples, f.prior*priorSpread
	covariance := s.product - s.tokens*s.ms/s.weight
	variance := max(0, s.tokensSquared-s.tokens*s.tokens/s.weight)
	slope := (covariance + spread/defaultPrefillRate) / (variance + spread)
	slope = min(max(slope, 1/maxFitRate), 1/minFitRate)
	f.overhead = max(0, (s.ms-slope*s.tokens+f.prior*priorOverhead)/(s.weight+f.prior))
	f.rate = 1 / slope
}

// add adds a sample with a weight.
func (s *fitSums) add(weight, tokens, ms float64) {
	s.weight += weight
	s.tokens += weight * tokens
	s.ms += weight * ms
	s.tokensSquared += weight * tokens * tokens
	s.product += weight * tokens * ms
}

// decay reduces the weight of the samples.
func (s *fitSums) decay() {
	s.weight *= fitDecay
	s.tokens *= fitDecay
	s.ms *= fitDecay
	s.tokensSquared *= fitDecay
	s.product *= fitDecay
}
