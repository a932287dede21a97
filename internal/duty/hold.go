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
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/lease"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/scaling"
)

// runLease acquires the lease when it is this node's turn, and keeps it, until the context ends.
func (d *Duties) runLease(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		now := clock.Now()
		wait, err := d.stepLease(ctx, now)
		if err != nil && ctx.Err() == nil {
			d.log.Warn("cannot read or write the lease; retrying", "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		pause.ForOrWake(ctx, wait, d.wake)
	}
}

// stepLease does what is due for the lease, and returns when to check again.
func (d *Duties) stepLease(ctx context.Context, now time.Time) (wait time.Duration, err error) {
	if _, holds := d.Holds(now); holds || d.canResume() {
		return d.renewLease(ctx, now)
	}
	rank, ok := d.node.Rank(now)
	switch {
	case d.mayCampaign(now, rank, ok):
		return d.campaign(ctx, now)
	case !ok:
		return idlePoll, nil
	}
	return campaignPoll, nil
}

// canResume reports whether this node may continue its last term although it expired: no takeover was seen.
func (d *Duties) canResume() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopping && (d.lease.CanResume() || !d.lease.Known() && d.ownToken > 0 && d.lastHolder.Token == d.ownToken)
}

// mayCampaign reports whether it is this node's turn to acquire the lease. It must be a candidate, no active holder may be
// known for a while, and the candidates before it, as many as its rank, must have had their time.
func (d *Duties) mayCampaign(now time.Time, rank int, candidate bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !candidate || d.stopping || now.Before(d.cooldownUntil) {
		d.noHolderSince = time.Time{}
		return false
	}
	if !d.lastHolder.Released && now.Sub(d.lastHolder.RenewedAt) < holderTimeout && d.lastHolder.Address != d.settings.PeerAddress {
		d.noHolderSince = time.Time{}
		return false
	}
	if d.noHolderSince.IsZero() {
		d.noHolderSince = now
	}
	return now.Sub(d.noHolderSince) >= time.Duration(rank)*candidateDelay
}

// campaign reads the lease, waits for its expiry and acquires it. It returns when to try again.
func (d *Duties) campaign(ctx context.Context, now time.Time) (wait time.Duration, err error) {
	d.mu.Lock()
	at, known := d.lease.AcquirableAt()
	d.mu.Unlock()
	if known && now.Before(at) {
		return min(at.Sub(now), holderTimeout), nil
	}
	rows, err := d.readRows(ctx)
	if err != nil {
		return 0, err
	}
	now = clock.Now()
	if d.termNotBegun(now) {
		return 0, d.beginTerm(rows)
	}
	d.mu.Lock()
	at, _ = d.lease.AcquirableAt()
	if now.Before(at) {
		d.mu.Unlock()
		return min(max(at.Sub(now), campaignPoll), holderTimeout), nil
	}
	r, expect := d.lease.Acquire(now)
	d.mu.Unlock()
	if err := d.commit(ctx, r, expect, nil); err != nil {
		return 0, err
	}
	return 0, d.beginTerm(rows)
}

// termNotBegun reports whether this node holds the lease by a write that it only now learned was applied. The previous
// holder's state must then still be loaded: without it, windows already settled would be counted again.
func (d *Duties) termNotBegun(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, holds := d.lease.Holds(now)
	return holds && term.Token != d.ownToken
}

