// Package duty carries out what one node at a time does for all towards the platform: it reports usage and orders
// engines. Each node sends its counts to the holder; a few stand ready to become it.
//
// The holder writes the lease's row and all that must outlive it in one transaction, so that a node which has lost the
// lease can write nothing. What is reported is in the store before it is sent, and is the same whoever sends it.
package duty

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/lease"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/scaling"
	"github.com/croftturn/croftturn/internal/usage"
)

const (
	// table holds the lease, the counts and the orders, in one part of it, so that one transaction writes them.
	table = "croftturn-duties"
	part  = "duties"

	// The keys of rows; those of counts are the ledger's.
	keyLease  = "lease"
	keyOrders = "orders"

	// MethodUsage is the peers' method that takes a node's counts.
	MethodUsage = "usage"

	// reportEvery is how often a node sends its counts, and writeEvery how often the holder writes what is new. What a
	// node counted in half of both, on the mean, is lost with all nodes: 0.35 s, 7 in 100 of a window of five seconds.
	reportEvery = 250 * time.Millisecond
	writeEvery  = 400 * time.Millisecond

	// renewShare of the lease's life is how often it is renewed where there is nothing to write: one renewal may fail.
	renewShare = 0.35

	// lifeShare of the time in which two holders must not act in turn is the life of a lease: a new holder is there
	// soon, and a renewal may take some tenths of a second, as where the store takes 60 times as long.
	lifeShare = 0.66

	// margin is how long a take-over waits beyond the lease's life, for calls that are on their way.
	margin = 300 * time.Millisecond

	// holderLife is how long after a holder's last renewal the others begin to watch the lease, and candidateWait how
	// much later each further candidate does. Renewals come each 0.7 s at the latest.
	holderLife    = 1200 * time.Millisecond
	candidateWait = 800 * time.Millisecond

	// campaignPoll is how often a candidate looks whether it is its turn, and restPoll how often a node looks that is none,
	// or that does not hold the duties: each wake-up of 390 nodes costs processor time.
	campaignPoll = 100 * time.Millisecond
	restPoll     = 500 * time.Millisecond

	// reportTimeout bounds the call that sends a node's counts.
	reportTimeout = time.Second

	// callMost bounds a call to the platform.
	callMost = 1500 * time.Millisecond

	// giveUpAfter is for how long the platform's calls may fail at a holder before it leaves them to another.
	giveUpAfter = 4 * time.Second

	// restAfter is how long such a holder does not try again.
	restAfter = 8 * time.Second
)

var (
	// ErrNone says that no engine of the kind can be had at present.
	ErrNone = errors.New("duty: none can be had")

	// ErrRefused says that the platform will not take the call, however often it is made.
	ErrRefused = errors.New("duty: the platform refuses the call")

	// errNotHolder answers a node that takes this one for the holder.
	errNotHolder = errors.New("this node does not hold the duties")
)

type (
	// Store is the platform's store.
	Store interface {
		List(ctx context.Context, table, part string) (feed.Snapshot, error)
		Commit(ctx context.Context, tx feed.Tx) (version int64, err error)
	}

	// Platform takes the holder's calls.
	Platform interface {
		// Usage reports the counts of a window.
		Usage(ctx context.Context, holder string, token int64, window int64, counts map[string]int) error

		// Order asks for engines; the error is ErrNone where none can be had.
		Order(ctx context.Context, holder string, token int64, o scaling.Order) error
	}

	// Caller calls peers.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Node is the node that takes part.
	Node interface {
		// Rank returns how many nodes should become the holder before this one; ok is false where it should not.
		Rank(now time.Time) (rank int, ok bool)

		// Pools returns what is seen of the pools whose engines can be ordered.
		Pools(now time.Time) []Pool

		// Work returns, by pool, the reading that this node gave to engines so far, in milliseconds of an engine.
		Work() map[string]scaling.Demand
	}

	// Pool is a pool whose engines can be ordered.
	Pool struct {
		Name   string
		Limits scaling.Limits
		Halls  map[string]scaling.HallState
	}

	// Settings are what the operators set.
	Settings struct {
		Name        string        // Name is this node's.
		Process     string        // Process tells this process from all others.
		PeerAddress string        // PeerAddress is where peers call this node.
		Apart       time.Duration // Apart is the least time between two terms of one node with another's between them.
		Window      time.Duration // Window is the length of a window of usage.
		Late        time.Duration // Late is how long after its end a window is due.
		Usage       bool          // Usage says that usage is reported.
		Scaling     bool          // Scaling says that engines are ordered.
	}

	// Holder is who holds the duties, as a node knows it.
	Holder struct {
		Token   int64
		Address string
		SaidAt  time.Time // SaidAt is when the holder last renewed its lease, on this node's clock.
		Free    bool      // Free says that the holder gave its term up.
	}

	// Duties is one node's part. Its methods may be called from many goroutines.
	Duties struct {
		settings Settings
		store    Store
		platform Platform
		caller   Caller
		node     Node
		log      *slog.Logger

		clock   *usage.Clock
		Counter *usage.Counter // Counter counts the requests of this node.
		ledger  *usage.Ledger

		mu       sync.Mutex
		lease    *lease.Lease
		told     Holder                     // told is the holder that this node heard of last.
		aloneAt  time.Time                  // aloneAt is since when this node would become the holder and hears of none; zero where it does.
		mine     int64                      // mine is the token of this process's last term, until it gives it up.
		restsTo  time.Time                  // restsTo is until when this node leaves the duties to others.
		failing  time.Time                  // failing is since when the platform's calls fail; zero where they don't.
		releases bool                       // releases says that this node stops.
		demand   demand                     // demand is what engines are given to read, as the nodes tell the holder.
		scalers  map[string]*scaling.Scaler // scalers are by pool.
		orders   string                     // orders is the row of orders as it lies in the store.
		wake     chan struct{}              // wake ends the rest of hold.
	}
)

