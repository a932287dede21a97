package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/platform"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

const (
	// HeadKey is the row that each accepted change writes: a transaction that
	// checks its version holds only while no other change is accepted.
	HeadKey = "config/head"

	fullKey      = "config/full"
	changePrefix = "config/change/"

	// fetchLimit bounds how many changes are read at once; beyond it the whole
	// configuration is read instead.
	fetchLimit = 64

	// writeTries bounds how often one uncertain write is tried and read back.
	writeTries = 8
)

type (
	// Table is what the keeper needs of the platform.
	Table interface {
		Get(ctx context.Context, key string) (platform.Row, error)
		List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error)
		Transact(ctx context.Context, txn platform.Txn) error
	}

	// Peers asks other nodes for changes after a version, newest first.
	Peers interface {
		Changes(ctx context.Context, after int) ([]*wire.ChangesReply, error)
	}

	// Keeper reads the configuration from the platform and from peers into a
	// Store, and writes accepted changes to the platform.
	Keeper struct {
		store *Store
		table Table
		peers Peers
		log   *slog.Logger
		wake  chan struct{}
	}

	// head is the small row that every node polls.
	head struct {
		Version int    `json:"version"`
		Change  string `json:"change"`
	}

	// Edit makes a change out of the configuration in force: it alters the copy
	// it is given.
	Edit func(c *Config) error
)

// NewKeeper returns a keeper that fills a store.
func NewKeeper(store *Store, table Table, peers Peers, log *slog.Logger) *Keeper {
	return &Keeper{store: store, table: table, peers: peers, log: log, wake: make(chan struct{}, 1)}
}

// Run keeps the store up to date until the context ends. It polls the head row
// each interval, and at once when Wake is called.
func (k *Keeper) Run(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if err := k.Refresh(ctx); err != nil && ctx.Err() == nil {
			k.log.Warn("configuration not refreshed", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-k.wake:
		}
	}
}

// Wake makes Run refresh at once, such as when a peer has a newer version.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Refresh brings the store up to the newest version that the peers and the
// platform know. It fails where neither can be asked.
func (k *Keeper) Refresh(ctx context.Context) error {
	peerErr := k.fromPeers(ctx)
	tableErr := k.fromTable(ctx)
	if tableErr == nil || (peerErr == nil && k.store.Version() > 0) {
		return nil
	}
	return fmt.Errorf("refresh configuration: %w", trace.NewAggregate(tableErr, peerErr))
}

// fromPeers takes what peers know.
func (k *Keeper) fromPeers(ctx context.Context) error {
	replies, err := k.peers.Changes(ctx, k.store.Version())
	if err != nil {
		return fmt.Errorf("ask peers: %w", err)
	}
	for _, r := range replies {
		if err := k.Take(r); err != nil {
			return fmt.Errorf("take a peer's changes: %w", err)
		}
	}
	return nil
}

// Take puts a peer's answer into force where it is newer.
func (k *Keeper) Take(r *wire.ChangesReply) error {
	if r.Config == nil {
		if len(r.Changes) == 0 {
			return nil
		}
		return k.store.Apply(r.Changes)
	}
	c := &Config{}
	if err := json.Unmarshal(*r.Config, c); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	_, err := k.store.Replace(c)
	return err
}

// Answer returns what this node knows after a version, for a peer.
func (k *Keeper) Answer(after int) (*wire.ChangesReply, error) {
	view := k.store.View()
	if view == nil {
		return &wire.ChangesReply{}, nil
	}
	reply := &wire.ChangesReply{Version: view.Config.Version}
	changes, known := k.store.After(after)
	if known && after > 0 {
		reply.Changes = changes
		return reply, nil
	}
	text, err := json.Marshal(view.Config)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	raw := json.RawMessage(text)
	reply.Config = &raw
	return reply, nil
}

// fromTable reads the head row and what it says is newer.
func (k *Keeper) fromTable(ctx context.Context) error {
	h, _, err := k.head(ctx)
	if err != nil {
		return err
	}
	have := k.store.Version()
	if h.Version <= have {
		return nil
	}
	if have > 0 && h.Version-have <= fetchLimit {
		changes, err := k.History(ctx, have, fetchLimit)
		if err == nil && k.store.Apply(changes) == nil && k.store.Version() >= h.Version {
			return nil
		}
	}
	c, err := k.full(ctx)
	if err != nil {
		return err
	}
	if _, err := k.store.Replace(c); err != nil {
		return fmt.Errorf("take configuration of the platform: %w", err)
	}
	return nil
}

// head reads the head row and its row version.
func (k *Keeper) head(ctx context.Context) (head, int, error) {
	row, err := k.table.Get(ctx, HeadKey)
	if err != nil {
		return head{}, 0, fmt.Errorf("read head of configuration: %w", err)
	}
	h, err := decodeHead(row)
	return h, row.Version, err
}

// decodeHead reads the head row; an absent one is version 0.
func decodeHead(row platform.Row) (head, error) {
	var h head
	if row.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, fmt.Errorf("decode head of configuration: %w", err)
	}
	return h, nil
}

// HeadVersion returns the version that the head row names.
func HeadVersion(row platform.Row) (int, error) {
	h, err := decodeHead(row)
	return h.Version, err
}

// full reads the whole configuration; an absent one is empty, at version 0.
func (k *Keeper) full(ctx context.Context) (*Config, error) {
	row, err := k.table.Get(ctx, fullKey)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c := &Config{}
	if row.Version == 0 {
		return c, nil
	}
	if err := json.Unmarshal(row.Value, c); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return c, nil
}

