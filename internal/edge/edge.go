// Package edge runs a node on the users' platform: it starts all components in a fixed order and
// stops them in reverse. The platform stores the configuration and lists the engines; a node keeps
// no state beyond its process.
package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/cachewatch"
	"github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/duty"
	"github.com/croftturn/croftturn/internal/evacuation"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/forward"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/guard"
	"github.com/croftturn/croftturn/internal/lateness"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/linger"
	"github.com/croftturn/croftturn/internal/logline"
	"github.com/croftturn/croftturn/internal/peer"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/reach"
	"github.com/croftturn/croftturn/internal/register"
	"github.com/croftturn/croftturn/internal/relaybuf"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/uplink"
	"github.com/croftturn/croftturn/platform"
)

const (
	// gcPercent makes the garbage collector run often. Live memory is a few megabytes, so this
	// costs little processor time, and memory is what the users pay most for.
	gcPercent = 50

	// memoryLimitShare is the share of the allowed memory that is set as the soft limit of the
	// garbage collector.
	memoryLimitShare = 0.7

	// clientIdleTimeout is how long a client connection may stay idle. Clients stop reusing theirs
	// after four fifths of the configured limit, which is 15 s at the users'.
	clientIdleTimeout = 2 * time.Minute

	// proofShare is how long a proof of the configuration is valid, as a share of the time within
	// which a revoked key must be rejected; the rest is for requests on their way to an engine.
	proofShare = 0.9

	// configLongPoll is how long a call to the store waits for a newer configuration. Each answer
	// proves the configuration in force, and with the usual proof age of 4.5 s two calls may fail
	// before the proof expires.
	configLongPoll = 1500 * time.Millisecond

	// enginesLongPollShare is how long a call to the store waits for changes of engines, as a
	// share of the time within which new work at a leaving engine must stop. When the store drops
	// its history, calls in flight may report nothing until they end; the rest of the time is for
	// the next call and for the gossip to peers.
	enginesLongPollShare = 0.4

	// maxLibraryLogBytes is how much of a log line written by a library is kept.
	maxLibraryLogBytes = 48
)

// Edge is a running node on the users' platform.
type Edge struct {
	settings      *settings.Settings
	logWriter     *logline.Writer
	tele          *telemetry.Telemetry
	log           *slog.Logger
	proof         *freshness.Proof
	placement     *placement.Placement
	quarantine    *quarantine.Quarantine
	parts         *quarantine.Parts
	limits        *limit.Limits
	permits       *limit.Permits
	evacuations   *evacuation.Evacuations
	duties        *duty.Duties // duties is nil where the settings name none.
	dutyClient    *platform.DutyClient
	budget        *retry.Budget
	link          *uplink.Link     // link is nil if its bandwidth is not known.
	relayBudget   *relaybuf.Budget // relayBudget is nil if no pool can be interactive.
	gossip        *gossip.Gossip
	dispatcher    *dispatch.Dispatcher
	egress        *platform.Egress
	reach         *reach.Monitor
	forwards      *forward.Client
	pins          *pinning.Keeper
	versions      *pinning.History
	cacheEvents   *platform.CacheEvents
	cacheWatcher  *cachewatch.Watcher
	store         *platform.Store
	discovery     *discovery.Discovery
	register      *register.Register
	metrics       *metrics
	traffic       *peer.Traffic
	peerClient    *peer.Client
	peerServer    *peer.Server
	configTable   *feed.Table
	engineTable   *feed.Table
	follower      *feed.Follower
	startedAt     time.Time
	storeFailedAt atomic.Pointer[time.Time] // storeFailedAt is when a call to the store last failed.
	storeLostAt   atomic.Pointer[time.Time] // storeLostAt is when a call to the store last failed here or at a peer that reads it.
	storeSilentAt atomic.Pointer[time.Time] // storeSilentAt is when this node last left reading to others because the store did not answer.
	noAnswerSince atomic.Pointer[time.Time] // noAnswerSince is when the store last answered, or when this node began to read.

	incarnationsMu sync.Mutex
	incarnations   map[string]int64 // incarnations holds the newest incarnation of each peer that was heard.

	returned atomic.Pointer[storeReturn] // returned is the store's last return from a copy; nil if none is known.
	returns  atomic.Int64                // returns counts how often that was seen.

	provenFrom   atomic.Pointer[time.Time] // provenFrom is from when on the store's answers prove the configuration, as far as a start is concerned; nil until that is known.
	configReadAt atomic.Pointer[time.Time] // configReadAt is when the store's last answer about the configuration was current.
	firstAnswer  chan struct{}             // firstAnswer is closed at the first of these answers.
	eraBegan     chan struct{}             // eraBegan receives a value after a return.

	onReturn []func() // onReturn are called after it is seen that the store has come back from a copy.

	configsRefused  atomic.Int64 // configsRefused counts configurations that were rejected as invalid.
	settingsRefused atomic.Int64 // settingsRefused is 1 if the settings that were last read are invalid.

	suspensions     atomic.Int64       // suspensions counts how often this process was suspended.
	suspensionEnded chan time.Duration // suspensionEnded receives the length of each suspension when it is over.
	removeClockHook func()             // removeClockHook removes the hook from the clock.

	wakeConfig, wakeEngines chan struct{} // These wake the readers when this node should read.

	servers     []*linger.Server
	peerHTTP    *linger.Server // peerHTTP is that of servers which gets connections of peerServer; nil if there is none.
	serverStats linger.Stats
	reads       caller.BodyReads // reads are the requests that have not arrived whole.
	bodies      caller.BodyRoom  // bodies bounds the memory of requests.
	lateness    lateness.Gauge   // lateness is how late this process beats.
	cancel      context.CancelFunc
	wg          *guard.Group
}

