// Package duty does the work that one node at a time does for all: it reports usage to the platform and orders engines.
// Every node sends its counts to the lease holder; a few nodes are candidates to succeed it.
//
// The holder writes the lease's row together with all state that must outlive it in one transaction, so that a node that
// has lost the lease can't write. Reports are in the store before they are sent, and are the same whichever node sends them.
package duty

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/fence"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/lease"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/scaling"
	"github.com/croftturn/croftturn/internal/usage"
)

const (
	// table holds the lease, the counts and the orders in a single partition, so that one transaction can write them.
	table = "croftturn-duties"
	part  = "duties"

	// Row keys; package usage defines those of the counts.
	keyLease  = "lease"
	keyOrders = "orders"

	// MethodUsage is the peer method that accepts a node's counts.
	MethodUsage = "usage"

	// reportInterval is how often a node sends its counts, and writeInterval how often the holder writes changes. If all nodes
	// are lost, the counts of half of both intervals are lost on average: 0.35 s, 7% of a window of five seconds.
	reportInterval = 250 * time.Millisecond
	writeInterval  = 400 * time.Millisecond

	// renewIntervalShare is the share of the lease's TTL after which it is renewed if there is nothing to write, so that one
	// renewal may fail.
	renewIntervalShare = 0.35

	// leaseTTLShare is the lease's TTL as a share of ReturnDelay. It is short enough for a new holder to take over soon, and long
	// enough for a renewal to take some tenths of a second, as when the store takes 60 times as long as usual.
	leaseTTLShare = 0.66

	// takeoverMargin is how long a takeover waits beyond the lease's TTL, for calls that are in transit.
	takeoverMargin = 300 * time.Millisecond

	// holderTimeout is how long after a holder's last renewal the candidates start to watch the lease, and candidateDelay how
	// much later each further candidate does. Renewals come every 0.7 s at the latest.
	holderTimeout  = 1200 * time.Millisecond
	candidateDelay = 800 * time.Millisecond

	// campaignPoll is how often a candidate checks whether it is its turn, and idlePoll how often a node that is no candidate or
	// does not hold the lease checks its state. They are long since each wake-up on 390 nodes costs CPU time.
	campaignPoll = 100 * time.Millisecond
	idlePoll     = 500 * time.Millisecond

	// reportTimeout bounds the call that sends a node's counts.
	reportTimeout = time.Second

	// maxCallTime bounds a call to the platform.
	maxCallTime = 1500 * time.Millisecond

	// lastCallTime is how long a holder that gives the duties up waits for its calls to the platform.
	lastCallTime = 200 * time.Millisecond

	// releaseAfter is how long the holder's calls to the platform may fail before it releases the lease to another node.
	releaseAfter = 4 * time.Second

	// releaseCooldown is how long such a holder does not campaign again.
	releaseCooldown = 8 * time.Second
)

var (
	// ErrNoCapacity is returned if no engine of the kind is available at present.
	ErrNoCapacity = errors.New("duty: no engine available")

	// ErrRefused is returned if the platform rejects the call permanently.
	ErrRefused = errors.New("duty: the platform refuses the call")

	// errNotHolder is returned to a node that mistakes this one for the holder.
	errNotHolder = errors.New("this node does not hold the duties")
)

