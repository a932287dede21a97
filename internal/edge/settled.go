package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/pause"
)

// A node that starts cannot tell from the store's answers whether the store has just come back from a copy, and all
// nodes that could tell it may have been lost. So one row names the newest era in which operators have had the time
// to write again. While it names an earlier one, the store's answers prove nothing about the configuration.

const (
	// settledTable has a single row, with the key settledKey. A copy from before a return names an earlier era.
	settledTable = "croftturn-settled"
	settledKey   = "era"

	// settledMargin is how much longer than operators may take the row is not written, and how old an answer that was
	// given before the row was read may be to count.
	settledMargin = 500 * time.Millisecond

	// settledSpread is the period over which nodes look whether the row is to be written.
	settledSpread = 2 * time.Second

	// settledRecheck is how often hubs check whether they are the one that writes the row.
	settledRecheck = time.Minute

	// settledTurn is the key by whose hash one hub is chosen to write the row.
	settledTurn = "settled"
)

// settledRow is the value of the row.
type settledRow struct {
	Era int64 `json:"era"`
}

// readSettled reads the era that the row names, and the store's. A missing row names none, which is -1.
func (e *Edge) readSettled(ctx context.Context) (settled, era int64, row feed.Row, err error) {
	snap, _, err := e.store.Range(ctx, settledTable, "", settledKey, settledKey+"\x00", 1)
	if err != nil {
		return 0, 0, row, fmt.Errorf("read the settled era: %w", err)
	}
	if len(snap.Rows) == 0 {
		return -1, snap.Era, row, nil
	}
	row = snap.Rows[0]
	var stored settledRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return -1, snap.Era, row, nil // It is written anew.
	}
	return stored.Era, snap.Era, row, nil
}

// noteAnswer records an answer about the configuration that was current at a time. After the first one, checkSettled
// finds out from when on they prove it; those of a store that names no era always do.
func (e *Edge) noteAnswer(at time.Time) {
	if e.configReadAt.Swap(&at) != nil {
		return
	}
	if !e.store.EraKnown() {
		e.provenFrom.CompareAndSwap(nil, &time.Time{})
	}
	close(e.firstAnswer)
}

// checkSettled finds out, after the store's first answer since a start, from when on its answers prove the
// configuration. It repeats failed calls until the context ends.
func (e *Edge) checkSettled(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.firstAnswer:
	}
	var backoff pause.Backoff
	for ctx.Err() == nil && e.provenFrom.Load() == nil {
		settled, era, _, err := e.readSettled(ctx)
		if err != nil {
			e.log.Warn("cannot read the settled era; retrying", "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		now, from := clock.Now(), time.Time{}
		if settled < era {
			from = now.Add(rewriteTime)
			e.log.Warn("the store may have come back from a copy before this node started", "era", era, "era_settled", settled)
		}
		e.answersProveFrom(now, from)
		return
	}
}

// answersProveFrom sets from when on the store's answers prove the configuration, and lets the last one do so if it is
// recent: an older one may have been given before the era was settled.
func (e *Edge) answersProveFrom(now, from time.Time) {
	e.provenFrom.Store(&from)
	if last := e.configReadAt.Load(); last != nil && now.Sub(*last) <= settledMargin {
		e.proveConfig(*last)
	}
}

// keepSettled writes the row a while after a start and after each return, if this node is the one that does.
func (e *Edge) keepSettled(ctx context.Context) {
	for pause.For(ctx, rewriteTime+settledMargin+rand.N(settledSpread)) {
		if !e.writesVersions(clock.Now(), settledTurn) {
			pause.ForOrWake(ctx, settledRecheck, e.eraBegan)
			continue
		}
		settled, err := e.writeSettled(ctx)
		switch {
		case err != nil:
			e.log.Warn("cannot write the settled era; retrying", "error", err.Error())
		case settled:
			pause.ForOrWake(ctx, settledRecheck, e.eraBegan)
		}
	}
}

// wakeSettled makes keepSettled look at the row after a return.
func (e *Edge) wakeSettled() {
	select {
	case e.eraBegan <- struct{}{}:
	default: // It is to look already.
	}
}

// writeSettled writes the row if it names an earlier era, and reports whether it now names the store's.
func (e *Edge) writeSettled(ctx context.Context) (done bool, err error) {
	if !e.store.EraKnown() {
		return true, nil
	}
	settled, era, row, err := e.readSettled(ctx)
	if err != nil || settled >= era {
		return err == nil, err
	}
	now := clock.Now()
	if at, _ := e.configTable.Position(); at.Era != era || e.mayLackWrites(now) || !e.proof.Fresh(now) {
		return false, nil // This node has not seen the return yet, or it was just now.
	}
	value, err := json.Marshal(settledRow{Era: era})
	if err != nil {
		return false, fmt.Errorf("encode the settled era: %w", err)
	}
	put := feed.Row{Table: settledTable, Key: settledKey, Version: row.Version, Value: value}
	if _, err := e.store.Commit(ctx, feed.Tx{Expect: []feed.Row{put}, Put: []feed.Row{put}}); err != nil {
		return false, fmt.Errorf("write the settled era: %w", err)
	}
	e.log.Info("era settled", "era", era, "before", settled)
	return true, nil
}

// answersProve reports whether the store's answers prove the configuration from a time or earlier, as far as a start
// is concerned.
func (e *Edge) answersProve(now time.Time) bool {
	from := e.provenFrom.Load()
	return from != nil && !now.Before(*from)
}