// endpoint is an address and the handler served there.
type endpoint struct {
	address string
	handler http.Handler
	share   float64 // share is that of the process's descriptors which its connections may take.
}

// Start starts a node that writes its log to out; Close stops it.
func Start(ctx context.Context, s *settings.Settings, out io.Writer) (*Edge, error) {
	debug.SetGCPercent(gcPercent)
	e := &Edge{settings: s, logWriter: logline.New(out), startedAt: clock.Now(), wakeConfig: make(chan struct{}, 1), wakeEngines: make(chan struct{}, 1), suspensionEnded: make(chan time.Duration, 1), incarnations: map[string]int64{}, firstAnswer: make(chan struct{}), eraBegan: make(chan struct{}, 1), removeClockHook: func() {}}
	e.setMemory(s)
	tele, err := telemetry.New(ctx, s, e.logWriter)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start telemetry: %w", err), e.logWriter.Close(ctx))
	}
	e.tele, e.log = tele, tele.Log
	e.wg = guard.New(e.log)
	log.SetFlags(0)
	log.SetOutput(libraryLog{e.log})
	if err := e.build(clock.Now()); err != nil {
		return nil, errors.Join(err, tele.Close(), e.logWriter.Close(ctx))
	}
	ctx, e.cancel = context.WithCancel(ctx)
	if err := e.run(ctx); err != nil {
		return nil, errors.Join(err, e.stop())
	}
	e.log.Info("node started", "hall", s.Hall, "caller_address", s.CallerAddress, "peer_address", s.PeerAddress, "platform", s.PlatformAddresses)
	return e, nil
}

