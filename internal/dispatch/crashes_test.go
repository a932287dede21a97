package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

// newQuarantineDispatcher returns a dispatcher with eight engines that are all found crashed when
// they fail, its quarantine and its prober.
func newQuarantineDispatcher(e *fakeSender, options ...dispatch.Option) (*dispatch.Dispatcher, *quarantine.Quarantine, *fakeProber) {
	log := slog.New(slog.DiscardHandler)
	q := quarantine.New(func(time.Time, quarantine.Fingerprint) bool { return false }, log)
	p, place, proof := newFakeProber(true), placement.New("hall"), freshness.New(time.Hour)
	for i := range 8 {
		id := fmt.Sprint("e", i)
		place.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8, Address: "a"})
	}
	proof.Renew(time.Now())
	budget := retry.New(time.Now(), retry.Limits{Extra: 9, Window: 10 * time.Second}, func() int { return 1 })
	d := dispatch.New(proof, place, budget, e, retryObserver{}, log, append(options, dispatch.WithProber(p), dispatch.WithQuarantine(q))...)
	d.SetTable(table(1, "k"))
	return d, q, p
}

// TestRequestThatCrashesEnginesIsHeld checks on each kind of route that a request under
// which three engines crashed is sent to no further engine and refused permanently, that its
// retries count, that it is not reported as not run if it may have run, and that other requests are
// served.
func TestRequestThatCrashesEnginesIsHeld(t *testing.T) {
	for route, want := range map[string][]struct {
		sent   int
		reason dispatch.Reason
	}{
		"unsafe":    {{1, dispatch.EngineFailed}, {2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
		"stream":    {{1, dispatch.EngineFailed}, {2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
		"safe":      {{2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
		"resumable": {{2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
	} {
		e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) { return nil, errConnReset }}
		d, q, _ := newQuarantineDispatcher(e)
		for i, w := range want {
			a := serve(t, d, route)
			if a.refusal == nil || a.refusal.Reason != w.reason || a.refusal.RetryAfter != 0 || e.sentCount() != w.sent {
				t.Errorf("%s, request %d: %+v after %d attempts, want %s after %d", route, i, a.refusal, e.sentCount(), w.reason, w.sent)
			}
		}
		e.serve = func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
			return respond(200, "data: well\n\n"), nil
		}
		other := &dispatch.Request{ID: "id", Host: "h", Path: "/" + route + "/x", Key: "k", Patience: timeout, Body: []byte("other")}
		if a := serveRequest(context.Background(), t, d, other); a.status != 200 || q.Len() != 1 {
			t.Errorf("%s: another request got %d, %+v; %d held", route, a.status, a.refusal, q.Len())
		}
	}
}

// TestUnframedAnswerOfACrashedEngineIsNotComplete guards against answers that end with their connection and look complete because their engine has crashed.
func TestUnframedAnswerOfACrashedEngineIsNotComplete(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream", "resumable"} {
		for _, test := range []struct{ crashed, othersDown bool }{{true, false}, {false, false}, {true, true}} {
			crashed := test.crashed
			e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
				resp := respond(200, "data: well\n\n")
				resp.Length, resp.Unframed = -1, true
				return resp, nil
			}}
			var options []dispatch.Option
			if test.othersDown {
				options = append(options, withoutAnswers(t))
			}
			d, q, p := newQuarantineDispatcher(e, options...)
			p.ended.Store(crashed)
			for range 3 {
				if a := serve(t, d, route); (a.aborted || a.refusal != nil) != crashed {
					t.Errorf("%s, %+v: aborted %v, refused %+v", route, test, a.aborted, a.refusal)
				}
			}
			if held := q.Len() == 1; held != (crashed && !test.othersDown) {
				t.Errorf("%s, %+v: held %v", route, test, held)
			}
		}
	}
}

// TestAnsweredRequestIsNotHeld checks that a request is not held for crashes if engines also
// answer it.
func TestAnsweredRequestIsNotHeld(t *testing.T) {
	e := &fakeSender{}
	e.serve = func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		if n%3 == 0 {
			return respond(200, "well"), nil
		}
		return nil, errConnReset
	}
	d, q, _ := newQuarantineDispatcher(e)
	for range 12 {
		serve(t, d, "unsafe")
	}
	if e.sentCount() != 12 || q.Len() != 0 {
		t.Errorf("%d attempts of 12, %d requests held", e.sentCount(), q.Len())
	}
}

// TestLongAnswerToATrialClearsItsParts guards against requests that are withheld until a long answer has ended.
func TestLongAnswerToATrialClearsItsParts(t *testing.T) {
	e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
		resp := respond(200, "")
		resp.Length, resp.Body = -1, io.NopCloser(&pausingStream{ctx: ctx, pieces: []string{"data: x\n\n", "data: y\n\n", "data: z\n\n"}, pause: quarantine.SurvivalTime + 100*time.Millisecond})
		return resp, nil
	}}
	parts := quarantine.NewParts(func(time.Time, string) bool { return true }, slog.New(slog.DiscardHandler))
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		parts.RecordCrash(time.Now(), time.Time{}, at, "p", quarantine.EngineRun{ID: fmt.Sprint("e", i)}, []uint64{1, 2})
	}
	d, _, _ := newQuarantineDispatcher(e, dispatch.WithParts(parts))
	route := &routing.Route{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: routing.Stream, Timeout: time.Minute, Target: target, MaxEngines: 1, Shares: []routing.Share{{Pool: "p", Weight: 1}}}
	d.SetTable(routing.NewTable(2, []*routing.Route{route}, []*routing.Pool{{Name: "p"}}, []*routing.Team{{Name: "t", Keys: []string{"k"}}}, routing.Limits{}))
	done := make(chan *recordedAnswer)
	go func() {
		done <- serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: "k", Patience: time.Minute, Prompt: placement.Prompt{Shared: []placement.Part{{ID: 1}}}})
	}()
	time.Sleep(quarantine.SurvivalTime + time.Second)
	if parts.Len() != 1 {
		t.Errorf("%d parts held while the trial is answered, want the other one", parts.Len())
	}
	if a := <-done; a.aborted || parts.Len() != 1 {
		t.Errorf("aborted %v, %d parts held at the end", a.aborted, parts.Len())
	}
}
