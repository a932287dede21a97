package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/lease"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/scaling"
)

// hold becomes the holder when it is this node's turn, and stays it, until the context ends.
func (d *Duties) hold(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		now := clock.Now()
		wait, err := d.step(ctx, now)
		if err != nil && ctx.Err() == nil {
			d.log.Warn("lease not written or read", "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		pause.ForOrWake(ctx, wait, d.wake)
	}
}

// step does what is due for the lease, and returns when to look again.
func (d *Duties) step(ctx context.Context, now time.Time) (wait time.Duration, err error) {
	if _, holds := d.Holds(now); holds || d.resumes() {
		return d.keep(ctx, now)
	}
	rank, ok := d.node.Rank(now)
	switch {
	case d.mayTry(now, rank, ok):
		return d.campaign(ctx, now)
	case !ok:
		return restPoll, nil
	}
	return campaignPoll, nil
}

// resumes reports whether this node's last term may go on, though it ran out: nobody has been seen to take over.
func (d *Duties) resumes() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.releases && (d.lease.Resumes() || !d.lease.Known() && d.mine > 0 && d.told.Token == d.mine)
}

// mayTry reports whether it is the turn of this node, which stands ready if candidate, to become the holder: nobody has said for a
// while that it is, and those that should before this one, as many as its rank, have had their time.
func (d *Duties) mayTry(now time.Time, rank int, candidate bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !candidate || d.releases || now.Before(d.restsTo) {
		d.aloneAt = time.Time{}
		return false
	}
	if !d.told.Free && now.Sub(d.told.SaidAt) < holderLife && d.told.Address != d.settings.PeerAddress {
		d.aloneAt = time.Time{}
		return false
	}
	if d.aloneAt.IsZero() {
		d.aloneAt = now
	}
	return now.Sub(d.aloneAt) >= time.Duration(rank)*candidateWait
}

// campaign reads the lease, waits it out and takes it. It returns when to try again.
func (d *Duties) campaign(ctx context.Context, now time.Time) (wait time.Duration, err error) {
	d.mu.Lock()
	at, known := d.lease.MayTakeAt()
	d.mu.Unlock()
	if known && now.Before(at) {
		return min(at.Sub(now), holderLife), nil
	}
	rows, err := d.read(ctx)
	if err != nil {
		return 0, err
	}
	now = clock.Now()
	if d.tookUnheard(now) {
		return 0, d.took(rows)
	}
	d.mu.Lock()
	at, _ = d.lease.MayTakeAt()
	if now.Before(at) {
		d.mu.Unlock()
		return min(max(at.Sub(now), campaignPoll), holderLife), nil
	}
	r, expect := d.lease.Take(now)
	d.mu.Unlock()
	if err := d.commit(ctx, r, expect, nil); err != nil {
		return 0, err
	}
	return 0, d.took(rows)
}

// tookUnheard reports whether this node holds the lease by a write of which it has learned only now that it was done. What the
// holder before left is still to be taken then: without it, windows that this one had settled would be counted anew.
func (d *Duties) tookUnheard(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, holds := d.lease.Holds(now)
	return holds && term.Token != d.mine
}

