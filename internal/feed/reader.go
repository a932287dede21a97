package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// batchDelay is the delay after changes, so that the next call returns several when
	// they come in quick succession, as when engines start; calls to the store are billed.
	batchDelay = 100 * time.Millisecond

	// idlePollInterval is how often an inactive reader checks ShouldRead, unless it is
	// woken.
	idlePollInterval = 2 * time.Second
)

type (
	// Source is the store that tables are read from.
	Source interface {
		List(ctx context.Context, table, part string) (Snapshot, error)
		Changes(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
	}

	// Reader keeps a table up to date from the store while ShouldRead is true.
	Reader struct {
		Table      *Table
		Source     Source
		Wait       time.Duration                     // Wait is the long-poll duration of a Changes call.
		WaitFor    func(now time.Time) time.Duration // WaitFor returns a shorter Wait for a call; it may be nil.
		ShouldRead func(now time.Time) bool          // ShouldRead reports whether this node should read.
		OnSuccess  func(at time.Time)                // OnSuccess is called with a time at which the copy was current; may be nil.
		OnFailure  func(now time.Time)               // OnFailure is called after each failed call.
		Wake       <-chan struct{}                   // Wake ends the wait of an inactive reader; it may be nil.
		Log        *slog.Logger

		at        history.Position // at is the newest position of all tables that was read.
		hasRead   bool             // hasRead is set once changes after at can be read.
		currentAt time.Time        // currentAt is when the last reply was current; rows that are not in it were accepted later.
		failing   bool             // failing is set while calls fail.
		active    bool             // active is the last result of ShouldRead.
		calls     int64            // calls counts the calls so far.
	}
)

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var backoff pause.Backoff
	rereading := false
	for ctx.Err() == nil {
		if !r.checkActive(clock.Now()) {
			pause.ForOrWake(ctx, idlePollInterval, r.Wake)
			continue
		}
		full := !r.hasRead
		err := r.readOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone) && !rereading:
			rereading = true // The full table is read at once, but not again and again.
		case errors.Is(err, ErrStale):
			backoff.Wait(ctx)
		case err != nil:
			r.recordFailure(clock.Now(), err)
			backoff.Wait(ctx)
		case rereading && full: // The next call shows whether the history is there again.
		default:
			rereading = false
			backoff.Reset()
		}
	}
}

// Read makes a single call to the store.
func (r *Reader) Read(ctx context.Context) error { return r.readOnce(ctx) }

// checkActive reports whether this node should read, and logs transitions.
func (r *Reader) checkActive(now time.Time) bool {
	active := r.ShouldRead(now)
	if active != r.active {
		r.Log.Info("store reader changed state", "table", r.Table.Name(), "reads", active, "version", r.at.Version, "era", r.at.Era, "calls", r.calls)
	}
	r.active = active
	return active
}

// readOnce makes one call and applies its result.
func (r *Reader) readOnce(ctx context.Context) error {
	r.calls++
	if last, ok := r.Table.Position(); ok && last.After(r.at) {
		r.at, r.hasRead = last, true // Peers sent newer rows while this reader was inactive.
	}
	if !r.hasRead {
		return r.readAll(ctx)
	}
	wait := r.Wait
	if r.WaitFor != nil {
		wait = r.WaitFor(clock.Now())
	}
	snap, err := r.Source.Changes(ctx, r.Table.Name(), r.at.Version, wait)
	if errors.Is(err, ErrHistoryGone) {
		r.Log.Warn("table history is no longer available; reading the full table", "table", r.Table.Name(), "version", r.at.Version, "era", r.at.Era)
		r.hasRead = false
	}
	if err != nil {
		return err
	}
	if snap.Era > r.at.Era {
		return r.readAll(ctx) // These are the changes after a position of another history.
	}
	if snap.Era < r.at.Era || !r.Table.apply(clock.Now(), update{rows: peerRows(snap.Rows), at: snap.Position(), base: snap.Version, acceptedAfter: r.acceptedAfter(snap)}) {
		return fmt.Errorf("changes of %s: %w", r.Table.Name(), ErrStale)
	}
	r.recordSuccess(snap)
	if len(snap.Rows) > 0 {
		pause.For(ctx, batchDelay)
	}
	return nil
}

// readAll reads the full table.
func (r *Reader) readAll(ctx context.Context) error {
	snap, err := r.Source.List(ctx, r.Table.Name(), "")
	if err != nil {
		return err
	}
	if at, ok := r.Table.Position(); ok && snap.Era < at.Era {
		return fmt.Errorf("rows of %s: %w", r.Table.Name(), ErrStale)
	}
	r.Log.Info("table read", "table", r.Table.Name(), "rows", len(snap.Rows), "version", snap.Version, "era", snap.Era, "pages", snap.Calls.Pages, "changes", snap.Calls.Changes, "mixed", snap.Calls.Mixed, "unreadable", snap.Unreadable)
	r.Table.replace(clock.Now(), update{rows: peerRows(snap.Rows), at: snap.Position(), base: snap.Version, acceptedAfter: r.currentAt})
	r.recordSuccess(snap)
	return nil
}

// recordSuccess records a successful call.
func (r *Reader) recordSuccess(snap Snapshot) {
	if r.failing {
		r.Log.Info("store is available again", "table", r.Table.Name(), "version", snap.Version, "era", snap.Era)
	}
	r.failing = false
	if snap.Unreadable > 0 {
		r.Log.Error("rows can't be read and are left out", "table", r.Table.Name(), "rows", snap.Unreadable, "version", snap.Version)
	}
	r.at, r.hasRead, r.currentAt = history.Later(r.at, snap.Position()), true, snap.AsOf
	if r.OnSuccess != nil {
		r.OnSuccess(snap.AsOf)
	}
}

// recordFailure records a failed call and logs the first of consecutive failures.
func (r *Reader) recordFailure(now time.Time, err error) {
	if !r.failing {
		r.Log.Warn("store request failed", "table", r.Table.Name(), "version", r.at.Version, "era", r.at.Era, "error", err.Error())
	}
	r.failing = true
	r.OnFailure(now)
}
