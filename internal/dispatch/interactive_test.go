package dispatch_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

// sharedPart is the part of a prompt that the first engine has cached.
var sharedPart = []placement.Part{placement.NewPart("shared", 6000)}

// newInteractive returns a dispatcher whose pool p is interactive, with engines that have some prompt
// tokens queued each. The first one has the shared part of a prompt cached.
func newInteractive(t *testing.T, queued ...int) *dispatch.Dispatcher {
	t.Helper()
	return newInteractiveWith(t, placement.New("hall"), queued...)
}

// newInteractiveWith is newInteractive with a placement that the engines are added to.
func newInteractiveWith(t *testing.T, p *placement.Placement, queued ...int) *dispatch.Dispatcher {
	t.Helper()
	now := time.Now()
	for i, tokens := range queued {
		e := placement.Engine{ID: engineID(i), Pool: "p", Hall: "hall", Slots: 8}
		p.Set(e)
		p.Start(now, placement.Choice{Engine: e, PrefillTokens: tokens, QueuedTokens: tokens, PrefillRate: 50}, placement.Request{Pool: "p", Prompt: placement.Prompt{Shared: sharedPart[:max(0, 1-i)]}})
	}
	proof := freshness.New(time.Hour)
	proof.Renew(now)
	sender := &fakeSender{serve: func(context.Context, int, dispatch.Attempt) (*dispatch.Response, error) {
		return respond(200, "ok"), nil
	}}
	d := dispatch.New(proof, p, retry.New(now, retry.Limits{Window: time.Second}, func() int { return 1 }), sender, retryObserver{}, slog.New(slog.DiscardHandler), dispatch.WithInteractiveTarget(500*time.Millisecond))
	highest := 0 // A team of a higher tier than the route: its refusals count for its own tier.
	route := &routing.Route{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: routing.Stream, Timeout: timeout, Target: 300 * time.Millisecond, Tier: 1, MaxEngines: 1, Shares: []routing.Share{{Pool: "p", Weight: 1}}}
	d.SetTable(routing.NewTable(1, []*routing.Route{route}, []*routing.Pool{{Name: "p", Model: &routing.Model{Slots: 8, TokensPerEvent: 7}}}, []*routing.Team{{Name: "t", Keys: []string{"k"}, Tier: &highest}, {Name: "low", Keys: []string{"low"}}}, routing.Limits{}))
	return d
}

// TestInteractivePoolsDecideAtArrival guards against refusals while an engine can begin in time, also
// of a prompt that takes longer than its target, and against callers who are held before they are
// refused or told to come back later than they heed. The engines have up to a second of work.
func TestInteractivePoolsDecideAtArrival(t *testing.T) {
	for name, test := range map[string]struct {
		queued []int
		tokens int
		served bool
	}{
		"idle":                {[]int{0, 0}, 2000, true},
		"idle, long prompt":   {[]int{0, 0}, 30000, true},
		"one engine is idle":  {[]int{50000, 0}, 2000, true},
		"all engines at work": {[]int{50000, 50000}, 2000, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, begin := newInteractive(t, test.queued...), time.Now()
			got := serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: "k", Patience: timeout, Prompt: placement.Prompt{Tokens: test.tokens}})
			if (got.status == 200) != test.served {
				t.Fatalf("status %d, refusal %+v", got.status, got.refusal)
			}
			if test.served {
				return
			}
			if r := got.refusal; r.Reason != dispatch.Busy || r.RetryAfter <= 0 || r.RetryAfter > timeout/3 || time.Since(begin) > 300*time.Millisecond {
				t.Errorf("refused after %v with %+v", time.Since(begin), r)
			}
			teams := d.TeamWork(time.Now())["p"]
			if len(teams) != 1 || teams[0].Team != "t" {
				t.Errorf("reported to peers: %+v", teams)
			}
		})
	}
}

// overloadCounts counts what an OverloadObserver gets.
type overloadCounts struct{ refused, second int }

func (c *overloadCounts) Overloaded(_, _ string) { c.refused++ }
func (c *overloadCounts) SecondChoice(string)    { c.second++ }

