package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/routing"
)

// TestAttemptsBesideEachOther guards against requests that get nothing, or run on more engines than they may, as one of two
// attempts fails or is refused while the other is under way.
func TestAttemptsBesideEachOther(t *testing.T) {
	refused := respond(503, "")
	refused.NotRun = true
	for name, test := range map[string]struct {
		first, second *dispatch.Response // They fail if nil.
		want          string
	}{
		"first fails":             {nil, respond(200, "second"), "second"},
		"first is not run":        {refused, respond(200, "second"), "second"},
		"first is an error":       {respond(500, ""), respond(200, "second"), "second"},
		"second fails":            {respond(200, "first"), nil, "first"},
		"second is not run":       {respond(200, "first"), refused, "first"},
		"second is an error":      {respond(200, "first"), respond(502, ""), "first"},
		"second is no success":    {respond(200, "first"), respond(404, "second"), "second"},
		"both fail":               {nil, nil, ""},
		"both fail in other ways": {nil, respond(500, "second"), "second"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			secondEnded := make(chan struct{})
			e := &fakeSender{serve: func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
				// The second is sent after two targets and ends six before the first, unless that one fails.
				answer, after := test.first, 6*target
				switch {
				case n > 1:
					answer, after = test.second, 4*target
					if n == 2 {
						defer close(secondEnded)
					}
				case answer == nil || answer.Status >= 500:
					after = 3 * target
				default:
					select {
					case <-ctx.Done():
						return nil, context.Cause(ctx)
					case <-secondEnded:
					}
				}
				select {
				case <-ctx.Done():
					return nil, context.Cause(ctx)
				case <-time.After(after):
				}
				if answer == nil {
					return nil, errConnReset
				}
				return answer, nil
			}}
			if a := serve(t, newDispatcher(e, 5), "safe"); a.body.String() != test.want || (a.refusal == nil) != (test.want != "") || e.sentCount() != 2 {
				t.Errorf("got %q, status %d, refusal %+v after %d attempts, want %q", a.body.String(), a.status, a.refusal, e.sentCount(), test.want)
			}
		})
	}
}

// TestBothAttemptsEndWithTheirCaller guards against engines that go on with a request whose caller has left.
func TestBothAttemptsEndWithTheirCaller(t *testing.T) {
	ended := make(chan error, 2)
	e := &fakeSender{serve: func(ctx context.Context, _ int, _ dispatch.Attempt) (*dispatch.Response, error) {
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return nil, context.Cause(ctx)
	}}
	ctx, leave := context.WithCancel(context.Background())
	served := make(chan bool)
	go func() { serveContext(ctx, t, newDispatcher(e, 5), "safe"); served <- true }()
	e.awaitSent(t, 2)
	leave()
	<-served
	for range 2 {
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("an attempt ended with %v", err)
		}
	}
}

// TestModelsRunARequestOnceAtATime guards against a request that a second engine of a pool of models runs while the first does.
func TestModelsRunARequestOnceAtATime(t *testing.T) {
	running := make(chan bool, 1)
	e := &fakeSender{serve: func(ctx context.Context, n int, _ dispatch.Attempt) (*dispatch.Response, error) {
		select {
		case running <- true:
		default:
			t.Error("two engines run the request")
		}
		defer func() { <-running }()
		if n == 1 {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		return respond(200, "id: 1\n\n"), nil
	}}
	c := table(1, "k")
	c.Pool("p").Model = &routing.Model{}
	if a := serve(t, newDispatcherWith(e, 5, c, 8, "e1", "e2"), "resumable"); a.body.String() != "id: 1\n\n" || e.sentCount() != 2 {
		t.Errorf("got %q, refusal %+v after %d attempts", a.body.String(), a.refusal, e.sentCount())
	}
}
