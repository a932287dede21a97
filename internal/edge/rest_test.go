package edge

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// restSettles is how long after an engine asked a node for rest it may get more than mostInRest requests of it until the end.
const (
	restSettles = 500 * time.Millisecond
	mostInRest  = 2
)

// TestAnEngineThatAsksForRestGetsIt guards against requests of a node to an engine that has turned it away and asked it for rest.
func TestAnEngineThatAsksForRestGetsIt(t *testing.T) {
	for _, test := range []struct {
		name    string
		resting int // resting is how many of three engines ask for rest.
		rest    string
		bound   time.Duration // bound is how long they are to get it at least.
		also    func(w *saysWorld)
	}{
		{"one of three", 1, "2.5", 2500 * time.Millisecond, func(*saysWorld) {}},
		{"all of them", 3, "2.5", 2500 * time.Millisecond, func(*saysWorld) {}},
		{"while entries are renewed", 3, "2.5", 2500 * time.Millisecond, func(w *saysWorld) { w.version.Add(1) }},
		{"for a day", 1, "86400", 3 * time.Second, func(*saysWorld) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSaysWorld(t, 3, 3)
			for _, e := range w.engines[:test.resting] {
				e.rests(test.rest)
			}
			time.AfterFunc(restSettles, func() { test.also(w) })
			w.load(10*time.Millisecond, 3*time.Second, func(string, time.Time, got) {})
			for _, e := range w.engines[:test.resting] {
				for _, node := range w.nodes {
					came := e.by(node.settings.Instance)
					if len(came) == 0 {
						t.Fatal("nothing was sent there before it asked for rest")
					}
					in := 0
					for _, at := range came {
						if after := at.Sub(came[0]); after > restSettles && after < test.bound {
							in++
						}
					}
					if in > mostInRest {
						t.Errorf("%d requests of a node came within its rest of %v", in, test.bound)
					}
				}
			}
		})
	}
}

// TestWhereAllEnginesAskForRestCallersComeBackAfterIt guards against callers that are refused late, or come back before the rest of the engines ends, or all at once.
func TestWhereAllEnginesAskForRestCallersComeBackAfterIt(t *testing.T) {
	w := newSaysWorld(t, 2, 2)
	for _, e := range w.engines {
		e.rests("0.5")
	}
	begin := time.Now()
	var mu sync.Mutex
	comeBacks := map[string]bool{}
	early := 0
	w.load(10*time.Millisecond, 2*time.Second, func(_ string, sent time.Time, g got) {
		mu.Lock()
		defer mu.Unlock()
		after, err := strconv.ParseFloat(g.comeBack, 64)
		if g.status != http.StatusServiceUnavailable || err != nil || g.took > 200*time.Millisecond {
			t.Errorf("status %d after %v, to come back after %q", g.status, g.took, g.comeBack)
		}
		comeBacks[g.comeBack] = true
		if sent.Sub(begin) < 300*time.Millisecond && after < 0.15 {
			early++
		}
	})
	if early > 0 || len(comeBacks) < 50 {
		t.Errorf("%d were told to come back before the rest ends, at %d different times", early, len(comeBacks))
	}
	for _, e := range w.engines {
		if n := e.between(begin, time.Now()); n > 20 {
			t.Errorf("%d requests were sent to an engine that asks for rest each time", n)
		}
	}
}

// TestAnEngineThatHasRestedIsUsedAgain guards against a rest that does not end, and against all that wait coming at its end.
func TestAnEngineThatHasRestedIsUsedAgain(t *testing.T) {
	w := newSaysWorld(t, 2, 3)
	e := w.engines[0]
	e.rests("1")
	begin := time.Now()
	time.AfterFunc(500*time.Millisecond, func() { e.status.Store(0) })
	w.load(10*time.Millisecond, 3*time.Second, func(string, time.Time, got) {})
	if n := e.between(begin.Add(2*time.Second), time.Now()); n < 20 {
		t.Errorf("%d requests in the last second, long after its rest", n)
	}
}
