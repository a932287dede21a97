package sched

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// retryPause is the delay before a node asks a broker again.
	retryPause = 50 * time.Millisecond

	// fallbackAfter is how long a node keeps asking, while no node considers itself
	// the broker, before it uses the fallback.
	fallbackAfter = 3 * time.Second

	// unreachableAfter is the same while connections to the broker fail.
	unreachableAfter = 150 * time.Millisecond

	// reportInterval is how often a node reports its holds to all brokers, which
	// makes up for lost releases.
	reportInterval = 10 * time.Second

	// notifyTimeout bounds the call for a release, a cancel or a report.
	notifyTimeout = time.Second
)

var (
	// errMoved means that the broker of a pool changed while a request waited there.
	errMoved = errors.New("sched: the broker moved")

	// errNoBroker means that no member can be the broker.
	errNoBroker = errors.New("sched: no broker")

	// errBrokerBack means that a broker may be reachable again.
	errBrokerBack = errors.New("sched: a broker may be reached again")
)

type (
	// Peers calls other nodes.
	Peers interface {
		Call(ctx context.Context, address, method string, params, result any) error
		Notify(ctx context.Context, address, method string, params any) error
		// Drop closes the connection to an address.
		Drop(address string)
	}

	// Fallback schedules while no broker can be reached. Adopt tells it of the
	// slots that brokers granted.
	Fallback interface {
		Scheduler
		Adopt(req Request, engine string)
	}

	// Brokered asks the pool's broker, on whichever node, for a slot. While no
	// broker can be reached it uses the fallback.
	Brokered struct {
		members  broker.Members
		local    *broker.Service
		peers    Peers
		views    Views
		fallback Fallback
		monitor  *brokerMonitor
		log      *slog.Logger
		process  int           // process tells this process from earlier ones of the node.
		returned chan struct{} // returned receives a value when a broker answers again.

		mu         sync.Mutex
		lastAsk    int            // lastAsk is the number of the newest ask, or of the newest report.
		asking     map[int]string // asking holds the asks that wait for an answer, with their pools.
		holds      map[string]heldSlot
		reportedTo map[string]string // reportedTo is the broker process that has a pool's holds or is being sent them, by pool.
		background sync.WaitGroup
	}

	// heldSlot is a slot that this node holds, and its pool.
	heldSlot struct {
		wire.Hold
		pool string
	}
)

// NewBrokered returns a scheduler that asks brokers.
func NewBrokered(members broker.Members, local *broker.Service, peers Peers, views Views, fallback Fallback, log *slog.Logger) *Brokered {
	b := &Brokered{
		members: members, local: local, peers: peers, views: views, fallback: fallback, log: log,
		process: members.Self().Incarnation, returned: make(chan struct{}, 1),
		asking: map[int]string{}, holds: map[string]heldSlot{}, reportedTo: map[string]string{},
	}
	b.monitor = newBrokerMonitor(peers, b.brokerReturned)
	return b
}

// Acquire waits for a slot from the pool's broker, and asks the new broker when
// it changes. The request carries the time waited so far.
func (b *Brokered) Acquire(ctx context.Context, req Request) (Grant, error) {
	var failingSince time.Time
	for ctx.Err() == nil {
		changed := b.members.Changed()
		owner, ok := b.members.Owner(broker.Key(req.Pool))
		var grant *wire.Grant
		err := errNoBroker
		if ok {
			grant, err = b.ask(ctx, owner, changed, req)
		}
		if err == nil && !mustAskAgain(grant.Refusal) {
			return b.acceptReply(req, grant)
		}
		if err == nil && grant.Refusal == broker.ReasonMoved {
			b.forgetReport(req.Pool)
		}
		now, patience := clock.Now(), unreachableAfter
		if err == nil {
			patience = fallbackAfter
		}
		if failingSince.IsZero() || errors.Is(err, errMoved) {
			failingSince = now
		}
		if !errors.Is(err, errUnresponsive) && now.Sub(failingSince) <= patience {
			pause.For(ctx, retryPause)
			continue
		}
		if g, err := b.acquireFallback(ctx, owner, changed, req); !errors.Is(err, errBrokerBack) {
			return g, err
		}
		failingSince = time.Time{}
	}
	return Grant{}, fmt.Errorf("wait for a place: %w", ctx.Err())
}

// mustAskAgain reports whether the request has to ask again after a refusal.
func mustAskAgain(refusal string) bool {
	return refusal == broker.ReasonMoved || refusal == broker.ReasonDuplicate || refusal == broker.ReasonStale
}

// acceptReply converts a broker's answer to a grant or a refusal.
func (b *Brokered) acceptReply(req Request, grant *wire.Grant) (Grant, error) {
	if grant.Refusal != "" {
		return Grant{}, &Refusal{Reason: grant.Refusal, RetryAfter: time.Duration(grant.RetryAfterMs) * time.Millisecond, Why: grant.Why}
	}
	b.fallback.Adopt(req, grant.Engine)
	return b.acceptGrant(req, grant)
}

