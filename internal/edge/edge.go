// Package edge runs a node on the users' platform: it starts all parts in one
// visible order and stops them in the reverse order. The platform keeps the
// configuration and lists the engines; nothing here outlives the process.
package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/duty"
	"github.com/croftturn/croftturn/internal/evacuation"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/freshness"
	"github.com/croftturn/croftturn/internal/front"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/logline"
	"github.com/croftturn/croftturn/internal/peer"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/register"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/platform"
)

const (
	// gcPercent makes the collector run often: live memory is a few megabytes, so
	// that it costs little time, and memory is what the users pay most for.
	gcPercent = 50

	// memoryShare of the memory allowed is where the collector works harder.
	memoryShare = 0.7

	// clientIdle is how long a client's connection may rest. Clients use theirs
	// again within four fifths of the configuration's limit, 15 s at the users'.
	clientIdle = 2 * time.Minute

	// leaveTimeout bounds the removal of this node's row from the register.
	leaveTimeout = time.Second

	// proofShare of the time within which a key must be out of use is how long a
	// proof holds; the rest is for requests on their way to an engine.
	proofShare = 0.9

	// configWait is how long a call waits for a newer configuration. Each answer
	// proves the configuration in force; two calls may fail before the proof of
	// the usual 4.5 s is too old.
	configWait = 1500 * time.Millisecond

	// enginesWaitShare of the time within which new work at an engine that leaves must
	// stop is how long a call waits for changes of engines. When the store drops its
	// history, calls in flight may stay deaf until they end; the rest of the time is
	// for the next call and for telling the peers.
	enginesWaitShare = 0.4

	// stopMargin is how long before the platform kills the process it ends.
	stopMargin = 400 * time.Millisecond

	// stopAtLeast is how long a stopping node goes on taking requests, since
	// clients keep addresses for up to three times two seconds.
	stopAtLeast = 6200 * time.Millisecond

	// libraryBytes is how much of a library's own log line is kept.
	libraryBytes = 48

	// stopPoll is how often a stopping node looks whether it is idle.
	stopPoll = 50 * time.Millisecond
)

// Edge is one running node on the users' platform.
type Edge struct {
	settings    *settings.Settings
	lines       *logline.Writer
	tele        *telemetry.Telemetry
	log         *slog.Logger
	proof       *freshness.Proof
	placement   *placement.Placement
	quarantine  *quarantine.Quarantine
	limits      *limit.Limits
	permits     *limit.Permits
	evacuations *evacuation.Evacuations
	duties      *duty.Duties // duties is nil where the platform asks for none.
	dutyCalls   *platform.Duties
	budget      *retry.Budget
	gossip      *gossip.Gossip
	dispatcher  *dispatch.Dispatcher
	egress      *platform.Egress
	store       *platform.Store
	discovery   *discovery.Discovery
	register    *register.Register
	metrics     *metrics
	traffic     *peer.Traffic
	calls       *peer.Client
	peers       *peer.Server
	config      *feed.Table
	engines     *feed.Table
	follower    *feed.Follower
	startedAt   time.Time
	lostAt      atomic.Pointer[time.Time] // lostAt is when the store last could not be called.
	silentAt    atomic.Pointer[time.Time] // silentAt is when this node last left reading to others for want of answers.
	quietSince  atomic.Pointer[time.Time] // quietSince is when the store last answered, or this node began to read.

	configsRefused atomic.Int64 // configsRefused counts configurations that could not be understood.

	absences  atomic.Int64       // absences counts how often this process was away.
	back      chan time.Duration // back tells of each absence once it is over, and how long it was.
	stopClock func()             // stopClock ends the hook of the clock.

	wakeConfig, wakeEngines chan struct{} // These tell the readers that this node should read.

	servers []*http.Server
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// listener is an address and what is served there.
type listener struct {
	address string
	handler http.Handler
}

// Start starts a node; logs go to out. Close stops it.
func Start(ctx context.Context, s *settings.Settings, out io.Writer) (*Edge, error) {
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(s)
	e := &Edge{settings: s, lines: logline.New(out), startedAt: clock.Now(), wakeConfig: make(chan struct{}, 1), wakeEngines: make(chan struct{}, 1), back: make(chan time.Duration, 1), stopClock: func() {}}
	tele, err := telemetry.New(ctx, s, e.lines)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start telemetry: %w", err), e.lines.Close())
	}
	e.tele, e.log = tele, tele.Log
	log.SetFlags(0)
	log.SetOutput(libraryLog{e.log})
	if err := e.build(clock.Now()); err != nil {
		return nil, errors.Join(err, tele.Close(), e.lines.Close())
	}
	ctx, e.cancel = context.WithCancel(ctx)
	if err := e.run(ctx); err != nil {
		return nil, errors.Join(err, e.stop())
	}
	e.log.Info("node started", "hall", s.Hall, "caller_address", s.CallerAddress, "peer_address", s.PeerAddress, "platform", s.PlatformAddresses)
	return e, nil
}

