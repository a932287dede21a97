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
	// requestTable has one row per held request, keyed by its fingerprint. The information is worth storing because it cost
	// three engines, and all nodes may be lost at once. It costs one write when a request becomes held, one when it
	// is released, and one read when a node starts.
	requestTable = "croftturn-held"

	// rowTTL is how long a row is valid, by wall-clock time. Rows expire because engines get new versions eventually.
	rowTTL = 24 * time.Hour

	// maxWriteBatch is how many rows one transaction writes; the store accepts 100.
	maxWriteBatch = 50
)

// errInvalidRow is returned for a row that no node can have written.
var errInvalidRow = errors.New("a fingerprint, its engines or its time is missing")

type (
	// Store is the part of the platform's store that a Persister uses.
	Store interface {
		List(ctx context.Context, table, part string) (feed.Snapshot, error)
		Write(ctx context.Context, tx feed.Tx) error
	}

	// rowSource is what a Persister saves: held requests or held parts of prompts.
	rowSource interface {
		table() string
		wakeups() <-chan struct{}                               // wakeups receives a value when there are unsaved changes.
		count() int64                                           // count returns how many are held.
		restoreRow(now time.Time, r feed.Row) error             // restoreRow returns an error for a row that no node can have written.
		takePending(now time.Time) (tx feed.Tx, requeue func()) // takePending returns the next unsaved changes, an empty transaction if there are none.
		markDiffering(stored []feed.Row)                        // markDiffering marks as unsaved what is held and has no row, and what has one and is known to be released.
	}

	// Persister saves what is held in the platform's store, so that it survives the loss of all nodes.
	Persister struct {
		source rowSource
		store  Store
		loaded bool // loaded is set once the stored rows are known, or known to be none.

		isWriter    func(now time.Time) bool // isWriter reports whether this node is the one that writes again what the store has lost.
		returnedNow bool                     // returnedNow is set until the rows are compared after that.
		returned    chan struct{}            // returned receives a value when the store has come back from a copy.
		log         *slog.Logger
	}

	// row is the stored form of a held request.
	row struct {
		Team     string   `json:"team"`
		Route    string   `json:"route"`
		Engines  []string `json:"engines"`
		HeldUnix int64    `json:"held_unix"` // HeldUnix is when the row was written, in seconds of Unix time.
	}
)

// NewPersister returns a Persister of held requests; isWriter reports whether this node is the one that writes
// again what the store has lost. At the first start of the whole system it has nothing to load.
func NewPersister(q *Quarantine, store Store, firstStart bool, isWriter func(now time.Time) bool, log *slog.Logger) *Persister {
	return &Persister{source: q, store: store, loaded: firstStart, isWriter: isWriter, returned: make(chan struct{}, 1), log: log}
}

// NewPartPersister is NewPersister for held parts of prompts.
func NewPartPersister(q *Parts, store Store, firstStart bool, isWriter func(now time.Time) bool, log *slog.Logger) *Persister {
	return &Persister{source: q, store: store, loaded: firstStart, isWriter: isWriter, returned: make(chan struct{}, 1), log: log}
}

// Run loads what was held before this node started, and saves changes until the context ends.
func (p *Persister) Run(ctx context.Context) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		if err := p.sync(ctx); err != nil {
			p.log.Warn("cannot load or save held requests; retrying", "table", p.source.table(), "read", p.loaded, "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		select {
		case <-ctx.Done():
		case <-p.source.wakeups():
		case <-p.returned:
			p.returnedNow = true
		}
	}
}

// StoreReturned records that the store has come back from a copy.
func (p *Persister) StoreReturned() {
	select {
	case p.returned <- struct{}{}:
	default: // It is known already.
	}
}

// resync compares the stored rows with what is held, if this node is the one that does.
func (p *Persister) resync(ctx context.Context) error {
	if !p.isWriter(clock.Now()) {
		return nil
	}
	snap, err := p.store.List(ctx, p.source.table(), "")
	if err != nil {
		return fmt.Errorf("read held requests: %w", err)
	}
	p.source.markDiffering(snap.Rows)
	p.log.Info("held requests compared after the store's return", "table", p.source.table(), "rows", len(snap.Rows), "held", p.source.count(), "era", snap.Era)
	return nil
}

