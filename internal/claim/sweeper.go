package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/kv"
)

const (
	// sweepInterval is the interval between pages of claims.
	sweepInterval = 15 * time.Second

	// sweepPageSize is the number of rows in a page.
	sweepPageSize = 200
)

type (
	// Lister is a Table that can also list rows by page.
	Lister interface {
		Table
		List(ctx context.Context, prefix, after string, limit int) ([]kv.Row, error)
	}

	// Sweeper removes expired claims. Only the node that owns SweepKey sweeps.
	Sweeper struct {
		table     Lister
		retention time.Duration
		isOwner   func() bool
		log       *slog.Logger
		cursor    string // cursor is the last key of the previous page.
	}
)

// SweepKey is the key whose owner runs the sweeper.
const SweepKey = "claim-sweep"

// NewSweeper returns a sweeper that keeps rows for the retention, measured by the
// writers' clocks. The retention must exceed the promised lifetime of keys by more
// than the clocks may differ.
func NewSweeper(table Lister, retention time.Duration, isOwner func() bool, log *slog.Logger) *Sweeper {
	return &Sweeper{table: table, retention: retention, isOwner: isOwner, log: log}
}

// Run sweeps one page per interval until the context ends.
func (s *Sweeper) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !s.isOwner() {
			continue
		}
		if removed, err := s.SweepPage(ctx, clock.Now()); err != nil {
			s.log.Debug("failed to remove old claims", "error", err.Error())
		} else if removed > 0 {
			s.log.Info("removed old claims", "rows", removed)
		}
	}
}

// SweepPage removes the expired rows of the next page and returns their number.
func (s *Sweeper) SweepPage(ctx context.Context, now time.Time) (int, error) {
	rows, err := s.table.List(ctx, rowPrefix, s.cursor, sweepPageSize)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	s.cursor = ""
	if len(rows) == sweepPageSize {
		s.cursor = rows[len(rows)-1].Key
	}
	txn := kv.Txn{Fenced: true}
	for _, row := range rows {
		var r Record
		if err := json.Unmarshal(row.Value, &r); err != nil || now.Sub(time.UnixMilli(r.AtMs)) < s.retention {
			continue
		}
		txn.Checks = append(txn.Checks, kv.Check{Key: row.Key, Version: row.Version, Era: row.Era})
		txn.Puts = append(txn.Puts, kv.Put{Key: row.Key})
	}
	if len(txn.Puts) == 0 {
		return 0, nil
	}
	if err := s.table.Transact(ctx, txn); err != nil {
		return 0, fmt.Errorf("remove old claims: %w", err)
	}
	return len(txn.Puts), nil
}
