package front_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/sched"
)

// TestRejectedKeyIsNotRunAndMayBeTriedAgain checks that a key whose request the
// engine rejected gets the engine's status on every attempt.
func TestRejectedKeyIsNotRunAndMayBeTriedAgain(t *testing.T) {
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "too long", http.StatusBadRequest) })
	for range 2 {
		resp, body := r.send(t, "/v1/chat/completions", hello, front.HeaderClass, "offer", front.HeaderKey, "k1")
		if resp.StatusCode != http.StatusBadRequest || code(t, body) != "engine_rejected" || resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun {
			t.Errorf("answer = %d %s", resp.StatusCode, body)
		}
	}
}

// TestSameKeyGetsFirstOutcome checks that a repeated key does not run again and
// gets the recorded response.
func TestSameKeyGetsFirstOutcome(t *testing.T) {
	var runs int
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		runs++
		fmt.Fprint(w, "accepted")
	})
	for range 2 {
		resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
		if body != "accepted" || resp.Header.Get(front.HeaderOutcome) != front.OutcomeCompleted {
			t.Errorf("answer = %q %v", body, resp.Header)
		}
	}
	if runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
}

// TestNotRunIsFinal checks that not_run is reported for a key only once no
// earlier attempt can claim it any more, and that a new attempt may run.
func TestNotRunIsFinal(t *testing.T) {
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "accepted") })
	stale := claim.NewClaimer(r.table, "n2", 1, time.Millisecond)
	defer stale.Close()
	attempt, err := stale.Begin(context.Background(), "alfa/k1", "stale", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	r.sched.refusals = []*sched.Refusal{{Reason: "queue_full", RetryAfter: time.Second}}
	resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
	if resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun || resp.Header.Get("Retry-After") != "1" {
		t.Fatalf("answer = %s %v", body, resp.Header)
	}
	if err := attempt.Claim(context.Background(), time.Now()); err == nil {
		t.Error("an attempt from before the refusal claimed the key after it")
	}
	if _, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1"); body != "accepted" {
		t.Errorf("a new try got %s", body)
	}
}

// TestUnreadSendingDoesNotRunAfterItsKeyWasRefused guards against a key that runs after its caller was told not_run, since an
// earlier sending lay unread at another node then, and against new tries that are taken for such sendings.
func TestUnreadSendingDoesNotRunAfterItsKeyWasRefused(t *testing.T) {
	var runs atomic.Int64
	backend := func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		fmt.Fprint(w, "accepted")
	}
	for _, restarts := range []bool{false, true} {
		tab, read := &table{rows: map[string]kv.Row{}, started: time.Now().Add(-time.Minute)}, make(chan struct{})
		late, node := newTestNode(t, "n2", tab, read, backend), newTestNode(t, "n1", tab, nil, backend)
		offer := func(r *testServer, key string) (*http.Response, string) {
			return r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, key)
		}
		unread := make(chan string)
		for _, key := range []string{"k0", "k1", "k2"} {
			go func() {
				resp, _ := offer(late, key)
				unread <- resp.Header.Get(front.HeaderOutcome)
			}()
		}
		time.Sleep(50 * time.Millisecond) // All are in the kernel.
		for i := range 3 {
			node.sched.refusals = []*sched.Refusal{{Reason: "queue_full", RetryAfter: time.Millisecond}}
			if resp, body := offer(node, fmt.Sprint("k", i)); resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun {
				t.Fatalf("answer = %s %v", body, resp.Header)
			}
		}
		if restarts {
			time.Sleep(100 * time.Millisecond)
			tab.started = time.Now().Add(-50 * time.Millisecond)
		}
		runs.Store(0)
		close(read)
		for range 3 {
			if outcome := <-unread; outcome != front.OutcomeNotRun {
				t.Errorf("clock restarts %v: a sending that lay unread got %q", restarts, outcome)
			}
		}
		if n := runs.Load(); n != 0 {
			t.Errorf("clock restarts %v: %d of 3 keys ran after they had been refused", restarts, n)
		}
		time.Sleep(250 * time.Millisecond)
		for i := range 3 {
			if _, body := offer(late, fmt.Sprint("k", i)); body != "accepted" {
				t.Errorf("clock restarts %v: a new try got %s", restarts, body)
			}
		}
	}
}

