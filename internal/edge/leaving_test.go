package edge

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// leavingGrace is how long after an engine first announced that it leaves it may still get
	// requests from any node; drainTime is how long the load continues after that.
	leavingGrace = time.Second
	drainTime    = 3 * time.Second
)

// TestLeavingEngineGetsNoMoreRequests guards against requests to an engine whose responses
// announce that it leaves while its entry says it is ready.
func TestLeavingEngineGetsNoMoreRequests(t *testing.T) {
	for _, test := range []struct {
		name      string
		status    int64
		meanwhile func(w *scriptedCluster) // meanwhile is called during the load.
	}{
		{"in a whole answer", 0, func(*scriptedCluster) {}},
		{"in a failure", http.StatusInternalServerError, func(*scriptedCluster) {}},
		{"in a refusal", http.StatusServiceUnavailable, func(*scriptedCluster) {}},
		{"while the store is unavailable", 0, func(w *scriptedCluster) { w.storeDown.Store(true) }},
		{"while its entry is renewed as ready", 0, func(w *scriptedCluster) { w.version.Add(1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newScriptedCluster(t, 3, 3)
			leaver := w.engines[0]
			leaver.status.Store(test.status)
			leaver.leaving.Store(true)
			begin := time.Now()
			time.AfterFunc(leavingGrace/2, func() { test.meanwhile(w) })
			w.load(10*time.Millisecond, leavingGrace+drainTime, func(string, time.Time, result) {})
			if leaver.countBetween(begin, begin.Add(leavingGrace)) == 0 {
				t.Error("no request was sent to the engine before it announced that it leaves")
			}
			if n := leaver.countBetween(begin.Add(leavingGrace), time.Now()); n > 0 {
				t.Errorf("%d requests came later than %v after the engine first announced that it leaves", n, leavingGrace)
			}
		})
	}
}

// TestRestartedEngineIsUsedAfterItLeft guards against applying the leave announcement of a
// former incarnation to a restarted engine.
func TestRestartedEngineIsUsedAfterItLeft(t *testing.T) {
	w := newScriptedCluster(t, 2, 3)
	leaver := w.engines[0]
	leaver.leaving.Store(true)
	begin := time.Now()
	time.AfterFunc(leavingGrace, func() {
		leaver.leaving.Store(false)
		leaver.startedAt.Store(2)
		w.version.Add(1)
	})
	w.load(10*time.Millisecond, 3*leavingGrace, func(string, time.Time, result) {})
	if n := leaver.countBetween(begin.Add(2*leavingGrace), time.Now()); n < 20 {
		t.Errorf("%d requests in the last second, though the engine has restarted", n)
	}
}

// TestCallersAreRefusedAtOnceWhenAllEnginesLeave guards against requests that wait for engines
// that do not return.
func TestCallersAreRefusedAtOnceWhenAllEnginesLeave(t *testing.T) {
	w := newScriptedCluster(t, 2, 2)
	for _, e := range w.engines {
		e.leaving.Store(true)
	}
	from := time.Now().Add(leavingGrace)
	var refused, others atomic.Int64
	w.load(10*time.Millisecond, 2*leavingGrace, func(_ string, sent time.Time, g result) {
		switch {
		case sent.Before(from):
		case g.status == http.StatusServiceUnavailable && g.took < 100*time.Millisecond:
			refused.Add(1)
		default:
			others.Add(1)
		}
	})
	if refused.Load() < 50 || others.Load() > 0 {
		t.Errorf("%d requests were refused at once, %d were not", refused.Load(), others.Load())
	}
}
