package edge

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// backoffGrace is how long after an engine asked a node to back off its requests are not counted; after
// that the engine may get maxDuringBackoff requests from the node until the backoff ends.
const (
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// TestEngineThatAsksToBackOffIsLeftAlone guards against a node sending requests to an engine that
// rejected one and asked to back off.
func TestEngineThatAsksToBackOffIsLeftAlone(t *testing.T) {
	for _, test := range []struct {
		name       string
		backingOff int // backingOff is how many of the three engines ask to back off.
		retryAfter string
		minBackoff time.Duration // minBackoff is how long they must be left alone.
		meanwhile  func(w *scriptedCluster)
	}{
		{"one of three", 1, "2.5", 2500 * time.Millisecond, func(*scriptedCluster) {}},
		{"all of them", 3, "2.5", 2500 * time.Millisecond, func(*scriptedCluster) {}},
		{"while entries are renewed", 3, "2.5", 2500 * time.Millisecond, func(w *scriptedCluster) { w.version.Add(1) }},
		{"for a day", 1, "86400", 3 * time.Second, func(*scriptedCluster) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newScriptedCluster(t, 3, 3)
			for _, e := range w.engines[:test.backingOff] {
				e.setBackoff(test.retryAfter)
			}
			time.AfterFunc(backoffGrace, func() { test.meanwhile(w) })
			w.load(10*time.Millisecond, 3*time.Second, func(string, int, time.Time, result) {})
			for _, e := range w.engines[:test.backingOff] {
				for _, node := range w.nodes {
					came := e.arrivalsFrom(node.settings.Instance)
					if len(came) == 0 {
						t.Fatal("no request was sent to the engine before it asked to back off")
					}
					in := 0
					for _, at := range came {
						if after := at.Sub(came[0]); after > backoffGrace && after < test.minBackoff {
							in++
						}
					}
					if in > maxDuringBackoff {
						t.Errorf("%d requests of a node came during the backoff of %v", in, test.minBackoff)
					}
				}
			}
		})
	}
}

// TestCallersRetryAfterAllEnginesBackedOff guards against callers that are refused
// late, that retry before the engines' backoff ends, or that all retry at the same time.
func TestCallersRetryAfterAllEnginesBackedOff(t *testing.T) {
	w := newScriptedCluster(t, 2, 2)
	for _, e := range w.engines {
		e.setBackoff("0.5")
	}
	begin := time.Now()
	var mu sync.Mutex
	retryAfters := map[string]bool{}
	early := 0
	w.load(10*time.Millisecond, 2*time.Second, func(_ string, _ int, sent time.Time, g result) {
		mu.Lock()
		defer mu.Unlock()
		after, err := strconv.ParseFloat(g.retryAfter, 64)
		if g.status != http.StatusServiceUnavailable || err != nil || g.took > 200*time.Millisecond {
			t.Errorf("status %d after %v with Retry-After %q", g.status, g.took, g.retryAfter)
		}
		retryAfters[g.retryAfter] = true
		if sent.Sub(begin) < 300*time.Millisecond && after < 0.15 {
			early++
		}
	})
	if early > 0 || len(retryAfters) < 50 {
		t.Errorf("%d were told to retry before the backoff ends; %d different values of Retry-After", early, len(retryAfters))
	}
	for _, e := range w.engines {
		if n := e.countBetween(begin, time.Now()); n > 20 {
			t.Errorf("%d requests were sent to an engine that asks to back off each time", n)
		}
	}
}

// TestEngineIsUsedAgainAfterItsBackoff guards against a backoff that does not end, and against all
// waiting requests being sent when it ends.
func TestEngineIsUsedAgainAfterItsBackoff(t *testing.T) {
	w := newScriptedCluster(t, 2, 3)
	e := w.engines[0]
	e.setBackoff("1")
	begin := time.Now()
	time.AfterFunc(500*time.Millisecond, func() { e.status.Store(0) })
	w.load(10*time.Millisecond, 3*time.Second, func(string, int, time.Time, result) {})
	if n := e.countBetween(begin.Add(2*time.Second), time.Now()); n < 20 {
		t.Errorf("%d requests in the last second, long after the backoff ended", n)
	}
}
