package dispatch_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/placement"
)

// limits are the engines that have named a limit; permits for them are free now, as far as is known.
type limits []string

func (l limits) Opens(engine string) (time.Time, bool) {
	return time.Time{}, slices.Contains(l, engine)
}

func (l limits) Len() int64 { return int64(len(l)) }

// permits issues some permits, and no more.
type permits struct {
	left int

	mu    sync.Mutex
	asked []string
}

func (p *permits) Answered(_, _ time.Time, _ string, _ float64, _ bool) {}

func (p *permits) Take(_ context.Context, _ time.Time, _, engine string, _ time.Duration) limit.Permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, engine)
	if p.left == 0 {
		return limit.Permit{Wait: time.Second}
	}
	p.left--
	return limit.Permit{Issued: true}
}

// TestARequestWithoutAPermitGoesWhereNoneIsNeeded guards against refusals, and against questions without end, while an engine
// takes requests without a permit.
func TestARequestWithoutAPermitGoesWhereNoneIsNeeded(t *testing.T) {
	for _, test := range []struct {
		name     string
		limited  limits
		permits  int
		status   int // status is 0 where the request is refused.
		mostAsks int
	}{
		{"a permit is free", limits{"e1", "e2", "e3", "e4", "e5"}, 1, 200, 1},
		{"none is", limits{"e1", "e2", "e3", "e4"}, 0, 200, 3},
		{"all engines need one", limits{"e1", "e2", "e3", "e4", "e5"}, 0, 0, 3},
	} {
		e := &engines{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
			return respond(200, "whole"), nil
		}}
		p := &permits{left: test.permits}
		d := dispatcherAt(placement.New("hall", placement.WithLimits(test.limited)), e, 0, table(1, "k"), 8, "e1", "e2", "e3", "e4", "e5")
		dispatch.WithPermits(p)(d)
		got := serve(t, d, "safe")
		if got.status != test.status || (got.refusal != nil) != (test.status == 0) || len(p.asked) > test.mostAsks {
			t.Errorf("%s: status %d, %+v, asked for %v", test.name, got.status, got.refusal, p.asked)
		}
	}
}
