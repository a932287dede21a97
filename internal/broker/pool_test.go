package broker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/wire"
)

var (
	start   = time.Unix(1000, 0)
	classes = []queue.Class{
		{Name: "confirm", Tier: 1, MaxWait: time.Second},
		{Name: "explain", Tier: 3, MaxWait: time.Minute},
	}
)

// pool returns a pool that waits for no reports, with engines of the given slots.
func pool(t testing.TB, queueLimit, engines, slots int, team broker.Team) *broker.Pool {
	t.Helper()
	p := broker.NewPool(start, "llm", func(string) broker.Team { return team }, nil)
	var list []broker.Engine
	for i := range engines {
		list = append(list, broker.Engine{Name: fmt.Sprintf("e%d", i), Slots: slots})
	}
	p.Configure(start, broker.Options{QueueLimit: queueLimit}, classes, list)
	return p
}

// ask asks for a slot and returns the answer if there is one immediately.
func ask(p *broker.Pool, now time.Time, id, class, team string) (<-chan wire.Grant, *wire.Grant) {
	ch := p.Acquire(now, wire.Acquire{Pool: "llm", Request: id, Node: "n1", Class: class, Team: team})
	return ch, poll(ch)
}

// poll returns the answer if there is one, or nil.
func poll(ch <-chan wire.Grant) *wire.Grant {
	select {
	case g := <-ch:
		return &g
	default:
		return nil
	}
}

func TestReleasedSlotGoesToHigherTier(t *testing.T) {
	p := pool(t, 10, 1, 1, broker.Team{})
	if _, g := ask(p, start, "a", "explain", "x"); g == nil || g.Engine != "e0" {
		t.Fatalf("first got %+v", g)
	}
	low, g := ask(p, start, "b", "explain", "x")
	high, _ := ask(p, start, "c", "confirm", "x")
	if g != nil {
		t.Fatalf("second got %+v while the engine was full", g)
	}
	p.Release(start, wire.Release{Pool: "llm", Request: "a", Engine: "e0", Status: broker.StatusOK})
	if poll(high) == nil || poll(low) != nil {
		t.Error("the slot was granted to the lower tier")
	}
}

// TestShedRequestsGetDistinctRetryTimes checks that requests refused together
// get different retry times.
func TestShedRequestsGetDistinctRetryTimes(t *testing.T) {
	p := pool(t, 2, 1, 1, broker.Team{})
	ask(p, start, "run", "explain", "x")
	seen := map[int]bool{}
	for i := range 5 {
		ask(p, start.Add(time.Duration(i)), fmt.Sprint("w", i), "explain", "x")
	}
	for i := range 5 {
		_, g := ask(p, start.Add(time.Second), fmt.Sprint("z", i), "explain", "x")
		if g == nil || g.Refusal != broker.ReasonQueueFull || seen[g.RetryAfterMs] {
			t.Fatalf("refusal %d = %+v, seen %v", i, g, seen)
		}
		seen[g.RetryAfterMs] = true
	}
}

func TestMaxWaitRefuses(t *testing.T) {
	p := pool(t, 10, 1, 1, broker.Team{})
	ask(p, start, "run", "explain", "x")
	ch, _ := ask(p, start, "w", "confirm", "x")
	p.Sweep(start.Add(999 * time.Millisecond))
	if g := poll(ch); g != nil {
		t.Fatalf("refused early: %+v", g)
	}
	p.Sweep(start.Add(time.Second))
	if g := poll(ch); g == nil || g.Refusal != broker.ReasonMaxWait {
		t.Errorf("got %+v, want max_wait", g)
	}
}

func TestTeamLimitsAreExact(t *testing.T) {
	p := pool(t, 100, 1, 100, broker.Team{Rate: 10, Burst: 3, InFlight: 5})
	granted, refused := 0, map[string]int{}
	for i := range 50 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		_, g := ask(p, now, fmt.Sprint(i), "explain", "x")
		if g != nil && g.Refusal == "" {
			granted++
			continue
		}
		refused[g.Refusal]++
		if g.RetryAfterMs <= 0 {
			t.Errorf("refusal without a retry time: %+v", g)
		}
	}
	// A burst of 3, then 10 a second until 5 are in flight.
	if granted != 5 || refused[broker.ReasonTeamInFlight] == 0 || refused[broker.ReasonTeamRate] == 0 {
		t.Errorf("%d granted, refused %v", granted, refused)
	}
}

