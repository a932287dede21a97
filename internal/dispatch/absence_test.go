package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestWhatIsOutOfTimeAfterAnAbsenceEnds holds that requests which were at work when the process was away beyond their deadlines
// get their final answers at once: what was sent one that promises nothing.
func TestWhatIsOutOfTimeAfterAnAbsenceEnds(t *testing.T) {
	for _, route := range []string{"unsafe", "stream"} {
		e := &engines{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}}
		d := newDispatcher(e, 0)
		began, done := time.Now(), make(chan *answer)
		go func() { done <- serve(t, d, route) }()
		e.awaitSent(t, 1)
		d.Resumed(time.Now().Add(timeout + time.Second))
		a := <-done
		if took := time.Since(began); a.refusal == nil || !a.refusal.Reason.MayHaveRun() || took > timeout/2 {
			t.Errorf("%s: %+v after %v", route, a.refusal, took)
		}
	}
}

// TestNewRequestsWaitAfterAnAbsence holds that a node which was away serves no request before it can prove its configuration
// again, and that one which comes shortly before that is not refused.
func TestNewRequestsWaitAfterAnAbsence(t *testing.T) {
	e := &engines{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(200, "x"), nil
	}}
	proof := freshness.New(time.Hour)
	d := dispatcherBy(proof, placement.New("hall"), e, 0, table(1, "k"), 8, "e1")
	serve(t, d, "safe")
	now := time.Now()
	proof.Forget(now)
	d.Resumed(now)
	r := &dispatch.Request{ID: "id", Host: "h", Path: "/safe/x", Key: "k", Patience: timeout}
	if _, _, refusal := d.Check(now, r); refusal == nil || refusal.Reason != dispatch.Stale {
		t.Errorf("got %+v before the proof, want %s", refusal, dispatch.Stale)
	}
	time.AfterFunc(50*time.Millisecond, func() { proof.Renew(time.Now()) })
	d.AwaitStart(context.Background(), now, r)
	if _, _, refusal := d.Check(time.Now(), r); refusal != nil {
		t.Errorf("refused with %s after the proof", refusal.Reason)
	}
}

// TestADecisionOfBeforeAnAbsenceIsTakenAgain holds that a request for which an engine was chosen before an absence, and which was not
// sent yet, is not sent by that choice: without a proof it is told that it has not run.
func TestADecisionOfBeforeAnAbsenceIsTakenAgain(t *testing.T) {
	release := make(chan struct{})
	e := &engines{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		<-release
		return respond(200, "x"), nil
	}}
	proof := freshness.New(time.Hour)
	d := dispatcherBy(proof, placement.New("hall"), e, 0, placesTable(), 1, "e1")
	wg := occupy(t, d, e, "high")
	time.AfterFunc(placeTarget/8, func() { // The second waits for the place meanwhile.
		now := time.Now()
		proof.Forget(now)
		d.Resumed(now)
		close(release)
	})
	if a := serve(t, d, "high"); a.refusal == nil || a.refusal.Reason != dispatch.Stale {
		t.Errorf("%+v, want %s", a.refusal, dispatch.Stale)
	}
	if wg.Wait(); e.sentSoFar() != 1 {
		t.Errorf("%d requests were sent, want the first alone", e.sentSoFar())
	}
}
