package sched_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/member"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/wire"
)

// TestSharesAddUpToTheSlots covers few nodes and more nodes than slots.
func TestSharesAddUpToTheSlots(t *testing.T) {
	for _, count := range []int{1, 3, 7, 40} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		mine := map[string]int{}
		for e := range 9 {
			sum := 0
			for _, n := range nodes {
				share := sched.Share(n, fmt.Sprint("e", e), 16, nodes)
				sum += share
				mine[n] += share
			}
			if sum != 16 {
				t.Errorf("%d nodes share %d of 16 slots", count, sum)
			}
		}
		if count <= 7 && mine["n0"] < 9*16/count-9 {
			t.Errorf("one of %d nodes has %d of %d slots", count, mine["n0"], 9*16)
		}
	}
}

// TestSharedKeepsToItsShare checks that a node without a broker uses no more than
// its share, counts the slots that brokers granted it, and serves the higher tier first.
func TestSharedKeepsToItsShare(t *testing.T) {
	store := config.NewStore()
	c := config.Empty()
	c.Version = 1
	c.Classes = []config.Class{{Name: "confirm", Tier: 1}, {Name: "explain", Tier: 3}}
	c.Pools = []config.Pool{{Name: "llm", Kind: config.PoolKindModel}}
	c.Engines = []config.Engine{{Name: "e1", Pool: "llm", Address: "a", Slots: 4}}
	if _, err := store.Replace(c); err != nil {
		t.Fatal(err)
	}
	table := member.NewTable(time.Now(), wire.Member{Name: "n1", Incarnation: 1}, member.Options{Heartbeat: time.Second, Suspect: time.Minute, Observers: 3})
	table.Merge(time.Now(), []wire.Member{{Name: "n2", Incarnation: 1, State: wire.MemberStateA}})
	s := sched.NewShared(table, store)
	request := func(id, class string) sched.Request {
		return sched.Request{ID: id, Pool: "llm", Class: class, Team: "x", Arrived: time.Now()}
	}
	s.Adopt(request("old", "explain"), "e1")
	first := request("a", "explain")
	g, err := s.Acquire(context.Background(), first)
	if err != nil {
		t.Fatal(err)
	}
	type answer struct {
		class string
		err   error
	}
	answers := make(chan answer)
	ctx, cancel := context.WithCancel(context.Background())
	for _, class := range []string{"explain", "confirm"} {
		go func() {
			_, err := s.Acquire(ctx, request(class, class))
			answers <- answer{class, err}
		}()
	}
	for waiting := 0; waiting < 2; waiting = s.Waiting("llm") {
		select {
		case a := <-answers:
			t.Fatalf("the request of class %s did not wait while both slots of the share were taken: %v", a.class, a.err)
		default:
		}
	}
	s.Release(first, g, sched.Result{Status: broker.StatusOK})
	if a := <-answers; a.class != "confirm" || a.err != nil {
		t.Errorf("the request of class %s ended first with error %v, want confirm without error", a.class, a.err)
	}
	cancel()
	if a := <-answers; !errors.Is(a.err, context.Canceled) {
		t.Errorf("the other request ended with %v, want context.Canceled", a.err)
	}
}
