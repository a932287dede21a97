package dispatch_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// TestCrashKnownOnlyFromTheEntryCounts guards against crashes that hold neither requests nor prompt parts since no other engine accepts connections,
// and against crashes that a partitioned node sees in engines that have left.
func TestCrashKnownOnlyFromTheEntryCounts(t *testing.T) {
	for name, test := range map[string]struct {
		ended, silent, restarted, held bool
	}{
		"entry gone, machine refuses connections": {ended: true, held: true},
		"started again":                          {ended: true, restarted: true, held: true},
		"entry gone, machine silent":             {silent: true},
		"entry gone, engine accepts connections": {},
	} {
		e := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) { return nil, errConnReset }}
		parts := quarantine.NewParts(func(time.Time, string) bool { return false }, slog.New(slog.DiscardHandler))
		d, q, p := newQuarantineDispatcher(e, withoutAnswers(t), dispatch.WithParts(parts))
		p.ended.Store(test.ended)
		p.silent.Store(test.silent)
		for i := range 3 {
			serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/unsafe/x", Key: "k", Patience: timeout, Prompt: placement.Prompt{Shared: []placement.Part{{ID: 7}}}})
			for engine := range 8 {
				d.EngineGone(time.Now(), fmt.Sprint("e", engine), test.restarted)
			}
			for end := time.Now().Add(time.Second); (q.Len() == 0 || parts.Len() == 0) && (i == 2 && test.held && time.Now().Before(end)); {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(70 * time.Millisecond)
		}
		if got := q.Len() == 1 && parts.Len() == 1; got != test.held || !got && q.Len()+parts.Len() > 0 {
			t.Errorf("%s: %d requests and %d parts held, want held %v", name, q.Len(), parts.Len(), test.held)
		}
	}
}
