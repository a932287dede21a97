package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/croftturn/croftturn/internal/kv"
)

// maxLostVersions is more changes than the platform can lose: one every 8 ms for over a minute.
const maxLostVersions = 10_000

// lostVersions returns how many versions the next change leaves out. The first one in an era leaves out those of
// changes that the platform may have lost: orders to engines were sent with them as fencing tokens.
func (h head) lostVersions(row kv.Row) int {
	if h.Era != nil && *h.Era < row.Era {
		return maxLostVersions
	}
	return 0
}

// compareEra makes the platform's configuration the one in effect if it has another change under the version in
// effect here: one that was accepted after the platform had come back from a copy without the change that this node
// has. It compares once for each era.
func (s *Syncer) compareEra(ctx context.Context, have int, row kv.Row) error {
	if s.compared && s.era == row.Era {
		return nil
	}
	if have > 0 {
		same, err := s.hasChange(ctx, have)
		if err != nil {
			return err
		}
		if !same {
			c, err := s.readConfig(ctx)
			if err != nil {
				return err
			}
			if err := s.store.install(c); err != nil {
				return fmt.Errorf("take configuration of the platform: %w", err)
			}
			s.log.Error("a change that the platform lost is no longer in effect; another one was accepted before it was written again", "version", have, "version_now", c.Version, "era", row.Era)
		}
	}
	s.compared, s.era = true, row.Era
	return nil
}

// hasChange reports whether the change under a version on the platform is the one that is in effect here. Where a
// node does not know which one is, as after it has started, it counts as the same until the platform comes back
// again.
func (s *Syncer) hasChange(ctx context.Context, version int) (bool, error) {
	changes, known := s.store.ChangesAfter(version - 1)
	if !known || len(changes) == 0 {
		return !s.compared, nil
	}
	stored, err := s.History(ctx, version-1, 1)
	if err != nil {
		return false, err
	}
	return len(stored) == 1 && stored[0].ID == changes[0].ID, nil
}

// restore writes the configuration in effect to a platform that has come back from a copy with an older one. Every
// accepted change was on the platform before it took effect here, so an older head means that it was lost.
func (s *Syncer) restore(ctx context.Context, h head, row kv.Row) error {
	view := s.store.View()
	text, err := json.Marshal(view.Config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	top := head{Version: view.Config.Version, Era: h.Era} // Later versions may be lost, too.
	txn := kv.Txn{Checks: []kv.Check{{Key: HeadKey, Version: row.Version, Era: row.Era}}, Puts: []kv.Put{{Key: fullKey, Value: text}}, Fenced: true}
	changes, known := s.store.ChangesAfter(h.Version)
	if len(changes) > maxFetchedChanges {
		changes = changes[len(changes)-maxFetchedChanges:]
	}
	for _, ch := range changes {
		value, err := json.Marshal(ch)
		if err != nil {
			return fmt.Errorf("encode change: %w", err)
		}
		txn.Puts = append(txn.Puts, kv.Put{Key: changeKey(ch.Version), Value: value})
		top.Change = ch.ID
	}
	value, err := json.Marshal(top)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	txn.Puts = append(txn.Puts, kv.Put{Key: HeadKey, Value: value})
	err = s.table.Transact(ctx, txn)
	if errors.Is(err, kv.ErrConflict) {
		return nil // Another node was first; the next poll shows it.
	}
	if err != nil {
		return fmt.Errorf("write the configuration again: %w", err)
	}
	s.lostPolls = 0
	s.log.Warn("configuration written again after the platform lost it", "version", top.Version, "version_lost_to", h.Version, "changes", len(changes), "history_whole", known, "era", row.Era)
	return nil
}
