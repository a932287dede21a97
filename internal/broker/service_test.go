package broker

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/wire"
)

// TestABrokerThatStoodStillBeginsAnew holds that a broker whose process was frozen answers
// those that wait in its queue that it moved, and takes none into that queue, which is full of
// requests that ask elsewhere by now: it refused others for their sake, of higher tiers than
// wait at the node that became the broker.
func TestABrokerThatStoodStillBeginsAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPool(now, "llm", func(string) Team { return Team{Weight: 1} }, nil)
	p.Configure(now, Options{QueueLimit: 1}, []queue.Class{{Name: "explain", Tier: 3, MaxWait: time.Minute}}, nil)
	store := config.NewStore()
	if _, err := store.Replace(&config.Config{Version: 1, Pools: []config.Pool{{Name: "llm", Kind: config.PoolKindModel, Models: []string{"m"}}}}); err != nil {
		t.Fatal(err)
	}
	s := &Service{store: store, pools: map[string]*Pool{"llm": p}}
	s.tick(now)
	waits := p.Acquire(now, wire.Acquire{Pool: "llm", Request: "a", Node: "n1", Class: "explain", Team: "x"})
	if now = now.Add(stallThreshold); s.pool(now, "llm") != p {
		t.Fatal("a broker that was slow gives up its queue")
	}
	now = now.Add(2 * time.Second)
	if s.pool(now, "llm") != nil {
		t.Error("a request joins the queue of before before the broker has noticed that it stood still")
	}
	if s.tick(now) || s.pool(now, "llm") != nil {
		t.Error("a broker that stood still goes on with its queue of before")
	}
	select {
	case g := <-waits:
		if g.Refusal != ReasonMoved {
			t.Errorf("what waited is answered %+v", g)
		}
	default:
		t.Error("what waited is not answered")
	}
	if !s.tick(now.Add(sweepInterval)) {
		t.Error("it does not go on afterwards")
	}
}