// TestNewTriesOfRefusedKeysRun guards against new tries that come when the refusal says, and are taken for sendings from before it.
func TestNewTriesOfRefusedKeysRun(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}, started: time.Now().Add(-time.Minute)}
	backend := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "accepted") }
	nodes := []*testServer{newTestNode(t, "n1", tab, nil, backend), newTestNode(t, "n2", tab, nil, backend)}
	longest := time.Duration(0)
	for i := range 40 {
		key := fmt.Sprint("k", i)
		nodes[i%2].sched.refusals = []*sched.Refusal{{Reason: "queue_full", RetryAfter: time.Millisecond}}
		resp, _ := nodes[i%2].send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, key)
		ms, err := strconv.Atoi(resp.Header.Get(front.HeaderRetryAfterMs))
		if err != nil {
			t.Fatal(err)
		}
		wait := time.Duration(ms) * time.Millisecond
		longest = max(longest, wait)
		time.Sleep(wait)
		if _, body := nodes[(i+i/2)%2].send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, key); body != "accepted" {
			t.Errorf("new try after %v: %s", wait, body)
		}
	}
	t.Logf("callers were asked to wait for %v at most", longest)
}

// TestRefusalsThatLookForNoEarlierSendingPromiseNothing guards against a key that has run and is reported as not run, by a node that
// refuses a sending of it before it looks for others, as after a change of the configuration.
func TestRefusalsThatLookForNoEarlierSendingPromiseNothing(t *testing.T) {
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "accepted") })
	for name, test := range map[string]struct {
		path, class, auth, body string
		key, outcome            string
	}{
		"pool gone":      {"/services/none/offers", "offer", token, "x", "k1", front.OutcomeUnknown},
		"model gone":     {"/v1/chat/completions", "offer", token, strings.Replace(hello, `"m"`, `"n"`, 1), "k1", front.OutcomeUnknown},
		"class gone":     {"/services/bids/offers", "none", token, "x", "k1", front.OutcomeUnknown},
		"token gone":     {"/services/bids/offers", "offer", "none", "x", "k1", front.OutcomeUnknown},
		"body too large": {"/services/bids/offers", "offer", token, strings.Repeat("x", maxBody+1), "k1", front.OutcomeUnknown},
		"no key":         {"/services/none/offers", "offer", token, "x", "", front.OutcomeNotRun},
	} {
		if _, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1"); body != "accepted" {
			t.Fatal(body)
		}
		resp, body := r.send(t, test.path, test.body, "Authorization", "Bearer "+test.auth, front.HeaderClass, test.class, front.HeaderKey, test.key)
		if got := resp.Header.Get(front.HeaderOutcome); got != test.outcome || resp.StatusCode < 400 {
			t.Errorf("%s: outcome %q, want %q: %d %s", name, got, test.outcome, resp.StatusCode, body)
		}
	}
}

// TestOutageRefusesKeysButServesTickets checks that during a platform outage calls
// with a ticket run and calls with the caller's own key don't.
func TestOutageRefusesKeysButServesTickets(t *testing.T) {
	runs := 0
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		fmt.Fprint(w, "accepted")
	})
	r.table.down = true
	resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, "k1")
	if code(t, body) != "claim_unsettled" || resp.Header.Get(front.HeaderOutcome) != front.OutcomeUnknown || runs != 0 {
		t.Errorf("key in an outage: %s, ran %d times", body, runs)
	}
	ticket := r.ticket(t)
	for range 2 {
		if _, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, ticket); body != "accepted" {
			t.Errorf("ticket in an outage: %s", body)
		}
	}
	if runs != 1 {
		t.Errorf("the ticket ran %d times", runs)
	}
}

// TestRefusedTicketCannotBeReused checks that a late duplicate does not run a ticket that
// was reported as not_run.
func TestRefusedTicketCannotBeReused(t *testing.T) {
	runs := 0
	r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		fmt.Fprint(w, "accepted")
	})
	ticket := r.ticket(t)
	r.sched.refusals = []*sched.Refusal{{Reason: "queue_full", RetryAfter: time.Second}}
	for i := range 2 {
		resp, body := r.send(t, "/services/bids/offers", "x", front.HeaderClass, "offer", front.HeaderKey, ticket)
		if resp.Header.Get(front.HeaderOutcome) != front.OutcomeNotRun || code(t, body) != "queue_full" {
			t.Errorf("sending %d: %s", i, body)
		}
	}
	if runs != 0 {
		t.Errorf("it ran %d times", runs)
	}
}
