// Package register makes nodes known to each other through a table of the
// platform, where each has a row. Afterwards they tell each other by datagrams.
package register

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// table holds a row for each node, under its name.
	table = "croftturn-nodes"

	// nodesEvery is how often the table is read again once this node stands in
	// it. Nodes that start later make themselves known by datagrams, so that this
	// is only for those whose datagrams were lost.
	nodesEvery = time.Minute
)

// Store is what the register needs of the platform.
type Store interface {
	List(ctx context.Context, table, part string) (feed.Snapshot, error)
	Write(ctx context.Context, tx feed.Tx) error
}

// Register makes this node known to the others through the store, and the
// others to it.
type Register struct {
	store Store
	self  gossip.Self
	meet  func(now time.Time, s gossip.Self)
	log   *slog.Logger

	wasRead atomic.Bool
}

// New returns a register; meet is told of each node in it.
func New(store Store, self gossip.Self, meet func(now time.Time, s gossip.Self), log *slog.Logger) *Register {
	return &Register{store: store, self: self, meet: meet, log: log}
}

// Run registers the node and reads the register until the context ends. It
// writes first and reads then, so that of two nodes which start together at least
// one sees the other, and makes itself known to it.
func (r *Register) Run(ctx context.Context) {
	var backoff pause.Backoff
	written := false
	for ctx.Err() == nil {
		var err error
		if !written {
			err = r.write(ctx, 0)
			written = err == nil
		}
		if err == nil {
			_, err = r.read(ctx)
		}
		if err != nil {
			r.log.Warn("register not written or read", "written", written, "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		pause.Spread(ctx, nodesEvery)
	}
}

// read reads the register and returns this node's own row, which may be absent.
func (r *Register) read(ctx context.Context) (own feed.Row, err error) {
	snap, err := r.store.List(ctx, table, "")
	if err != nil {
		return feed.Row{}, fmt.Errorf("read register: %w", err)
	}
	now := time.Now()
	own = feed.Row{Table: table, Key: r.self.Name}
	for _, row := range snap.Rows {
		if row.Key == r.self.Name {
			own = row
			continue
		}
		var other gossip.Self
		if err := json.Unmarshal(row.Value, &other); err != nil {
			r.log.Error("node in register not understood", "key", row.Key, "error", err.Error())
			continue
		}
		r.meet(now, other)
	}
	r.wasRead.Store(true)
	return own, nil
}

// Read reports whether the register was read at least once.
func (r *Register) Read() bool { return r.wasRead.Load() }

// write writes this node's row, on the condition that it has a version. A row
// of an earlier start with the same addresses serves as it is.
func (r *Register) write(ctx context.Context, version int64) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return fmt.Errorf("encode node: %w", err)
	}
	put := feed.Row{Table: table, Key: r.self.Name, Value: value}
	expect := feed.Row{Table: table, Key: r.self.Name, Version: version}
	err = r.store.Write(ctx, feed.Tx{Expect: []feed.Row{expect}, Put: []feed.Row{put}})
	var conflict *feed.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) == 1 && conflict.Rows[0].Version != version {
		if r.serves(conflict.Rows[0]) {
			return nil
		}
		return r.write(ctx, conflict.Rows[0].Version)
	}
	if err != nil {
		return fmt.Errorf("write register: %w", err)
	}
	r.log.Info("node registered", "peer_address", r.self.PeerAddress, "caller_address", r.self.CallerAddress, "incarnation", r.self.Incarnation)
	return nil
}

// serves reports whether a row tells how to reach this node.
func (r *Register) serves(row feed.Row) bool {
	var old gossip.Self
	if err := json.Unmarshal(row.Value, &old); err != nil {
		return false // It is replaced.
	}
	return old.PeerAddress == r.self.PeerAddress && old.CallerAddress == r.self.CallerAddress && old.Hall == r.self.Hall
}

// Leave removes this node's row. A row that stays harms nothing: others see by
// its silence that the node is gone.
func (r *Register) Leave(ctx context.Context) error {
	own, err := r.read(ctx)
	if err != nil {
		return err
	}
	if own.Version == 0 {
		return nil
	}
	err = r.store.Write(ctx, feed.Tx{Expect: []feed.Row{own}, Delete: []feed.Row{own}})
	if err != nil && !errors.Is(err, feed.ErrConflict) {
		return fmt.Errorf("leave register: %w", err)
	}
	return nil
}
