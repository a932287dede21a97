package broker

import (
	"context"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
	"go.opentelemetry.io/otel/trace"
)

const (
	// sweepInterval is how often waiting requests are checked.
	sweepInterval = 20 * time.Millisecond

	// stallThreshold is how long after the last sweep a broker's queue is taken as stale: the
	// process was paused, and the nodes may have chosen another broker meanwhile, where requests
	// that wait here have asked again. It is below the time after which silent nodes are taken
	// for dead.
	stallThreshold = time.Second
)

// Methods that nodes call on a broker.
const (
	MethodAcquire = "acq" // MethodAcquire takes an Acquire and answers with a Grant.
	MethodRelease = "rel" // MethodRelease takes a Release.
	MethodCancel  = "can" // MethodCancel takes an Acquire of which only pool, request and ask count.
	MethodReport  = "rep" // MethodReport takes a Report.
	MethodPing    = "pul" // MethodPing is answered by a node that accepts calls.
)

type (
	// Members is the cluster membership, which determines the broker of a pool.
	Members interface {
		Self() wire.Member
		Owner(key string) (wire.Member, bool)
		Live() []wire.Member
		Changed() <-chan struct{}
	}

	// Loads gives access to the engines' load reports.
	Loads interface {
		// Watch sets the engines whose reports are read.
		Watch(engines []*config.Engine)
		// Leaving reports whether an engine's report says that it is leaving.
		Leaving(engine string) bool
	}

	// Service holds the pools of which this node is the broker.
	Service struct {
		members Members
		store   *config.Store
		loads   Loads
		tracer  trace.Tracer

		mu        sync.Mutex
		lastSweep time.Time // lastSweep is when the pools were last swept.
		pools     map[string]*Pool
		live      map[string]bool
	}
)

// Key returns the membership key that determines a pool's broker.
func Key(pool string) string { return "broker/" + pool }

// NewService returns a service without pools.
func NewService(members Members, store *config.Store, loads Loads, tracer trace.Tracer) *Service {
	return &Service{members: members, store: store, loads: loads, tracer: tracer, pools: map[string]*Pool{}, live: map[string]bool{}}
}

// Run reconciles the pools with members and configuration and sweeps them until
// the context ends; then it refuses all waiting requests as moved.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		members, config := s.members.Changed(), s.store.Changed()
		s.reconcile(clock.Now())
		for inSync := true; inSync; {
			select {
			case <-ctx.Done():
				s.closeAllPools()
				return
			case <-members:
				inSync = false
			case <-config:
				inSync = false
			case <-tick.C:
				inSync = s.tick(clock.Now())
			}
		}
	}
}

// reconcile brings the pools in line with members and configuration.
func (s *Service) reconcile(now time.Time) {
	view := s.store.View()
	if view == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeDeadNodes(now)
	var watched []*config.Engine
	for i := range view.Config.Pools {
		pool := &view.Config.Pools[i]
		if !s.Owns(pool.Name) {
			s.closePool(pool.Name)
			continue
		}
		p := s.pools[pool.Name]
		if p == nil {
			p = NewPool(now, pool.Name, s.team, MemberNames(s.members.Live()))
			s.pools[pool.Name] = p
		}
		p.Configure(now, Options{QueueLimit: pool.QueueLimit, ReserveMargin: pool.ReserveMargin}, ClassesOf(view), EnginesOf(view, pool.Name))
		watched = append(watched, view.Engines(pool.Name)...)
	}
	for name := range s.pools {
		if view.Pool(name) == nil {
			s.closePool(name)
		}
	}
	s.loads.Watch(watched)
}

// removeDeadNodes removes the nodes that are no longer live from the pools.
func (s *Service) removeDeadNodes(now time.Time) {
	live := map[string]bool{}
	for _, m := range s.members.Live() {
		live[m.Name] = true
	}
	for name := range s.live {
		if live[name] {
			continue
		}
		for _, p := range s.pools {
			p.NodeGone(now, name)
		}
	}
	s.live = live
}

// Owns reports whether this node is the broker of a pool.
func (s *Service) Owns(pool string) bool {
	owner, ok := s.members.Owner(Key(pool))
	return ok && owner.Name == s.members.Self().Name
}

// closePool closes a pool and refuses its waiting requests as moved; the caller holds the lock.
func (s *Service) closePool(pool string) {
	if p := s.pools[pool]; p != nil {
		p.RefuseMoved()
		delete(s.pools, pool)
	}
}

// closeAllPools closes all pools.
func (s *Service) closeAllPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.pools {
		s.closePool(name)
	}
}

