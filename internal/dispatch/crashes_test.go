package dispatch_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/retry"
)

// newQuarantined returns a dispatcher of eight engines that all have ended where they break off, its quarantine, and what says
// that they have.
func newQuarantined(e *engines) (*dispatch.Dispatcher, *quarantine.Quarantine, *prober) {
	log := slog.New(slog.DiscardHandler)
	q := quarantine.New(func(time.Time, quarantine.Fingerprint) bool { return false }, log)
	p, place, proof := newProber(true), placement.New("hall"), freshness.New(time.Hour)
	for i := range 8 {
		id := fmt.Sprint("e", i)
		place.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8, Address: "a"})
	}
	proof.Renew(time.Now())
	budget := retry.New(time.Now(), retry.Limits{Extra: 9, Window: 10 * time.Second}, func() int { return 1 })
	d := dispatch.New(proof, place, budget, e, noMetrics{}, log, dispatch.WithProber(p), dispatch.WithQuarantine(q))
	d.SetTable(table(1, "k"))
	return d, q, p
}

// TestARequestThatEndsEnginesGetsNoMore holds that on each kind of route a request under which three engines have
// ended is sent to no further one and refused for good, that its retries count, that one which may have run is not
// told otherwise, and that other requests are served.
func TestARequestThatEndsEnginesGetsNoMore(t *testing.T) {
	for route, want := range map[string][]struct {
		sent   int
		reason dispatch.Reason
	}{
		"unsafe":    {{1, dispatch.EngineFailed}, {2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
		"stream":    {{1, dispatch.EngineFailed}, {2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
		"safe":      {{2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
		"resumable": {{2, dispatch.EngineFailed}, {3, dispatch.EngineFailed}, {3, dispatch.CrashesEngines}},
	} {
		e := &engines{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) { return nil, errCut }}
		d, q, _ := newQuarantined(e)
		for i, w := range want {
			a := serve(t, d, route)
			if a.refusal == nil || a.refusal.Reason != w.reason || a.refusal.RetryAfter != 0 || e.sentSoFar() != w.sent {
				t.Errorf("%s, time %d: %+v after %d sendings, want %s after %d", route, i, a.refusal, e.sentSoFar(), w.reason, w.sent)
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

// TestAnAnswerFreesARequest holds that a request of the same kind that engines answer is not held for ends
// before and after.
func TestAnAnswerFreesARequest(t *testing.T) {
	e := &engines{}
	e.serve = func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		if n%3 == 0 {
			return respond(200, "well"), nil
		}
		return nil, errCut
	}
	d, q, _ := newQuarantined(e)
	for range 12 {
		serve(t, d, "unsafe")
	}
	if e.sentSoFar() != 12 || q.Len() != 0 {
		t.Errorf("%d sendings of 12, %d requests held", e.sentSoFar(), q.Len())
	}
}
