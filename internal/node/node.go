// Package node assembles one croftturn process: it starts the components in a fixed
// order and stops them in reverse order.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/croftturn/croftturn/internal/admin"
	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/engine"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/guard"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/linger"
	"github.com/croftturn/croftturn/internal/member"
	"github.com/croftturn/croftturn/internal/order"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/peer"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/sched"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// adminTimeout bounds reading the header of an administration API request.
	adminTimeout = 10 * time.Second

	// cutOffTime is how long the answers to the requests that are ended with the process may take.
	cutOffTime = 500 * time.Millisecond

	// closedTime is how long calls whose connections are closed may take to end.
	closedTime = 200 * time.Millisecond
)

// Node is one running process.
type Node struct {
	settings   *settings.Settings
	tele       *telemetry.Telemetry
	platform   *kv.Client
	traffic    *peer.Traffic
	client     *peer.Client
	server     *peer.Server
	table      *member.Table
	members    *member.Service
	store      *config.Store
	keeper     *config.Syncer
	journal    *journal.Journal
	watcher    *engine.Watcher
	direct     *sched.Direct
	shared     *sched.Shared
	brokers    *broker.Service
	brokered   *sched.Brokered
	engines    *engine.Client
	orders     *order.Service
	quarantine *quarantine.Quarantine
	parts      *quarantine.Parts
	crashed    chan struct{} // crashed receives a value after the crash of an engine.
	claims     *claim.Claimer
	sweeper    *claim.Sweeper
	front      *front.Front
	admin      *admin.Admin

	callers     *linger.Server
	control     *linger.Server
	serverStats linger.Stats
	stopping    chan struct{}
	cancel      context.CancelFunc
	wg          *guard.Group
}

// Start starts a node that logs to out. Close stops it.
func Start(ctx context.Context, s *settings.Settings, out io.Writer) (*Node, error) {
	tele, err := telemetry.New(ctx, s, out)
	if err != nil {
		return nil, fmt.Errorf("start telemetry: %w", err)
	}
	n := &Node{settings: s, tele: tele, wg: guard.New(tele.Log), stopping: make(chan struct{})}
	listeners, err := listen(s.PeerAddress, s.CallerAddress, s.AdminAddress)
	if err != nil {
		return nil, errors.Join(err, tele.Close())
	}
	ctx, n.cancel = context.WithCancel(ctx)
	n.assemble(clock.Now(), listeners[0])
	if err := n.registerGauges(); err != nil {
		return nil, errors.Join(err, tele.Close())
	}
	n.run(ctx, listeners[1], listeners[2])
	tele.Log.Info("node started", "caller_address", s.CallerAddress, "peer_address", s.PeerAddress,
		"admin_address", s.AdminAddress, "incarnation", n.table.Self().Incarnation)
	return n, nil
}

// listen opens a listener on each address, or none on error.
func listen(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := linger.Listen(context.Background(), a)
		if err != nil {
			for _, open := range out {
				open.Close()
			}
			return nil, fmt.Errorf("start server: %w", err)
		}
		out = append(out, l)
	}
	return out, nil
}

