package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

// Write applies an edit to the newest configuration and stores it as a change. A
// nil error means that the change is accepted and in effect at this node;
// trace.CompareFailed that a concurrent change was accepted first and nothing was
// written; kv.ErrUncertain that the outcome could not be read from the platform in
// time, and the history shows it by the change's id.
func (s *Syncer) Write(ctx context.Context, now time.Time, id, author, statement string, edit Edit) (wire.Change, error) {
	h, row, err := s.readHead(ctx)
	if err != nil {
		return wire.Change{}, fmt.Errorf("nothing written: %w", err)
	}
	if h.Version < s.store.Version() {
		if err := s.restore(ctx, h, row); err != nil {
			return wire.Change{}, fmt.Errorf("nothing written: %w", err)
		}
		if h, row, err = s.readHead(ctx); err != nil {
			return wire.Change{}, fmt.Errorf("nothing written: %w", err)
		}
	}
	base, err := s.readConfig(ctx)
	if err != nil {
		return wire.Change{}, fmt.Errorf("nothing written: %w", err)
	}
	if base.Version != h.Version {
		return wire.Change{}, trace.CompareFailed("another change came between; nothing was written; try again")
	}
	ch, txn, err := prepareTxn(base, h.lostVersions(row), row, edit)
	if err != nil {
		return wire.Change{}, err
	}
	ch.ID, ch.Author, ch.Statement = id, author, statement
	ch.At = clock.Wall(now).UTC().Format(time.RFC3339Nano)
	if err := txn.addChangeRows(ch, row.Era); err != nil {
		return wire.Change{}, err
	}
	if err := s.commit(ctx, ch, txn.Txn); err != nil {
		return ch, err
	}
	if err := s.store.Apply([]wire.Change{ch}); err != nil {
		if err := s.pullFromPlatform(ctx); err != nil {
			return ch, fmt.Errorf("accepted as version %d, but not yet in force here: %w", ch.Version, err)
		}
	}
	return ch, nil
}

// pendingTxn is a transaction without the rows of the change and the head.
type pendingTxn struct {
	kv.Txn
}

// prepareTxn builds the change and the transaction for an edit. The change leaves out versions that changes lost by
// the platform may have had.
func prepareTxn(base *Config, leftOut int, head kv.Row, edit Edit) (wire.Change, *pendingTxn, error) {
	next, err := base.Clone()
	if err != nil {
		return wire.Change{}, nil, err
	}
	next.Version += leftOut
	if err := edit(next); err != nil {
		return wire.Change{}, nil, fmt.Errorf("edit configuration: %w", err)
	}
	next.Version = base.Version + leftOut + 1
	text, err := json.Marshal(next)
	if err != nil {
		return wire.Change{}, nil, fmt.Errorf("encode configuration: %w", err)
	}
	if _, err := configSchema().Read("configuration", text); err != nil {
		return wire.Change{}, nil, trace.BadParameter("%v", err)
	}
	// Diff must run before NewView fills in the defaults.
	after, before, err := Diff(base, next)
	if err != nil {
		return wire.Change{}, nil, err
	}
	if _, err := NewView(next); err != nil {
		return wire.Change{}, nil, trace.BadParameter("%v", err)
	}
	txn := &pendingTxn{}
	txn.Checks, txn.Fenced = []kv.Check{{Key: HeadKey, Version: head.Version, Era: head.Era}}, true
	txn.Puts = []kv.Put{{Key: fullKey, Value: text}}
	return wire.Change{Version: next.Version, Entities: after, Before: before}, txn, nil
}

// addChangeRows adds the rows of the change and the head.
func (p *pendingTxn) addChangeRows(ch wire.Change, era int64) error {
	text, err := json.Marshal(ch)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	top, err := json.Marshal(head{Version: ch.Version, Change: ch.ID, Era: &era})
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	p.Puts = append(p.Puts, kv.Put{Key: changeKey(ch.Version), Value: text}, kv.Put{Key: HeadKey, Value: top})
	return nil
}

// commit retries the transaction until its outcome is known. A write with an
// unknown outcome is sent again: the check on the head row lets at most one copy
// succeed, and the change's id shows whether it was this one.
func (s *Syncer) commit(ctx context.Context, ch wire.Change, txn kv.Txn) error {
	uncertain := false
	for attempt := 0; attempt < maxWriteAttempts; attempt++ {
		err := s.table.Transact(ctx, txn)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, kv.ErrConflict):
			ours, readErr := s.isAccepted(ctx, ch)
			if readErr == nil && ours {
				return nil
			}
			if readErr == nil {
				return trace.CompareFailed("another change became version %d first; nothing was written", ch.Version)
			}
			uncertain = true
		case errors.Is(err, kv.ErrUncertain):
			uncertain = true
		case !uncertain:
			return fmt.Errorf("nothing written: %w", err)
		}
		if err := waitBeforeRetry(ctx, attempt); err != nil {
			break
		}
	}
	return fmt.Errorf("change %s: %w", ch.ID, kv.ErrUncertain)
}

// isAccepted reports whether the change stored under this version is ch.
func (s *Syncer) isAccepted(ctx context.Context, ch wire.Change) (bool, error) {
	row, err := s.table.Get(ctx, changeKey(ch.Version))
	if err != nil {
		return false, fmt.Errorf("read change back: %w", err)
	}
	if row.Version == 0 {
		return false, nil
	}
	var got wire.Change
	if err := json.Unmarshal(row.Value, &got); err != nil {
		return false, fmt.Errorf("decode change: %w", err)
	}
	return got.ID == ch.ID, nil
}

// waitBeforeRetry waits with linear backoff, or until the context is done.
func waitBeforeRetry(ctx context.Context, attempt int) error {
	const step = 50 * time.Millisecond
	t := time.NewTimer(step * time.Duration(attempt+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Undo returns an edit that reverts all changes after a version.
func (s *Syncer) Undo(ctx context.Context, version int) (Edit, error) {
	changes, err := s.History(ctx, version, maxRecentChanges+1)
	if err != nil {
		return nil, err
	}
	if len(changes) > maxRecentChanges {
		return nil, trace.LimitExceeded("a rollback takes back at most %d changes", maxRecentChanges)
	}
	if len(changes) == 0 || changes[0].Version != version+1 {
		return nil, trace.NotFound("no change after version %d is known", version)
	}
	newest := changes[len(changes)-1].Version
	return func(c *Config) error {
		if c.Version != newest {
			return trace.CompareFailed("version %d came between", c.Version)
		}
		for i := len(changes) - 1; i >= 0; i-- {
			for _, e := range changes[i].Before {
				if err := c.setEntity(e); err != nil {
					return fmt.Errorf("take back version %d: %w", changes[i].Version, err)
				}
			}
		}
		return nil
	}, nil
}