// sync loads the stored rows if that is still to be done, and writes all unsaved changes.
func (p *Persister) sync(ctx context.Context) error {
	if !p.loaded {
		if err := p.load(ctx); err != nil {
			return err
		}
		p.loaded = true
	}
	if p.returnedNow {
		if err := p.resync(ctx); err != nil {
			return err
		}
		p.returnedNow = false
	}
	for {
		tx, requeue := p.source.takePending(clock.Now())
		if len(tx.Put)+len(tx.Delete) == 0 {
			return nil
		}
		if err := p.store.Write(ctx, tx); err != nil {
			requeue()
			return fmt.Errorf("write held requests: %w", err)
		}
	}
}

// load restores the stored rows.
func (p *Persister) load(ctx context.Context) error {
	snap, err := p.store.List(ctx, p.source.table(), "")
	if err != nil {
		return fmt.Errorf("read held requests: %w", err)
	}
	now := clock.Now()
	for _, r := range snap.Rows {
		if err := p.source.restoreRow(now, r); err != nil {
			p.log.Error("invalid row of a held request; ignored", "table", p.source.table(), "key", r.Key, "error", err.Error())
		}
	}
	p.log.Info("held requests loaded", "table", p.source.table(), "rows", len(snap.Rows), "held", p.source.count())
	return nil
}

// table, wakeups, count, restoreRow and takePending implement rowSource.
func (q *Quarantine) table() string            { return requestTable }
func (q *Quarantine) wakeups() <-chan struct{} { return q.wake }
func (q *Quarantine) count() int64             { return q.Len() }

// restoreRow restores a held request.
func (q *Quarantine) restoreRow(now time.Time, r feed.Row) error {
	f, held, err := decodeRow(r)
	if err != nil {
		return err
	}
	q.restore(now, f, held)
	return nil
}

// markDiffering implements rowSource.
func (q *Quarantine) markDiffering(stored []feed.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	missing := map[Fingerprint]bool{}
	for f, r := range q.records {
		if r.isHeld() {
			missing[f] = true
		}
	}
	for _, r := range stored {
		if f, _, err := decodeRow(r); err == nil && missing[f] {
			delete(missing, f)
		} else if known := q.records[f]; err == nil && known != nil && !known.isHeld() && !known.answered.IsZero() {
			q.markUnsaved(f) // It was released since the copy was made.
		}
	}
	for f := range missing {
		q.markUnsaved(f)
	}
}

// decodeRow decodes a row. It returns an error for a row that no node can have written.
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

// restore adds a request that was held before this node started. The times of its crashes are not known on
// this node's clock, so the delay to its next trial starts now. A row older than rowTTL is deleted.
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

// markUnsaved marks a request whose row may be out of date. The caller holds the lock.
func (q *Quarantine) markUnsaved(f Fingerprint) {
	q.unsaved[f] = true
	select {
	case q.wake <- struct{}{}:
	default: // The Persister has been woken already.
	}
}

// takePending returns a transaction with the next unsaved changes, which it marks as saved, and a function that marks them as
// unsaved again.
func (q *Quarantine) takePending(now time.Time) (tx feed.Tx, requeue func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var fingerprints []Fingerprint
	for f := range q.unsaved {
		if len(fingerprints) == maxWriteBatch {
			break
		}
		fingerprints = append(fingerprints, f)
		delete(q.unsaved, f)
		r := q.records[f]
		if r == nil || !r.isHeld() {
			tx.Delete = append(tx.Delete, feed.Row{Table: requestTable, Key: f.String()})
			continue
		}
		value, err := json.Marshal(row{Team: r.Team, Route: r.Route, Engines: engineIDs(r.crashes), HeldUnix: clock.Wall(now).Unix()})
		if err != nil {
			q.log.Error("cannot encode held request", "fingerprint", f.String(), "error", err.Error())
			continue
		}
		tx.Put = append(tx.Put, feed.Row{Table: requestTable, Key: f.String(), Value: value})
	}
	return tx, func() { q.requeue(fingerprints) }
}

// requeue marks requests as unsaved again after a failed write.
func (q *Quarantine) requeue(fingerprints []Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range fingerprints {
		q.unsaved[f] = true
	}
}
