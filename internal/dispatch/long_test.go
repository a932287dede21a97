package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/reach"
	"github.com/croftturn/croftturn/internal/retry"
)

const (
	longTarget  = 600 * time.Millisecond
	longTimeout = 2500 * time.Millisecond

	// slack is how much later than twice the target another engine may get a request.
	slack = 50 * time.Millisecond
)

type (
	// timedEngines run each request for as long as its target path says, whichever engine gets it.
	timedEngines struct {
		drawn  lengths // drawn is how long they run it the second time; nil for as long as the first.
		silent bool    // silent is set if one engine sends nothing at all.
		loses  bool    // loses is set if it answers calls that run nothing, and loses every other request.

		mu     sync.Mutex
		broken string        // broken is that engine: the first that gets a request; empty for none.
		ran    time.Duration // ran is how long engines ran requests.
		useful time.Duration // useful is how long the runs took that were answered.
		lost   int
		most   map[string]int // most is on how many engines each request ran.
	}

	// lengths draws how long a request runs.
	lengths func(r *rand.Rand) time.Duration

	// tally is what the callers of one route got. short counts the requests that another engine could answer within the deadline
	// from twice the target on, late those of them that were not served.
	tally struct{ served, sent, short, late int }
)

func (e *timedEngines) Accepts(context.Context, string) bool { return true }

func (e *timedEngines) Probe(ctx context.Context, address string) (connected, answered bool) {
	e.mu.Lock()
	silent := e.silent && address == e.broken
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
		return true, false
	}
	return true, true
}

func (e *timedEngines) Send(ctx context.Context, r *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, error) {
	length, _ := time.ParseDuration(r.Target)
	e.mu.Lock()
	if e.most[r.ID]++; e.drawn != nil && e.most[r.ID] > 1 {
		length = e.drawn(rand.New(rand.NewPCG(uint64(length), 1)))
	}
	if e.broken == "" && (e.silent || e.loses) {
		e.broken = a.Engine.ID
	}
	lost := a.Engine.ID == e.broken
	if lost && e.loses {
		e.lost++
		lost = e.lost%2 == 0
	}
	e.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	from := time.Now()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ran += time.Since(from)
	}()
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-time.After(length):
	}
	e.mu.Lock()
	e.useful += time.Since(from)
	e.mu.Unlock()
	return respond(200, "id: 1\ndata: x\n\n"), nil
}

