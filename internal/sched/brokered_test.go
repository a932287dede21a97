package sched_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/member"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/wire"
)

// restartedBroker is a fake broker that refuses the first request as moved, as after a stall,
// and grants the others a slot. It signals each report of a node's holds.
type restartedBroker struct {
	mu       sync.Mutex
	asked    int
	reported chan int // reported receives, for each report, the number of requests that asked before it.

	answer chan struct{} // answer delays the answers to reports until it is closed; nil for at once.
}

func (b *restartedBroker) Call(_ context.Context, _, method string, _, result any) error {
	if method == broker.MethodReport {
		defer b.waitToAnswer()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch method {
	case broker.MethodAcquire:
		b.asked++
		grant := result.(*wire.Grant)
		if grant.Engine = "e1"; b.asked == 1 {
			*grant = wire.Grant{Refusal: broker.ReasonMoved}
		}
	case broker.MethodReport:
		*result.(*bool) = true
		b.reported <- b.asked
	}
	return nil
}

func (b *restartedBroker) waitToAnswer() {
	if b.answer != nil {
		<-b.answer
	}
}

func (b *restartedBroker) Notify(context.Context, string, string, any) error { return nil }

func (b *restartedBroker) Drop(string) {}

// TestBrokerWithLostStateGetsReport checks that a broker that has lost its state in the same
// process soon gets a report of each node's holds, not only with the next report after ten
// seconds: until then it would grant slots that are taken.
func TestBrokerWithLostStateGetsReport(t *testing.T) {
	checkReportAfterLoss(t, &restartedBroker{reported: make(chan int, 8)}, func() {})
}

// TestReportAnsweredAfterALossIsRepeated checks the same for a report that the broker took before it
// lost its state and whose answer comes afterwards.
func TestReportAnsweredAfterALossIsRepeated(t *testing.T) {
	peers := &restartedBroker{reported: make(chan int, 8), answer: make(chan struct{})}
	checkReportAfterLoss(t, peers, func() { close(peers.answer) })
}

// checkReportAfterLoss has a request refused as moved by the broker that the report went to, and checks
// that another report follows.
func checkReportAfterLoss(t *testing.T, peers *restartedBroker, refused func()) {
	t.Helper()
	b, ctx := runBrokered(t, peers)
	if asked := <-peers.reported; asked != 0 {
		t.Fatalf("the first report came after %d requests, want before any", asked)
	}
	if _, err := b.Acquire(ctx, sched.Request{ID: "a", Pool: "llm", Class: "explain", Team: "x", Arrived: time.Now()}); err != nil {
		t.Fatal(err)
	}
	refused()
	select {
	case <-peers.reported:
	case <-time.After(5 * time.Second):
		t.Error("a broker that has lost its state gets no report of the node's holds")
	}
}

// runBrokered runs a scheduler whose broker is another node, reached by peers, until the test ends.
func runBrokered(t *testing.T, peers sched.Peers) (*sched.Brokered, context.Context) {
	t.Helper()
	store := config.NewStore()
	c := config.Empty()
	c.Version = 1
	c.Classes = []config.Class{{Name: "explain", Tier: 3}}
	c.Pools = []config.Pool{{Name: "llm", Kind: config.PoolKindModel}}
	c.Engines = []config.Engine{{Name: "e1", Pool: "llm", Address: "a", Slots: 4}}
	if _, err := store.Replace(c); err != nil {
		t.Fatal(err)
	}
	table := member.NewTable(time.Now(), wire.Member{Name: "n1", Incarnation: 1}, member.Options{Heartbeat: time.Second, Suspect: time.Minute, Observers: 3})
	for _, name := range []string{"n2", "n3", "n4", "n5"} {
		if owner, _ := table.Owner(broker.Key("llm")); owner.Name != "n1" {
			break
		}
		table.Merge(time.Now(), []wire.Member{{Name: name, Incarnation: 1, State: wire.MemberStateA}})
	}
	b := sched.NewBrokered(table, nil, peers, store, sched.NewShared(table, store), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return b, ctx
}

// halfOpenBroker is a fake broker that answers nothing until it is opened, except reports before that.
type halfOpenBroker struct {
	opened  chan struct{}
	reports chan wire.Report
}

func (b *halfOpenBroker) Call(ctx context.Context, _, method string, params, result any) error {
	if method == broker.MethodReport {
		b.reports <- *params.(*wire.Report)
		*result.(*bool) = true
		return nil
	}
	select {
	case <-b.opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *halfOpenBroker) Notify(context.Context, string, string, any) error { return nil }

func (b *halfOpenBroker) Drop(string) {}

// TestBrokerThatAnswersAgainHearsWhichAsksHaveEnded checks that a broker whose way was half-open soon
// gets a report: asks that reach it only now would take slots that nobody uses.
func TestBrokerThatAnswersAgainHearsWhichAsksHaveEnded(t *testing.T) {
	peers := &halfOpenBroker{opened: make(chan struct{}), reports: make(chan wire.Report, 8)}
	b, ctx := runBrokered(t, peers)
	<-peers.reports
	if _, err := b.Acquire(ctx, sched.Request{ID: "a", Pool: "llm", Class: "explain", Team: "x", Arrived: time.Now()}); err != nil {
		t.Fatal(err)
	}
	close(peers.opened)
	select {
	case r := <-peers.reports:
		if r.LastAsk < 2 || len(r.Asking) > 0 || len(r.Holds) != 1 {
			t.Errorf("the report is %+v, want one that ends the ask and has the slot of the fallback", r)
		}
	case <-time.After(5 * time.Second):
		t.Error("a broker that answers again gets no report")
	}
}