// build makes all parts; nothing runs yet.
func (e *Edge) build(now time.Time) error {
	s := e.settings
	self := gossip.Self{
		Name: s.Instance, Incarnation: clock.Wall(now).UnixMilli(), PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Hall: s.Hall,
		Cores: cores(s),
	}
	var err error
	e.proof = freshness.New(proofLife(s))
	e.limits = limit.New(e.log)
	e.placement = placement.New(s.Hall, placement.WithLimits(e.limits), placement.WithUnseenNodes(e.unheard), placement.WithSenders(s.Instance, e.senders), placement.WithRegions(s.HallRegions))
	e.quarantine = quarantine.New(e.triesHeld, e.log)
	e.evacuations = evacuation.New(e.placement, e.log)
	if e.gossip, err = gossip.New(self, e.log); err != nil {
		return fmt.Errorf("start gossip: %w", err)
	}
	listener, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if e.metrics, err = newMetrics(e); err != nil {
		return fmt.Errorf("make metrics: %w", err)
	}
	e.budget = retry.New(now, retryLimits(s), e.nodes)
	e.egress = platform.NewEgress()
	e.traffic = &peer.Traffic{}
	e.calls = peer.NewClient(e.traffic, peer.WithSilence(feed.PullSilence))
	e.discovery = discovery.New(platform.Engine, engines{e.placement, e.egress, e.limits}, ms(s.EngineDrainMs), e.log)
	e.permits = limit.NewPermits(e.limits, e.calls, e.issuer, e.gossip.Reach, e.log)
	e.dispatcher = dispatch.New(e.proof, e.placement, e.budget, e.egress, e.metrics, e.log, dispatch.WithProber(e.egress), dispatch.WithQuarantine(e.quarantine), dispatch.WithLeavers(e.discovery), dispatch.WithPermits(e.permits))
	e.store = platform.NewStore(s.PlatformAddresses, platform.StoreTimeout)
	e.register = register.New(now, e.store, self, slices.Collect(maps.Keys(s.HallRegions)), s.FirstStart, e.gossip, e.log)
	e.config = feed.NewTable(platform.TableConfig, e.takeConfig)
	e.engines = feed.NewTable(platform.TableEngines, e.discovery.Take)
	e.follower = feed.NewFollower(s.PeerAddress, e.calls, e.log, e.config, e.engines)
	e.peers = peer.NewServer(listener, e.traffic, e.log)
	e.peers.Handle(feed.MethodTable, peer.Typed(e.follower.Answer))
	e.peers.Handle(limit.MethodPermit, peer.Typed(e.permits.HandleRequest))
	e.duties = e.newDuties(now)
	return nil
}

