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
	// limitSettles is how long after an engine first named a limit it may get more, and limitSpan over how long it is counted.
	limitSettles = 3 * time.Second
	limitSpan    = 4 * time.Second
)

// mostAllowed returns how many requests an engine that has named a limit may get within limitSpan.
func mostAllowed(limit float64) int { return int(1.5*limit*limitSpan.Seconds()) + 5 }

// TestALimitIsOfAllNodesTogether guards against engines that get more requests than the limit which they named to some nodes.
func TestALimitIsOfAllNodesTogether(t *testing.T) {
	for _, test := range []struct {
		name   string
		nodes  int
		limits []float64 // limits are what the engines name; below 0 for none.
	}{
		{"one of three", 4, []float64{1, -1, -1}},
		{"below one request in a window", 4, []float64{0.2, -1, -1}},
		{"several a second", 4, []float64{6, -1, -1}},
		{"all of them", 4, []float64{0.5, 2, 6}},
		{"at hubs and spokes", 16, []float64{6, 0.5, -1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSaysWorld(t, len(test.limits), test.nodes)
			for i, limit := range test.limits {
				w.engines[i].names(limit)
			}
			begin := time.Now()
			w.load(10*time.Millisecond, limitSettles+2*limitSpan, func(string, time.Time, got) {})
			for i, limit := range test.limits {
				if limit < 0 {
					continue
				}
				from := begin.Add(limitSettles)
				if most := w.engines[i].most(from, limitSpan); most > mostAllowed(limit) {
					t.Errorf("an engine that takes %v a second got %d requests in %v, allowed %d", limit, most, limitSpan, mostAllowed(limit))
				}
				want := 0.7 * limit * 2 * limitSpan.Seconds()
				if slices.Min(test.limits) < 0 {
					continue // The others may take all.
				}
				if n := w.engines[i].between(from, from.Add(2*limitSpan)); float64(n) < math.Floor(want) {
					t.Errorf("an engine that takes %v a second got %d requests in %v, want %.0f at least", limit, n, 2*limitSpan, math.Floor(want))
				}
			}
		})
	}
}

// TestWhereAllEnginesAreLimitedTheRestIsRefused guards against requests that are held, sent or refused falsely where engines take fewer than come.
func TestWhereAllEnginesAreLimitedTheRestIsRefused(t *testing.T) {
	w := newSaysWorld(t, 2, 4)
	for _, e := range w.engines {
		e.names(5)
	}
	var mu sync.Mutex
	served, asked, comeBacks := map[string]int{}, map[string]int{}, map[string]bool{}
	from := time.Now().Add(limitSettles)
	w.load(25*time.Millisecond, limitSettles+limitSpan, func(route string, sent time.Time, g got) {
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
			comeBacks[g.comeBack] = true
			after, err := strconv.ParseFloat(g.comeBack, 64)
			if err != nil || after <= 0 || after > 2.0/3 || g.took > 600*time.Millisecond {
				t.Errorf("refused after %v, to come back after %q", g.took, g.comeBack)
			}
		}
	})
	t.Logf("asked %v, served %v", asked, served)
	all := float64(served["high"] + served["low"])
	if allowed := 2 * 5 * limitSpan.Seconds(); all < 0.8*allowed {
		t.Errorf("%.0f requests were served, of %.0f that the engines take", all, allowed)
	}
	if high, low := float64(served["high"])/float64(asked["high"]), float64(served["low"])/float64(asked["low"]); high < 2*low {
		t.Errorf("served of the highest tier %.2f, of the lowest %.2f", high, low)
	}
	if len(comeBacks) < 20 {
		t.Errorf("only %d different times to come back", len(comeBacks))
	}
}

// TestAnEngineWhoseLimitEndsIsUsedAgain guards against a limit that outlives what the engine says.
func TestAnEngineWhoseLimitEndsIsUsedAgain(t *testing.T) {
	w := newSaysWorld(t, 2, 4)
	w.engines[0].names(1)
	time.AfterFunc(limitSettles, func() { w.engines[0].names(-1) })
	begin := time.Now()
	w.load(10*time.Millisecond, 2*limitSettles, func(string, time.Time, got) {})
	before := w.engines[0].between(begin.Add(time.Second), begin.Add(limitSettles))
	after := w.engines[0].between(begin.Add(2*limitSettles-time.Second), begin.Add(2*limitSettles))
	if after < 20 || before > 12 {
		t.Errorf("%d requests in %v with a limit of 1 a second, %d in the last second of those without", before, limitSettles-time.Second, after)
	}
}

// TestALimitHoldsWhereItsIssuerIsLost guards against nodes that send on their own, or no more, once the node that issued the permits is gone.
func TestALimitHoldsWhereItsIssuerIsLost(t *testing.T) {
	const limit = 4
	w := newSaysWorld(t, 1, 5)
	engine := w.engines[0]
	engine.names(limit)
	begin := time.Now()
	var lost atomic.Pointer[time.Time]
	time.AfterFunc(limitSettles, func() {
		for _, e := range w.nodes {
			if place, ok := e.issuer(time.Now(), engine.hall, engine.id); ok && place.Self {
				now := time.Now()
				lost.Store(&now)
				_ = e.stop() // It goes without a word to its peers.
				return
			}
		}
	})
	w.load(20*time.Millisecond, 3*limitSettles, func(string, time.Time, got) {})
	if lost.Load() == nil {
		t.Fatal("no node issues the permits")
	}
	if most := engine.most(begin.Add(limitSettles), limitSpan); most > mostAllowed(limit) {
		t.Errorf("the engine got %d requests in %v, allowed %d", most, limitSpan, mostAllowed(limit))
	}
	from := lost.Load().Add(2 * time.Second)
	if n := engine.between(from, from.Add(limitSettles)); float64(n) < 0.6*limit*limitSettles.Seconds() {
		t.Errorf("the engine got %d requests in %v once another issues the permits", n, limitSettles)
	}
}
