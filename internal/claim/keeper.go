// Package claim ensures that a non-repeatable request runs at most once in the
// whole system, whichever nodes receive it. An idempotency key is claimed in the
// platform's table before the request goes to an engine; a ticket names the one
// process that may run it and needs no write. In both cases a request repeated
// with the same key gets the outcome of the first run.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	rowPrefix = "claim/"

	// stateClaimed means that the holder is running or has run the request.
	stateClaimed = "claimed"

	// stateVoid means that the request was rejected with not_run: attempts that
	// read the key before, or whose requests had reached their nodes before, can no
	// longer claim it, while new attempts can.
	stateVoid = "void"

	// maxVoidTries limits how often a void is written again.
	maxVoidTries = 4

	// voidLead is for how long after its refusal a key is void for requests that reach a node: half of it for the write,
	// two gathering times and a transaction, half for the way of the answer. Requests that are sent before the caller
	// knows of the refusal don't run; maxVoidLead bounds it where the platform is slow.
	voidLead    = 100 * time.Millisecond
	maxVoidLead = 2 * time.Second

	// arrivalMargin is by how much sooner than it came a request may seem to reach its node: a tick of the kernel's, the
	// time in which the platform answers and the resolution of its clock.
	arrivalMargin = 25 * time.Millisecond

	// maxBatchKeys limits the keys in one transaction.
	maxBatchKeys = 64

	// settleTimeout limits how long an uncertain write is retried.
	settleTimeout = 3 * time.Second

	// settleRetryDelay is the delay between attempts of an uncertain write.
	settleRetryDelay = 100 * time.Millisecond
)

// ErrUnsettled reports that the result of a claim could not be determined in time.
// The request does not run here; whether it ran elsewhere is unknown.
var ErrUnsettled = errors.New("claim: not settled")

type (
	// Table is the part of the platform's table that claims use.
	Table interface {
		Get(ctx context.Context, key string) (kv.Row, error)
		Transact(ctx context.Context, txn kv.Txn) error

		// Era returns the latest era that the platform has named; ok is false if it has named none.
		Era() (era int64, ok bool)
	}

	// Record is the value of a key's row.
	Record struct {
		State       string `json:"s"`
		Node        string `json:"n"`
		Incarnation int    `json:"i"`
		Attempt     string `json:"a"`
		AtMs        int64  `json:"t"` // AtMs is Unix time on the writer's clock; only used to remove old rows.

		// A void holds for requests that have reached a node when the platform's steady clock reads VoidMs. At the write
		// that clock read VoidFromMs at least. Both are 0 if the platform did not tell its clock.
		VoidFromMs int64 `json:"vf,omitempty"`
		VoidMs     int64 `json:"vt,omitempty"`
	}

	// TakenError reports that another attempt holds a key.
	TakenError struct {
		Record  Record
		Version int // Version is the row's version.
	}

	// Claimer claims keys for one node. It batches concurrent claims into one
	// transaction, first at the node and then at the node's aggregator.
	Claimer struct {
		table       Table
		forward     Forwarder
		node        string
		incarnation int
		batchDelay  time.Duration
		forwards    chan *op // forwards receives claims to send to the aggregator.
		writes      chan *op // writes receives claims to write here.
		wg          sync.WaitGroup
		stop        context.CancelFunc
		recent      recentClaims
	}

	// Option configures a Claimer.
	Option func(*Claimer)

	// Attempt is one attempt to run a request with a key.
	Attempt struct {
		ID string

		claimer *Claimer
		key     string
		version int       // version is the row's version when the request arrived.
		era     int64     // era is that of the platform then.
		reached time.Time // reached is when the request had reached this node, at the earliest.
		read    kv.Moment // read is when the row was read.
		void    *Record   // void is the void that the row held then, nil if none.

		voidUntil time.Time // voidUntil is until when a void of this attempt holds for requests that reach a node.
	}

	// op writes one row if it still has the given version.
	op struct {
		key     string
		version int
		record  Record
		era     int64 // era is the platform's latest that the aggregator knows, set before the result; 0 if it did not say.
		result  chan error
	}
)

// Error describes the holder of the key.
func (e *TakenError) Error() string {
	return fmt.Sprintf("claim: %s by %s, attempt %s", e.Record.State, e.Record.Node, e.Record.Attempt)
}

// Void reports whether the key is void rather than claimed.
func (e *TakenError) Void() bool { return e.Record.State == stateVoid }

// WithForwarder makes the claimer forward its claims to an aggregator.
func WithForwarder(f Forwarder) Option { return func(c *Claimer) { c.forward = f } }

