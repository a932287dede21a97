package dispatch_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/routing"
)

// Failure: with few engines for some seconds, 61 of 360 short requests got nothing in five seconds
// while prompts five times as long, on a route of a lower tier, started at the same engines (12
// engines per hall; 194 of 394 with 8).
//
// Cause: a request was refused by the wait that its own target allows. The long ones have three
// times the target of the short ones, so at waits of 0.8 to 2.2 s the short ones were refused and
// the long ones accepted. Refusals on arrival did not count as missing slots, so the long ones were
// not shed either.

const (
	// prefillRate is how many tokens a test engine prefills per millisecond.
	prefillRate = 57

	// overloadDuration is how long callers send, and overloadWarmup the time after which outcomes
	// count.
	overloadDuration = 6500 * time.Millisecond
	overloadWarmup   = time.Second

	// maxUnservedShare is the share of requests of a kind that may get nothing in five seconds in
	// which less urgent ones start.
	maxUnservedShare = 1.0 / 12
)

type (
	// prefillEngine is an engine that prefills one prompt after another, the most urgent first.
	prefillEngine struct {
		mu      sync.Mutex
		waiting []*prompt
		wake    chan struct{}
	}

	// prompt is a prompt waiting for prefill.
	prompt struct {
		urgency, tokens int
		done            chan struct{}
		cancelled       bool
	}

	// prefillEngines holds the engines by ID.
	prefillEngines map[string]*prefillEngine

	// requestKind is a kind of request that callers send.
	requestKind struct {
		route    string
		tier     int
		target   time.Duration
		tokens   int
		interval time.Duration

		mu                     sync.Mutex
		asked, began, unserved int
	}
)

// run prefills prompts until the context ends.
func (r *prefillEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		p := r.next()
		if p == nil {
			select {
			case <-ctx.Done():
			case <-r.wake:
			}
			continue
		}
		<-time.After(time.Duration(p.tokens) * time.Millisecond / prefillRate)
		close(p.done)
	}
}

// next removes and returns the next prompt to prefill.
func (r *prefillEngine) next() *prompt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = slices.DeleteFunc(r.waiting, func(p *prompt) bool { return p.cancelled })
	if len(r.waiting) == 0 {
		return nil
	}
	at := 0
	for i, p := range r.waiting {
		if p.urgency < r.waiting[at].urgency {
			at = i
		}
	}
	p := r.waiting[at]
	r.waiting = slices.Delete(r.waiting, at, at+1)
	return p
}

// Send has an engine prefill a prompt.
func (e prefillEngines) Send(ctx context.Context, r *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, error) {
	engine := e[a.Engine.ID]
	p := &prompt{urgency: a.Urgency, tokens: r.Prompt.Tokens, done: make(chan struct{})}
	engine.mu.Lock()
	engine.waiting = append(engine.waiting, p)
	engine.mu.Unlock()
	select {
	case engine.wake <- struct{}{}:
	default: // The engine is already awake.
	}
	select {
	case <-p.done:
		return respond(200, "id: 1\ndata: x\n\n"), nil
	case <-ctx.Done():
		engine.mu.Lock()
		p.cancelled = true
		engine.mu.Unlock()
		return nil, context.Cause(ctx)
	}
}

// send sends requests of a kind for a while, and counts the outcomes of those sent between from and
// to.
func (k *requestKind) send(t *testing.T, d *dispatch.Dispatcher, rnd *rand.Rand, from, to time.Duration) {
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < overloadDuration; n++ {
		counts := time.Since(begin) >= from && time.Since(begin) < to
		wg.Go(func() {
			r := &dispatch.Request{ID: fmt.Sprint(k.route, n), Host: "h", Path: "/" + k.route + "/x", Key: "k", Patience: 3 * time.Second, Prompt: placement.Prompt{Tokens: k.tokens}}
			got := serveRequest(context.Background(), t, d, r)
			k.mu.Lock()
			defer k.mu.Unlock()
			if !counts {
				return
			}
			k.asked++
			if got.status == 200 {
				k.began++
			} else {
				k.unserved++
			}
		})
		<-time.After(time.Duration(rnd.ExpFloat64() * float64(k.interval)))
	}
	wg.Wait()
}