// build creates all components without starting them, except that it opens the listener for peers.
func (e *Edge) build(now time.Time) error {
	s := e.settings
	self := gossip.NodeInfo{
		Name: s.Instance, Incarnation: clock.Wall(now).UnixMilli(), PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Hall: s.Hall,
		Cores: cores(s),
	}
	var err error
	e.link = uplink.New(s.LinkMbps)
	e.proof = freshness.New(proofMaxAge(s))
	e.limits = limit.New(e.log)
	e.placement = placement.New(s.Hall, placement.WithLimits(e.limits), placement.WithUnseenNodes(e.unheardPeers), placement.WithSenders(s.Instance, e.senders), placement.WithRegions(s.HallRegions), placement.WithStoreKnown(e.storeKnown))
	e.quarantine = quarantine.New(func(now time.Time, f quarantine.Fingerprint) bool { return e.maySendTrial(now, f.String()) }, e.log)
	e.parts = quarantine.NewParts(e.maySendTrial, e.log)
	e.evacuations = evacuation.New(e.placement, e.log)
	if e.gossip, err = gossip.New(self, e.log, gossip.WithLink(e.link)); err != nil {
		return fmt.Errorf("start gossip: %w", err)
	}
	listener, err := linger.Listen(context.Background(), s.PeerAddress)
	if err != nil {
		return fmt.Errorf("start server for peers: %w", err)
	}
	e.relayBudget = newRelayBudget(s)
	e.forwards = forward.NewClient()
	if e.metrics, err = newMetrics(e); err != nil {
		return fmt.Errorf("create metrics: %w", err)
	}
	e.budget = retry.New(now, retryLimits(s), e.nodeCount)
	e.egress = platform.NewEgress(platform.WithSourceIP(s.EngineSourceIp))
	e.reach = reach.New(e.placement, e.egress, e.reachabilityChanged, e.log)
	observer, err := newCacheMetrics(e.tele.Meter)
	if err != nil {
		return err
	}
	e.cacheEvents = platform.NewCacheEvents()
	e.cacheWatcher = cachewatch.New(e.cacheEvents, e.placement, observer, e.log)
	e.traffic = &peer.Traffic{}
	e.peerClient = peer.NewClient(e.traffic, peer.WithIdleTimeout(feed.PullIdleTimeout))
	e.store = platform.NewStore(s.PlatformAddresses, platform.StoreTimeout)
	e.peerServer = peer.NewServer(e.link.Listener(listener), e.traffic, e.log)
	e.newPinning()
	e.discovery = discovery.New(platform.DecodeEngine, engineSink{e.placement, e.egress, e.limits, e.cacheWatcher, e.versions, func(id string, restarted bool) { e.dispatcher.EngineGone(clock.Now(), id, restarted) }}, ms(s.EngineDrainMs), e.log, discovery.WithSpotNotice(ms(s.SpotNoticeMs)))
	e.permits = limit.NewPermits(e.limits, e.peerClient, e.permitIssuer, e.gossip.ReachableShare, e.log)
	e.dispatcher = dispatch.New(e.proof, e.placement, e.budget, e.egress, e.metrics, e.log, dispatch.WithProber(e.egress), dispatch.WithLink(e.link), dispatch.WithQuarantine(e.quarantine), dispatch.WithParts(e.parts), dispatch.WithLeaveObserver(e.discovery), dispatch.WithPermits(e.permits), dispatch.WithReach(e.reach), dispatch.WithNodes(e.gossip), dispatch.WithInteractiveTarget(ms(s.InteractiveTargetMs)), dispatch.WithOverloadObserver(e.metrics), dispatch.WithLeavingObserver(e.metrics), dispatch.WithPinning(e.pins, e.versions, e.metrics), e.forwarding(), e.relayBuffers())
	e.register = register.New(now, e.store, self, slices.Collect(maps.Keys(s.HallRegions)), s.FirstStart, e.gossip, e.log)
	e.configTable = feed.NewTable(platform.TableConfig, e.applyConfig, feed.WithCarry(configCarry()), feed.WithReturnObserver(e.storeReturned))
	e.engineTable = feed.NewTable(platform.TableEngines, e.discovery.Apply, feed.WithCarry(engineCarry(s)), feed.WithReturnObserver(e.storeReturned))
	e.follower = feed.NewFollower(s.PeerAddress, e.peerClient, e.log, e.configTable, e.engineTable)
	e.peerServer.Handle(feed.MethodTable, peer.Typed(e.follower.HandleTable))
	e.peerServer.Handle(limit.MethodPermit, peer.Typed(e.permits.HandleRequest))
	e.duties = e.newDuties(now)
	return nil
}

// run starts the goroutines and the servers.
func (e *Edge) run(ctx context.Context) error {
	s := e.settings
	for _, each := range e.endpoints() {
		if err := e.serve(each); err != nil {
			return err
		}
	}
	config := &feed.Reader{Table: e.configTable, Source: e.store, Wait: configLongPoll, WaitFor: e.configWait, ShouldRead: e.shouldRead, OnSuccess: e.configProven, OnFailure: e.storeFailed, Wake: e.wakeConfig, Log: e.log}
	engines := &feed.Reader{Table: e.engineTable, Source: e.store, Wait: scaleMs(enginesLongPollShare, s.EngineDrainMs), ShouldRead: e.shouldRead, OnSuccess: e.storeAnswered, OnFailure: e.storeFailed, Wake: e.wakeEngines, Log: e.log}
	held := quarantine.NewPersister(e.quarantine, e.store, s.FirstStart, e.rewritesHeld, e.log)
	heldParts := quarantine.NewPartPersister(e.parts, e.store, s.FirstStart, e.rewritesHeld, e.log)
	e.onReturn = []func(){held.StoreReturned, heldParts.StoreReturned, e.register.StoreReturned, e.versions.StoreReturned, e.wakeSettled}
	e.removeClockHook = clock.OnResume(e.afterSuspension)
	e.startGoroutine(func() { e.lateness.Run(ctx) })
	e.startGoroutine(func() { e.handleSuspensions(ctx) })
	e.startRelaySweeps(ctx)
	e.startGoroutine(e.peerServer.Serve)
	if s.InteractiveTargetMs > 0 {
		e.gossip.EnableLoadUpdates(loadNode{e})
		e.startGoroutine(func() { e.gossip.RunLoadUpdates(ctx) })
	}
	e.startGoroutine(func() { e.gossip.Run(ctx, e) })
	if s.FirstStart {
		e.answersProveFrom(clock.Now(), time.Time{})
	} else {
		e.startGoroutine(func() { e.checkSettled(ctx) })
	}
	e.startGoroutine(func() { e.keepSettled(ctx) })
	e.startGoroutine(func() { config.Run(ctx) })
	e.startGoroutine(func() {
		e.awaitAnswer(ctx)
		e.awaitRegister(ctx)
		engines.Run(ctx)
	})
	e.startGoroutine(func() {
		e.awaitAnswer(ctx)
		e.register.Run(ctx)
	})
	e.startGoroutine(func() {
		e.awaitAnswer(ctx)
		held.Run(ctx)
	})
	e.startGoroutine(func() {
		e.awaitAnswer(ctx)
		heldParts.Run(ctx)
	})
	e.startGoroutine(func() {
		e.awaitAnswer(ctx)
		e.versions.Run(ctx)
	})
	if s.InteractiveTargetMs > 0 {
		e.startGoroutine(func() { e.watchCaches(ctx) })
	}
	if e.duties != nil {
		e.startGoroutine(func() {
			e.awaitAnswer(ctx)
			e.duties.Run(ctx)
		})
	}
	return nil
}

