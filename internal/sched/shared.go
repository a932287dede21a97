package sched

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/member"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// sharedSweepInterval is how often waiting requests are checked.
	sharedSweepInterval = 20 * time.Millisecond

	// sharedQueueFactor is the multiple of a pool's queue limit that may wait at one
	// node. A node does not know what waits at the others, so it might shed a request
	// while a lower tier waits elsewhere: only the classes' longest wait limits the
	// queue, and this factor only bounds memory.
	sharedQueueFactor = 50
)

// Shared decides at each node alone, on a fixed share of each engine's slots: the
// shares of all live nodes add up to the slots. It orders waiting requests like a
// broker, so that tiers are respected within the node and engines are not
// overloaded while no broker can be reached.
type Shared struct {
	members broker.Members
	views   Views

	mu    sync.Mutex
	pools map[string]*broker.Pool
}

// NewShared returns a scheduler for this node's shares.
func NewShared(members broker.Members, views Views) *Shared {
	return &Shared{members: members, views: views, pools: map[string]*broker.Pool{}}
}

// Share returns how many of an engine's slots belong to a node.
func Share(node, engine string, slots int, nodes []string) int {
	share := slots / len(nodes)
	if slices.Contains(member.TopRanked("share/"+engine, nodes, slots%len(nodes)), node) {
		share++
	}
	return share
}

// pool returns the node's own queue for a pool, updated to the current members
// and configuration.
func (s *Shared) pool(now time.Time, name string) *broker.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil {
		p = broker.NewPool(now, name, s.team, nil)
		s.pools[name] = p
	}
	s.configure(now, p, name)
	return p
}

// configure applies the node's shares of the engines to a pool.
func (s *Shared) configure(now time.Time, p *broker.Pool, name string) {
	view := s.views.View()
	pool := view.Pool(name)
	if pool == nil {
		return
	}
	self := s.members.Self().Name
	nodes := broker.MemberNames(s.members.Live())
	var engines []broker.Engine
	for _, e := range broker.EnginesOf(view, name) {
		e.Slots = Share(self, e.Name, e.Slots, nodes)
		if e.Slots > 0 {
			e.KVTokens = 0 // The KV cache capacity can't be divided by whole slots.
			engines = append(engines, e)
		}
	}
	p.Configure(now, broker.Options{QueueLimit: sharedQueueFactor * pool.QueueLimit}, broker.ClassesOf(view), engines)
}

// team looks up a team's weight; only the broker enforces its limits.
func (s *Shared) team(name string) broker.Team {
	if t := s.views.View().Team(name); t != nil {
		return broker.Team{Weight: t.Weight}
	}
	return broker.Team{Weight: 1}
}

// Adopt counts a slot that the broker granted against this node's shares.
func (s *Shared) Adopt(req Request, engine string) {
	now := clock.Now()
	hold := wire.Hold{Request: req.ID, Engine: engine, Class: req.Class, Team: req.Team, Tokens: req.PromptTokens}
	s.existingPool(now, req.Pool).Adopt(now, s.members.Self().Name, hold)
}

// existingPool returns the node's own queue for a pool as it was last configured.
func (s *Shared) existingPool(now time.Time, name string) *broker.Pool {
	s.mu.Lock()
	p := s.pools[name]
	s.mu.Unlock()
	if p == nil {
		return s.pool(now, name)
	}
	return p
}

// Acquire waits for a slot of this node's shares.
func (s *Shared) Acquire(ctx context.Context, req Request) (Grant, error) {
	now := clock.Now()
	p := s.pool(now, req.Pool)
	reply := p.Acquire(now, wire.Acquire{
		Pool: req.Pool, Request: req.ID, Node: s.members.Self().Name, Class: req.Class, Team: req.Team, PromptTokens: req.PromptTokens,
		MaxTokens: req.MaxTokens, Exclude: req.Exclude, Prefix: req.Prefix, WaitedMs: int(now.Sub(req.Arrived).Milliseconds()),
	})
	select {
	case g := <-reply:
		return s.granted(p, req, g)
	case <-ctx.Done():
		p.Cancel(clock.Now(), req.ID, 0)
		return Grant{}, fmt.Errorf("wait for a place: %w", ctx.Err())
	}
}

// granted converts the queue's answer to a grant or a refusal.
func (s *Shared) granted(p *broker.Pool, req Request, g wire.Grant) (Grant, error) {
	if g.Refusal != "" {
		return Grant{}, &Refusal{Reason: g.Refusal, RetryAfter: time.Duration(g.RetryAfterMs) * time.Millisecond, Why: g.Why}
	}
	e := s.views.View().Engine(g.Engine)
	if e == nil {
		p.Cancel(clock.Now(), req.ID, 0)
		return Grant{}, &Refusal{Reason: ReasonNoEngine, RetryAfter: noEngineRetryAfter, Why: "engine " + g.Engine + " is gone"}
	}
	return Grant{Engine: e, Why: "this node's share: " + g.Why}, nil
}

// Waiting returns how many requests wait at this node for a pool.
func (s *Shared) Waiting(pool string) int {
	now := clock.Now()
	return len(s.existingPool(now, pool).Waiting(now))
}

// Release gives a slot back.
func (s *Shared) Release(req Request, g Grant, res Result) {
	now := clock.Now()
	s.existingPool(now, req.Pool).Release(now, releaseMessage(req, g.Engine.Name, res))
}

// Run sweeps the pools, which refuses requests that have waited too long, until the context ends.
func (s *Shared) Run(ctx context.Context) {
	tick := time.NewTicker(sharedSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.mu.Lock()
			pools := make([]*broker.Pool, 0, len(s.pools))
			for _, p := range s.pools {
				pools = append(pools, p)
			}
			s.mu.Unlock()
			for _, p := range pools {
				p.Sweep(now)
			}
		}
	}
}
