package edge

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// These tests guard against a request that crashes the engine running it and is sent again and again,
// to one node after another: up to 15 engines crashed in 15 seconds, each with all its requests. Three
// crashes may be needed to identify such a request; it caused 9 more, since nodes neither remembered nor
// gossiped which requests an engine was running when it crashed. In the logs of 13 crashes the same
// request (team, prompt and size) was running each time, sent once each at all six nodes in turn; no other
// request occurred twice.

const (
	// crashingBody is the prefix of the bodies of requests that crash engines.
	crashingBody = "crash"

	// propagationTime is how long after its third crash a request may still be sent to engines as
	// usual: nodes learn of the crashes from each other within this time.
	propagationTime = 3 * time.Second

	// maxLaterRuns is how many more runs may begin after that.
	maxLaterRuns = 3
)

// TestARequestThatCrashesEnginesReachesFew repeatedly sends a request that crashes its engine, to
// one node after another, among other requests of the same caller. At most maxLaterRuns runs may
// begin later than propagationTime after the third crash, and the other requests must be served
// from then on.
func TestARequestThatCrashesEnginesReachesFew(t *testing.T) {
	const nodes = 3
	w := newCrashCluster(t, 6, nodes, 20*time.Millisecond, 300*time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, asked := 0, 0
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for i, begin := 0, time.Now(); time.Since(begin) < 2*propagationTime; i++ {
		now := <-tick.C
		if i%3 == 0 {
			wg.Go(func() { w.post(i/3%nodes, fmt.Sprint("crash-", i), crashingBody) })
		}
		wg.Go(func() {
			status := w.post(i%nodes, fmt.Sprint("other-", i), fmt.Sprint("other ", i))
			if at, ok := w.thirdCrash(); ok && now.After(at.Add(propagationTime)) {
				mu.Lock()
				defer mu.Unlock()
				asked++
				if status == http.StatusOK {
					served++
				}
			}
		})
	}
	wg.Wait()
	third, ok := w.thirdCrash()
	if !ok {
		t.Fatalf("%d engines were crashed", len(w.crashes))
	}
	later := 0
	for _, at := range w.arrivals {
		if at.After(third.Add(propagationTime)) {
			later++
		}
	}
	t.Logf("%d crashes in all; the third was %v after the first", len(w.crashes), third.Sub(w.crashes[0]).Round(time.Millisecond))
	if later > maxLaterRuns {
		t.Errorf("%d runs began later than %v after the third crash, want %d at most; %d crashes in all", later, propagationTime, maxLaterRuns, len(w.crashes))
	}
	if asked == 0 || float64(served) < 0.95*float64(asked) {
		t.Errorf("%d of %d other requests were served then", served, asked)
	}
}

// TestHeldRequestsSurviveRestartOfAllNodes checks that a held request is still held, and sent to no engine,
// after all nodes were stopped and new ones started.
func TestHeldRequestsSurviveRestartOfAllNodes(t *testing.T) {
	const nodes = 3
	w := newCrashCluster(t, 6, nodes, 20*time.Millisecond, 300*time.Millisecond)
	for i := 0; len(w.crashTimes()) < 3; i++ {
		w.post(i%nodes, fmt.Sprint("crash-", i), crashingBody)
	}
	waitFor(t, func() bool { return w.storedHeld("croftturn-held") == 1 }, "the held request was not stored")
	for _, e := range w.nodes {
		if err := e.stop(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * w.restartDelay)
	w.startNodes(t, nodes)
	for _, e := range w.nodes {
		waitFor(t, func() bool { return e.quarantine.Len() == 1 }, "a node does not know of the held request")
	}
	for i := range 2 * nodes {
		if status := w.post(i%nodes, fmt.Sprint("again-", i), crashingBody); status != http.StatusBadRequest {
			t.Errorf("status %d after the restart, want a permanent refusal", status)
		}
	}
	if crashes := len(w.crashTimes()); crashes != 3 {
		t.Errorf("%d engines crashed, want 3", crashes)
	}
	if status := w.post(0, "other", "other"); status != http.StatusOK {
		t.Errorf("another request got %d", status)
	}
	w.checkRelease(t)
}

// checkRelease checks that operators can list a held request with the reason, that only the
// operators' token may release it, and that a release takes effect at all nodes.
func (w *crashCluster) checkRelease(t *testing.T) {
	t.Helper()
	address := w.nodes[0].settings.AdminAddress
	status, list := postStatement(t, address, "", "held")
	row := regexp.MustCompile(`"name":"([0-9a-f]{16})".*"reason":"3 engines ended under it, on route r`).FindStringSubmatch(list)
	if status != http.StatusOK || row == nil {
		t.Fatalf("held: %d %s", status, list)
	}
	for _, test := range []struct {
		token, text string
		want        int
	}{
		{"", "release " + row[1], http.StatusForbidden}, {operatorsToken, "release 1", http.StatusNotFound}, {operatorsToken, "drop", http.StatusBadRequest},
		{operatorsToken, "release " + row[1], http.StatusOK}, {operatorsToken, "release " + row[1], http.StatusNotFound},
	} {
		if status, text := postStatement(t, address, test.token, test.text); status != test.want {
			t.Errorf("%s with token %q: %d %s, want %d", test.text, test.token, status, text, test.want)
		}
	}
	for _, e := range w.nodes {
		waitFor(t, func() bool { return e.quarantine.Len() == 0 }, "still held at a node")
	}
}

// postStatement sends an operator's statement and returns the status and the body.
func postStatement(t *testing.T, address, token, text string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/admin/v1/statements", strings.NewReader(`{"text":"`+text+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(answer)
}

// TestCrashingRequestsAffectFewOthers sends four crashing requests at the same time, among
// others that run for 200 ms, on engines that take 4 s to restart. At least 95% of the others must
// be served, with at most four crashes for each crashing request.
func TestCrashingRequestsAffectFewOthers(t *testing.T) {
	const others, suspects = 600, 4
	w := newCrashCluster(t, 24, 3, 200*time.Millisecond, 4*time.Second)
	served := w.load(others, 10*time.Millisecond, func(i int) string { return fmt.Sprint("other ", i) }, func(i int) {
		if i%10 == 0 {
			w.post(i/10%len(w.nodes), fmt.Sprint("crash-", i), fmt.Sprint(crashingBody, i/10%suspects))
		}
	})
	crashes := len(w.crashTimes())
	t.Logf("%d of %d others served, %d engines crashed", served, others, crashes)
	if served < others*95/100 || crashes > suspects*4 {
		t.Errorf("%d of %d others served and %d engines crashed; want at least 95%%, and at most 4 crashes for each of %d requests", served, others, crashes, suspects)
	}
}

// TestAPopularRequestIsServedThoughEnginesAreLost checks that a request sent a hundred times a
// second is still served while four of eight engines repeatedly crash at the same time.
func TestAPopularRequestIsServedThoughEnginesAreLost(t *testing.T) {
	const asked = 600
	w := newCrashCluster(t, 8, 3, 20*time.Millisecond, time.Second)
	served := w.load(asked, 10*time.Millisecond, func(int) string { return "popular" }, func(i int) {
		if i%150 == 100 {
			for j := range 4 {
				w.engines[(i/150+j)%len(w.engines)].crash()
			}
		}
	})
	t.Logf("%d of %d served", served, asked)
	if served < asked*98/100 {
		t.Errorf("%d of %d served, want at least 98%%", served, asked)
	}
}