type (
	// Store is the platform's store.
	Store interface {
		List(ctx context.Context, table, part string) (feed.Snapshot, error)
		Commit(ctx context.Context, tx feed.Tx) (at history.Position, err error)
	}

	// Platform handles the holder's calls.
	Platform interface {
		// Usage reports the counts of a window.
		Usage(ctx context.Context, holder string, token int64, window int64, counts map[string]int) error

		// Order orders engines; the error is ErrNoCapacity if none are available.
		Order(ctx context.Context, holder string, token int64, o scaling.Order) error
	}

	// Caller calls peers.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Node is the node that takes part.
	Node interface {
		// Rank returns how many nodes should become the holder before this one; ok is false if it is no candidate.
		Rank(now time.Time) (rank int, ok bool)

		// Pools returns what this node knows of the pools whose engines can be ordered.
		Pools(now time.Time) []Pool

		// Work returns, by pool, the prompt-processing work that this node gave to engines so far, in milliseconds of engine time.
		Work() map[string]scaling.Demand
	}

	// Pool is a pool whose engines can be ordered.
	Pool struct {
		Name   string
		Limits scaling.Limits
		Halls  map[string]scaling.HallState
	}

	// Settings configure a node's part.
	Settings struct {
		Name        string        // Name is the name of this node.
		ProcessID   string        // ProcessID is unique to this process.
		PeerAddress string        // PeerAddress is this node's peer address.
		ReturnDelay time.Duration // ReturnDelay is the least time between two terms of one node with a term of another node between them.
		Window      time.Duration // Window is the length of a usage window.
		DueAfter    time.Duration // DueAfter is how long after its end a window is due.
		Usage       bool          // Usage enables usage reports.
		Scaling     bool          // Scaling enables orders of engines.
		FirstStart  bool          // FirstStart is set at the first start of the whole system.
	}

	// Holder is the lease holder, as far as a node knows.
	Holder struct {
		Token     int64
		Address   string
		RenewedAt time.Time // RenewedAt is when the holder last renewed its lease, on this node's clock.
		Released  bool      // Released is set if the holder released its term.
	}

	// apiCall is a call to the platform.
	apiCall struct{ term lease.Term }

	// Duties is one node's part. It is safe for concurrent use.
	Duties struct {
		settings Settings
		store    Store
		fence    *fence.Fence // fence makes the holder's writes fail that were sent before the store came back from a copy.
		platform Platform
		caller   Caller
		node     Node
		log      *slog.Logger

		clock   *usage.Clock
		Counter *usage.Counter // Counter counts the requests of this node.
		ledger  *usage.Ledger

		mu            sync.Mutex
		lease         *lease.Lease
		lastHolder    Holder                     // lastHolder is the most recent holder that this node learned of.
		noHolderSince time.Time                  // noHolderSince is since when this candidate has known of no active holder; zero if there is one.
		ownToken      int64                      // ownToken is the token of this process's last term, until it is released.
		cooldownUntil time.Time                  // cooldownUntil is until when this node does not campaign.
		failingSince  time.Time                  // failingSince is since when the platform's calls have failed; zero if they succeed.
		stopping      bool                       // stopping is set once this node is stopping.
		demand        demand                     // demand is the load of all nodes, as reported to the holder.
		scalers       map[string]*scaling.Scaler // scalers holds the scalers by pool.
		storedOrders  string                     // storedOrders is the row of orders as last stored.
		storedEra     int64                      // storedEra is the era in which this term's state was stored.
		wake          chan struct{}              // wake wakes runLease early.

		calls      sync.WaitGroup                  // calls are the calls to the platform in progress.
		cancels    map[*apiCall]context.CancelFunc // cancels give them up.
		endedToken int64                           // endedToken is the token of the latest term that was given up; no call begins in it.
	}
)

// New returns a node's part; Run starts it.
func New(now time.Time, s Settings, store Store, p Platform, caller Caller, node Node, log *slog.Logger) *Duties {
	day := usage.NewClock(now, clock.Wall(now))
	return &Duties{
		settings: s, store: store, fence: fence.New(store), platform: p, caller: caller, node: node, log: log,
		clock: day, Counter: usage.NewCounter(s.ProcessID, s.Window, day), ledger: usage.NewLedger(s.Window, s.DueAfter, day),
		lease:  lease.New(s.Name, s.PeerAddress, lease.Timing{TTL: s.leaseTTL(), Margin: takeoverMargin, ReturnDelay: s.ReturnDelay}, s.leaseOptions()...),
		demand: demand{nodes: map[string]*nodeWork{}}, scalers: map[string]*scaling.Scaler{}, wake: make(chan struct{}, 1), cancels: map[*apiCall]context.CancelFunc{},
	}
}

// leaseOptions returns the options of the lease.
func (s Settings) leaseOptions() []lease.Option {
	if s.FirstStart {
		return []lease.Option{lease.WithFirstStart()}
	}
	return nil
}

// leaseTTL returns the TTL of the lease.
func (s Settings) leaseTTL() time.Duration {
	return time.Duration(leaseTTLShare * float64(s.ReturnDelay))
}

// Run takes part until the context ends.
func (d *Duties) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.reportCounts(ctx) })
	if d.settings.Usage {
		wg.Go(func() { d.reportWindows(ctx) })
	}
	if d.settings.Scaling {
		wg.Go(func() { d.orderEngines(ctx) })
	}
	d.runLease(ctx)
	wg.Wait()
}

// Holds returns the term in which this node may act.
func (d *Duties) Holds(now time.Time) (lease.Term, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeTerm(now)
}

// activeTerm returns the term in which this node may act: it holds the lease and has loaded the state of the previous holder.
// Counts accepted before that would be lost. The caller holds the lock.
func (d *Duties) activeTerm(now time.Time) (lease.Term, bool) {
	term, holds := d.lease.Holds(now)
	return term, holds && term.Token == d.ownToken
}

// ObserveHolder records the holder that a peer reports.
func (d *Duties) ObserveHolder(h Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newer := h.Released && !d.lastHolder.Released || h.Released == d.lastHolder.Released && h.RenewedAt.After(d.lastHolder.RenewedAt)
	if h.Token > d.lastHolder.Token || h.Token == d.lastHolder.Token && newer {
		d.lastHolder = h
	}
}