// New returns a node's part in the duties. Run begins it.
func New(now time.Time, s Settings, store Store, p Platform, caller Caller, node Node, log *slog.Logger) *Duties {
	day := usage.NewClock(now, clock.Wall(now))
	return &Duties{
		settings: s, store: store, platform: p, caller: caller, node: node, log: log,
		clock: day, Counter: usage.NewCounter(s.Process, s.Window, day), ledger: usage.NewLedger(s.Window, s.Late, day),
		lease:  lease.New(s.Name, s.PeerAddress, lease.Terms{Life: s.life(), Margin: margin, Apart: s.Apart}),
		demand: demand{nodes: map[string]*given{}}, scalers: map[string]*scaling.Scaler{}, wake: make(chan struct{}, 1),
	}
}

// life returns the life of the lease.
func (s Settings) life() time.Duration { return time.Duration(lifeShare * float64(s.Apart)) }

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
	d.hold(ctx)
	wg.Wait()
}

// Holds returns the term in which this node may act.
func (d *Duties) Holds(now time.Time) (lease.Term, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acts(now)
}

// acts returns the term in which this node may act: it holds the lease, and has taken what the holder before left. Counts
// that came between the two would be lost. The caller holds the lock.
func (d *Duties) acts(now time.Time) (lease.Term, bool) {
	term, holds := d.lease.Holds(now)
	return term, holds && term.Token == d.mine
}

// Hear takes who holds the duties, as a peer says.
func (d *Duties) Hear(h Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newer := h.Free && !d.told.Free || h.Free == d.told.Free && h.SaidAt.After(d.told.SaidAt)
	if h.Token > d.told.Token || h.Token == d.told.Token && newer {
		d.told = h
	}
}

// Holder returns who holds the duties, as far as this node knows.
func (d *Duties) Holder(now time.Time) Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	if term, ok := d.acts(now); ok {
		d.told = Holder{Token: term.Token, Address: d.settings.PeerAddress, SaidAt: d.lease.Renewed()}
	}
	return d.told
}

// reportCounts sends this node's counts to the holder, until the context ends.
func (d *Duties) reportCounts(ctx context.Context) {
	for pause.For(ctx, reportEvery) {
		now := clock.Now()
		h := d.Holder(now)
		if h.Token == 0 || h.Free {
			continue
		}
		r, ok := d.Counter.Report(now, h.Token)
		if !ok {
			continue
		}
		r.Work = d.node.Work()
		ack, err := d.sendCounts(ctx, h, &r)
		if err != nil {
			d.log.Debug("counts not sent", "holder", h.Address, "token", h.Token, "error", err.Error())
			continue
		}
		if moved := d.Counter.Acked(now, clock.Now(), ack); moved != 0 {
			d.log.Warn("time of day put right", "by_ms", moved.Milliseconds(), "holder", h.Address)
		}
	}
}

// sendCounts sends counts to the holder, which may be this node.
func (d *Duties) sendCounts(ctx context.Context, h Holder, r *usage.Report) (usage.Ack, error) {
	if h.Address == d.settings.PeerAddress {
		return d.take(clock.Now(), r)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var ack usage.Ack
	if err := d.caller.Call(ctx, h.Address, MethodUsage, r, &ack); err != nil {
		return usage.Ack{}, err
	}
	return ack, nil
}

// TakeCounts takes a node's counts; it is the handler of MethodUsage.
func (d *Duties) TakeCounts(_ context.Context, r *usage.Report) (any, error) {
	return d.take(clock.Now(), r)
}

// take takes a node's counts, if this node is the holder.
func (d *Duties) take(now time.Time, r *usage.Report) (usage.Ack, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, ok := d.acts(now)
	if !ok {
		return usage.Ack{}, errNotHolder
	}
	d.demand.take(now, r.Node, r.Work)
	return d.ledger.Take(now, term.Token, *r), nil
}

// reportWindows reports the windows that are settled, while this node is the holder, until the context ends.
func (d *Duties) reportWindows(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		term, ok := d.Holds(clock.Now())
		if !ok {
			pause.For(ctx, restPoll)
			continue
		}
		w, due := d.ledger.Due()
		if !due {
			pause.For(ctx, campaignPoll)
			continue
		}
		begin := clock.Now()
		err := d.call(ctx, term, func(ctx context.Context) error {
			return d.platform.Usage(ctx, d.settings.Name, term.Token, w.Number, w.Counts)
		})
		after := clock.Since(begin)
		if err != nil && !errors.Is(err, ErrRefused) {
			d.log.Warn("usage not reported", "window", w.Number, "token", term.Token, "ms", after.Milliseconds(), "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		d.ledger.Sent(w.Number)
		d.log.Info("usage reported", "window", w.Number, "token", term.Token, "teams", len(w.Counts), "requests", w.Requests(), "late_ms", d.ledger.Age(begin, w.Number).Milliseconds(),
			"ms", after.Milliseconds(), "refused", err != nil)
	}
}

// call makes a call to the platform that ends before the term does, and notes whether the platform can be called.
func (d *Duties) call(ctx context.Context, term lease.Term, f func(ctx context.Context) error) error {
	now := clock.Now()
	left := min(term.Until.Sub(now), callMost)
	if left <= 0 {
		return errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := f(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, ErrNone) || errors.Is(err, ErrRefused):
		d.failing = time.Time{}
	case d.failing.IsZero():
		d.failing = now
	}
	return err
}