// took begins a term with what the holder before left.
func (d *Duties) took(rows []feed.Row) error {
	now := clock.Now()
	if err := d.ledger.Load(now, rows); err != nil {
		d.log.Error("counts of the holder before not understood", "error", err.Error())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	term, ok := d.lease.Holds(now)
	if !ok {
		return nil // It ran out meanwhile.
	}
	d.demand = demand{nodes: map[string]*given{}, since: now}
	d.failing = time.Time{}
	d.scalers = map[string]*scaling.Scaler{}
	d.orders = ""
	for _, r := range rows {
		if r.Key == keyOrders {
			d.restore(now, r.Value)
		}
	}
	d.mine = term.Token
	d.log.Info("duties taken", "token", term.Token, "before", d.lease.Record().Recent, "rows", len(rows))
	return nil
}

// restore takes the orders of the holder before. The caller holds the lock.
func (d *Duties) restore(now time.Time, value []byte) {
	var all []scaling.Order
	if err := json.Unmarshal(value, &all); err != nil {
		d.log.Error("orders of the holder before not understood", "error", err.Error())
		return
	}
	for _, o := range all {
		d.scaler(o.Pool).Restore(now, o)
	}
	d.orders = string(value)
}

// scaler returns the scaler of a pool. The caller holds the lock.
func (d *Duties) scaler(pool string) *scaling.Scaler {
	s := d.scalers[pool]
	if s == nil {
		s = scaling.New(pool)
		d.scalers[pool] = s
	}
	return s
}

// read reads all rows of the duties, as of one moment, and tells the lease.
func (d *Duties) read(ctx context.Context) ([]feed.Row, error) {
	snap, err := d.store.List(ctx, table, part)
	if err != nil {
		return nil, fmt.Errorf("read duties: %w", err)
	}
	var record lease.Record
	version := int64(0)
	for _, r := range snap.Rows {
		if r.Key != keyLease {
			continue
		}
		if err := json.Unmarshal(r.Value, &record); err != nil {
			d.log.Error("lease not understood; it is taken as one that runs", "error", err.Error())
		}
		version = r.Version
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.Seen(clock.Now(), record, version)
	return snap.Rows, nil
}

// keep renews the lease and writes what is new. It returns when to do so again.
func (d *Duties) keep(ctx context.Context, now time.Time) (wait time.Duration, err error) {
	d.mu.Lock()
	known := d.lease.Known()
	term, holds := d.acts(now)
	d.mu.Unlock()
	if !known {
		rows, err := d.read(ctx)
		if err == nil && d.tookUnheard(clock.Now()) {
			err = d.took(rows)
		}
		return 0, err
	}
	if holds {
		d.settle(now, term)
	}
	puts, state := d.changes(now)
	renewEvery := time.Duration(renewShare * float64(d.settings.life()))
	d.mu.Lock()
	leaves := d.mustRelease(now)
	if left := d.lease.Renewed().Add(renewEvery).Sub(now); len(puts) == 0 && left > 0 && !leaves {
		d.mu.Unlock()
		return min(left, writeEvery), nil
	}
	if leaves {
		d.mu.Unlock()
		return 0, d.release(ctx, puts)
	}
	r, expect := d.lease.Renew(now)
	d.mu.Unlock()
	if err := d.commit(ctx, r, expect, puts); err != nil {
		return 0, err
	}
	d.written(puts, state)
	return min(writeEvery, renewEvery), nil
}

// settle settles the windows that are due.
func (d *Duties) settle(now time.Time, term lease.Term) {
	for _, w := range d.ledger.Settle(now) {
		d.log.Info("window settled", "window", w.Number, "token", term.Token, "teams", len(w.Counts), "requests", w.Requests())
	}
}

// mustRelease reports whether this node should leave the duties to another: it stops, or the platform has not
// answered its calls for long. The caller holds the lock.
func (d *Duties) mustRelease(now time.Time) bool {
	if !d.failing.IsZero() && now.Sub(d.failing) > giveUpAfter {
		d.restsTo = now.Add(restAfter)
		return true
	}
	return d.releases
}

// changes returns the rows that differ from what is in the store, and the ledger's state that they are of.
func (d *Duties) changes(now time.Time) (rows []feed.Row, state int64) {
	rows, state = d.ledger.Pending(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []scaling.Order
	for _, pool := range slices.Sorted(maps.Keys(d.scalers)) { // In one order, so that the row changes with the orders alone.
		all = append(all, d.scalers[pool].Orders()...)
	}
	if text, err := json.Marshal(all); err == nil && len(all) > 0 && string(text) != d.orders {
		rows = append(rows, feed.Row{Key: keyOrders, Value: text})
	}
	return rows, state
}

// written records what is in the store now.
func (d *Duties) written(rows []feed.Row, state int64) {
	d.ledger.Written(state)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rows {
		if r.Key == keyOrders {
			d.orders = string(r.Value)
		}
	}
}

// commit writes the lease's row, and others of the duties with it, if the lease's has not changed.
func (d *Duties) commit(ctx context.Context, r lease.Record, expect int64, rows []feed.Row) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	tx := feed.Tx{
		Expect: []feed.Row{{Table: table, Part: part, Key: keyLease, Version: expect}},
		Put:    []feed.Row{{Table: table, Part: part, Key: keyLease, Value: value}},
	}
	for _, row := range rows {
		row.Table, row.Part = table, part
		if row.Deleted {
			tx.Delete = append(tx.Delete, row)
			continue
		}
		tx.Put = append(tx.Put, row)
	}
	version, err := d.store.Commit(ctx, tx)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil && version > 0:
		d.lease.Written(clock.Now(), version)
		return nil
	case errors.Is(err, feed.ErrConflict):
		d.lease.Conflict()
	case err == nil || !errors.Is(err, feed.ErrUnavailable):
		d.lease.Unknown()
	}
	if err == nil {
		return errors.New("the store did not tell the row's version")
	}
	return fmt.Errorf("write lease: %w", err)
}

// release ends this node's term with a last write of what is new.
func (d *Duties) release(ctx context.Context, rows []feed.Row) error {
	d.mu.Lock()
	r, expect := d.lease.Release(clock.Now())
	d.mine = 0
	d.mu.Unlock()
	d.log.Info("duties released", "token", r.Token)
	if err := d.commit(ctx, r, expect, rows); err != nil {
		return err
	}
	d.Hear(Holder{Token: r.Token, Free: true})
	return nil
}

// Stop hands the duties over: this node becomes the holder no more, and leaves them if it is.
func (d *Duties) Stop() {
	d.mu.Lock()
	d.releases = true
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default: // It was woken already.
	}
}