// assemble creates the components without starting them.
func (n *Node) assemble(now time.Time, peers net.Listener) {
	s, log := n.settings, n.tele.Log
	n.platform = kv.New(s.PlatformAddresses, ms(s.PlatformTimeoutMs))
	n.traffic = &peer.Traffic{}
	n.client = peer.NewClient(n.traffic)
	n.server = peer.NewServer(peers, n.traffic, log)
	self := wire.Member{
		Name: s.Instance, PeerAddress: s.PeerAdvertise, CallerAddress: s.CallerAddress, Hall: s.Hall, Incarnation: int(clock.Wall(now).UnixMilli()),
	}
	n.table = member.NewTable(now, self, member.Options{Heartbeat: ms(s.HeartbeatMs), Suspect: ms(s.SuspectMs), Observers: s.Observers})
	n.store = config.NewStore()
	n.keeper = config.NewSyncer(n.store, n.platform, n, log, config.WithRestorer(n.rewritesConfig))
	n.members = member.NewService(n.table, n.client, n.store, n.keeper.Wake, n.seeds, log)
	n.journal = journal.New()
	n.watcher = engine.NewWatcher()
	n.direct = sched.NewDirect(n.store, n.watcher, uint64(self.Incarnation))
	n.shared = sched.NewShared(n.table, n.store)
	n.brokers = broker.NewService(n.table, n.store, n, n.tele.Tracer)
	n.brokered = sched.NewBrokered(n.table, n.brokers, n.client, n.store, n.shared, log)
	n.engines = engine.NewClient(ms(s.EngineStallMs))
	n.orders = order.New(n.store, n.platform, n.engines, n.brokers, s.Instance, log)
	n.claims = claim.NewClaimer(n.platform, s.Instance, self.Incarnation, ms(s.ClaimGatherMs), claim.WithForwarder(n))
	n.sweeper = claim.NewSweeper(n.platform, time.Duration(s.ClaimKeepHours)*time.Hour, n.isClaimSweeper, log)
	n.quarantine = quarantine.New(func(now time.Time, f quarantine.Fingerprint) bool { return n.maySendTrial(now, f.String()) }, log)
	n.parts = quarantine.NewParts(n.maySendTrial, log)
	n.crashed = make(chan struct{}, 1)
	n.front = front.New(n.store, n.table, n.client, n.engines, n.journal, n.tele,
		front.WithScheduler(config.PoolSchedulerBroker, n.brokered),
		front.WithScheduler(config.PoolSchedulerDirect, n.direct),
		front.WithScheduler(config.PoolSchedulerRoundRobin, sched.NewRoundRobin(n.store)),
		front.WithQuarantine(n.quarantine, n.parts, n.noteCrash),
		front.WithClaims(n.claims, claim.NewIssuer(now, s.Instance, self.Incarnation, ms(s.TicketLifeMs)), claim.NewRegistry(ms(s.TicketLifeMs))),
		front.WithLimits(front.Limits{MaxBody: int64(s.MaxBodyBytes), WriteTimeout: ms(s.WriteTimeoutMs), MemoryMB: s.MemoryMb, EntryPointTTL: ms(s.EntryKeepMs)}),
	)
	n.admin = admin.New(n.store, n.keeper, n.table, n.client, n, log,
		admin.WithBootstrap(s.BootstrapTokenSha256), admin.WithAccepted(n.members.SendNow),
		admin.WithReady(n.Ready), admin.WithMetrics(n.tele.Metrics), admin.WithRelease(n.release),
	)
	n.registerPeerMethods()
}

// registerPeerMethods registers the RPC methods that peers may call.
func (n *Node) registerPeerMethods() {
	n.server.Handle(member.MethodHeartbeat, peer.Typed(n.members.HandleHeartbeat))
	n.server.Handle(broker.MethodAcquire, peer.Typed(n.brokers.Acquire))
	n.server.Handle(broker.MethodRelease, peer.Typed(n.brokers.Release))
	n.server.Handle(broker.MethodCancel, peer.Typed(n.brokers.Cancel))
	n.server.Handle(broker.MethodReport, peer.Typed(n.brokers.Report))
	n.server.Handle(broker.MethodPing, peer.Typed(n.brokers.Ping))
	n.server.Handle(front.MethodOutcome, peer.Typed(n.front.HandleOutcome))
	n.server.HandleAwaited(front.MethodRun, peer.Typed(n.front.HandleRun))
	n.server.Handle(claim.MethodClaims, peer.Typed(n.claims.HandleClaims))
	n.server.Handle(methodHeld, peer.Typed(n.handleHeld))
	n.server.Handle(methodChanges, peer.Typed(func(_ context.Context, r *wire.ChangesRequest) (any, error) {
		return n.keeper.ChangesReply(r.After)
	}))
	n.server.Handle(admin.MethodQuery, peer.Typed(func(_ context.Context, q *wire.QueryRequest) (any, error) {
		return &wire.QueryReply{Rows: n.Rows(clock.Now(), q)}, nil
	}))
}

// run starts the background goroutines and the servers.
func (n *Node) run(ctx context.Context, callers, control net.Listener) {
	s := n.settings
	n.callers = linger.New(&http.Server{
		Handler: n.front, MaxHeaderBytes: s.MaxHeaderBytes, ReadTimeout: ms(s.ReadTimeoutMs), ReadHeaderTimeout: ms(s.ReadTimeoutMs),
		IdleTimeout: time.Minute, ConnContext: caller.WithConn,
	}, &n.serverStats, n.tele.Log, linger.WithShare(linger.CallerShare), linger.WithLeaving(n.leaving))
	n.control = linger.New(&http.Server{Handler: n.admin, ReadHeaderTimeout: adminTimeout}, &n.serverStats, n.tele.Log, linger.WithShare(linger.OtherShare))
	n.start(n.server.Serve)
	n.start(func() { n.members.Run(ctx) })
	n.start(func() { n.keeper.Run(ctx, ms(s.ConfigPollMs)) })
	n.start(func() { n.watcher.Run(ctx) })
	n.start(func() { n.brokers.Run(ctx) })
	n.start(func() { n.brokered.Run(ctx) })
	n.start(func() { n.shared.Run(ctx) })
	n.start(func() { n.orders.Run(ctx) })
	n.start(func() { n.sweeper.Run(ctx) })
	n.start(func() { n.shareHeld(ctx) })
	held := quarantine.NewPersister(n.quarantine, n.platform.Tables(), s.FirstStart, n.rewritesHeld, n.tele.Log)
	heldParts := quarantine.NewPartPersister(n.parts, n.platform.Tables(), s.FirstStart, n.rewritesHeld, n.tele.Log)
	n.start(func() { held.Run(ctx) })
	n.start(func() { heldParts.Run(ctx) })
	n.start(func() {
		n.watchStore(ctx, func() { n.start(func() { n.claims.StoreReturned(ctx) }) }, held.StoreReturned, heldParts.StoreReturned)
	})
	n.serve(n.callers, callers)
	n.serve(n.control, control)
}