// TestSecondChoice guards against refusals while another engine can begin in time, and against work
// that is done twice at engines that others wait for: the engine with the cached part has 240 ms queued,
// and the other must prefill all of the prompt.
func TestSecondChoice(t *testing.T) {
	for _, test := range []struct {
		queued int
		served bool
	}{{0, true}, {1000, true}, {4000, false}} {
		d, counts := newInteractive(t, 12000, test.queued), &overloadCounts{}
		dispatch.WithOverloadObserver(counts)(d)
		got := serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: "k", Patience: timeout, Prompt: placement.Prompt{Shared: sharedPart, Tokens: 7000}})
		if (got.status == 200) != test.served || (counts.second == 1) != test.served || counts.second+counts.refused != 1 {
			t.Errorf("with %d tokens queued at the other engine: status %d, refusal %+v, counted %+v", test.queued, got.status, got.refusal, counts)
		}
	}
}

// TestLimitIsCheckedAfterAWait guards against requests that wait for a slot or a permit and are then
// sent to an engine at which others have queued a second of work meanwhile.
func TestLimitIsCheckedAfterAWait(t *testing.T) {
	for _, queued := range []int{0, 50000} {
		for _, wait := range []string{"slot", "permit"} {
			limits := limitedEngines{}
			if wait == "permit" {
				limits = limitedEngines{"e0", "e1"}
			}
			p := placement.New("hall", placement.WithLimits(limits))
			d, full := newInteractiveWith(t, p, 0, 0), placement.Load{InFlight: 8}
			change := func() {
				p.UpdatePeer(time.Now(), "peer", history.Position{}, map[string]placement.Load{"e0": {PrefillTokens: queued, InFlight: 1}, "e1": {PrefillTokens: queued, InFlight: 8}}, nil)
			}
			dispatch.WithPermits(&fakePermits{left: 1, before: change})(d)
			if wait == "slot" {
				p.UpdatePeer(time.Now(), "peer", history.Position{}, map[string]placement.Load{"e0": full, "e1": full}, nil)
				time.AfterFunc(30*time.Millisecond, change)
			}
			got := serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: "k", Patience: timeout, Prompt: placement.Prompt{Tokens: 2000}})
			if (got.status == 200) != (queued == 0) || queued > 0 && (got.refusal == nil || got.refusal.Reason != dispatch.Busy || got.refusal.RetryAfter <= 0) {
				t.Errorf("%d tokens queued after a wait for a %s: status %d, refusal %+v", queued, wait, got.status, got.refusal)
			}
		}
	}
}

// TestAdmissionOfLowerTiersIsTold guards against a highest tier that is refused at its node while
// another one admits lower tiers.
func TestAdmissionOfLowerTiersIsTold(t *testing.T) {
	serve := func(d *dispatch.Dispatcher, key string) int {
		return serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: key, Patience: timeout, Prompt: placement.Prompt{Tokens: 2000}}).status
	}
	lower, full := newInteractive(t, 0), newInteractive(t, 12000)
	if serve(lower, "low") != 200 || serve(full, "k") == 200 {
		t.Fatal("an idle engine is not used, or a full one is")
	}
	now := time.Now()
	if told := full.LowerAdmitted(now); len(told) > 0 {
		t.Errorf("a node that admits no lower tier tells %v", told)
	}
	full.SetPeerLowerAdmitted(now, "peer", lower.LowerAdmitted(now))
	if serve(full, "k") != 200 {
		t.Error("the highest tier is refused beside lower ones")
	}
}

// TestFirstEventsTeachTheMargin guards against first events that the overload control does not get: the
// engine answers at once, and earlier than expected.
func TestFirstEventsTeachTheMargin(t *testing.T) {
	d := newInteractive(t, 0, 0)
	for range 40 {
		serveRequest(context.Background(), t, d, &dispatch.Request{ID: "id", Host: "h", Path: "/stream/x", Key: "low", Patience: timeout, Prompt: placement.Prompt{Tokens: 2000}})
	}
	if got := d.OverloadMargins()["p"]; got >= 20 || got < 10 {
		t.Errorf("the margin is %d%%, want less than the first 20%%", got)
	}
}
