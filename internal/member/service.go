package member

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// MethodHeartbeat is the peer method that receives a Heartbeat.
	MethodHeartbeat = "hb"

	// debounceDelay is how long changes are batched before an early heartbeat sends
	// them.
	debounceDelay = 20 * time.Millisecond

	// fullSyncInterval is the minimum time between two full-table replies that one
	// node sends to repair differences.
	fullSyncInterval = 2 * time.Second
)

type (
	// Caller calls a method of a peer.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Versions returns the configuration version to send with heartbeats.
	Versions interface {
		Version() int
	}

	// Service sends heartbeats and replies to them.
	Service struct {
		table         *Table
		caller        Caller
		versions      Versions
		onNewerConfig func() // onNewerConfig is called when a peer has a newer configuration.
		seeds         func(ctx context.Context) []string
		log           *slog.Logger
		now           func() time.Time
		sendNow       chan struct{}
		wg            sync.WaitGroup

		mu           sync.Mutex
		lastFullSync time.Time
	}
)

// NewService returns a service for a table. onNewerConfig is called when a peer has
// a newer configuration; seeds returns the peer addresses to contact while no other
// member is known.
func NewService(table *Table, caller Caller, versions Versions, onNewerConfig func(), seeds func(ctx context.Context) []string, log *slog.Logger) *Service {
	return &Service{
		table: table, caller: caller, versions: versions, onNewerConfig: onNewerConfig, seeds: seeds, log: log,
		now: clock.Now, sendNow: make(chan struct{}, 1),
	}
}

// Run sends heartbeats until the context is done, then waits for those in flight.
func (s *Service) Run(ctx context.Context) {
	defer s.wg.Wait()
	tick := time.NewTicker(s.table.opts.Heartbeat)
	defer tick.Stop()
	for {
		changed := s.table.Changed()
		now := s.now()
		s.table.DetectFailures(now)
		s.sendHeartbeats(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
			s.debounce(ctx)
		case <-s.sendNow:
		}
	}
}

// SendNow sends heartbeats immediately, for example after a configuration change.
func (s *Service) SendNow() {
	select {
	case s.sendNow <- struct{}{}:
	default:
	}
}

// debounce waits briefly so that changes close in time are sent together.
func (s *Service) debounce(ctx context.Context) {
	t := time.NewTimer(debounceDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// sendHeartbeats sends a heartbeat to each observer, or to the seeds while no other
// member is known.
func (s *Service) sendHeartbeats(ctx context.Context, now time.Time) {
	self := s.table.Self()
	hb := &wire.Heartbeat{
		From: self.Name, Incarnation: self.Incarnation, ConfigVersion: s.versions.Version(),
		Members: s.table.RecentChanges(now), TableHash: s.table.Hash(),
	}
	targets := s.table.Targets()
	if len(targets) == 0 {
		hb.Members = []wire.Member{self}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			for _, address := range s.seeds(ctx) {
				if address != self.PeerAddress {
					s.sendHeartbeat(ctx, address, hb)
				}
			}
		}()
		return
	}
	for _, m := range targets {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.sendHeartbeat(ctx, m.PeerAddress, hb)
		}()
	}
}

// sendHeartbeat sends a heartbeat and merges the members in the reply.
func (s *Service) sendHeartbeat(ctx context.Context, address string, hb *wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, s.table.opts.Suspect)
	defer cancel()
	reply := &wire.HeartbeatReply{}
	if err := s.caller.Call(ctx, address, MethodHeartbeat, hb, reply); err != nil {
		s.log.Debug("heartbeat failed", "peer", address, "error", err.Error())
		return
	}
	s.table.Merge(s.now(), reply.Members)
	s.compareVersion(reply.ConfigVersion)
}

// HandleHeartbeat merges a heartbeat and replies with the members its sender
// should know; it is the handler of MethodHeartbeat.
func (s *Service) HandleHeartbeat(_ context.Context, hb *wire.Heartbeat) (any, error) {
	now := s.now()
	s.table.Merge(now, hb.Members)
	s.table.RecordHeartbeat(now, hb.From, hb.Incarnation)
	s.compareVersion(hb.ConfigVersion)
	reply := &wire.HeartbeatReply{ConfigVersion: s.versions.Version()}
	reply.Members = s.replyMembers(now, hb)
	return reply, nil
}

// replyMembers returns the members to send to the sender of a heartbeat: the
// whole table if the sender is unknown, suspect or dead, or no other member is known;
// if its table differs, the whole table at most once per fullSyncInterval and
// otherwise recent changes.
func (s *Service) replyMembers(now time.Time, hb *wire.Heartbeat) []wire.Member {
	m, known := s.table.Member(hb.From)
	unknownOrSuspect := !known || m.State == wire.MemberStateD || m.State == wire.MemberStateS
	differs := hb.TableHash != s.table.Hash()
	if unknownOrSuspect || s.table.Len() <= 1 || (differs && s.allowFullSync(now)) {
		return s.table.All()
	}
	var out []wire.Member
	if differs {
		out = s.table.RecentChanges(now)
	}
	return out
}

// allowFullSync reports whether the whole table may be sent now, and if so starts
// the next interval.
func (s *Service) allowFullSync(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastFullSync) < fullSyncInterval {
		return false
	}
	s.lastFullSync = now
	return true
}

// compareVersion calls onNewerConfig if a peer has a newer configuration.
func (s *Service) compareVersion(version int) {
	if version > s.versions.Version() {
		s.onNewerConfig()
	}
}