// History returns up to limit accepted changes after a version, oldest first.
func (k *Keeper) History(ctx context.Context, after, limit int) ([]wire.Change, error) {
	rows, err := k.table.List(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	out := make([]wire.Change, 0, len(rows))
	for _, r := range rows {
		var ch wire.Change
		if err := json.Unmarshal(r.Value, &ch); err != nil {
			return nil, fmt.Errorf("decode change %s: %w", r.Key, err)
		}
		out = append(out, ch)
	}
	return out, nil
}

// changeKey returns the key of the change that made a version; keys sort like
// versions.
func changeKey(version int) string {
	digits := strconv.Itoa(version)
	const width = 12
	return changePrefix + "000000000000"[:width-len(digits)] + digits
}

// Write makes an edit of the newest configuration an accepted change. It
// returns only when that is certain: a nil error means accepted and in force at
// this node. trace.CompareFailed means that another operator's change came
// between and nothing was written; ErrUncertain means that the platform could
// not be asked in time, and the history will tell by the change's id.
func (k *Keeper) Write(ctx context.Context, now time.Time, id, author, statement string, edit Edit) (wire.Change, error) {
	h, rowVersion, err := k.head(ctx)
	if err != nil {
		return wire.Change{}, fmt.Errorf("nothing written: %w", err)
	}
	base, err := k.full(ctx)
	if err != nil {
		return wire.Change{}, fmt.Errorf("nothing written: %w", err)
	}
	if base.Version != h.Version {
		return wire.Change{}, trace.CompareFailed("another change came between; nothing was written; try again")
	}
	ch, txn, err := prepare(base, rowVersion, edit)
	if err != nil {
		return wire.Change{}, err
	}
	ch.ID, ch.Author, ch.Statement = id, author, statement
	ch.At = now.UTC().Format(time.RFC3339Nano)
	if err := txn.finish(ch); err != nil {
		return wire.Change{}, err
	}
	if err := k.commit(ctx, ch, txn.Txn); err != nil {
		return ch, err
	}
	if err := k.store.Apply([]wire.Change{ch}); err != nil {
		if err := k.fromTable(ctx); err != nil {
			return ch, fmt.Errorf("accepted as version %d, but not yet in force here: %w", ch.Version, err)
		}
	}
	return ch, nil
}

// pending is a transaction whose change row is not yet filled in.
type pending struct {
	platform.Txn
}

// prepare builds the change and the transaction that an edit asks for.
func prepare(base *Config, rowVersion int, edit Edit) (wire.Change, *pending, error) {
	next, err := base.Clone()
	if err != nil {
		return wire.Change{}, nil, err
	}
	if err := edit(next); err != nil {
		return wire.Change{}, nil, fmt.Errorf("edit configuration: %w", err)
	}
	next.Version = base.Version + 1
	text, err := json.Marshal(next)
	if err != nil {
		return wire.Change{}, nil, fmt.Errorf("encode configuration: %w", err)
	}
	if _, err := compiled.Read("configuration", text); err != nil {
		return wire.Change{}, nil, trace.BadParameter("%v", err)
	}
	// The difference is taken before NewView fills in the defaults.
	after, before, err := Diff(base, next)
	if err != nil {
		return wire.Change{}, nil, err
	}
	if _, err := NewView(next); err != nil {
		return wire.Change{}, nil, trace.BadParameter("%v", err)
	}
	txn := &pending{}
	txn.Checks = []platform.Check{{Key: HeadKey, Version: rowVersion}}
	txn.Puts = []platform.Put{{Key: fullKey, Value: text}}
	return wire.Change{Version: next.Version, Entities: after, Before: before}, txn, nil
}

// finish adds the rows of the change and of the head.
func (p *pending) finish(ch wire.Change) error {
	text, err := json.Marshal(ch)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	top, err := json.Marshal(head{Version: ch.Version, Change: ch.ID})
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	p.Puts = append(p.Puts, platform.Put{Key: changeKey(ch.Version), Value: text}, platform.Put{Key: HeadKey, Value: top})
	return nil
}

// commit sends the transaction until it is known whether it took effect. An
// uncertain write is sent again: the check on the head row lets at most one of
// the copies through, and the id of the change tells whether it was ours.
func (k *Keeper) commit(ctx context.Context, ch wire.Change, txn platform.Txn) error {
	uncertain := false
	for try := 0; try < writeTries; try++ {
		err := k.table.Transact(ctx, txn)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			mine, readErr := k.accepted(ctx, ch)
			if readErr == nil && mine {
				return nil
			}
			if readErr == nil {
				return trace.CompareFailed("another change became version %d first; nothing was written", ch.Version)
			}
			uncertain = true
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
		case !uncertain:
			return fmt.Errorf("nothing written: %w", err)
		}
		if err := pause(ctx, try); err != nil {
			break
		}
	}
	return fmt.Errorf("change %s: %w", ch.ID, platform.ErrUncertain)
}

// accepted reports whether the change that made a version is this one.
func (k *Keeper) accepted(ctx context.Context, ch wire.Change) (bool, error) {
	row, err := k.table.Get(ctx, changeKey(ch.Version))
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

// pause waits longer after each try, or until the context ends.
func pause(ctx context.Context, try int) error {
	const step = 50 * time.Millisecond
	t := time.NewTimer(step * time.Duration(try+1))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Undo returns the edit that takes back all changes after a version.
func (k *Keeper) Undo(ctx context.Context, version int) (Edit, error) {
	changes, err := k.History(ctx, version, recentChanges+1)
	if err != nil {
		return nil, err
	}
	if len(changes) > recentChanges {
		return nil, trace.LimitExceeded("a rollback takes back at most %d changes", recentChanges)
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
				if err := c.put(e); err != nil {
					return fmt.Errorf("take back version %d: %w", changes[i].Version, err)
				}
			}
		}
		return nil
	}, nil
}
