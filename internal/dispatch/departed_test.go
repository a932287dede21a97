package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestEngineIsLookedUpForEachConnection checks a request that is tried on a second connection while its engine begins to drain.
func TestEngineIsLookedUpForEachConnection(t *testing.T) {
	p := placement.New("hall")
	var first, second error
	e := &fakeSender{serve: func(_ context.Context, n int, a dispatch.Attempt) (*dispatch.Response, error) {
		if n == 1 {
			first = a.Hooks.MayWrite(time.Now(), true)
			leaving := a.Engine
			leaving.Draining = true
			p.Set(leaving)
			second = a.Hooks.MayWrite(time.Now(), true)
			return nil, dispatch.ErrTooLate
		}
		return respond(http.StatusOK, "x"), nil
	}}
	d := newDispatcherWithPlacement(p, e, 0, table(1, "k"), 8, "e1", "e2")
	serve(t, d, "unsafe")
	if first != nil || !errors.Is(second, dispatch.ErrTooLate) {
		t.Errorf("on the first connection %v, on the second %v", first, second)
	}
}