// endpoints returns what the node serves and where.
func (e *Edge) endpoints() []endpoint {
	s := e.settings
	control := http.NewServeMux()
	control.Handle("GET /metrics", e.tele.Metrics)
	control.HandleFunc("POST /admin/v1/statements", e.statements)
	callerShare := linger.CallerShare
	if s.ChatAddress != "" {
		callerShare /= 2 // Callers have two addresses.
	}
	servers := []endpoint{
		{s.CallerAddress, platform.NewIngress(e.dispatcher, platform.Timeouts{Read: ms(s.ReadTimeoutMs), Write: ms(s.WriteTimeoutMs)}, platform.WithReads(&e.reads), platform.WithRoom(&e.bodies)), callerShare},
		{s.DirectoryAddress, platform.NewDirectoryHandler(e, e.log), linger.OtherShare},
		{s.ReadyAddress, platform.NewReadinessHandler(e), linger.OtherShare},
		{s.AdminAddress, control, linger.OtherShare},
	}
	if s.ChatAddress != "" {
		completions := front.NewCompletions(e.dispatcher, front.Limits{MaxBody: int64(s.MaxBodyBytes), WriteTimeout: ms(s.WriteTimeoutMs), ReadTimeout: ms(s.ReadTimeoutMs)}, e.log, front.WithReads(&e.reads), front.WithRoom(&e.bodies))
		servers = append(servers, endpoint{s.ChatAddress, completions, callerShare})
	}
	forwarded := http.NewServeMux()
	forwarded.Handle("POST "+forward.Path, forward.NewHandler(e.dispatcher, forward.Limits{Read: ms(s.ReadTimeoutMs), Write: ms(s.WriteTimeoutMs)}, e.log, forward.WithReads(&e.reads), forward.WithRoom(&e.bodies)))
	if s.ForwardAddress != "" {
		servers = append(servers, endpoint{s.ForwardAddress, forwarded, linger.OtherShare})
	} else {
		e.peerHTTP = e.newServer(forwarded, linger.OtherShare)
		e.peerServer.HandleHTTP(e.peerHTTP)
	}
	return servers
}

// serve serves HTTP on an address until the node stops.
func (e *Edge) serve(at endpoint) error {
	l, err := linger.Listen(context.Background(), at.address)
	if err != nil {
		return fmt.Errorf("start server: %w", err)
	}
	serve := e.newServer(at.handler, at.share).Add(e.link.Listener(l))
	e.startGoroutine(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("server failed", "address", at.address, "error", err.Error())
		}
	})
	return nil
}

// newServer returns a server that the node closes when it stops.
func (e *Edge) newServer(handler http.Handler, share float64) *linger.Server {
	s := e.settings
	server := linger.New(&http.Server{
		Handler: handler, MaxHeaderBytes: s.MaxHeaderBytes, ReadHeaderTimeout: ms(s.ReadTimeoutMs), IdleTimeout: clientIdleTimeout,
		ConnContext: caller.WithConn, ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}, &e.serverStats, e.log, linger.WithShare(share), linger.WithLeaving(e.dispatcher.Stopping))
	e.servers = append(e.servers, server)
	return server
}

// startGoroutine runs a function in a goroutine that Close waits for.
func (e *Edge) startGoroutine(f func()) { e.wg.Go(f) }

// Failed receives an error if a component has panicked. The node still serves requests, and has to be closed.
func (e *Edge) Failed() <-chan error { return e.wg.Failed() }

// scaleMs returns a fraction of a time given in milliseconds.
func scaleMs(part, n float64) time.Duration { return time.Duration(part * float64(ms(n))) }

// ms converts milliseconds, as used in the settings, to a duration.
func ms[T int | float64](n T) time.Duration {
	return time.Duration(math.Round(float64(n) * float64(time.Millisecond)))
}