// NewClaimer returns a claimer for one incarnation of a node; Close stops it.
func NewClaimer(table Table, node string, incarnation int, batchDelay time.Duration, opts ...Option) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{
		table: table, node: node, incarnation: incarnation, batchDelay: batchDelay,
		forwards: make(chan *op), writes: make(chan *op), stop: cancel,
	}
	for _, o := range opts {
		o(c)
	}
	c.wg.Add(2)
	go c.runBatches(ctx, c.forwards, c.forwardBatch)
	go c.runBatches(ctx, c.writes, c.settle)
	return c
}

// Close stops the claimer and waits for its writes.
func (c *Claimer) Close() {
	c.stop()
	c.wg.Wait()
}

// Begin reads a key's row when a request arrives. It returns a *TakenError if the
// key is claimed, and ErrUnsettled if the row can't be read. reached is when the request
// had reached this node, at the earliest; an attempt that is Superseded must be made void.
func (c *Claimer) Begin(ctx context.Context, key, attempt string, reached time.Time) (*Attempt, error) {
	row, err := c.table.Get(ctx, rowPrefix+key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	era, _ := c.table.Era()
	a := &Attempt{ID: attempt, claimer: c, key: key, version: row.Version, era: era, reached: reached, read: row.Read}
	taken, err := decode(row)
	if err != nil {
		return nil, err
	}
	if taken != nil && !taken.Void() {
		return nil, taken
	}
	if c.recent.mayLack(clock.Now(), era) {
		return nil, fmt.Errorf("%w: the platform may have lost a claim of the key", ErrUnsettled)
	}
	if taken != nil {
		a.void = &taken.Record
	}
	return a, nil
}

// Superseded reports whether the request may have reached its node before the key was
// made void elsewhere: it lay unread then. The platform's clock tells, which all nodes
// read; one that reads less than at the void has started anew since.
func (a *Attempt) Superseded() bool {
	if a.void == nil || a.void.VoidMs == 0 {
		return false
	}
	earliest, _ := a.read.Bounds(a.reached)
	if a.read.Ms < a.void.VoidFromMs {
		return earliest < 0
	}
	return earliest < a.void.VoidMs
}

// decode decodes a row; it returns nil for an absent one.
func decode(row kv.Row) (*TakenError, error) {
	if row.Version == 0 {
		return nil, nil
	}
	t := &TakenError{Version: row.Version}
	if err := json.Unmarshal(row.Value, &t.Record); err != nil {
		return nil, fmt.Errorf("decode claim %s: %w: %w", row.Key, ErrUnsettled, err)
	}
	return t, nil
}

// Claim claims the key. A nil error means that this attempt, and no other, may
// run the request. Otherwise it returns a *TakenError or ErrUnsettled.
func (a *Attempt) Claim(ctx context.Context, now time.Time) error {
	if err := a.write(ctx, now, stateClaimed); err != nil {
		return err
	}
	a.version++ // Each write increments the row's version by one.
	return nil
}

// Void guarantees that the request did not run and will not: no attempt at any node
// that read the key before can still claim it, and no request that has reached a node by
// the time of the answer can any more. It must succeed before a caller is told not_run,
// and returns the same errors as Claim, but none for voids of other attempts. A void
// whose write leaves too little of its time for the answer is written again with more.
func (a *Attempt) Void(ctx context.Context, now time.Time) error {
	lead := voidLead
	for range maxVoidTries {
		a.voidUntil = now.Add(lead)
		err := a.write(ctx, now, stateVoid)
		var taken *TakenError
		took := clock.Since(now)
		switch {
		case err == nil && (!a.read.Known() || took <= lead/2):
			return nil
		case err == nil && lead == maxVoidLead:
			return fmt.Errorf("%w: the key could not be made void in time", ErrUnsettled)
		case err == nil:
			a.version++
			lead = min(4*took, maxVoidLead)
		case errors.As(err, &taken) && taken.Void():
			a.version = taken.Version
		default:
			return err
		}
		now = now.Add(took)
	}
	return fmt.Errorf("%w: others keep making the key void", ErrUnsettled)
}

// RetryAt returns from when on a new try of a key that was made void is told from the
// sendings before; zero if the platform does not tell its clock.
func (a *Attempt) RetryAt() time.Time {
	if !a.read.Known() {
		return time.Time{}
	}
	earliest, latest := a.read.Bounds(a.voidUntil)
	return a.voidUntil.Add(time.Duration(latest-earliest)*time.Millisecond + arrivalMargin)
}

// write queues a row for the next batch and waits for its result.
func (a *Attempt) write(ctx context.Context, now time.Time, state string) error {
	c := a.claimer
	r := Record{State: state, Node: c.node, Incarnation: c.incarnation, Attempt: a.ID, AtMs: clock.Wall(now).UnixMilli()}
	if state == stateVoid && a.read.Known() {
		r.VoidFromMs, _ = a.read.Bounds(now)
		_, r.VoidMs = a.read.Bounds(a.voidUntil)
	}
	o := newOp(a.key, a.version, r)
	select {
	case c.destination() <- o:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnsettled, ctx.Err())
	}
	// The wait ignores ctx: the result is needed even after the caller has disconnected.
	err := <-o.result
	if err != nil {
		return err
	}
	if latest, _ := c.table.Era(); max(latest, o.era) != a.era {
		return fmt.Errorf("%w: the platform came back from a copy meanwhile", ErrUnsettled)
	}
	c.recent.add(now, o)
	return nil
}

