package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestRequestsPastDeadlineEndAfterSuspension checks that requests in progress during a suspension
// beyond their deadlines are answered at once, with a reason that leaves open whether they ran.
func TestRequestsPastDeadlineEndAfterSuspension(t *testing.T) {
	for _, route := range []string{"unsafe", "stream"} {
		e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}}
		d := newDispatcher(e, 0)
		began, done := time.Now(), make(chan *recordedAnswer)
		go func() { done <- serve(t, d, route) }()
		e.awaitSent(t, 1)
		d.Resumed(time.Now().Add(timeout + time.Second))
		a := <-done
		if took := time.Since(began); a.refusal == nil || !a.refusal.Reason.MayHaveRun() || took > timeout/2 {
			t.Errorf("%s: %+v after %v", route, a.refusal, took)
		}
	}
}

// TestNewRequestsWaitAfterSuspension checks that a node that was suspended serves no request before
// its configuration is proven again, and that a request that arrives shortly before that is not
// refused.
func TestNewRequestsWaitAfterSuspension(t *testing.T) {
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(200, "x"), nil
	}}
	proof := freshness.New(time.Hour)
	d := newDispatcherWithProof(proof, placement.New("hall"), e, 0, table(1, "k"), 8, "e1")
	serve(t, d, "safe")
	now := time.Now()
	proof.Invalidate(now)
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

// TestCallersAreToldWhenAProofIsDue guards against callers who use up their tries while no node can have a proof.
func TestCallersAreToldWhenAProofIsDue(t *testing.T) {
	proof, now := freshness.New(time.Second), time.Now()
	d := newDispatcherWithProof(proof, placement.New("hall"), &fakeSender{}, 0, table(1, "k"), 8, "e1")
	proof.Invalidate(now)
	r := &dispatch.Request{ID: "id", Host: "h", Path: "/safe/x", Key: "k", Patience: timeout}
	for _, test := range []struct{ wait, least, most time.Duration }{{0, time.Millisecond, 200 * time.Millisecond}, {time.Second, time.Second, 1500 * time.Millisecond}} {
		proof.Hold(now.Add(test.wait))
		if _, _, refusal := d.Check(now, r); refusal == nil || refusal.Reason != dispatch.Stale || refusal.RetryAfter < test.least || refusal.RetryAfter > test.most {
			t.Errorf("no proof for %v: %+v", test.wait, refusal)
		}
	}
}

// TestDecisionIsRepeatedAfterSuspension checks that a request whose engine was chosen before a
// suspension, but which was not sent yet, is not sent by that choice: without a proof it is refused
// as not run.
func TestDecisionIsRepeatedAfterSuspension(t *testing.T) {
	release := make(chan struct{})
	e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		<-release
		return respond(200, "x"), nil
	}}
	proof := freshness.New(time.Hour)
	d := newDispatcherWithProof(proof, placement.New("hall"), e, 0, twoTierTable(), 1, "e1")
	wg := occupySlot(t, d, e, "high")
	time.AfterFunc(slotTarget/8, func() { // The second request waits for the slot meanwhile.
		now := time.Now()
		proof.Invalidate(now)
		d.Resumed(now)
		close(release)
	})
	if a := serve(t, d, "high"); a.refusal == nil || a.refusal.Reason != dispatch.Stale {
		t.Errorf("%+v, want %s", a.refusal, dispatch.Stale)
	}
	if wg.Wait(); e.sentCount() != 1 {
		t.Errorf("%d requests were sent, want the first alone", e.sentCount())
	}
}
