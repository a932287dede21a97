package edge

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// limitGrace is how long after an engine first announced a limit it may still get more
	// requests; limitWindow is the time over which requests are counted.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
)

// maxAllowed returns how many requests an engine with a limit may get within limitWindow.
func maxAllowed(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// TestLimitAppliesToAllNodesTogether guards against exceeding an engine's limit in total when only
// some nodes got the announcement.
func TestLimitAppliesToAllNodesTogether(t *testing.T) {
	for _, test := range []struct {
		name   string
		nodes  int
		limits []float64 // limits are what the engines announce; negative for none.
	}{
		{"one of three", 4, []float64{1, -1, -1}},
		{"below one request in a window", 4, []float64{0.2, -1, -1}},
		{"several a second", 4, []float64{6, -1, -1}},
		{"all of them", 4, []float64{0.5, 2, 6}},
		{"at hubs and spokes", 16, []float64{6, 0.5, -1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newScriptedCluster(t, len(test.limits), test.nodes)
			for i, limit := range test.limits {
				w.engines[i].setLimit(limit)
			}
			begin := time.Now()
			w.load(10*time.Millisecond, limitGrace+2*limitWindow, func(string, int, time.Time, result) {})
			for i, limit := range test.limits {
				if limit < 0 {
					continue
				}
				from := begin.Add(limitGrace)
				if most := w.engines[i].maxWithin(from, limitWindow); most > maxAllowed(limit) {
					t.Errorf("an engine that takes %v a second got %d requests in %v, allowed %d", limit, most, limitWindow, maxAllowed(limit))
				}
				want := 0.7 * limit * 2 * limitWindow.Seconds()
				if slices.Min(test.limits) < 0 {
					continue // The engines without a limit may take all.
				}
				if n := w.engines[i].countBetween(from, from.Add(2*limitWindow)); float64(n) < math.Floor(want) {
					t.Errorf("an engine that takes %v a second got %d requests in %v, want %.0f at least", limit, n, 2*limitWindow, math.Floor(want))
				}
			}
		})
	}
}

// TestExcessIsRefusedWhenAllEnginesAreLimited guards against requests that are held too long,
// sent beyond the limits, or refused wrongly where all engines are limited to less than the load.
func TestExcessIsRefusedWhenAllEnginesAreLimited(t *testing.T) {
	w := newScriptedCluster(t, 2, 4)
	for _, e := range w.engines {
		e.setLimit(5)
	}
	var mu sync.Mutex
	served, asked, retryAfters := map[string]int{}, map[string]int{}, map[string]bool{}
	from := time.Now().Add(limitGrace)
	w.load(25*time.Millisecond, limitGrace+limitWindow, func(route string, _ int, sent time.Time, g result) {
		if sent.Before(from) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		asked[route]++
		switch {
		case g.status == http.StatusOK:
			served[route]++
		case g.status != http.StatusServiceUnavailable:
			t.Errorf("a request got status %d after %v", g.status, g.took)
		default:
			retryAfters[g.retryAfter] = true
			after, err := strconv.ParseFloat(g.retryAfter, 64)
			if err != nil || after <= 0 || after > 2.0/3 || g.took > 600*time.Millisecond {
				t.Errorf("refused after %v with Retry-After %q", g.took, g.retryAfter)
			}
		}
	})
	t.Logf("asked %v, served %v", asked, served)
	all := float64(served["high"] + served["low"])
	if allowed := 2 * 5 * limitWindow.Seconds(); all < 0.8*allowed {
		t.Errorf("%.0f requests were served, of %.0f that the limits allow", all, allowed)
	}
	if high, low := float64(served["high"])/float64(asked["high"]), float64(served["low"])/float64(asked["low"]); high < 2*low {
		t.Errorf("served of the highest tier %.2f, of the lowest %.2f", high, low)
	}
	if len(retryAfters) < 20 {
		t.Errorf("only %d different values of Retry-After", len(retryAfters))
	}
}

// TestAnEngineWhoseLimitEndsIsUsedAgain guards against a limit that is still applied after the
// engine has lifted it.
func TestAnEngineWhoseLimitEndsIsUsedAgain(t *testing.T) {
	w := newScriptedCluster(t, 2, 4)
	w.engines[0].setLimit(1)
	time.AfterFunc(limitGrace, func() { w.engines[0].setLimit(-1) })
	begin := time.Now()
	w.load(10*time.Millisecond, 2*limitGrace, func(string, int, time.Time, result) {})
	before := w.engines[0].countBetween(begin.Add(time.Second), begin.Add(limitGrace))
	after := w.engines[0].countBetween(begin.Add(2*limitGrace-time.Second), begin.Add(2*limitGrace))
	if after < 20 || before > 12 {
		t.Errorf("%d requests in %v with a limit of 1 a second, %d in the last second of those without", before, limitGrace-time.Second, after)
	}
}

// TestLimitHoldsAfterLossOfItsIssuer guards against nodes that exceed the limit, or stop sending,
// after the node that issues the permits was lost.
func TestLimitHoldsAfterLossOfItsIssuer(t *testing.T) {
	const limit = 4
	w := newScriptedCluster(t, 1, 5)
	engine := w.engines[0]
	engine.setLimit(limit)
	begin := time.Now()
	var lost atomic.Pointer[time.Time]
	time.AfterFunc(limitGrace, func() {
		for _, e := range w.nodes {
			if issuer, ok := e.permitIssuer(time.Now(), engine.hall, engine.id); ok && issuer.Self {
				now := time.Now()
				lost.Store(&now)
				_ = e.stop() // The node sends its peers no message that it stops.
				return
			}
		}
	})
	w.load(20*time.Millisecond, 3*limitGrace, func(string, int, time.Time, result) {})
	if lost.Load() == nil {
		t.Fatal("no node issues the permits")
	}
	if most := engine.maxWithin(begin.Add(limitGrace), limitWindow); most > maxAllowed(limit) {
		t.Errorf("the engine got %d requests in %v, allowed %d", most, limitWindow, maxAllowed(limit))
	}
	from := lost.Load().Add(2 * time.Second)
	if n := engine.countBetween(from, from.Add(limitGrace)); float64(n) < 0.6*limit*limitGrace.Seconds() {
		t.Errorf("the engine got %d requests in %v once another node issues the permits", n, limitGrace)
	}
}
