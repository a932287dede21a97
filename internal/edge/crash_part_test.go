package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crashingPart is the prefix of the parts of prompts that crash engines.
	crashingPart = "bad"

	// allowedCrashes is how many engines a part may crash before nodes must withhold it within
	// propagationTime, and soundTime is how long after that sound requests may be affected.
	allowedCrashes = 5
	soundTime      = 2 * propagationTime
)

// flow is a series of requests that share some parts of their prompts.
type flow struct {
	parts string        // parts are the shared parts, separated by commas; "%d" stands for a number of its own.
	every time.Duration // every is the time between two requests.
	sound bool

	mu     sync.Mutex
	asked  int // asked counts the sound requests sent later than soundTime after the last allowed crash.
	served int
}

// run sends requests to one node after another until the time is over.
func (f *flow) run(w *crashCluster, name string, until time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(f.every)
	defer tick.Stop()
	for i := 0; time.Now().Before(until); i++ {
		sentAt := <-tick.C
		wg.Go(func() {
			shared := strings.ReplaceAll(f.parts, "%d", fmt.Sprint(i))
			status := w.postPrompt(i%len(w.nodes), fmt.Sprint(name, "-", i), fmt.Sprint(name, i), fmt.Sprintf("%s,%s%d:10", shared, name, i))
			if at, ok := w.nthCrash(allowedCrashes); f.sound && ok && sentAt.After(at.Add(soundTime)) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.asked++
				if status == http.StatusOK {
					f.served++
				}
			}
		})
	}
}

// checkWithheld checks that no more than maxLaterRuns crashing requests reached engines later than propagationTime
// after the last allowed crash, and that the sound requests of each flow were served.
func (w *crashCluster) checkWithheld(t *testing.T, flows []*flow) {
	t.Helper()
	at, ok := w.nthCrash(allowedCrashes)
	late := 0
	for _, arrived := range w.arrivals {
		if ok && arrived.After(at.Add(propagationTime)) {
			late++
		}
	}
	t.Logf("%d engines crashed, %d runs began late", len(w.crashTimes()), late)
	if late > maxLaterRuns {
		t.Errorf("%d runs began later than %v after the fifth crash, want %d at most; %d engines crashed", late, propagationTime, maxLaterRuns, len(w.crashTimes()))
	}
	for i, f := range flows {
		if f.asked > 0 && f.served*20 < f.asked*17 {
			t.Errorf("flow %d (%s): %d of %d sound requests were served afterwards", i, f.parts, f.served, f.asked)
		}
	}
}

// TestPartOfPromptsThatCrashesEnginesReachesFew guards against a part that crashes engine after engine because no two requests with it are alike.
func TestPartOfPromptsThatCrashesEnginesReachesFew(t *testing.T) {
	const often, seldom = 120 * time.Millisecond, 3 * time.Second
	for name, test := range map[string]struct {
		flows    []*flow
		unframed bool
	}{
		"beside popular parts": {flows: []*flow{
			{parts: "a1:10,bad1:10,b2:10", every: 350 * time.Millisecond}, {parts: "a1:10,c%d:10", every: often, sound: true}, {parts: "a1:10,b2:10", every: often, sound: true}, {parts: "d1:10", every: often, sound: true}}},
		"beside rare parts": {flows: []*flow{
			{parts: "a1:10,bad1:10,b2:10", every: 350 * time.Millisecond}, {parts: "a1:10,c%d:10", every: seldom, sound: true}, {parts: "b2:10", every: seldom, sound: true}, {parts: "d1:10", every: often, sound: true}}},
		"two parts": {flows: []*flow{
			{parts: "a1:10,bad1:10", every: 500 * time.Millisecond}, {parts: "a2:10,bad2:10", every: 600 * time.Millisecond}, {parts: "a1:10,c%d:10", every: often, sound: true}, {parts: "a2:10,c%d:10", every: often, sound: true}}},
		"rarely sent": {flows: []*flow{
			{parts: "a1:10,bad1:10,b2:10", every: 2 * time.Second}, {parts: "a1:10,c%d:10", every: often, sound: true}, {parts: "b2:10", every: often, sound: true}}},
		"all at once": {flows: []*flow{
			{parts: "a1:10,bad1:10,b2:10", every: 60 * time.Millisecond}, {parts: "a1:10,c%d:10", every: often, sound: true}, {parts: "b2:10", every: seldom, sound: true}}},
		"first part": {flows: []*flow{
			{parts: "bad1:10,b%d:10", every: 350 * time.Millisecond}, {parts: "a1:10,c%d:10", every: often, sound: true}}},
		"answers that end with their connection": {unframed: true, flows: []*flow{
			{parts: "a1:10,bad1:10,b2:10", every: 350 * time.Millisecond}, {parts: "a1:10,c%d:10", every: often, sound: true}, {parts: "b2:10", every: seldom, sound: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCrashCluster(t, 10, 5, 50*time.Millisecond, 4*time.Second)
			w.unframed = test.unframed
			until := time.Now().Add(24 * time.Second)
			var wg sync.WaitGroup
			for i, f := range test.flows {
				wg.Go(func() { f.run(w, fmt.Sprint("flow", i), until) })
			}
			wg.Wait()
			w.checkWithheld(t, test.flows)
		})
	}
}
