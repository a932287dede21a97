package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

// maxFitError is the largest error of an expected time. A tenth of the samples at the specified cap of
// 2.5 times the estimate makes it 20% too long; the rest is left for noise.
const maxFitError = 0.25

// TestFitRecoversOverheadAndRate checks that the estimate of the time to the first event follows the
// samples where a tenth are outliers and the rest are noisy, for prompts of the users' lengths; a
// wrong one refuses prompts as hopeless or lets them queue. The third deployment is at other values.
func TestFitRecoversOverheadAndRate(t *testing.T) {
	for _, actual := range []struct{ overhead, rate float64 }{{35, 54}, {70, 52}, {20, 150}} {
		rng := rand.New(rand.NewPCG(1, 2))
		var fit prefillTime
		for range 600 {
			tokens := 800 + 200*rng.Float64()
			if rng.IntN(2) == 0 {
				tokens = 1500 + 7700*rng.Float64()
			}
			ms := (actual.overhead + tokens/actual.rate) * (1 + 0.15*rng.NormFloat64())
			if rng.IntN(10) == 0 {
				ms *= 4 + 20*rng.Float64()
			}
			fit.note(tokens, ms)
		}
		overhead, rate := fit.estimate()
		t.Logf("%.0f ms and %.0f tokens/ms estimated as %.1f ms and %.1f", actual.overhead, actual.rate, overhead, rate)
		for _, tokens := range []float64{830, 2900, 9200} {
			want := actual.overhead + tokens/actual.rate
			if got := overhead + tokens/rate; math.Abs(got/want-1) > maxFitError {
				t.Errorf("%v tokens at %.0f ms and %.0f tokens/ms: expected in %.0f ms, actually in %.0f", tokens, actual.overhead, actual.rate, got, want)
			}
		}
	}
}

// TestFitIsBounded checks the prior, and that the rate keeps its bounds and the overhead is not
// negative whatever the samples are: an estimate beyond them stops all traffic or all limits.
func TestFitIsBounded(t *testing.T) {
	var none prefillTime
	if overhead, rate := none.estimate(); overhead != priorOverhead || rate != defaultPrefillRate {
		t.Errorf("without samples: %v ms and %v tokens/ms", overhead, rate)
	}
	for name, ms := range map[string]func(tokens float64) float64{
		"stalled": func(float64) float64 { return 60000 }, "at once": func(float64) float64 { return 0 },
		"falling": func(tokens float64) float64 { return 300 - tokens/100 }, "slow": func(tokens float64) float64 { return tokens },
	} {
		var fit prefillTime
		for i := range 3000 {
			fit.note(float64(100+i%90*100), ms(float64(100+i%90*100)))
		}
		if overhead, rate := fit.estimate(); !(rate >= minFitRate && rate <= maxFitRate*(1+1e-9) && overhead >= 0) {
			t.Errorf("%s: %v ms and %v tokens/ms", name, overhead, rate)
		}
	}
}

// TestFitOfPromptsOfOneLength checks that a pool whose prompts all have about one length keeps a
// plausible rate for others: such samples alone say nothing about it.
func TestFitOfPromptsOfOneLength(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var fit prefillTime
	for i := range 3000 {
		fit.note(830+10*rng.Float64(), (70+830.0/defaultPrefillRate)*(1+0.15*rng.NormFloat64()))
		if _, rate := fit.estimate(); math.Abs(defaultPrefillRate/rate-1) > maxFitError {
			t.Fatalf("after %d samples the rate is %.0f tokens/ms, want %v", i+1, rate, defaultPrefillRate)
		}
	}
}

// TestNoSampleFromAFullEngine checks that the wait for a slot at a full engine is not taken for slow
// prefill: the estimate would refuse more the longer such waits are.
func TestNoSampleFromAFullEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New("hall")
	p.Set(Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 24})
	r := Request{Pool: "p", Interactive: true, Prompt: Prompt{Tokens: 9000}}
	for _, inFlight := range []int{24, 23} {
		p.UpdatePeer(now, "peer", history.Position{}, map[string]Load{"e": {InFlight: inFlight}}, nil)
		c, _ := p.Choose(now, r)
		call := p.Start(now, c, r)
		call.Began(now.Add(400 * time.Millisecond))
		call.End(now.Add(400*time.Millisecond), Answered)
		if overhead, _ := p.pools["p"].prefillTime.estimate(); (overhead == priorOverhead) != (inFlight == 24) {
			t.Errorf("with %d of 24 slots taken the overhead became %v ms", inFlight, overhead)
		}
	}
}

// TestSamplesAtSlowedAndFailingEngines guards against a slowed engine's time that counts in the pool's
// overhead as well as in the slowdown, against answers with an error of the engine that are samples or
// confirm parts of the prompt, and against a pace that counts the overhead twice.
func TestSamplesAtSlowedAndFailingEngines(t *testing.T) {
	const work = 9000 / defaultPrefillRate // in milliseconds
	for _, test := range []struct {
		name             string
		slowdown, took   float64 // as reported with the answer, and the time in milliseconds
		failed           bool
		pace             float64
		sample, confirms bool
	}{
		{"usual", 1, priorOverhead + work, false, 1, true, true},
		{"slowed", 2.5, priorOverhead + 2.5*work, false, (priorOverhead + 2.5*work) / (priorOverhead + work), true, true},
		{"failing at once", 1, 2, true, 0, false, false},
		{"failing late", 1, 2000, true, 0, false, false},
	} {
		now, p := time.Unix(1000, 0), New("hall")
		p.Set(Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 24})
		r := Request{Pool: "p", Interactive: true, Prompt: Prompt{Tokens: 9000, Shared: []Part{NewPart("shared", 8000)}}}
		c, _ := p.Choose(now, r)
		call := p.Start(now, c, r)
		now = now.Add(time.Duration(test.took * float64(time.Millisecond)))
		call.ReportSlowdown(now, test.slowdown)
		if test.failed {
			call.BeganWithError(now)
		} else {
			call.Began(now)
		}
		overhead, rate := p.pools["p"].prefillTime.estimate()
		if math.Abs(overhead-priorOverhead) > 0.01 || math.Abs(rate-defaultPrefillRate) > 0.01 {
			t.Errorf("%s: the estimate became %.2f ms and %.2f tokens/ms", test.name, overhead, rate)
		}
		if got := p.pools["p"].prefillTime.samples.weight > 0; got != test.sample {
			t.Errorf("%s: a sample of the prefill time is %t", test.name, got)
		}
		if got := p.cache.uncachedTokens(now, "e", r.Prompt) < 9000; got != test.confirms || len(p.cache.pending) > 0 {
			t.Errorf("%s: the part counts as cached: %t, and %d as being prefilled", test.name, got, len(p.cache.pending))
		}
		if got := p.engines["e"].pace.ratio; math.Abs(got-test.pace) > 0.01 {
			t.Errorf("%s: pace %.2f, want %.2f", test.name, got, test.pace)
		}
	}
}
