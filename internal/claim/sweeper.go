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
	// sweepEvery is how often one page of claims is looked at.
	sweepEvery = 15 * time.Second

	// sweepPage is how many rows a page has.
	sweepPage = 200
)

type (
	// Lister reads pages of rows, besides what claims need.
	Lister interface {
		Table
		List(ctx context.Context, prefix, after string, limit int) ([]kv.Row, error)
	}

	// Sweeper removes claims that are too old to matter. One node sweeps, the one
	// that owns SweepKey.
	Sweeper struct {
		table Lister
		keep  time.Duration
		owns  func() bool
		log   *slog.Logger
		after string // after is the last key of the page before.
	}
)

// SweepKey is the key whose owner sweeps.
const SweepKey = "claim-sweep"

// NewSweeper returns a sweeper that keeps rows for as long as keep by the
// writers' clocks. It must be longer than keys are promised to be guarded, by
// more than clocks may differ.
func NewSweeper(table Lister, keep time.Duration, owns func() bool, log *slog.Logger) *Sweeper {
	return &Sweeper{table: table, keep: keep, owns: owns, log: log}
}

// Run sweeps a page now and then until the context ends.
func (s *Sweeper) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !s.owns() {
			continue
		}
		if removed, err := s.Page(ctx, clock.Now()); err != nil {
			s.log.Debug("claims not swept", "error", err.Error())
		} else if removed > 0 {
			s.log.Info("old claims removed", "rows", removed)
		}
	}
}

// Page removes the old rows of the next page and returns how many there were.
func (s *Sweeper) Page(ctx context.Context, now time.Time) (int, error) {
	rows, err := s.table.List(ctx, rowPrefix, s.after, sweepPage)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	s.after = ""
	if len(rows) == sweepPage {
		s.after = rows[len(rows)-1].Key
	}
	var txn kv.Txn
	for _, row := range rows {
		var r Record
		if err := json.Unmarshal(row.Value, &r); err != nil || now.Sub(time.UnixMilli(r.AtMs)) < s.keep {
			continue
		}
		txn.Checks = append(txn.Checks, kv.Check{Key: row.Key, Version: row.Version})
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
