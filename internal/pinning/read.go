package pinning

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
)

// readSince reads the row of a pool with a call that began at a time or later. Requests share calls.
func (h *History) readSince(ctx context.Context, now time.Time, pool string) (*sharedRead, error) {
	for {
		h.mu.Lock()
		r := h.reads[pool]
		if r == nil && h.closed {
			h.mu.Unlock()
			return nil, errClosed
		}
		if r == nil {
			r = &sharedRead{startedAt: clock.Now(), done: make(chan struct{})}
			h.reads[pool] = r
			h.wg.Go(func() { h.read(h.readCtx, pool, r) })
		}
		h.mu.Unlock()
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, fmt.Errorf("read versions of %s: %w", pool, ctx.Err())
		}
		if !r.startedAt.Before(now) {
			return r, r.err
		}
	}
}

// read reads the row of a pool; it has revision 0 if there is none.
func (h *History) read(ctx context.Context, pool string, r *sharedRead) {
	snap, _, err := h.store.Range(ctx, historyTable, "", pool, pool+"\x00", 1)
	r.nowMs, r.row = snap.NowMs, PoolVersion{Pool: pool, Era: snap.Era}
	if err != nil {
		r.err = fmt.Errorf("read versions of %s: %w", pool, err)
	}
	for _, row := range snap.Rows {
		if r.row, err = decodeRow(row); err != nil {
			h.log.Warn("cannot decode the versions of a pool; it is taken to have several", "pool", pool, "error", err.Error())
		}
	}
	if r.err == nil {
		h.learn(clock.Now(), r.row)
		r.unheard = h.checkEngines(ctx, r.row)
	}
	h.mu.Lock()
	delete(h.reads, pool)
	h.mu.Unlock()
	close(r.done)
}

// checkEngines returns an error if engines of another version than that of a row may serve of which this node has not
// heard.
func (h *History) checkEngines(ctx context.Context, row PoolVersion) error {
	if row.Revision == 0 || row.Several {
		return nil // It names no version to be believed.
	}
	unheard, err := h.engines.Unheard(ctx, row.Pool, row.Version)
	switch {
	case err != nil:
		return fmt.Errorf("versions of %s: %w", row.Pool, err)
	case unheard:
		return fmt.Errorf("versions of %s: %w", row.Pool, errUnheard)
	}
	return nil
}

// decodeRow decodes a row. One that can't be decoded says that streams may have begun at any version, so that it is
// written anew like other such rows.
func decodeRow(row feed.Row) (PoolVersion, error) {
	var stored historyRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return PoolVersion{Pool: row.Key, Several: true, Revision: row.Version, Era: row.Era, Written: row.Era}, fmt.Errorf("decode versions of %s: %w", row.Key, err)
	}
	return PoolVersion{Pool: row.Key, Version: stored.Version, Several: stored.Several, SinceMs: stored.SinceMs, Revision: row.Version, Era: row.Era, Written: stored.Era}, nil
}
