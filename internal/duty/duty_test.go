package duty

import (
	"context"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/lease"
)

// TestCountsAreReportedOnce holds that what three nodes count is reported whole and once, with one holder.
func TestCountsAreReportedOnce(t *testing.T) {
	r := newTestCluster(t, 3)
	r.holder("n0")
	r.waitReported(r.countRequests(time.Second, "n0", "n1", "n2"))
}

// TestANextHolderGoesOn holds that after the holder is killed, turned away by the store, or deaf to the platform's API, another
// reports what is due, the same and no less than what was in the store.
func TestNextHolderContinues(t *testing.T) {
	for how, f := range map[string]func(r *testCluster, name string){
		"killed":      func(r *testCluster, name string) { r.kill[name]() },
		"turned away": func(r *testCluster, name string) { r.platform.mark(r.platform.storeDown, name) },
		"stops":       func(r *testCluster, name string) { r.nodes[name].Stop() },
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
				t.Errorf("a planned hand-over took %v", took)
			}
			r.waitReported(n + r.countRequests(500*time.Millisecond, others...))
			t.Logf("%s, then %s", first, next)
		})
	}
}

// TestAHolderWhoseCallsFailLeaves holds that a holder which the platform's API does not answer leaves the duties to another.
func TestHolderReleasesIfItsCallsFail(t *testing.T) {
	r := newTestCluster(t, 2)
	r.platform.mark(r.platform.apiDown, "n0")
	r.holder("n0")
	n := r.countRequests(300*time.Millisecond, "n0", "n1")
	r.holder("n1")
	r.waitReported(n)
}

// TestLostAnswersOfTheStore holds that with answers of the store lost for a second the counts are reported whole and once.
func TestLostAnswersOfTheStore(t *testing.T) {
	r := newTestCluster(t, 2)
	r.holder("n0")
	n := r.countRequests(300*time.Millisecond, "n0", "n1")
	r.platform.loseAnswers(true)
	n += r.countRequests(time.Second, "n0", "n1")
	r.platform.loseAnswers(false)
	r.waitReported(n)
}

// TestATakeOverWhoseAnswerIsLost holds that a node which learns only by reading that it took over goes on with what the holder
// before had written.
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

// TestACallEndsWithinTheTerm holds that no call is begun after the term's end, and that one which is begun ends by then.
func TestPlatformCallEndsWithinTheTerm(t *testing.T) {
	d := New(time.Now(), Settings{Name: "n", ReturnDelay: returnDelay, Window: window, DueAfter: dueAfter}, nil, nil, nil, nil, nil)
	until := time.Now().Add(50 * time.Millisecond)
	err := d.callPlatform(context.Background(), lease.Term{Token: 1, Until: until}, func(ctx context.Context) error {
		if end, ok := ctx.Deadline(); !ok || end.After(until.Add(time.Millisecond)) {
			t.Errorf("the call may go on until %v after the term", end.Sub(until))
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if err := d.callPlatform(context.Background(), lease.Term{Token: 1, Until: time.Now()}, func(context.Context) error { t.Error("called"); return nil }); err == nil {
		t.Error("a call after the term is no error")
	}
}

// TestOperatorsSeeWhoHoldsWhat holds that operators are shown the same holder and term at each node, and at the holder the windows
// with all that was counted.
func TestStatusShowsHolderAndWindows(t *testing.T) {
	r := newTestCluster(t, 2)
	r.holder("n0")
	n := r.countRequests(500*time.Millisecond, "n0", "n1")
	r.waitReported(n)
	now := time.Now()
	held, other := r.nodes["n0"].Status(now), r.nodes["n1"].Status(now)
	if held.Holder.Token == 0 || held.Holder.Token != other.Holder.Token || held.Holder.Address != other.Holder.Address || held.Holder.Released {
		t.Errorf("the holder is shown as %+v, elsewhere as %+v", held.Holder, other.Holder)
	}
	shown := 0
	for _, w := range held.Windows {
		shown += w.Requests()
	}
	if shown != n || len(other.Windows) > 0 {
		t.Errorf("%d of %d requests are shown at the holder, %d windows elsewhere", shown, n, len(other.Windows))
	}
}