// TestNewBrokerCountsWhatNodesHold checks that a new broker grants nothing before
// the nodes have reported, and then only free slots.
func TestNewBrokerCountsWhatNodesHold(t *testing.T) {
	p := broker.NewPool(start, "llm", func(string) broker.Team { return broker.Team{} }, []string{"n1", "n2"})
	p.Configure(start, broker.Options{QueueLimit: 10}, classes, []broker.Engine{{Name: "e0", Slots: 1}})
	ch, _ := ask(p, start, "a", "explain", "x")
	p.Report(start, wire.Report{Node: "n1", Pool: "llm"})
	if poll(ch) != nil {
		t.Fatal("granted before n2 reported")
	}
	p.Report(start, wire.Report{Node: "n2", Pool: "llm", Holds: []wire.Hold{{Request: "old", Engine: "e0"}}})
	if poll(ch) != nil {
		t.Fatal("granted a slot that n2 holds")
	}
	p.NodeGone(start, "n2")
	if poll(ch) == nil {
		t.Error("the slot of a dead node was not granted")
	}
}

// TestReportFreesWhatGivenUpAsksGot checks that a node's report ends the asks that it has given up,
// whether they have a slot, wait, or arrive only now, and leaves those that it still waits for.
func TestReportFreesWhatGivenUpAsksGot(t *testing.T) {
	p := pool(t, 10, 1, 2, broker.Team{})
	acquire := func(id string, n int) <-chan wire.Grant {
		return p.Acquire(start, wire.Acquire{Pool: "llm", Request: id, Node: "n1", Class: "explain", Team: "x", Process: 9, Ask: n})
	}
	acquire("given-up", 1)
	acquire("answer-on-its-way", 2)
	late, waiting := acquire("waits-given-up", 3), acquire("waits", 4)
	p.Report(start, wire.Report{Node: "n1", Pool: "llm", Process: 9, LastAsk: 6, Asking: []int{2, 4}})
	if g := poll(late); g == nil || g.Refusal != broker.ReasonStale {
		t.Errorf("the wait that was given up got %+v, want the refusal %q", g, broker.ReasonStale)
	}
	if g := poll(waiting); g == nil || g.Engine != "e0" {
		t.Errorf("the ask that still waits got %+v, want the slot that was given up", g)
	}
	if g := poll(acquire("overtaken", 5)); g == nil || g.Refusal != broker.ReasonStale {
		t.Errorf("an ask that arrives after its node gave it up got %+v, want the refusal %q", g, broker.ReasonStale)
	}
	p.Report(start.Add(time.Minute), wire.Report{Node: "n1", Pool: "llm", Process: 9, LastAsk: 5})
	if n := p.Engines()[0].Count; n != 2 {
		t.Errorf("%d slots are taken after an earlier report that came late, want 2", n)
	}
	if g := poll(p.Acquire(start, wire.Acquire{Pool: "llm", Request: "restarted", Node: "n1", Class: "explain", Process: 10, Ask: 1})); g != nil {
		t.Errorf("an ask of the node's next process got %+v, want it to wait", g)
	}
}