// start runs f on a goroutine that Close waits for.
func (n *Node) start(f func()) { n.wg.Go(f) }

// Failed receives an error if a component has panicked. The node still serves calls, and has to be closed.
func (n *Node) Failed() <-chan error { return n.wg.Failed() }

// serve serves HTTP until the server is shut down.
func (n *Node) serve(s *linger.Server, l net.Listener) {
	serve := s.Add(l)
	n.start(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.tele.Log.Error("server failed", "address", l.Addr().String(), "error", err.Error())
		}
	})
}

// Ready returns nil if the node can serve callers, else the reason.
func (n *Node) Ready() error {
	if n.store.View() == nil {
		return errors.New("no configuration yet")
	}
	select {
	case <-n.stopping:
		return errors.New("stopping")
	default:
		return nil
	}
}

// HangUp logs that the settings are read at the start only.
func (n *Node) HangUp() { n.tele.Log.Warn("SIGHUP changes nothing; settings are read at the start") }

// leaving reports whether this node stops. Idle connections stay open until callers know of the stop: a request sent while
// its connection is being closed fails, and its caller can't know that it has not run.
func (n *Node) leaving() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// Close stops the node gracefully. Peers and entry points stop advertising it, then it
// accepts no new requests, those in flight finish within the drain time, and the other
// components stop. It returns an error if requests were cut off.
func (n *Node) Close() error {
	s, begin := n.settings, clock.Now()
	close(n.stopping)
	n.front.NoteStop(begin, front.Stop{
		Begin: begin, End: begin.Add(ms(s.LeaveNoticeMs) + ms(s.DrainMs)),
		Run: max(ms(s.DrainMs), ms(s.EngineStallMs)), // A silent engine is not known to be one before.
	})
	n.tele.Log.Info("node is leaving", "notice_ms", s.LeaveNoticeMs, "drain_ms", s.DrainMs, "active", n.front.Active())
	n.table.Leave(begin)
	time.Sleep(ms(s.LeaveNoticeMs))
	ctx, cancel := context.WithTimeout(context.Background(), ms(s.DrainMs))
	defer cancel()
	err := errors.Join(n.callers.Shutdown(ctx), n.server.Shutdown(ctx))
	if err != nil {
		err = fmt.Errorf("requests cut off after the drain time: %w", err)
	}
	n.tele.Log.Info("node stopped serving", "active", n.front.Active(), "after_ms", clock.Since(begin).Milliseconds())
	n.endRequests()
	left := n.callers.Connections()
	n.callers.Close()
	n.awaitCalls()
	answers, requests := n.front.EndedByStop()
	n.tele.Log.Info("connections ended", "after_ms", clock.Since(begin).Milliseconds(), "left", left, "answers_cut", answers, "requests_cut", requests)
	n.control.Close()
	n.cancel()
	n.claims.Close()
	n.client.Close()
	serverErr := n.server.Close()
	n.wg.Wait()
	n.engines.Close()
	n.platform.Close()
	n.tele.Log.Info("node stopped")
	return errors.Join(err, serverErr, n.tele.Close())
}

// endRequests ends the requests in progress with an answer, those that peers forwarded too.
func (n *Node) endRequests() {
	n.front.CutOff()
	ctx, cancel := context.WithTimeout(context.Background(), cutOffTime)
	defer cancel()
	// The errors say that the time was over; what is left is closed.
	_ = errors.Join(n.callers.Shutdown(ctx), n.control.Shutdown(ctx), n.server.Shutdown(ctx))
}

// awaitCalls waits until the calls whose connections were closed have ended and are logged.
func (n *Node) awaitCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), closedTime)
	defer cancel()
	for n.front.Active() > 0 && ctx.Err() == nil {
		pause.For(ctx, time.Millisecond)
	}
}

// ms converts milliseconds to a duration.
func ms[T int | float64](n T) time.Duration {
	return time.Duration(math.Round(float64(n) * float64(time.Millisecond)))
}
