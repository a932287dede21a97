// Package claim makes a request that must not be repeated run at most once in
// the whole system, whichever nodes its caller sends it to. A key is claimed in
// the platform's table before the request goes to an engine; a ticket names the
// one process that may run it and needs no write. Either way the first run's
// outcome answers whoever sends the key again.
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

	// stateClaimed means that the holder runs or ran the request.
	stateClaimed = "claimed"

	// stateVoid means that a refusal said not_run: whoever read the key before
	// can't claim it any more, and a new try may.
	stateVoid = "void"

	// gatherMost bounds how many keys one transaction holds.
	gatherMost = 64

	// settleTime bounds how long one uncertain write is pursued.
	settleTime = 3 * time.Second

	// settlePause is the wait between two tries of an uncertain write.
	settlePause = 100 * time.Millisecond
)

// ErrUnsettled says that the platform could not settle a claim in time. The
// request does not run here; whether it ran elsewhere is not known.
var ErrUnsettled = errors.New("claim: not settled")

type (
	// Table is what claims need of the platform.
	Table interface {
		Get(ctx context.Context, key string) (kv.Row, error)
		Transact(ctx context.Context, txn kv.Txn) error
	}

	// Record is the row of one key.
	Record struct {
		State       string `json:"s"`
		Node        string `json:"n"`
		Incarnation int    `json:"i"`
		Attempt     string `json:"a"`
		AtMs        int64  `json:"t"` // AtMs is Unix time on the writer's clock; only for removal of old rows.
	}

	// TakenError says that another attempt holds a key.
	TakenError struct {
		Record  Record
		Version int // Version of the row.
	}

	// Keeper claims keys for one node. The claims of a short time are gathered,
	// first at the node, then at the node that gathers for it, into one
	// transaction.
	Keeper struct {
		table       Table
		forward     Forwarder
		node        string
		incarnation int
		gather      time.Duration
		forwards    chan *op // forwards are claims to hand to the gathering node.
		writes      chan *op // writes are claims to write here.
		wg          sync.WaitGroup
		stop        context.CancelFunc
	}

	// Option sets a part of a Keeper.
	Option func(*Keeper)

	// Attempt is one try of a request with a key.
	Attempt struct {
		ID string

		keeper  *Keeper
		key     string
		version int // version of the row when the request arrived.
	}

	// op is one row to write, if it still has the version.
	op struct {
		key     string
		version int
		record  Record
		result  chan error
	}
)

// Error describes who holds the key.
func (e *TakenError) Error() string {
	return fmt.Sprintf("claim: %s by %s, attempt %s", e.Record.State, e.Record.Node, e.Record.Attempt)
}

// Void reports whether the key was refused as not run, rather than claimed.
func (e *TakenError) Void() bool { return e.Record.State == stateVoid }

// WithForwarder makes the keeper hand its claims to the node that gathers them.
func WithForwarder(f Forwarder) Option { return func(k *Keeper) { k.forward = f } }

// NewKeeper returns a keeper for one incarnation of a node; Close stops it.
func NewKeeper(table Table, node string, incarnation int, gather time.Duration, opts ...Option) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		table: table, node: node, incarnation: incarnation, gather: gather,
		forwards: make(chan *op), writes: make(chan *op), stop: cancel,
	}
	for _, o := range opts {
		o(k)
	}
	k.wg.Add(2)
	go k.run(ctx, k.forwards, k.handOver)
	go k.run(ctx, k.writes, k.settle)
	return k
}

// Close stops the keeper and waits for its writes.
func (k *Keeper) Close() {
	k.stop()
	k.wg.Wait()
}

// Begin reads a key's row when a request arrives. It fails with a *TakenError
// where the key is claimed, and with ErrUnsettled where the row can't be read.
func (k *Keeper) Begin(ctx context.Context, key, attempt string) (*Attempt, error) {
	row, err := k.table.Get(ctx, rowPrefix+key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsettled, err)
	}
	a := &Attempt{ID: attempt, keeper: k, key: key, version: row.Version}
	taken, err := decode(row)
	if err != nil {
		return nil, err
	}
	if taken != nil && !taken.Void() {
		return nil, taken
	}
	return a, nil
}

// decode reads a row; an absent one gives nil.
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

// Claim takes the key. A nil error means that this attempt, and no other, may
// run the request. It fails with a *TakenError or with ErrUnsettled.
func (a *Attempt) Claim(ctx context.Context, now time.Time) error {
	if err := a.write(ctx, now, stateClaimed); err != nil {
		return err
	}
	a.version++ // The platform counts a row's writes.
	return nil
}