// tick sweeps the pools. If this process stalled, it closes them and returns false, so that
// they are rebuilt from the nodes' reports.
func (s *Service) tick(now time.Time) bool {
	s.mu.Lock()
	stood := s.stalled(now)
	s.lastSweep = now
	s.mu.Unlock()
	if stood {
		s.closeAllPools()
		return false
	}
	s.sweep(now)
	return true
}

// stalled reports whether the last sweep is longer ago than stallThreshold; the caller
// holds the lock.
func (s *Service) stalled(now time.Time) bool {
	return !s.lastSweep.IsZero() && now.Sub(s.lastSweep) > stallThreshold
}

// sweep sweeps all pools.
func (s *Service) sweep(now time.Time) {
	view := s.store.View()
	for name, p := range s.poolsByName() {
		for _, e := range view.Engines(name) {
			p.SetLeaving(now, e.Name, s.loads.Leaving(e.Name))
		}
		p.Sweep(now)
	}
}

// poolsByName returns a copy of the map of pools.
func (s *Service) poolsByName() map[string]*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*Pool, len(s.pools))
	for n, p := range s.pools {
		out[n] = p
	}
	return out
}

// pool returns a pool of which this node is the broker, or nil if another node is, or may be
// because this process stalled.
func (s *Service) pool(now time.Time, name string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled(now) {
		return nil
	}
	return s.pools[name]
}

// team looks up a team's limits in the configuration in force.
func (s *Service) team(name string) Team {
	view := s.store.View()
	if view == nil || view.Team(name) == nil {
		return Team{Weight: 1}
	}
	t := view.Team(name)
	return Team{Weight: t.Weight, Rate: t.RequestsPerSecond, Burst: t.RequestBurst, InFlight: t.InFlight}
}

// Acquire waits for a slot. A node that is not the broker refuses with ReasonMoved.
func (s *Service) Acquire(ctx context.Context, req *wire.Acquire) (any, error) {
	ctx, span := s.tracer.Start(telemetry.WithTraceParent(ctx, req.TraceParent), "broker queue")
	defer span.End()
	now := clock.Now()
	p := s.pool(now, req.Pool)
	if p == nil {
		return &wire.Grant{Refusal: ReasonMoved}, nil
	}
	reply := p.Acquire(now, *req)
	select {
	case g := <-reply:
		return &g, nil
	case <-ctx.Done():
		p.Cancel(clock.Now(), req.Request, req.Ask)
		return nil, ctx.Err()
	}
}

// Release gives a slot back.
func (s *Service) Release(_ context.Context, rel *wire.Release) (any, error) {
	now := clock.Now()
	if p := s.pool(now, rel.Pool); p != nil {
		p.Release(now, *rel)
	}
	return nil, nil
}

// Cancel gives up a wait, or a slot whose grant was not received.
func (s *Service) Cancel(_ context.Context, req *wire.Acquire) (any, error) {
	now := clock.Now()
	if p := s.pool(now, req.Pool); p != nil {
		p.Cancel(now, req.Request, req.Ask)
	}
	return nil, nil
}

// Report records the slots that a node holds. The answer is false if this node is
// not the pool's broker yet, so that the node reports again.
func (s *Service) Report(_ context.Context, r *wire.Report) (any, error) {
	now := clock.Now()
	p := s.pool(now, r.Pool)
	if p == nil {
		return false, nil
	}
	p.Report(now, *r)
	return true, nil
}

// Ping answers, to show that calls get through both ways.
func (s *Service) Ping(context.Context, *struct{}) (any, error) { return struct{}{}, nil }

// Engines returns the engines of this broker's pools.
func (s *Service) Engines() []wire.Row {
	var out []wire.Row
	for _, p := range s.poolsByName() {
		out = append(out, p.Engines()...)
	}
	return out
}

// MemberNames returns the names of members.
func MemberNames(members []wire.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// ClassesOf returns the configured classes as the queue's type.
func ClassesOf(view *config.View) []queue.Class {
	out := make([]queue.Class, 0, len(view.Config.Classes))
	for _, c := range view.Config.Classes {
		out = append(out, queue.Class{
			Name: c.Name, Tier: c.Tier, MinShare: c.MinShare, Limit: c.QueueLimit,
			MaxWait: ms(c.MaxWaitMs), Target: ms(c.FirstTokenMs),
		})
	}
	return out
}

// EnginesOf returns a pool's configured engines as the broker's type.
func EnginesOf(view *config.View, pool string) []Engine {
	var out []Engine
	for _, e := range view.Engines(pool) {
		out = append(out, Engine{Name: e.Name, Slots: e.Slots, KVTokens: e.KvTokens, Draining: e.State == config.EngineStateDraining})
	}
	return out
}
