package dispatch_test

import (
	"context"
	"testing"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/placement"
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
