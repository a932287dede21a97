package feed

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
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
		Wait       time.Duration            // Wait is the long-poll duration of a Changes call.
		ShouldRead func(now time.Time) bool // ShouldRead reports whether this node should read.
		OnSuccess  func(at time.Time)       // OnSuccess is called with a time at which the copy was current; may be nil.
		OnFailure  func(now time.Time)      // OnFailure is called after each failed call.
		Wake       <-chan struct{}          // Wake ends the wait of an inactive reader; it may be nil.
		Log        *slog.Logger

		era        int64     // era is that of the last reply.
		version    int64     // version is the newest version of all tables that was read.
		hasVersion bool      // hasVersion is set once version is valid.
		currentAt  time.Time // currentAt is when the last reply was current; rows that are not in it were accepted later.
		failing    bool      // failing is set while calls fail.
		active     bool      // active is the last result of ShouldRead.
		calls      int64     // calls counts the calls so far.
	}
)

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		if !r.checkActive(clock.Now()) {
			pause.ForOrWake(ctx, idlePollInterval, r.Wake)
			continue
		}
		err := r.readOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			r.Log.Warn("table history is no longer available; reading the full table", "table", r.Table.Name(), "version", r.version, "era", r.era)
			r.hasVersion = false
		case err != nil:
			r.recordFailure(clock.Now(), err)
			backoff.Wait(ctx)
		default:
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
		r.Log.Info("store reader changed state", "table", r.Table.Name(), "reads", active, "version", r.version, "calls", r.calls)
	}
	r.active = active
	return active
}

// readOnce makes one call and applies its result.
func (r *Reader) readOnce(ctx context.Context) error {
	r.calls++
	if last, ok := r.Table.Latest(); ok && last > r.version {
		r.version, r.hasVersion = last, true // Peers sent newer rows while this reader was inactive.
	}
	if !r.hasVersion {
		snap, err := r.Source.List(ctx, r.Table.Name(), "")
		if err != nil {
			return err
		}
		r.Table.replace(clock.Now(), peerRows(snap.Rows), snap.Version, r.currentAt)
		r.recordSuccess(snap)
		return nil
	}
	snap, err := r.Source.Changes(ctx, r.Table.Name(), r.version, r.Wait)
	if err != nil {
		return err
	}
	r.Table.apply(clock.Now(), peerRows(snap.Rows), r.acceptedAfter(snap))
	r.recordSuccess(snap)
	if len(snap.Rows) > 0 {
		pause.For(ctx, batchDelay)
	}
	return nil
}

// recordSuccess records a successful call.
func (r *Reader) recordSuccess(snap Snapshot) {
	if r.failing {
		r.Log.Info("store is available again", "table", r.Table.Name(), "version", snap.Version, "era", snap.Era)
	}
	if r.hasVersion && snap.Era != r.era {
		r.Log.Warn("store has come back from an older copy", "table", r.Table.Name(), "era", snap.Era, "era_before", r.era, "version", snap.Version, "version_before", r.version)
	}
	r.era = snap.Era
	r.failing = false
	r.version, r.hasVersion, r.currentAt = max(r.version, snap.Version), true, snap.AsOf
	if r.OnSuccess != nil {
		r.OnSuccess(snap.AsOf)
	}
}

// recordFailure records a failed call and logs the first of consecutive failures.
func (r *Reader) recordFailure(now time.Time, err error) {
	if !r.failing {
		r.Log.Warn("store request failed", "table", r.Table.Name(), "version", r.version, "error", err.Error())
	}
	r.failing = true
	r.OnFailure(now)
}
