package edge

import (
	"fmt"
	"net/http"
	"regexp"
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

	mu      sync.Mutex
	results []flowResult
}

// flowResult is the result of a sound request.
type flowResult struct {
	sentAt time.Time
	served bool
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
			if f.sound {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.results = append(f.results, flowResult{sentAt, status == http.StatusOK})
			}
		})
	}
}

// checkWithheld checks that no more than maxLaterRuns crashing requests reached engines later than propagationTime
// after the last allowed crash, and that the sound requests of each flow were served.
func (w *crashCluster) checkWithheld(t *testing.T, flows []*flow) {
	t.Helper()
	at, ok := w.nthCrash(min(len(w.crashTimes()), allowedCrashes))
	if !ok {
		t.Fatal("no engine crashed")
	}
	late := 0
	for _, arrived := range w.arrivals {
		if len(w.crashes) >= allowedCrashes && arrived.After(at.Add(propagationTime)) {
			late++
		}
	}
	t.Logf("%d engines crashed, %d runs began late", len(w.crashTimes()), late)
	if late > maxLaterRuns {
		t.Errorf("%d runs began later than %v after the fifth crash, want %d at most; %d engines crashed", late, propagationTime, maxLaterRuns, len(w.crashTimes()))
	}
	for i, f := range flows {
		asked, served := 0, 0
		for _, r := range f.results {
			if r.sentAt.After(at.Add(soundTime)) {
				asked++
				if r.served {
					served++
				}
			}
		}
		t.Logf("flow %d (%s): %d of %d sound requests were served afterwards", i, f.parts, served, asked)
		if f.sound && (asked == 0 || served*20 < asked*17) {
			t.Errorf("flow %d (%s): %d of %d sound requests were served afterwards", i, f.parts, served, asked)
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

// TestHeldPartsSurviveRestartOfAllNodes checks that a held part is still held after all nodes were stopped and new ones started, that
// operators can list and release it, and that nodes started one by one learn of it from the others.
func TestHeldPartsSurviveRestartOfAllNodes(t *testing.T) {
	const nodes = 3
	w := newCrashCluster(t, 8, nodes, 20*time.Millisecond, 3*time.Second)
	send := func(i int, parts string) int {
		return w.postPrompt(i%nodes, fmt.Sprint("id-", i, parts), fmt.Sprint("body", i), fmt.Sprintf("%s,own%d:10", parts, i))
	}
	for i := 0; len(w.crashTimes()) < 3; i++ {
		send(i, "a1:10,bad1:10,b2:10")
		time.Sleep(150 * time.Millisecond)
		send(100+i, "a1:10,b2:10")
	}
	waitFor(t, func() bool { return w.storedHeld("croftturn-held-parts") == 1 }, "the held part was not stored")
	for _, e := range w.nodes {
		if err := e.stop(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(w.restartDelay)
	w.startNodes(t, nodes)
	check := func(base int) {
		for i := range 2 * nodes {
			if status := send(base+i, fmt.Sprintf("c%d:10,bad1:10", i)); status != http.StatusBadRequest {
				t.Errorf("status %d, want a permanent refusal", status)
			}
			if status := send(base+50+i, "a1:10,b2:10"); status != http.StatusOK {
				t.Errorf("a sound request got %d", status)
			}
		}
	}
	for _, e := range w.nodes {
		waitFor(t, func() bool { return e.parts.Len() == 1 }, "a node does not know of the held part")
	}
	check(200)
	w.mu.Lock()
	clear(w.held["croftturn-held-parts"])
	w.mu.Unlock()
	for i := range w.nodes {
		if err := w.nodes[i].stop(); err != nil {
			t.Fatal(err)
		}
		w.nodes[i] = startNode(t, fmt.Sprint("again", i), w.address)
		connect(t, w.nodes)
		waitFor(t, func() bool { return w.nodes[i].parts.Len() == 1 }, "a node that was started again does not learn of the held part")
	}
	check(300)
	if crashes := len(w.crashTimes()); crashes != 3 {
		t.Errorf("%d engines crashed, want 3", crashes)
	}
	_, list := postStatement(t, w.nodes[0].settings.AdminAddress, "", "held")
	row := regexp.MustCompile(`"name":"([0-9a-f]{16})".*"reason":"3 engines ended under prompts with it, in pool p`).FindStringSubmatch(list)
	if row == nil {
		t.Fatalf("held: %s", list)
	}
	if status, text := postStatement(t, w.nodes[0].settings.AdminAddress, operatorsToken, "release "+row[1]); status != http.StatusOK {
		t.Errorf("release: %d %s", status, text)
	}
	for _, e := range w.nodes {
		waitFor(t, func() bool { return e.parts.Len() == 0 }, "still held at a node")
	}
}