// TestLateCancelLeavesTheNextAskAlone checks that a cancel that arrives after its node has asked again
// ends neither the wait nor the slot of the later ask.
func TestLateCancelLeavesTheNextAskAlone(t *testing.T) {
	p := pool(t, 10, 1, 1, broker.Team{})
	ask(p, start, "running", "explain", "x")
	again := p.Acquire(start, wire.Acquire{Pool: "llm", Request: "a", Node: "n1", Class: "explain", Team: "x", Ask: 2})
	p.Cancel(start, "a", 1)
	p.Release(start, wire.Release{Pool: "llm", Request: "running", Engine: "e0", Status: broker.StatusOK})
	if poll(again) == nil {
		t.Fatal("the later ask no longer waits")
	}
	p.Cancel(start, "a", 1)
	if _, g := ask(p, start, "b", "explain", "x"); g != nil {
		t.Errorf("the slot of the later ask was given away: %+v", g)
	}
	p.Cancel(start, "a", 2)
	if n := p.Engines()[0].Count; n != 1 {
		t.Errorf("%d slots are taken after its own cancel, want that of the next request", n)
	}
}

// TestPoolWithAllEnginesFailedStillGrants checks that a pool whose engines have all failed still
// grants slots. Without that, the pool took no requests for the whole pause:
// 28 of 40 requests were refused in TestOnceBackendBreaks.
func TestPoolWithAllEnginesFailedStillGrants(t *testing.T) {
	p := pool(t, 10, 2, 4, broker.Team{})
	now := start
	for i := range 6 {
		id := fmt.Sprint(i)
		_, g := ask(p, now, id, "explain", "x")
		if g == nil || g.Engine == "" {
			t.Fatalf("request %d got %+v while all engines were idle", i, g)
		}
		p.Release(now, wire.Release{Pool: "llm", Request: id, Engine: g.Engine, Status: broker.StatusFailed})
		now = now.Add(time.Millisecond)
	}
}

// TestSlowEngineGetsLess checks that an engine five times as slow as the others
// is marked as slow, and no other.
func TestSlowEngineGetsLess(t *testing.T) {
	p := pool(t, 1000, 3, 10, broker.Team{})
	now := start
	for i := range 30 { // Lets the pool measure each engine's time per token.
		id := fmt.Sprint("p", i)
		_, g := ask(p, now, id, "explain", "x")
		msPerToken := 10
		if g.Engine == "e0" {
			msPerToken = 50
		}
		p.Release(now, wire.Release{Pool: "llm", Request: id, Engine: g.Engine, Status: broker.StatusOK, OutputTokens: 101, DurationMs: 100 * msPerToken})
		ask(p, now, fmt.Sprint("h", i), "explain", "x")
	}
	p.Sweep(now.Add(time.Second))
	for _, e := range p.Engines() {
		slow := e.Name == "e0"
		if slow != (e.State == "slow") {
			t.Errorf("engine %s is %s: %s", e.Name, e.State, e.Reason)
		}
	}
}

// TestSlotsAreReservedForHigherTiers checks that a flood of the lowest tier leaves
// slots free for the top tier's recent use, and that without a margin it does not.
func TestSlotsAreReservedForHigherTiers(t *testing.T) {
	for margin, wantFree := range map[float64]bool{0: false, 2: true} {
		p := pool(t, 1000, 2, 10, broker.Team{})
		p.Configure(start, broker.Options{QueueLimit: 1000, ReserveMargin: margin}, classes, []broker.Engine{{Name: "e0", Slots: 10}, {Name: "e1", Slots: 10}})
		now := start
		for i := range 400 { // Four concurrent confirmations for forty seconds.
			id := fmt.Sprint("c", i)
			_, g := ask(p, now, id, "confirm", "x")
			if i >= 4 {
				old := fmt.Sprint("c", i-4)
				p.Release(now, wire.Release{Pool: "llm", Request: old, Engine: g.Engine, Status: broker.StatusOK, OutputTokens: 10})
			}
			now = now.Add(100 * time.Millisecond)
		}
		for i := range 100 {
			ask(p, now, fmt.Sprint("x", i), "explain", "x")
		}
		_, g := ask(p, now, "late", "confirm", "x")
		if got := g != nil && g.Engine != ""; got != wantFree {
			t.Errorf("margin %v: a slot was free for the top tier: %v, want %v", margin, got, wantFree)
		}
	}
}

// loadedPool is a pool under load, for benchmarks.
type loadedPool struct {
	pool    *broker.Pool
	teams   int
	next    int
	running []wire.Release // running holds the releases of the slots in use.
	waiting [][]waiting    // waiting holds each team's requests, oldest first.
}