// beginTerm begins a term with the state of the previous holder.
func (d *Duties) beginTerm(rows []feed.Row) error {
	now := clock.Now()
	if err := d.ledger.Load(now, rows, d.copied(rows)); err != nil {
		d.log.Error("cannot decode some counts of the previous holder; leaving them out", "error", err.Error())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	term, ok := d.lease.Holds(now)
	if !ok {
		return nil // The term expired meanwhile.
	}
	d.demand = demand{nodes: map[string]*nodeWork{}, since: now}
	d.failingSince = time.Time{}
	d.scalers = map[string]*scaling.Scaler{}
	d.storedOrders = ""
	for _, r := range rows {
		if r.Key == keyOrders {
			d.restoreOrders(now, r.Value)
		}
	}
	d.ownToken, d.storedEra = term.Token, d.lease.Era()
	d.endedToken = min(d.endedToken, term.Token-1) // A term goes on whose end was not written.
	d.log.Info("duties acquired", "token", term.Token, "before", d.lease.Record().Recent, "rows", len(rows))
	return nil
}

// copied reports whether rows that were read before this term began are those of a copy.
func (d *Duties) copied(rows []feed.Row) bool {
	for _, r := range rows {
		var record lease.Record
		if r.Key == keyLease && json.Unmarshal(r.Value, &record) == nil {
			return record.Era < r.Era
		}
	}
	return false
}

// restoreOrders restores the orders of the previous holder. The caller holds the lock.
func (d *Duties) restoreOrders(now time.Time, value []byte) {
	var all []scaling.Order
	if err := json.Unmarshal(value, &all); err != nil {
		d.log.Error("cannot decode the orders of the previous holder", "error", err.Error())
		return
	}
	for _, o := range all {
		d.scaler(o.Pool).Restore(now, o)
	}
	d.storedOrders = string(value)
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

// readRows reads a consistent snapshot of all rows and updates the lease from it.
func (d *Duties) readRows(ctx context.Context) ([]feed.Row, error) {
	snap, err := d.store.List(ctx, table, part)
	if err != nil {
		return nil, fmt.Errorf("read duties: %w", err)
	}
	var record lease.Record
	at := history.Position{Era: snap.Era}
	for _, r := range snap.Rows {
		if r.Key != keyLease {
			continue
		}
		if err := json.Unmarshal(r.Value, &record); err != nil {
			d.log.Error("cannot decode the lease; treating it as held", "error", err.Error())
		}
		at.Version = r.Version
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease.Observe(clock.Now(), record, at)
	return snap.Rows, nil
}

// renewLease renews the lease and writes changes. It returns when to do so again.
func (d *Duties) renewLease(ctx context.Context, now time.Time) (wait time.Duration, err error) {
	d.mu.Lock()
	known := d.lease.Known() && d.lease.Era() == d.storedEra
	term, holds := d.activeTerm(now)
	d.mu.Unlock()
	if !known {
		rows, err := d.readRows(ctx)
		switch {
		case err != nil:
		case d.termNotBegun(clock.Now()):
			err = d.beginTerm(rows)
		default:
			d.noteEra(clock.Now(), rows)
		}
		return 0, err
	}
	if holds {
		d.settleWindows(now, term)
	}
	puts, state := d.pendingRows(now)
	renewInterval := time.Duration(renewIntervalShare * float64(d.settings.leaseTTL()))
	d.mu.Lock()
	mustRelease := d.mustRelease(now)
	if left := d.lease.RenewedAt().Add(renewInterval).Sub(now); len(puts) == 0 && left > 0 && !mustRelease {
		d.mu.Unlock()
		return min(left, writeInterval), nil
	}
	if mustRelease {
		d.mu.Unlock()
		return 0, d.release(ctx, puts)
	}
	r, expect := d.lease.Renew(now)
	d.mu.Unlock()
	if err := d.commit(ctx, r, expect, puts); err != nil {
		return 0, err
	}
	d.markWritten(puts, state)
	return min(writeInterval, renewInterval), nil
}

// noteEra makes the holder write all its state again if the store has come back from a copy with some rows.
func (d *Duties) noteEra(now time.Time, rows []feed.Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, holds := d.activeTerm(now)
	era, before := d.lease.Era(), d.storedEra
	d.storedEra = era
	if !holds || era == before {
		return
	}
	d.storedOrders = ""
	d.ledger.StoreReturned(rows)
	d.log.Warn("store has come back from an older copy; writing the duties again", "token", term.Token, "era", era, "era_before", before, "rows", len(rows))
}

// settleWindows settles the windows that are due.
func (d *Duties) settleWindows(now time.Time, term lease.Term) {
	for _, w := range d.ledger.Settle(now) {
		d.log.Info("usage window settled", "window", w.Number, "token", term.Token, "teams", len(w.Counts), "requests", w.Requests())
	}
}

// mustRelease reports whether this node should release the lease: it is stopping, or its calls to the platform have failed
// for long. The caller holds the lock.
func (d *Duties) mustRelease(now time.Time) bool {
	if !d.failingSince.IsZero() && now.Sub(d.failingSince) > releaseAfter {
		d.cooldownUntil = now.Add(releaseCooldown)
		return true
	}
	return d.stopping
}

// pendingRows returns the rows that differ from the store, and the ledger's revision that they reflect.
func (d *Duties) pendingRows(now time.Time) (rows []feed.Row, state int64) {
	rows, state = d.ledger.PendingRows(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []scaling.Order
	for _, pool := range slices.Sorted(maps.Keys(d.scalers)) { // Sorted, so that the row changes only if the orders do.
		all = append(all, d.scalers[pool].Orders()...)
	}
	if text, err := json.Marshal(all); err == nil && len(all) > 0 && string(text) != d.storedOrders {
		rows = append(rows, feed.Row{Key: keyOrders, Value: text})
	}
	return rows, state
}

// markWritten records that rows were stored.
func (d *Duties) markWritten(rows []feed.Row, state int64) {
	d.ledger.MarkWritten(state)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rows {
		if r.Key == keyOrders {
			d.storedOrders = string(r.Value)
		}
	}
}

// commit writes the lease's row, together with other rows, on condition that the lease's row has not changed.
func (d *Duties) commit(ctx context.Context, r lease.Record, expect history.Position, rows []feed.Row) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	tx := feed.Tx{
		Expect: []feed.Row{{Table: table, Part: part, Key: keyLease, Version: expect.Version, Era: expect.Era}},
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
	at, err := d.fence.Commit(ctx, expect.Era, part, tx)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil && at.Version > 0:
		d.lease.WriteSucceeded(clock.Now(), at)
		return nil
	case errors.Is(err, feed.ErrConflict):
		d.lease.WriteConflicted()
	case err == nil || !errors.Is(err, feed.ErrUnavailable):
		d.lease.WriteUncertain()
	}
	if err == nil {
		return errors.New("the store did not return the row's version")
	}
	return fmt.Errorf("write lease: %w", err)
}

// release ends this node's term, and writes the remaining changes with it.
func (d *Duties) release(ctx context.Context, rows []feed.Row) error {
	d.mu.Lock()
	d.endedToken, d.ownToken = max(d.endedToken, d.ownToken), 0
	d.mu.Unlock()
	d.endCalls() // One that arrived after the next holder's would count as that of a former one.
	d.mu.Lock()
	r, expect := d.lease.Release(clock.Now())
	d.mu.Unlock()
	d.log.Info("duties released", "token", r.Token)
	if err := d.commit(ctx, r, expect, rows); err != nil {
		return err
	}
	d.ObserveHolder(Holder{Token: r.Token, Released: true})
	return nil
}

// Stop makes this node release the lease if it holds it, and never acquire it again.
func (d *Duties) Stop() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default: // It has been woken already.
	}
}