// newOp returns an op.
func newOp(key string, version int, r Record) *op {
	return &op{key: key, version: version, record: r, result: make(chan error, 1)}
}

// destination returns where rows go to be written: here or at the aggregator.
func (c *Claimer) destination() chan<- *op {
	if c.forward != nil && c.forward.ShouldForward() {
		return c.forwards
	}
	return c.writes
}

// runBatches collects rows into batches and handles each batch in its own goroutine.
func (c *Claimer) runBatches(ctx context.Context, from <-chan *op, handle func(batch []*op)) {
	defer c.wg.Done()
	var deferred []*op
	for {
		batch := deferred
		if len(batch) == 0 {
			select {
			case o := <-from:
				batch = append(batch, o)
			case <-ctx.Done():
				return
			}
		}
		batch, deferred = c.fillBatch(ctx, from, batch)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			handle(batch)
		}()
	}
}

// fillBatch adds the rows that arrive within the batch delay. A second row for the
// same key is deferred to the next batch, where it will conflict with the first.
func (c *Claimer) fillBatch(ctx context.Context, from <-chan *op, rows []*op) (batch, deferred []*op) {
	timer := time.NewTimer(c.batchDelay)
	defer timer.Stop()
	for _, o := range rows {
		batch, deferred = addToBatch(batch, deferred, o)
	}
	for len(batch) < maxBatchKeys {
		select {
		case o := <-from:
			batch, deferred = addToBatch(batch, deferred, o)
		case <-timer.C:
			return batch, deferred
		case <-ctx.Done():
			return batch, deferred
		}
	}
	return batch, deferred
}

// addToBatch adds a row to a batch, or defers it if the batch has its key already.
func addToBatch(batch, deferred []*op, o *op) ([]*op, []*op) {
	if hasKey(batch, o.key) {
		return batch, append(deferred, o)
	}
	return append(batch, o), deferred
}

// hasKey reports whether a batch contains a key.
func hasKey(batch []*op, key string) bool {
	for _, o := range batch {
		if o.key == key {
			return true
		}
	}
	return false
}

// settle writes a batch to the platform until the result of each row is known or settleTimeout has passed.
// A row whose version check fails is removed from the batch, and the rest is sent again.
func (c *Claimer) settle(batch []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	uncertain := false
	for len(batch) > 0 {
		err := c.table.Transact(ctx, buildTxn(batch))
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			completeAll(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = c.resolveConflict(batch, conflict)
			continue
		case errors.Is(err, kv.ErrUncertain):
			uncertain = true
		case !uncertain:
			completeAll(batch, fmt.Errorf("%w: %w", ErrUnsettled, err))
			return
		}
		if !pause.For(ctx, settleRetryDelay) {
			completeAll(batch, fmt.Errorf("%w: %w", ErrUnsettled, err))
			return
		}
	}
}

// buildTxn returns the transaction that writes a batch.
func buildTxn(batch []*op) kv.Txn {
	var txn kv.Txn
	for _, o := range batch {
		txn.Checks = append(txn.Checks, kv.Check{Key: rowPrefix + o.key, Version: o.version})
		txn.Puts = append(txn.Puts, kv.Put{Key: rowPrefix + o.key, Value: o.record.encode()})
	}
	return txn
}

// resolveConflict completes the rows listed in a conflict and returns the others. A
// row that holds the same attempt was written by an earlier, uncertain write.
func (c *Claimer) resolveConflict(batch []*op, conflict *kv.ConflictError) []*op {
	rows := make(map[string]kv.Row, len(conflict.Rows))
	for _, r := range conflict.Rows {
		rows[r.Key] = r
	}
	var rest []*op
	for _, o := range batch {
		row, named := rows[rowPrefix+o.key]
		if !named {
			rest = append(rest, o)
			continue
		}
		o.result <- o.resultFor(row)
	}
	if len(rest) == len(batch) {
		completeAll(rest, fmt.Errorf("%w: conflict names no row", ErrUnsettled))
		return nil
	}
	return rest
}

// resultFor returns the result of an op that conflicts with an existing row.
func (o *op) resultFor(row kv.Row) error {
	taken, err := decode(row)
	switch {
	case err != nil:
		return err
	case taken == nil:
		return fmt.Errorf("%w: the row was removed", ErrUnsettled)
	case taken.Record == o.record:
		return nil
	}
	return taken
}

// completeAll completes every op of a batch with the same result.
func completeAll(batch []*op, err error) {
	for _, o := range batch {
		o.result <- err
	}
}
