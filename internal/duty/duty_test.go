package duty

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/lease"
	"github.com/croftturn/croftturn/internal/scaling"
)

// TestCountsAreReportedOnce checks that the counts of three nodes are reported completely and once, with one holder.
func TestCountsAreReportedOnce(t *testing.T) {
	r := newTestCluster(t, 3)
	r.holder("n0")
	r.waitReported(r.countRequests(time.Second, "n0", "n1", "n2"))
}

// TestNextHolderContinues checks that after the holder is killed, loses access to the store or stops, another node reports
// what is due, without changes to or loss of what was in the store.
func TestNextHolderContinues(t *testing.T) {
	for how, f := range map[string]func(r *testCluster, name string){
		"killed":            func(r *testCluster, name string) { r.kill[name]() },
		"store unavailable": func(r *testCluster, name string) { r.platform.mark(r.platform.storeDown, name) },
		"stops":             func(r *testCluster, name string) { r.nodes[name].Stop() },
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			r := newTestCluster(t, 3)
			first := r.holder("n0", "n1", "n2")
			others := []string{}
			for name := range r.nodes {
				if name != first {
					others = append(others, name)
				}
			}
			n := r.countRequests(500*time.Millisecond, others...)
			f(r, first)
			r.platform.mark(r.platform.stopped, first)
			begin := time.Now()
			next := r.holder(others...)
			if took := time.Since(begin); how == "stops" && took > returnDelay {
				t.Errorf("a planned takeover took %v", took)
			}
			r.waitReported(n + r.countRequests(500*time.Millisecond, others...))
			t.Logf("%s, then %s", first, next)
		})
	}
}

// TestCountsLostByTheStoreAreReportedOnce guards against windows reported twice or not at all after a return.
func TestCountsLostByTheStoreAreReportedOnce(t *testing.T) {
	for how, killed := range map[string]bool{"the holder goes on": false, "the holder is gone": true} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			r := newTestCluster(t, 3)
			first := r.holder("n0", "n1", "n2")
			others := []string{}
			for name := range r.nodes {
				if name != first {
					others = append(others, name)
				}
			}
			n := r.countRequests(1500*time.Millisecond, others...)
			r.waitStored(others...)
			if killed {
				r.kill[first]()
				r.platform.mark(r.platform.stopped, first)
			}
			r.platform.goBack(time.Second)
			if killed {
				r.holder(others...)
			}
			r.waitReported(n + r.countRequests(500*time.Millisecond, others...))
			r.platform.mu.Lock()
			_, fenced := r.platform.rows[fmt.Sprintf("%016x", 1)]
			r.platform.mu.Unlock()
			if !fenced {
				t.Error("the era was not written to the store")
			}
		})
	}
}

// TestHolderReleasesIfItsCallsFail checks that a holder whose calls the platform does not answer releases the lease.
func TestHolderReleasesIfItsCallsFail(t *testing.T) {
	r := newTestCluster(t, 2)
	r.platform.mark(r.platform.apiDown, "n0")
	r.holder("n0")
	n := r.countRequests(300*time.Millisecond, "n0", "n1")
	r.holder("n1")
	r.waitReported(n)
}

// TestDutiesAreGivenUpAfterTheLastCall guards against a call of a holder that stops, or whose calls get no answer, which arrives
// after its successor's: the duties were given away while it was in progress.
func TestDutiesAreGivenUpAfterTheLastCall(t *testing.T) {
	r := newTestCluster(t, 2)
	r.holder("n0")
	r.platform.mark(r.platform.apiSilent, "n0")
	n := r.countRequests(300*time.Millisecond, "n0", "n1")
	inCall := func() bool {
		r.platform.mu.Lock()
		defer r.platform.mu.Unlock()
		return r.platform.inCall["n0"] > 0
	}
	for end := time.Now().Add(5 * time.Second); !inCall(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no call came")
		}
	}
	r.platform.mark(r.platform.stopped, "n0")
	r.nodes["n0"].Stop()
	begun := time.Now()
	r.holder("n1")
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("the duties were taken over after %v", took)
	}
	r.waitReported(n)
	if len(r.platform.givenUp) > 0 {
		t.Errorf("%v gave the duties up during a call", r.platform.givenUp)
	}
}

