package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/routing"
)

// permitsThen issues permits after it has called a function with the engine.
type permitsThen func(engine string)

func (permitsThen) Answered(_, _ time.Time, _ string, _ float64, _ bool) {}

func (f permitsThen) Take(_ context.Context, _ time.Time, _, engine string, _ time.Duration) limit.Permit {
	f(engine)
	return limit.Permit{Issued: true}
}

// leavingCounts counts requests to leaving engines.
type leavingCounts struct{ sent, cutOff atomic.Int64 }

func (c *leavingCounts) SentToLeaving(string)   { c.sent.Add(1) }
func (c *leavingCounts) CutOffByLeaving(string) { c.cutOff.Add(1) }

// TestNoRequestReachesAnEngineThatLeft guards against requests that are sent to a draining engine after
// its time: at once, after a wait for a slot or a permit, at a second attempt, or where a stream is
// resumed. It also guards against further requests to one that broke off or rejected a request.
func TestNoRequestReachesAnEngineThatLeft(t *testing.T) {
	event, broken := "id: 1\ndata: x\n\n", func() (*dispatch.Response, error) { return nil, errConnReset }
	for _, test := range []struct {
		name         string
		leaveFor     time.Duration                      // leaveFor is how long both engines may get requests at the start; 0 if they do not leave.
		during       string                             // during is what one engine's time ends in: "slot" or "permit" for the chosen one, "send" for the other.
		answer       func() (*dispatch.Response, error) // answer is the engine's; nil for a whole one.
		sends        int                                // sends is how many requests the engines get in all.
		status       int                                // status is 0 if the request is refused.
		sent, cutOff int64                              // These are the counts of the observer.
	}{
		{name: "leaving", leaveFor: time.Second, sends: 1, status: 200, sent: 1},
		{name: "left", leaveFor: time.Nanosecond},
		{name: "left while it waited for a slot", during: "slot", sends: 1, status: 200},
		{name: "left while it waited for a permit", during: "permit", sends: 1, status: 200},
		{name: "left before the second attempt", during: "send", answer: broken, sends: 1},
		{name: "left before the stream was resumed", during: "send", answer: func() (*dispatch.Response, error) {
			r := respond(200, "")
			r.Body = io.NopCloser(io.MultiReader(strings.NewReader(event), iotest.ErrReader(errConnReset)))
			return r, nil
		}, sends: 1, status: 200},
		{name: "broke off", leaveFor: time.Second, answer: broken, sends: 2, sent: 2, cutOff: 2},
		{name: "rejected", leaveFor: time.Second, answer: func() (*dispatch.Response, error) {
			return &dispatch.Response{Status: 503, NotRun: true, Body: http.NoBody}, nil
		}, sends: 2, sent: 2},
	} {
		limited, counts, left := limitedEngines(nil), &leavingCounts{}, ""
		if test.during == "permit" {
			limited = limitedEngines{"e1", "e2"}
		}
		p := placement.New("hall", placement.WithLimits(limited))
		leave := func(id string, after time.Duration) {
			now := time.Now()
			p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 8, Draining: true, LeavesAt: now.Add(after + time.Minute), LastSend: now.Add(after), ServesUntil: now.Add(after + time.Minute)})
		}
		e := &fakeSender{serve: func(_ context.Context, _ int, a dispatch.Attempt) (*dispatch.Response, error) {
			if a.SendBefore.IsZero() != (test.leaveFor == 0) || a.Engine.ID == left {
				t.Errorf("%s: sent to %s, to be sent before %v", test.name, a.Engine.ID, a.SendBefore)
			}
			if test.during == "send" {
				left = map[string]string{"e1": "e2", "e2": "e1"}[a.Engine.ID]
				leave(left, -time.Millisecond)
			}
			if test.answer != nil {
				return test.answer()
			}
			return respond(200, event), nil
		}}
		d := newDispatcherWithPlacement(p, e, 9, interactiveTable(), 8, "e1", "e2")
		dispatch.WithPermits(permitsThen(func(engine string) {
			if left == "" {
				left = engine
				leave(left, -time.Millisecond)
			}
		}))(d)
		dispatch.WithInteractiveTarget(500 * time.Millisecond)(d)
		dispatch.WithLeavingObserver(counts)(d)
		if test.leaveFor > 0 {
			leave("e1", test.leaveFor)
			leave("e2", test.leaveFor)
		}
		if test.during == "slot" {
			fillThenLeave(p, func() { leave("e1", -time.Millisecond) })
			left = "e1"
		}
		got := serve(t, d, "resumable")
		if e.sentCount() != test.sends || got.status != test.status || counts.sent.Load() != test.sent || counts.cutOff.Load() != test.cutOff {
			t.Errorf("%s: %d sent, status %d, counts %d and %d", test.name, e.sentCount(), got.status, counts.sent.Load(), counts.cutOff.Load())
		}
		if test.sends == 2 {
			if serve(t, d, "resumable"); e.sentCount() != 2 {
				t.Errorf("%s: a further request was sent", test.name)
			}
		}
	}
}

// fillThenLeave takes all slots of both engines. Soon after, those of e1 get free as leave is called, and
// later those of e2.
func fillThenLeave(p *placement.Placement, leave func()) {
	var calls []*placement.Call
	for i := range 16 {
		calls = append(calls, p.Start(time.Now(), placement.Choice{Engine: placement.Engine{ID: []string{"e1", "e2"}[i/8], Pool: "p"}}, placement.Request{Pool: "p"}))
	}
	end := func(calls []*placement.Call) {
		for _, c := range calls {
			c.End(time.Now(), placement.Answered)
		}
	}
	time.AfterFunc(20*time.Millisecond, func() { leave(); end(calls[:8]) })
	time.AfterFunc(60*time.Millisecond, func() { end(calls[8:]) })
}

// interactiveTable returns a configuration with a resumable route to an interactive pool.
func interactiveTable() *routing.Table {
	route := &routing.Route{Name: "resumable", Host: "h", PathPrefix: "/resumable/", Kind: routing.Stream, Timeout: timeout, Target: 300 * time.Millisecond, MaxEngines: 2, Resumable: true, Shares: []routing.Share{{Pool: "p", Weight: 1}}}
	return routing.NewTable(1, []*routing.Route{route}, []*routing.Pool{{Name: "p", Model: &routing.Model{Slots: 8, TokensPerEvent: 7}}}, []*routing.Team{{Name: "t", Keys: []string{"k"}}}, routing.Limits{})
}
