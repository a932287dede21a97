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
	// gather is the pause after changes, so that the next call brings several where
	// changes come one after another, as when engines start; each call is paid for.
	gather = 100 * time.Millisecond

	// idlePoll is how often a node that does not read looks whether it should, unless
	// it is woken.
	idlePoll = 2 * time.Second
)

type (
	// Source is where tables are read from.
	Source interface {
		List(ctx context.Context, table, part string) (Snapshot, error)
		Changes(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
	}

	// Reader keeps a table's copy up to date from the platform, while it is asked to.
	Reader struct {
		Table  *Table
		Source Source
		Wait   time.Duration            // Wait is how long a call waits for changes.
		Wanted func(now time.Time) bool // Wanted says whether this node should read.
		Proven func(at time.Time)       // Proven is told of a moment at which the copy was the newest; may be nil.
		Lost   func(now time.Time)      // Lost is told of each failed call.
		Wake   <-chan struct{}          // Wake ends the pause of a node that does not read; it may be nil.
		Log    *slog.Logger

		version int64 // version is the newest of all tables that was taken.
		known   bool  // known says that version is set.
		lost    bool
		reads   bool  // reads says that this node read when it last looked.
		calls   int64 // calls counts the calls so far.
	}
)

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		if !r.wanted(clock.Now()) {
			pause.ForOrWake(ctx, idlePoll, r.Wake)
			continue
		}
		err := r.once(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			r.Log.Warn("history of the table is gone; reading it anew", "table", r.Table.Name(), "version", r.version)
			r.known = false
		case err != nil:
			r.failed(clock.Now(), err)
			backoff.Wait(ctx)
		default:
			backoff.Reset()
		}
	}
}

// Read reads once what has changed.
func (r *Reader) Read(ctx context.Context) error { return r.once(ctx) }

// wanted reports whether this node should read, and logs a change.
func (r *Reader) wanted(now time.Time) bool {
	reads := r.Wanted(now)
	if reads != r.reads {
		r.Log.Info("reading of the store", "table", r.Table.Name(), "reads", reads, "version", r.version, "calls", r.calls)
	}
	r.reads = reads
	return reads
}

// once makes one call and takes its answer.
func (r *Reader) once(ctx context.Context) error {
	r.calls++
	if last, ok := r.Table.Last(); ok && last > r.version {
		r.version, r.known = last, true // A peer told more while this node did not read.
	}
	if !r.known {
		snap, err := r.Source.List(ctx, r.Table.Name(), "")
		if err != nil {
			return err
		}
		r.Table.Replace(clock.Now(), snap)
		r.took(snap)
		return nil
	}
	snap, err := r.Source.Changes(ctx, r.Table.Name(), r.version, r.Wait)
	if err != nil {
		return err
	}
	r.Table.Change(clock.Now(), snap.Rows)
	r.took(snap)
	if len(snap.Rows) > 0 {
		pause.For(ctx, gather)
	}
	return nil
}

// took records that an answer was taken.
func (r *Reader) took(snap Snapshot) {
	if r.lost {
		r.Log.Info("store regained", "table", r.Table.Name(), "version", snap.Version)
	}
	r.lost = false
	r.version, r.known = max(r.version, snap.Version), true
	if r.Proven != nil {
		r.Proven(snap.AsOf)
	}
}

// failed records a failed call, once for each time that the store is lost.
func (r *Reader) failed(now time.Time, err error) {
	if !r.lost {
		r.Log.Warn("store lost", "table", r.Table.Name(), "version", r.version, "error", err.Error())
	}
	r.lost = true
	r.Lost(now)
}