// Holder returns the lease holder, as far as this node knows.
func (d *Duties) Holder(now time.Time) Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term, ok := d.activeTerm(now); ok {
		d.lastHolder = Holder{Token: term.Token, Address: d.settings.PeerAddress, RenewedAt: d.lease.RenewedAt()}
	}
	return d.lastHolder
}

// reportCounts sends this node's counts to the holder until the context ends.
func (d *Duties) reportCounts(ctx context.Context) {
	for pause.For(ctx, reportInterval) {
		now := clock.Now()
		h := d.Holder(now)
		if h.Token == 0 || h.Released {
			continue
		}
		r, ok := d.Counter.Report(now, h.Token)
		if !ok {
			continue
		}
		r.Work = d.node.Work()
		ack, err := d.sendCounts(ctx, h, &r)
		if err != nil {
			d.log.Debug("cannot send counts to the holder", "holder", h.Address, "token", h.Token, "error", err.Error())
			continue
		}
		if moved := d.Counter.HandleAck(now, clock.Now(), ack); moved != 0 {
			d.log.Warn("wall clock corrected", "by_ms", moved.Milliseconds(), "holder", h.Address)
		}
	}
}

// sendCounts sends counts to the holder, which may be this node.
func (d *Duties) sendCounts(ctx context.Context, h Holder, r *usage.Report) (usage.Ack, error) {
	if h.Address == d.settings.PeerAddress {
		return d.addCounts(clock.Now(), r)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var ack usage.Ack
	if err := d.caller.Call(ctx, h.Address, MethodUsage, r, &ack); err != nil {
		return usage.Ack{}, err
	}
	return ack, nil
}

// HandleCounts accepts a node's counts; it is the handler of MethodUsage.
func (d *Duties) HandleCounts(_ context.Context, r *usage.Report) (any, error) {
	return d.addCounts(clock.Now(), r)
}

// addCounts adds a node's counts, if this node is the holder.
func (d *Duties) addCounts(now time.Time, r *usage.Report) (usage.Ack, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, ok := d.activeTerm(now)
	if !ok {
		return usage.Ack{}, errNotHolder
	}
	d.demand.update(now, r.Node, r.Work)
	return d.ledger.AddReport(now, term.Token, *r), nil
}

// reportWindows reports settled windows while this node is the holder, until the context ends.
func (d *Duties) reportWindows(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		term, ok := d.Holds(clock.Now())
		if !ok {
			pause.For(ctx, idlePoll)
			continue
		}
		w, due := d.ledger.Due()
		if !due {
			pause.For(ctx, campaignPoll)
			continue
		}
		begin := clock.Now()
		err := d.callPlatform(ctx, term, func(ctx context.Context) error {
			return d.platform.Usage(ctx, d.settings.Name, term.Token, w.Number, w.Counts)
		})
		after := clock.Since(begin)
		if err != nil && !errors.Is(err, ErrRefused) {
			d.log.Warn("cannot report usage; retrying", "window", w.Number, "token", term.Token, "ms", after.Milliseconds(), "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		d.ledger.MarkSent(w.Number)
		d.log.Info("usage reported", "window", w.Number, "token", term.Token, "teams", len(w.Counts), "requests", w.Requests(), "late_ms", d.ledger.Age(begin, w.Number).Milliseconds(),
			"ms", after.Milliseconds(), "refused", err != nil)
	}
}

// callPlatform makes a call to the platform that ends before the term does, and records whether the platform is reachable.
func (d *Duties) callPlatform(ctx context.Context, term lease.Term, f func(ctx context.Context) error) error {
	now := clock.Now()
	left := min(term.Until.Sub(now), maxCallTime)
	if left <= 0 {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	end, ok := d.beginCall(term, cancel)
	if !ok {
		return errNotHolder
	}
	defer end()
	err := f(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrRefused):
		d.failingSince = time.Time{}
	case d.failingSince.IsZero():
		d.failingSince = now
	}
	return err
}

// beginCall records a call in a term, which cancel gives up; ok is false if the term has been given up. end is called after it.
func (d *Duties) beginCall(term lease.Term, cancel context.CancelFunc) (end func(), ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term.Token <= d.endedToken {
		return nil, false
	}
	c := &apiCall{term}
	d.cancels[c] = cancel
	d.calls.Add(1)
	return func() {
		d.mu.Lock()
		delete(d.cancels, c)
		d.mu.Unlock()
		d.calls.Done()
	}, true
}

// endCalls waits for the calls in progress, and gives up those that take long. No other begins meanwhile.
func (d *Duties) endCalls() {
	ended := make(chan struct{})
	go func() {
		d.calls.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return
	case <-time.After(lastCallTime):
	}
	d.mu.Lock()
	for c, cancel := range d.cancels {
		d.log.Warn("call to the platform given up with the duties", "token", c.term.Token)
		cancel()
	}
	d.mu.Unlock()
	<-ended
}