// run starts the goroutines and the servers.
func (e *Edge) run(ctx context.Context) error {
	s := e.settings
	control := http.NewServeMux()
	control.Handle("GET /metrics", e.tele.Metrics)
	control.HandleFunc("POST /admin/v1/statements", e.statements)
	servers := []listener{
		{s.CallerAddress, platform.NewIngress(e.dispatcher, platform.Limits{Read: ms(s.ReadTimeoutMs), Write: ms(s.WriteTimeoutMs)})},
		{s.DirectoryAddress, platform.NewDirectory(e, e.log)},
		{s.ReadyAddress, platform.NewReady(e)},
		{s.AdminAddress, control},
	}
	if s.ChatAddress != "" {
		completions := front.NewCompletions(e.dispatcher, front.Limits{MaxBody: int64(s.MaxBodyBytes), WriteTimeout: ms(s.WriteTimeoutMs), ReadTimeout: ms(s.ReadTimeoutMs)}, e.log)
		servers = append(servers, listener{s.ChatAddress, completions})
	}
	for _, each := range servers {
		if err := e.serve(each.address, each.handler); err != nil {
			return err
		}
	}
	config := &feed.Reader{Table: e.config, Source: e.store, Wait: configWait, Wanted: e.reads, Proven: e.proven, Lost: e.lost, Wake: e.wakeConfig, Log: e.log}
	engines := &feed.Reader{Table: e.engines, Source: e.store, Wait: share(enginesWaitShare, s.EngineDrainMs), Wanted: e.reads, Proven: e.answered, Lost: e.lost, Wake: e.wakeEngines, Log: e.log}
	e.stopClock = clock.OnAway(e.returned)
	e.start(func() { e.makeUp(ctx) })
	e.start(e.peers.Serve)
	e.start(func() { e.gossip.Run(ctx, e) })
	e.start(func() { config.Run(ctx) })
	e.start(func() {
		e.awaitAnswer(ctx)
		e.awaitRegister(ctx)
		engines.Run(ctx)
	})
	e.start(func() {
		e.awaitAnswer(ctx)
		e.register.Run(ctx)
	})
	e.start(func() {
		e.awaitAnswer(ctx)
		quarantine.NewPersister(e.quarantine, e.store, s.FirstStart, e.log).Run(ctx)
	})
	if e.duties != nil {
		e.start(func() {
			e.awaitAnswer(ctx)
			e.duties.Run(ctx)
		})
	}
	return nil
}

// serve serves HTTP on an address until the node stops.
func (e *Edge) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s := e.settings
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: s.MaxHeaderBytes, ReadHeaderTimeout: ms(s.ReadTimeoutMs), IdleTimeout: clientIdle,
		ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}
	e.servers = append(e.servers, server)
	e.start(func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("server failed", "address", address, "error", err.Error())
		}
	})
	return nil
}

// start runs a function on its own goroutine, for which Close waits.
func (e *Edge) start(f func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f()
	}()
}

// Close stops the node as planned: entry points stop naming it at once, it goes
// on serving callers that still come, and ends when none do any more.
func (e *Edge) Close() error {
	begin := clock.Now()
	end := begin.Add(ms(e.settings.StopGraceMs) - stopMargin)
	e.dispatcher.StopBy(end)
	e.log.Info("node stops", "active", e.dispatcher.Active(), "within_ms", clock.Until(end).Milliseconds())
	if e.duties != nil {
		e.duties.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := e.register.Leave(ctx); err != nil {
		e.log.Warn("node stays in the register", "error", err.Error())
	}
	cancel()
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for now := range tick.C {
		idle := e.dispatcher.Active() == 0 && now.Sub(begin) >= stopAtLeast
		if idle || now.After(end) {
			break
		}
	}
	e.log.Info("node stopped", "active", e.dispatcher.Active(), "after_ms", clock.Since(begin).Milliseconds())
	return e.stop()
}

// stop ends all parts and waits for them.
func (e *Edge) stop() error {
	var errs []error
	for _, s := range e.servers {
		errs = append(errs, s.Close())
	}
	e.stopClock()
	e.cancel()
	errs = append(errs, e.follower.Close(), e.peers.Close())
	e.calls.Close()
	e.wg.Wait()
	e.egress.Close()
	e.store.Close()
	if e.dutyCalls != nil {
		e.dutyCalls.Close()
	}
	errs = append(errs, e.tele.Close(), e.lines.Close())
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// libraryLog takes what libraries log by themselves.
type libraryLog struct{ log *slog.Logger }

// Write logs the beginning of a line: the rest may hold bytes of an answer.
func (l libraryLog) Write(p []byte) (int, error) {
	l.log.Debug("library", "text", string(p[:min(len(p), libraryBytes)]))
	return len(p), nil
}

// share returns a share of a time in milliseconds.
func share(part float64, n int) time.Duration { return time.Duration(part * float64(ms(n))) }

// ms turns milliseconds of the settings into a duration.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