// TestShortRequestsAreNotRefusedForLessUrgentLongOnes checks that at most a twelfth of the short
// requests get nothing while prompts five times as long, of a lower tier and with three times the
// target, start, at 1.7 and 2.5 times the prefill capacity of the engines.
func TestShortRequestsAreNotRefusedForLessUrgentLongOnes(t *testing.T) {
	for _, load := range []float64{1.7, 2.5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			kinds := []*requestKind{
				{route: "explain", tier: 0, target: 300 * time.Millisecond, tokens: 600, interval: 40 * time.Millisecond},
				{route: "brief", tier: 1, target: 500 * time.Millisecond, tokens: 1900, interval: 30 * time.Millisecond},
				{route: "draft", tier: 2, target: 1500 * time.Millisecond, tokens: 9000},
			}
			const engineCount = 3
			draft := kinds[2]
			left := load*engineCount*prefillRate - 600.0/40 - 1900.0/30 // left is the demand of drafts, in tokens per millisecond.
			draft.interval = time.Duration(float64(draft.tokens) / left * float64(time.Millisecond))
			d, _, stop := newPrefillDispatcher(t, kinds, engineCount)
			defer stop()
			sendAll(t, d, kinds, overloadWarmup, overloadDuration)
			brief := kinds[1]
			if nothing := float64(brief.unserved) / float64(brief.asked); nothing > maxUnservedShare && draft.began >= 5 {
				t.Errorf("%.3f of the short requests got nothing, while %d long ones began", nothing, draft.began)
			}
			if kinds[0].unserved > kinds[0].asked/20 {
				t.Errorf("%d of %d requests of the highest tier got nothing", kinds[0].unserved, kinds[0].asked)
			}
		})
	}
}

// sendAll sends requests of all kinds for a while, and logs the outcomes of those sent between from
// and to.
func sendAll(t *testing.T, d *dispatch.Dispatcher, kinds []*requestKind, from, to time.Duration) {
	t.Helper()
	var wg sync.WaitGroup
	for i, k := range kinds {
		wg.Go(func() { k.send(t, d, rand.New(rand.NewPCG(1, uint64(i))), from, to) })
	}
	wg.Wait()
	for _, k := range kinds {
		t.Logf("%s: %d asked, %d began, %d got nothing", k.route, k.asked, k.began, k.unserved)
	}
}

// TestShortRequestsAreServedWhenMostEnginesLeave checks that at most a twelfth of the short
// requests, all of which the remaining engines can prefill, get nothing in the two seconds after 21
// of 24 engines have left at once: long ones of a lower tier are refused at once, rather than after
// short ones wait behind them.
func TestShortRequestsAreServedWhenMostEnginesLeave(t *testing.T) {
	t.Parallel()
	kinds := []*requestKind{
		{route: "explain", tier: 0, target: 300 * time.Millisecond, tokens: 600, interval: 30 * time.Millisecond},
		{route: "brief", tier: 1, target: 500 * time.Millisecond, tokens: 1900, interval: 25 * time.Millisecond},
		{route: "draft", tier: 2, target: 1500 * time.Millisecond, tokens: 9000, interval: 10 * time.Millisecond},
	}
	const (
		before, after = 24, 3
		leaveAt       = 1500 * time.Millisecond
		watched       = 2 * time.Second
	)
	d, place, stop := newPrefillDispatcher(t, kinds, before)
	defer stop()
	leave := time.AfterFunc(leaveAt, func() {
		for i := after; i < before; i++ {
			place.Remove(engineID(i))
		}
	})
	defer leave.Stop()
	sendAll(t, d, kinds, leaveAt, leaveAt+watched)
	for _, k := range kinds[:2] {
		if nothing := float64(k.unserved) / float64(k.asked); nothing > maxUnservedShare {
			t.Errorf("%.3f of the requests of %s got nothing", nothing, k.route)
		}
	}
}

// engineID returns the ID of a test engine.
func engineID(n int) string { return fmt.Sprint("e", n) }

// newPrefillDispatcher returns a dispatcher with some engines for requests of one team.
func newPrefillDispatcher(t *testing.T, kinds []*requestKind, count int) (d *dispatch.Dispatcher, place *placement.Placement, stop func()) {
	t.Helper()
	tier := 1
	var routes []*routing.Route
	for _, k := range kinds {
		routes = append(routes, &routing.Route{
			Name: k.route, Host: "h", PathPrefix: "/" + k.route + "/", Kind: routing.Stream, Timeout: 3 * time.Second, Target: k.target, Tier: k.tier, MaxEngines: 1,
			Shares: []routing.Share{{Pool: "p", Weight: 1}},
		})
	}
	pool := &routing.Pool{Name: "p", Model: &routing.Model{Slots: 64, TokensPerEvent: 7}}
	ctx, cancel := context.WithCancel(context.Background())
	engines := prefillEngines{}
	place = placement.New("hall")
	var wg sync.WaitGroup
	for i := range count {
		id := engineID(i)
		engine := &prefillEngine{wake: make(chan struct{}, 1)}
		engines[id] = engine
		place.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 64})
		wg.Go(func() { engine.run(ctx) })
	}
	proof := freshness.New(time.Hour)
	proof.Renew(time.Now())
	budget := retry.New(time.Now(), retry.Limits{Window: time.Second}, func() int { return 1 })
	d = dispatch.New(proof, place, budget, engines, retryObserver{}, slog.New(slog.DiscardHandler))
	d.SetTable(routing.NewTable(1, routes, []*routing.Pool{pool}, []*routing.Team{{Name: "t", Keys: []string{"k"}, Tier: &tier}}, routing.Limits{}))
	return d, place, func() {
		cancel()
		wg.Wait()
	}
}
