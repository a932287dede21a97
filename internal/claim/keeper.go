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
	// read the key before can no longer claim it, while new attempts can.
	stateVoid = "void"

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
		version int   // version is the row's version when the request arrived.
		era     int64 // era is that of the platform then.
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
// key is claimed, and ErrUnsettled if the row can't be read.
func (c *Claimer) Begin(ctx context.Context, key, attempt string) (*Attempt, error) {
	row, err := c.table.Get(ctx, rowPrefix+key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	era, _ := c.table.Era()
	a := &Attempt{ID: attempt, claimer: c, key: key, version: row.Version, era: era}
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
	return a, nil
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

// Void guarantees that the request did not run and will not: no attempt at any
// node that read the key before can still claim it. It must succeed before a
// caller is told not_run, and returns the same errors as Claim.
func (a *Attempt) Void(ctx context.Context, now time.Time) error {
	return a.write(ctx, now, stateVoid)
}

// write queues a row for the next batch and waits for its result.
func (a *Attempt) write(ctx context.Context, now time.Time, state string) error {
	c := a.claimer
	o := newOp(a.key, a.version, Record{State: state, Node: c.node, Incarnation: c.incarnation, Attempt: a.ID, AtMs: clock.Wall(now).UnixMilli()})
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
	case taken.Record.Attempt == o.record.Attempt && taken.Record.State == o.record.State:
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
