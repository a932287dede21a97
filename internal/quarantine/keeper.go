package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// table holds a row for each request that is held, under its fingerprint: three engines were lost to
	// learn it, and all nodes may be lost at once. It costs a write for each request that is held, one when it is
	// freed, and a read at the start of a node.
	table = "croftturn-held"

	// rowTTL is how long a row counts, by the time of day: engines have other versions some day.
	rowTTL = 24 * time.Hour

	// maxWriteBatch is how many rows are written at once; the store takes 100.
	maxWriteBatch = 50
)

// errInvalidRow says that a row is none that a node wrote.
var errInvalidRow = errors.New("a fingerprint, its engines or its time is missing")

type (
	// Store is what a keeper needs of the platform.
	Store interface {
		List(ctx context.Context, table, part string) (feed.Snapshot, error)
		Write(ctx context.Context, tx feed.Tx) error
	}

	// Persister keeps what is held in the platform's store, so that it outlives all nodes.
	Persister struct {
		q     *Quarantine
		store Store
		loaded  bool // read says that what was held before is known, or that nothing was.
		log   *slog.Logger
	}

	// row is what is kept of a request that is held.
	row struct {
		Team     string   `json:"team"`
		Route    string   `json:"route"`
		Engines  []string `json:"engines"`
		HeldUnix int64    `json:"held_unix"` // HeldUnix is when it was written, in seconds of the time of day.
	}
)

// NewPersister returns a keeper. At the first start of the whole system nothing was held before.
func NewPersister(q *Quarantine, store Store, firstStart bool, log *slog.Logger) *Persister {
	return &Persister{q: q, store: store, loaded: firstStart, log: log}
}

// Run reads what was held before this node started, and writes what it learns itself to be held, until the
// context ends.
func (k *Persister) Run(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		if err := k.sync(ctx); err != nil {
			k.log.Warn("held requests not read or written", "read", k.loaded, "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		select {
		case <-ctx.Done():
		case <-k.q.wake:
		}
	}
}

// sync reads once, and writes all that is not kept yet.
func (k *Persister) sync(ctx context.Context) error {
	if !k.loaded {
		if err := k.load(ctx); err != nil {
			return err
		}
		k.loaded = true
	}
	for {
		tx, prints := k.q.takePending(clock.Now())
		if len(prints) == 0 {
			return nil
		}
		if err := k.store.Write(ctx, tx); err != nil {
			k.q.requeue(prints)
			return fmt.Errorf("write held requests: %w", err)
		}
	}
}

// load reads what was held before.
func (k *Persister) load(ctx context.Context) error {
	snap, err := k.store.List(ctx, table, "")
	if err != nil {
		return fmt.Errorf("read held requests: %w", err)
	}
	now := clock.Now()
	for _, r := range snap.Rows {
		f, held, err := decodeRow(r)
		if err != nil {
			k.log.Error("held request not understood", "key", r.Key, "error", err.Error())
			continue
		}
		k.q.restore(now, f, held)
	}
	k.log.Info("held requests read", "rows", len(snap.Rows), "held", k.q.Len())
	return nil
}

// decodeRow returns the request of a row. An error says that no node wrote it.
func decodeRow(r feed.Row) (Fingerprint, row, error) {
	var held row
	if err := json.Unmarshal(r.Value, &held); err != nil {
		return 0, row{}, fmt.Errorf("decode held request: %w", err)
	}
	f, err := strconv.ParseUint(r.Key, 16, 64)
	if err != nil || len(held.Engines) < crashThreshold || held.HeldUnix <= 0 {
		return 0, row{}, errInvalidRow
	}
	return Fingerprint(f), held, nil
}

// restore takes a request that was held before this node started. When its engines ended is not known
// on this node's clock, so that its next trial counts from now on. One that has stood for too long is freed.
func (q *Quarantine) restore(now time.Time, f Fingerprint, held row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if clock.Wall(now).Sub(time.Unix(held.HeldUnix, 0)) > rowTTL {
		q.markUnsaved(f)
		return
	}
	s := Subject{Team: held.Team, Route: held.Route}
	for i, engine := range held.Engines {
		q.addCrash(now, f, s, Crash{Engine: engine, At: now.Add(time.Duration(i-len(held.Engines)) * time.Millisecond)})
	}
}

// markUnsaved says that what is kept of a request may differ from what is known. The caller holds the lock.
func (q *Quarantine) markUnsaved(f Fingerprint) {
	q.unsaved[f] = true
	select {
	case q.wake <- struct{}{}:
	default: // The keeper was told already.
	}
}

// takePending takes the changes of rows that are due, and returns of which requests they are.
func (q *Quarantine) takePending(now time.Time) (feed.Tx, []Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var tx feed.Tx
	var prints []Fingerprint
	for f := range q.unsaved {
		if len(prints) == maxWriteBatch {
			break
		}
		prints = append(prints, f)
		delete(q.unsaved, f)
		r := q.records[f]
		if r == nil || !r.isHeld() {
			tx.Delete = append(tx.Delete, feed.Row{Table: table, Key: f.String()})
			continue
		}
		value, err := json.Marshal(row{Team: r.Team, Route: r.Route, Engines: engineIDs(r.crashes), HeldUnix: clock.Wall(now).Unix()})
		if err != nil {
			q.log.Error("held request not encoded", "fingerprint", f.String(), "error", err.Error())
			continue
		}
		tx.Put = append(tx.Put, feed.Row{Table: table, Key: f.String(), Value: value})
	}
	return tx, prints
}

// requeue says that changes are still due which were not written.
func (q *Quarantine) requeue(prints []Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range prints {
		q.unsaved[f] = true
	}
}