// TestCallsGoOnInATermWhoseEndWasNotWritten guards against a holder that makes no calls until its next term, since it went on with
// one that it had meant to give up.
func TestCallsGoOnInATermWhoseEndWasNotWritten(t *testing.T) {
	now := time.Now()
	d := New(now, Settings{Name: "n", ReturnDelay: returnDelay, Window: window, DueAfter: dueAfter, FirstStart: true}, nil, nil, nil, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	d.lease.Observe(now, lease.Record{}, history.Position{})
	d.lease.Acquire(now)
	d.lease.WriteSucceeded(now, history.Position{Version: 1})
	begin := func() lease.Term {
		if err := d.beginTerm(nil); err != nil {
			t.Fatal(err)
		}
		term, _ := d.Holds(now)
		return term
	}
	term := begin()
	d.endedToken, d.ownToken = term.Token, 0
	call := func(context.Context) error { return nil }
	if err := d.callPlatform(context.Background(), term, call); !errors.Is(err, errNotHolder) {
		t.Errorf("a call in a term that was given up: %v", err)
	}
	if err := d.callPlatform(context.Background(), begin(), call); err != nil {
		t.Errorf("a call in the term that goes on: %v", err)
	}
}

// TestLostAnswersOfTheStore checks that counts are reported completely and once although the store's answers are lost for a
// second.
func TestLostAnswersOfTheStore(t *testing.T) {
	r := newTestCluster(t, 2)
	r.holder("n0")
	n := r.countRequests(300*time.Millisecond, "n0", "n1")
	r.platform.loseAnswers(true)
	n += r.countRequests(time.Second, "n0", "n1")
	r.platform.loseAnswers(false)
	r.waitReported(n)
}

// TestTakeoverWithLostAnswer checks that a node which learns of its takeover only by reading the row continues with the state
// of the previous holder.
func TestTakeoverWithLostAnswer(t *testing.T) {
	r := newTestCluster(t, 2)
	r.holder("n0")
	n := r.countRequests(300*time.Millisecond, "n0", "n1")
	r.waitStored("n0", "n1")
	r.platform.loseAnswers(true)
	r.kill["n0"]()
	r.platform.mark(r.platform.stopped, "n0")
	r.holder("n1")
	r.platform.loseAnswers(false)
	r.waitReported(n)
}

// TestPlatformCallEndsWithinTheTerm checks that no call starts after the end of the term, and that one in progress ends by then.
func TestPlatformCallEndsWithinTheTerm(t *testing.T) {
	d := New(time.Now(), Settings{Name: "n", ReturnDelay: returnDelay, Window: window, DueAfter: dueAfter}, nil, nil, nil, nil, nil)
	until := time.Now().Add(50 * time.Millisecond)
	err := d.callPlatform(context.Background(), lease.Term{Token: 1, Until: until}, func(ctx context.Context) error {
		if end, ok := ctx.Deadline(); !ok || end.After(until.Add(time.Millisecond)) {
			t.Errorf("the call may continue until %v after the term", end.Sub(until))
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if err := d.callPlatform(context.Background(), lease.Term{Token: 1, Until: time.Now()}, func(context.Context) error { t.Error("called"); return nil }); err == nil {
		t.Error("a call after the term succeeded")
	}
}

// TestStatusShowsHolderAndWindows checks that all nodes show the same holder and term, and that the holder shows the windows
// with all counts.
func TestStatusShowsHolderAndWindows(t *testing.T) {
	r := newTestCluster(t, 2)
	r.holder("n0")
	n := r.countRequests(500*time.Millisecond, "n0", "n1")
	r.waitReported(n)
	now := time.Now()
	held, other := r.nodes["n0"].Status(now), r.nodes["n1"].Status(now)
	if held.Holder.Token == 0 || held.Holder.Token != other.Holder.Token || held.Holder.Address != other.Holder.Address || held.Holder.Released {
		t.Errorf("the holder shows %+v as the holder, the other node %+v", held.Holder, other.Holder)
	}
	shown := 0
	for _, w := range held.Windows {
		shown += w.Requests()
	}
	if shown != n || len(other.Windows) > 0 {
		t.Errorf("the holder shows %d of %d requests, the other node %d windows", shown, n, len(other.Windows))
	}
}

// TestReclaimNoticeIsTheReasonOfAnOrder checks that the holder logs why it orders on-demand engines for an interactive pool
// and counts them, and that neither is done for another pool.
func TestReclaimNoticeIsTheReasonOfAnOrder(t *testing.T) {
	for _, interactive := range []bool{true, false} {
		var log bytes.Buffer
		m, now := platformView{newFakePlatform(), "n"}, time.Now()
		d := New(now, Settings{Name: "n", ReturnDelay: time.Minute}, nil, m, nil, nil, slog.New(slog.NewTextHandler(&log, nil)))
		d.lease.Acquire(now)
		d.lease.WriteSucceeded(now, history.Position{Version: 1})
		term, _ := d.lease.Holds(now)
		d.ownToken = term.Token
		d.restoreOrders(now, []byte(`[{"pool":"p","hall":"a","spot":true,"count":40},{"pool":"p","hall":"b","spot":true,"count":40}]`))
		for i, ms := range []float64{0, 40000} {
			d.demand.update(now.Add(time.Duration(i-1)*time.Second), "n", map[string]scaling.Demand{"p": {All: ms}})
		}
		for _, o := range d.decide(now, Pool{Name: "p", Limits: scaling.Limits{Max: 60, SpotPrice: 0.18, Interactive: interactive},
			Halls: map[string]scaling.HallState{"a": {SpotDraining: 40}, "b": {Spot: 40}}}) {
			if err := d.placeOrder(context.Background(), o); err != nil {
				t.Fatal(err)
			}
		}
		n, ok := d.Replacements(now)["p"]
		if strings.Contains(log.String(), `reason="`+scaling.ReasonReclaim) != interactive || ok != interactive || interactive && n < 50 {
			t.Errorf("interactive %t: %d engines counted (%t), log:\n%s", interactive, n, ok, log.String())
		}
	}
}
