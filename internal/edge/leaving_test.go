package edge

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// leavingSettles is how long after an engine first said that it leaves it may get more, of any node, and drains how long
	// after that the load goes on.
	leavingSettles = time.Second
	drains         = 3 * time.Second
)

// TestAnEngineThatSaysItLeavesGetsNothingMore guards against requests to an engine whose answers say that it leaves while its entry says ready.
func TestAnEngineThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int64
		also   func(w *saysWorld) // also is done meanwhile.
	}{
		{"in a whole answer", 0, func(*saysWorld) {}},
		{"in a failure", http.StatusInternalServerError, func(*saysWorld) {}},
		{"in a refusal", http.StatusServiceUnavailable, func(*saysWorld) {}},
		{"while the store is away", 0, func(w *saysWorld) { w.away.Store(true) }},
		{"while its entry is renewed as ready", 0, func(w *saysWorld) { w.version.Add(1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSaysWorld(t, 3, 3)
			leaver := w.engines[0]
			leaver.status.Store(test.status)
			leaver.leaving.Store(true)
			begin := time.Now()
			time.AfterFunc(leavingSettles/2, func() { test.also(w) })
			w.load(10*time.Millisecond, leavingSettles+drains, func(string, time.Time, got) {})
			if leaver.between(begin, begin.Add(leavingSettles)) == 0 {
				t.Error("nothing was sent there before it said so")
			}
			if n := leaver.between(begin.Add(leavingSettles), time.Now()); n > 0 {
				t.Errorf("%d requests came later than %v after it first said that it leaves", n, leavingSettles)
			}
		})
	}
}

// TestAnEngineThatIsBackAfterItLeftIsUsedAgain guards against what an engine's former life said being taken for its present one.
func TestAnEngineThatIsBackAfterItLeftIsUsedAgain(t *testing.T) {
	w := newSaysWorld(t, 2, 3)
	leaver := w.engines[0]
	leaver.leaving.Store(true)
	begin := time.Now()
	time.AfterFunc(leavingSettles, func() {
		leaver.leaving.Store(false)
		leaver.born.Store(2)
		w.version.Add(1)
	})
	w.load(10*time.Millisecond, 3*leavingSettles, func(string, time.Time, got) {})
	if n := leaver.between(begin.Add(2*leavingSettles), time.Now()); n < 20 {
		t.Errorf("%d requests in the last second, though it has started again", n)
	}
}

// TestWhereAllEnginesLeaveCallersAreRefusedAtOnce guards against requests that wait for engines which are not coming back.
func TestWhereAllEnginesLeaveCallersAreRefusedAtOnce(t *testing.T) {
	w := newSaysWorld(t, 2, 2)
	for _, e := range w.engines {
		e.leaving.Store(true)
	}
	from := time.Now().Add(leavingSettles)
	var refused, others atomic.Int64
	w.load(10*time.Millisecond, 2*leavingSettles, func(_ string, sent time.Time, g got) {
		switch {
		case sent.Before(from):
		case g.status == http.StatusServiceUnavailable && g.took < 100*time.Millisecond:
			refused.Add(1)
		default:
			others.Add(1)
		}
	})
	if refused.Load() < 50 || others.Load() > 0 {
		t.Errorf("%d were refused at once, %d not", refused.Load(), others.Load())
	}
}