// serveTimed has callers of some nodes send requests of a route one after another, and returns what they got.
func (e *timedEngines) serveTimed(t *testing.T, route string, attempts, nodes, callers, each int, draw lengths) (got tally) {
	t.Helper()
	e.most = map[string]int{}
	var wg sync.WaitGroup
	for n := range nodes {
		now, proof, p, log := time.Now(), freshness.New(time.Hour), placement.New("hall"), slog.New(slog.NewTextHandler(io.Discard, nil))
		for i := range 8 {
			id := "e" + strconv.Itoa(i)
			p.Set(placement.Engine{ID: id, Pool: "p", Hall: "hall", Slots: 64, Address: id})
		}
		proof.Renew(now)
		m := reach.New(p, e, func(string) {}, log)
		t.Cleanup(m.Close)
		d := dispatch.New(proof, p, retry.New(now, retry.Limits{Share: 0.2, Extra: 20, Window: 10 * time.Second}, func() int { return 1 }), e, retryObserver{}, log, dispatch.WithReach(m))
		d.SetTable(table(1, "k"))
		r := d.Table().Route("h", "/"+route+"/x")
		r.Target, r.Timeout, r.MaxEngines = longTarget, longTimeout, attempts
		for c := range callers {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(uint64(n), uint64(c)))
				for i := range each {
					length := draw(random)
					request := &dispatch.Request{ID: fmt.Sprint(n, " ", c, " ", i), Host: "h", Path: "/" + route + "/x", Key: "k", Patience: longTimeout, Target: length.String()}
					a := serveRequest(context.Background(), t, d, request)
					e.mu.Lock()
					got.sent++
					if a.refusal == nil && !a.aborted {
						got.served++
					}
					if length < longTimeout-2*longTarget-slack {
						got.short++
						if a.refusal != nil {
							got.late++
						}
					}
					e.mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return got
}

// inOwnTime makes a test run in a time of its own, so that a busy machine makes no engine slower.
func inOwnTime(test func(t *testing.T)) func(t *testing.T) {
	return func(t *testing.T) { synctest.Test(t, test) }
}

// uniform and oneInTwenty are lengths from a tenth of the target to nine tenths of the deadline.
func uniform(r *rand.Rand) time.Duration {
	return longTarget/10 + time.Duration(r.Int64N(int64(longTimeout*9/10-longTarget/10)))
}

func oneInTwenty(r *rand.Rand) time.Duration {
	if r.IntN(20) == 0 {
		return longTimeout * 9 / 10
	}
	return longTarget/10 + time.Duration(r.Int64N(int64(longTarget*9/10)))
}

// TestLongRepeatableRequestsAreServed guards against requests that may be repeated, and are for that reason ended at an engine
// which works, to begin anew where they do not fit any more; and against work done twice to prevent it.
func TestLongRepeatableRequestsAreServed(t *testing.T) {
	for name, draw := range map[string]lengths{"uniform": uniform, "one in twenty": oneInTwenty} {
		for _, load := range []struct{ nodes, callers, each int }{{2, 24, 20}, {4, 1, 640}} {
			var unsafe tally
			t.Run(fmt.Sprintf("%s, %d callers of a node, unsafe", name, load.callers), inOwnTime(func(t *testing.T) {
				unsafe = (&timedEngines{}).serveTimed(t, "unsafe", 1, load.nodes, load.callers, load.each, draw)
			}))
			for _, c := range []struct {
				route    string
				attempts int
				again    lengths
			}{{"safe", 3, nil}, {"safe", 3, draw}, {"resumable", 2, nil}, {"safe", 1, nil}, {"safe", 2, nil}, {"resumable", 1, nil}, {"resumable", 3, nil}} {
				if load.callers == 1 && (c.attempts == 1 || c.again == nil && c.route == "safe") {
					continue // Takes long, and adds nothing to what many callers show.
				}
				t.Run(fmt.Sprintf("%s, %d callers of a node, %s, %d engines, drawn again %v", name, load.callers, c.route, c.attempts, c.again != nil), inOwnTime(func(t *testing.T) {
					e := &timedEngines{drawn: c.again}
					got := e.serveTimed(t, c.route, c.attempts, load.nodes, load.callers, load.each, draw)
					if lost, usual := got.sent-got.served, unsafe.sent-unsafe.served; lost > usual {
						t.Errorf("%d of %d got nothing, %d of %d unsafe ones", lost, got.sent, usual, unsafe.sent)
					}
					if twice := e.ran - e.useful; twice > e.ran/20 {
						t.Errorf("engines ran for %v, %v of it for nothing", e.ran, twice)
					}
					t.Logf("%d of %d served, %d of %d unsafe ones, engines ran for %v, %v for nothing", got.served, got.sent, unsafe.served, unsafe.sent, e.ran, e.ran-e.useful)
					for id, n := range e.most {
						if n > c.attempts {
							t.Errorf("request %s ran on %d engines", id, n)
						}
					}
				}))
			}
		}
	}
}

// TestRequestsOfBrokenEnginesAreServed guards against requests that stay at an engine which is silent since it is broken, until
// no other engine can answer them in time.
func TestRequestsOfBrokenEnginesAreServed(t *testing.T) {
	for name, broken := range map[string]*timedEngines{"silent": {silent: true}, "loses every other": {loses: true}} {
		for length, draw := range map[string]lengths{"uniform": uniform, "one in twenty": oneInTwenty} {
			for _, load := range []struct{ nodes, callers, each int }{{2, 24, 20}, {32, 1, 40}} {
				t.Run(fmt.Sprintf("%s, %s, %d callers of a node", name, length, load.callers), inOwnTime(func(t *testing.T) {
					e := &timedEngines{silent: broken.silent, loses: broken.loses}
					got := e.serveTimed(t, "safe", 2, load.nodes, load.callers, load.each, draw)
					if got.late > got.sent/100 && e.silent {
						t.Errorf("%d of %d got nothing though another engine had the time", got.late, got.sent)
					}
					if got.served < got.short {
						t.Errorf("%d of %d served, %d were short enough for another attempt", got.served, got.sent, got.short)
					}
					t.Logf("%d of %d served, %d of %d short ones got nothing", got.served, got.sent, got.late, got.short)
				}))
			}
		}
	}
}
