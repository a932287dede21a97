package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// newVersionsDispatcher returns a dispatcher with one engine for each of some software versions.
func newVersionsDispatcher(e *fakeSender, versions map[string]string) *dispatch.Dispatcher {
	p := placement.New("hall")
	d := newDispatcherWithPlacement(p, e, 9, table(1, "k"), 8)
	for id, version := range versions {
		p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8, Version: version})
	}
	return d
}

func TestStreamContinuesInsideItsAnswerAtItsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		versions map[string]string
		whole    bool
	}{
		"another engine of the version":  {map[string]string{"e1": "a", "e2": "a", "e3": "b", "e4": "b"}, true},
		"engines of other versions only": {map[string]string{"e1": "a", "e2": "b", "e3": "c"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var versions []string
			e := &fakeSender{serve: func(_ context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error) {
				versions = append(versions, a.Engine.Version)
				if n == 1 {
					return events(1, 50, errConnReset), nil
				}
				return events(51, 90, nil), nil
			}}
			got := serve(t, newVersionsDispatcher(e, test.versions), "resumable")
			if got.aborted == test.whole || len(versions) == 2 != test.whole || versions[0] != versions[len(versions)-1] {
				t.Errorf("aborted %t, sent to engines of versions %v", got.aborted, versions)
			}
		})
	}
}

func TestStreamWithoutAnEventMayBeginAtAnyVersion(t *testing.T) {
	e := &fakeSender{serve: func(_ context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		if n == 1 {
			return events(1, 0, errConnReset), nil
		}
		return events(1, 9, nil), nil
	}}
	if got := serve(t, newVersionsDispatcher(e, map[string]string{"e1": "a", "e2": "b"}), "resumable"); got.aborted || e.sentCount() != 2 {
		t.Errorf("aborted %t after %d engines", got.aborted, e.sentCount())
	}
}

// beganAt finds that all streams began at a version.
type beganAt string

func (beganAt) Record(context.Context, time.Time, pinning.Stream, pinning.Origin) {}
func (beganAt) Refresh(time.Time, pinning.Stream, pinning.Found)                  {}
func (beganAt) Established(string) (string, bool)                                 { return "", false }
func (beganAt) Sole(context.Context, time.Time, string) (string, error) {
	return "", pinning.ErrSeveral
}

func (b beganAt) Find(context.Context, time.Time, pinning.Stream) (pinning.Found, error) {
	return pinning.Found{Origin: pinning.Origin{Pool: "p", Version: string(b)}}, nil
}

func TestStreamsThatWaitForTheirVersionHoldUpNoOthers(t *testing.T) {
	release := map[string]chan struct{}{"a": make(chan struct{}), "b": make(chan struct{})}
	var mu sync.Mutex
	var order []string // order is which requests were sent to engines of which version.
	e := &fakeSender{serve: func(_ context.Context, _ int, a dispatch.Attempt) (*dispatch.Response, error) {
		mu.Lock()
		order = append(order, a.LastEventID+"@"+a.Engine.Version)
		first := len(order) <= 2
		mu.Unlock()
		if first {
			<-release[a.Engine.Version]
		}
		return events(8, 9, nil), nil
	}}
	route := &routing.Route{Name: "r", Host: "h", PathPrefix: "/r/", Kind: routing.Stream, Resumable: true, Timeout: timeout, Target: slotTarget, MaxEngines: 1, Shares: []routing.Share{{Pool: "p", Weight: 1}}}
	p := placement.New("hall")
	d := newDispatcherWithPlacement(p, e, 9, routing.NewTable(1, []*routing.Route{route}, []*routing.Pool{{Name: "p"}}, []*routing.Team{{Name: "t", Keys: []string{"k"}}}, routing.Limits{}), 1)
	dispatch.WithPinning(beganAt("a"), beganAt("a"), nil)(d)
	for _, version := range []string{"a", "b"} {
		p.Set(placement.Engine{ID: version, Pool: "p", Hall: "hall", Slots: 1, Version: version})
	}
	var wg sync.WaitGroup
	send := func(lastEvent string) {
		wg.Go(func() {
			r := &dispatch.Request{ID: "id", Host: "h", Path: "/r/x", Key: "k", Patience: timeout, LastEventID: lastEvent, Resumes: "first"}
			if got := serveRequest(context.Background(), t, d, r); got.refusal != nil {
				t.Errorf("request after event %q got %+v", lastEvent, got.refusal)
			}
		})
	}
	for i := range 2 {
		send("")
		e.awaitSent(t, i+1)
	}
	send("7") // It waits for the engine of version a.
	time.Sleep(20 * time.Millisecond)
	send("")
	close(release["b"])
	e.awaitSent(t, 3)
	close(release["a"])
	wg.Wait()
	if want := []string{"@b", "7@a"}; !slices.Equal(order[2:], want) {
		t.Errorf("sent %v, want %v at the end", order, want)
	}
}

func TestStreamStaysAtASlowEngineWithoutAnotherOfItsVersion(t *testing.T) {
	e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
		body := &pausingStream{ctx: ctx, pieces: []string{"id: 1\n\n", "id: 2\n\n"}, pause: 1300 * time.Millisecond}
		return &dispatch.Response{Status: 200, Header: http.Header{}, Length: -1, Body: io.NopCloser(body)}, nil
	}}
	got := serve(t, newVersionsDispatcher(e, map[string]string{"e1": "a", "e2": "b"}), "resumable")
	if got.aborted || got.body.String() != "id: 1\n\nid: 2\n\n" || e.sentCount() != 1 {
		t.Errorf("aborted %t, body %q after %d engines", got.aborted, got.body.String(), e.sentCount())
	}
}