// Void makes it certain that the request did not run and will not: no attempt
// that read the key before, at whichever node, can claim it any more. It is
// written before a caller is told not_run, and fails like Claim.
func (a *Attempt) Void(ctx context.Context, now time.Time) error {
	return a.write(ctx, now, stateVoid)
}

// write hands a row to the gatherer and waits for its result.
func (a *Attempt) write(ctx context.Context, now time.Time, state string) error {
	k := a.keeper
	to := k.writes
	if k.forward != nil && k.forward.Elsewhere() {
		to = k.forwards
	}
	o := &op{key: a.key, version: a.version, result: make(chan error, 1), record: Record{
		State: state, Node: k.node, Incarnation: k.incarnation, Attempt: a.ID, AtMs: clock.Wall(now).UnixMilli(),
	}}
	select {
	case to <- o:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnsettled, ctx.Err())
	}
	// The wait does not end with the caller: an unsettled write must be known.
	return <-o.result
}

// run gathers rows and hands each batch on, several batches at a time.
func (k *Keeper) run(ctx context.Context, from <-chan *op, handle func(batch []*op)) {
	defer k.wg.Done()
	var later []*op
	for {
		batch := later
		if len(batch) == 0 {
			select {
			case o := <-from:
				batch = append(batch, o)
			case <-ctx.Done():
				return
			}
		}
		batch, later = k.fill(ctx, from, batch)
		k.wg.Add(1)
		go func() {
			defer k.wg.Done()
			handle(batch)
		}()
	}
}

// fill adds the rows that come within the gathering time. A second row of one
// key is kept for the batch after, where the first will stand in its way.
func (k *Keeper) fill(ctx context.Context, from <-chan *op, rows []*op) (batch, later []*op) {
	timer := time.NewTimer(k.gather)
	defer timer.Stop()
	for _, o := range rows {
		batch, later = place(batch, later, o)
	}
	for len(batch) < gatherMost {
		select {
		case o := <-from:
			batch, later = place(batch, later, o)
		case <-timer.C:
			return batch, later
		case <-ctx.Done():
			return batch, later
		}
	}
	return batch, later
}

// place puts a row into a batch, or behind it where its key is there already.
func place(batch, later []*op, o *op) ([]*op, []*op) {
	if hasKey(batch, o.key) {
		return batch, append(later, o)
	}
	return append(batch, o), later
}

// hasKey reports whether a batch holds a key.
func hasKey(batch []*op, key string) bool {
	for _, o := range batch {
		if o.key == key {
			return true
		}
	}
	return false
}

// settle writes a batch to the platform until each row's fate is known or the time is up. A row
// whose check fails leaves the batch, and the rest is sent again.
func (k *Keeper) settle(batch []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	uncertain := false
	for len(batch) > 0 {
		err := k.table.Transact(ctx, txnOf(batch))
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			answer(batch, nil)
			return
		case errors.As(err, &conflict):
			batch = k.resolve(batch, conflict)
			continue
		case errors.Is(err, kv.ErrUncertain):
			uncertain = true
		case !uncertain:
			answer(batch, fmt.Errorf("%w: %w", ErrUnsettled, err))
			return
		}
		if !pause.For(ctx, settlePause) {
			answer(batch, fmt.Errorf("%w: %w", ErrUnsettled, err))
			return
		}
	}
}

// txnOf returns the transaction of a batch.
func txnOf(batch []*op) kv.Txn {
	var txn kv.Txn
	for _, o := range batch {
		txn.Checks = append(txn.Checks, kv.Check{Key: rowPrefix + o.key, Version: o.version})
		txn.Puts = append(txn.Puts, kv.Put{Key: rowPrefix + o.key, Value: o.record.encode()})
	}
	return txn
}

// resolve answers the rows that a conflict names and returns the others. A row
// that holds the very attempt was written by an earlier, uncertain try.
func (k *Keeper) resolve(batch []*op, conflict *kv.ConflictError) []*op {
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
		o.result <- o.verdict(row)
	}
	if len(rest) == len(batch) {
		answer(rest, fmt.Errorf("%w: conflict names no row", ErrUnsettled))
		return nil
	}
	return rest
}

// verdict says what a row that was found means for an op.
func (o *op) verdict(row kv.Row) error {
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

// answer gives all of a batch one result.
func answer(batch []*op, err error) {
	for _, o := range batch {
		o.result <- err
	}
}
