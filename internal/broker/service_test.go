package broker

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/wire"
)

// TestStalledBrokerStartsOver checks that a broker whose process was frozen refuses its
// waiting requests as moved and adds none to its old queue. That queue is full of requests that
// ask elsewhere by now, and the broker would refuse others for their sake, of higher tiers than
// wait at the new broker.
func TestStalledBrokerStartsOver(t *testing.T) {
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
		t.Fatal("a broker whose sweep is late by no more than the threshold closes its pool")
	}
	now = now.Add(2 * time.Second)
	if s.pool(now, "llm") != nil {
		t.Error("a request can join the old queue before the broker has noticed the stall")
	}
	if s.tick(now) || s.pool(now, "llm") != nil {
		t.Error("a broker that stalled keeps its old queue")
	}
	select {
	case g := <-waits:
		if g.Refusal != ReasonMoved {
			t.Errorf("the waiting request got %+v, want the refusal %q", g, ReasonMoved)
		}
	default:
		t.Error("the waiting request got no answer")
	}
	if !s.tick(now.Add(sweepInterval)) {
		t.Error("the broker does not resume sweeping after the stall")
	}
}