// waiting is a waiting request.
type waiting struct {
	id string
	ch <-chan wire.Grant
}

// push asks for a slot for the next team, round-robin.
func (c *loadedPool) push() {
	team := c.next % c.teams
	id := fmt.Sprint(c.next)
	c.next++
	ch := c.pool.Acquire(start, wire.Acquire{Pool: "llm", Request: id, Node: "n1", Class: "explain", Team: fmt.Sprint("t", team)})
	c.waiting[team] = append(c.waiting[team], waiting{id, ch})
}

// collect moves granted requests from waiting to running.
func (c *loadedPool) collect() {
	for team := range c.waiting {
		for len(c.waiting[team]) > 0 {
			w := c.waiting[team][0]
			g := poll(w.ch)
			if g == nil {
				break
			}
			c.running = append(c.running, wire.Release{Pool: "llm", Request: w.id, Engine: g.Engine, Status: broker.StatusCancelled})
			c.waiting[team] = c.waiting[team][1:]
		}
	}
}

// BenchmarkDecision measures one release, the grant that follows, and one
// acquire, with many engines, teams and waiting requests.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ engines, teams, waiting int }{{12, 10, 100}, {12, 10, 10000}, {12, 540, 10000}, {64, 540, 10000}, {600, 540, 10000}} {
		b.Run(fmt.Sprintf("engines=%d/teams=%d/waiting=%d", size.engines, size.teams, size.waiting), func(b *testing.B) {
			c := &loadedPool{pool: pool(b, 1<<30, size.engines, 4, broker.Team{Weight: 1}), teams: size.teams, waiting: make([][]waiting, size.teams)}
			for range 4*size.engines + size.waiting {
				c.push()
			}
			c.collect()
			b.ReportAllocs()
			b.ResetTimer()
			for done := 0; done < b.N; {
				batch := c.running
				c.running = nil
				for _, r := range batch {
					c.pool.Release(start, r)
					c.push()
				}
				done += len(batch)
				b.StopTimer()
				c.collect()
				b.StartTimer()
			}
		})
	}
}

// TestNewBrokerShedsLowestTierAfterGracePeriod checks that a new broker sheds nothing until the
// requests that waited at the previous broker have had time to ask again, and then sheds the
// lowest tier first, even though it was the last to ask.
func TestNewBrokerShedsLowestTierAfterGracePeriod(t *testing.T) {
	p := broker.NewPool(start, "llm", func(string) broker.Team { return broker.Team{} }, []string{"n1"})
	p.Configure(start, broker.Options{QueueLimit: 2}, classes, nil)
	var higher []<-chan wire.Grant
	for i := range 3 {
		ch, g := ask(p, start, fmt.Sprint("c", i), "confirm", "x")
		if higher = append(higher, ch); g != nil {
			t.Fatalf("request %d of the higher tier got %+v before the others have asked", i, g)
		}
	}
	now := start.Add(100 * time.Millisecond)
	p.Report(now, wire.Report{Pool: "llm", Node: "n1"})
	now = now.Add(100 * time.Millisecond)
	lower, g := ask(p, now, "e", "explain", "x")
	if g != nil {
		t.Fatalf("the lower tier's request got %+v before the others have asked", g)
	}
	now = now.Add(500 * time.Millisecond)
	p.Sweep(now)
	if g := poll(lower); g == nil || g.Refusal != broker.ReasonQueueFull {
		t.Errorf("with four requests in a queue for two, the one of the lower tier got %+v", g)
	}
	shed := 0
	for _, ch := range higher {
		if g := poll(ch); g != nil {
			shed++
		}
	}
	if shed != 1 {
		t.Errorf("%d of three requests of the higher tier were shed from a queue for two", shed)
	}
	if _, g := ask(p, now, "late", "explain", "x"); g == nil || g.Refusal != broker.ReasonQueueFull {
		t.Errorf("after the grace period, a request over the queue limit got %+v", g)
	}
}