// ask asks one broker. It gives up when the pool's broker changes or becomes
// unresponsive.
func (b *Brokered) ask(ctx context.Context, owner wire.Member, changed <-chan struct{}, req Request) (*wire.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var unresponsive <-chan struct{}
	if owner.Name != b.members.Self().Name {
		var err error
		if unresponsive, err = b.monitor.beginAsk(owner); err != nil {
			return nil, err
		}
		defer b.monitor.endAsk(owner)
	}
	done := make(chan struct{})
	lost := make(chan error, 1)
	go func() {
		defer close(lost)
		if err := b.watch(done, changed, unresponsive, owner, req.Pool); err != nil {
			lost <- err
			cancel()
		}
	}()
	grant := &wire.Grant{}
	params := &wire.Acquire{
		Pool: req.Pool, Request: req.ID, Node: b.members.Self().Name, Class: req.Class, Team: req.Team,
		PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, Exclude: req.Exclude, Prefix: req.Prefix, Process: b.process, Ask: b.openAsk(req.Pool),
		WaitedMs: int(clock.Since(req.Arrived).Milliseconds()), TraceParent: telemetry.TraceParent(ctx),
	}
	defer b.closeAsk(params.Ask)
	err := b.call(ctx, owner, params, grant)
	close(done)
	if reason := <-lost; reason != nil {
		b.cancelAsk(owner, params)
		return nil, reason
	}
	if err != nil {
		b.cancelAsk(owner, params)
		if ctx.Err() == nil {
			b.forgetReport(req.Pool) // Releases may be lost with the connection.
		}
		return nil, fmt.Errorf("ask broker %s: %w", owner.Name, err)
	}
	if grant.Refusal == "" {
		b.recordHold(req, grant.Engine)
	}
	return grant, nil
}

// watch waits until an ask is done, and returns an error if the pool's broker
// changes or becomes unresponsive before that.
func (b *Brokered) watch(done, changed, unresponsive <-chan struct{}, owner wire.Member, pool string) error {
	for {
		select {
		case <-done:
			return nil
		case <-unresponsive:
			return errUnresponsive
		case <-changed:
		}
		changed = b.members.Changed()
		now, ok := b.members.Owner(broker.Key(pool))
		if !ok || now.Name != owner.Name || now.Incarnation != owner.Incarnation {
			return errMoved
		}
	}
}

// call asks the broker, which may be this node itself.
func (b *Brokered) call(ctx context.Context, owner wire.Member, params *wire.Acquire, grant *wire.Grant) error {
	if owner.Name != b.members.Self().Name {
		return b.peers.Call(ctx, owner.PeerAddress, broker.MethodAcquire, params, grant)
	}
	answer, err := b.local.Acquire(ctx, params)
	if err != nil {
		return err
	}
	*grant = *answer.(*wire.Grant)
	return nil
}

// openAsk returns the number of a new ask in a pool.
func (b *Brokered) openAsk(pool string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastAsk++
	b.asking[b.lastAsk] = pool
	return b.lastAsk
}

// closeAsk records that an ask is answered, and its slot recorded, or that it is given up.
func (b *Brokered) closeAsk(ask int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.asking, ask)
}

// cancelAsk tells a broker that the answer to an ask is no longer wanted.
func (b *Brokered) cancelAsk(owner wire.Member, ask *wire.Acquire) {
	params := &wire.Acquire{Pool: ask.Pool, Request: ask.Request, Ask: ask.Ask}
	b.notify(owner, broker.MethodCancel, params, func(ctx context.Context) { b.local.Cancel(ctx, params) })
}

// notify sends a message to a broker without blocking the caller.
func (b *Brokered) notify(owner wire.Member, method string, params any, local func(ctx context.Context)) {
	if owner.Name == b.members.Self().Name {
		local(context.Background())
		return
	}
	b.background.Add(1)
	go func() {
		defer b.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := b.peers.Notify(ctx, owner.PeerAddress, method, params); err != nil {
			b.log.Debug("message to broker not sent", "method", method, "peer", owner.Name, "error", err.Error())
		}
	}()
}

// acceptGrant accepts a granted slot, or releases it if its engine is not in the configuration.
func (b *Brokered) acceptGrant(req Request, grant *wire.Grant) (Grant, error) {
	e := b.views.View().Engine(grant.Engine)
	if e == nil {
		b.release(req, grant.Engine, Result{Status: broker.StatusCancelled})
		return Grant{}, &Refusal{Reason: ReasonNoEngine, RetryAfter: noEngineRetryAfter, Why: "engine " + grant.Engine + " is not in the configuration here"}
	}
	return Grant{Engine: e, Why: grant.Why}, nil
}

// recordHold records a held slot for the reports to brokers.
func (b *Brokered) recordHold(req Request, engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[req.ID] = heldSlot{
		Hold: wire.Hold{Request: req.ID, Engine: engine, Class: req.Class, Team: req.Team, Tokens: req.PromptTokens},
		pool: req.Pool,
	}
}

// Release gives a slot back to the current broker.
func (b *Brokered) Release(req Request, g Grant, res Result) {
	b.fallback.Release(req, g, res)
	b.release(req, g.Engine.Name, res)
}

// release removes a hold and tells the current broker.
func (b *Brokered) release(req Request, engine string, res Result) {
	b.mu.Lock()
	delete(b.holds, req.ID)
	b.mu.Unlock()
	owner, ok := b.members.Owner(broker.Key(req.Pool))
	if !ok {
		return
	}
	params := releaseMessage(req, engine, res)
	b.notify(owner, broker.MethodRelease, &params, func(ctx context.Context) { b.local.Release(ctx, &params) })
}

// releaseMessage returns the message that gives a slot back.
func releaseMessage(req Request, engine string, res Result) wire.Release {
	return wire.Release{
		Pool: req.Pool, Request: req.ID, Engine: engine, Status: res.Status, OutputTokens: res.OutputTokens,
		DurationMs: int(res.Duration.Milliseconds()), FirstTokenMs: int(res.FirstToken.Milliseconds()),
	}
}
