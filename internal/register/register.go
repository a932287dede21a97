// Package register makes nodes known to each other through a table of the
// platform, where each has a row. Afterwards they tell each other by datagrams.
package register

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
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

	// startSpread is the time over which nodes register at the first start of the whole
	// system: the store takes some 150 rows of a table a second, and 300 at once would
	// be turned away and try again.
	startSpread = 2 * time.Second
)

// errNotNode says that a row lacks what each node writes of itself.
var errNotNode = errors.New("a node's name, hall or address is missing")

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
	first bool // first says that the whole system starts for the first time.
	meet  func(now time.Time, s gossip.Self)
	log   *slog.Logger

	written bool // written says that this node stands in the register; only Run has it.
	wasRead atomic.Bool
}

// New returns a register; first says that the whole system starts for the first time, and
// meet is told of each node in it.
func New(store Store, self gossip.Self, first bool, meet func(now time.Time, s gossip.Self), log *slog.Logger) *Register {
	return &Register{store: store, self: self, first: first, meet: meet, log: log}
}

// Run registers the node and reads the register until the context ends.
func (r *Register) Run(ctx context.Context) {
	var backoff pause.Backoff
	if r.first {
		pause.For(ctx, rand.N(startSpread))
	}
	for ctx.Err() == nil {
		err := r.enter(ctx)
		if err != nil {
			r.log.Warn("register not written or read", "written", r.written, "error", err.Error())
			backoff.Wait(ctx)
			continue
		}
		r.wasRead.Store(true)
		backoff.Reset()
		pause.Spread(ctx, nodesEvery)
	}
}

// enter makes one attempt to stand in the register and to read it. At the first start of
// the whole system it writes first and reads then, so that of two nodes which start
// together at least one sees the other, and makes itself known to it. At a later start a row
// of before mostly serves as it is, so that reading it is enough.
func (r *Register) enter(ctx context.Context) error {
	var own feed.Row
	if !r.first && !r.written {
		var err error
		if own, err = r.read(ctx); err != nil {
			return err
		}
		if own.Version > 0 && r.serves(own) {
			r.written = true
			return nil
		}
	}
	if !r.written {
		if err := r.write(ctx, own.Version); err != nil {
			return err
		}
		r.written = true
	}
	_, err := r.read(ctx)
	return err
}

// read reads the register and returns this node's own row, which may be absent.
func (r *Register) read(ctx context.Context) (own feed.Row, err error) {
	snap, err := r.store.List(ctx, table, "")
	if err != nil {
		return feed.Row{}, fmt.Errorf("read register: %w", err)
	}
	now := clock.Now()
	own = feed.Row{Table: table, Key: r.self.Name}
	for _, row := range snap.Rows {
		if row.Key == r.self.Name {
			own = row
			continue
		}
		other, err := decode(row)
		if err != nil {
			r.log.Error("node in register not understood", "key", row.Key, "error", err.Error())
			continue
		}
		r.meet(now, other)
	}
	return own, nil
}

// decode returns the node of a row. An error says that no node wrote it.
func decode(row feed.Row) (gossip.Self, error) {
	var s gossip.Self
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return gossip.Self{}, fmt.Errorf("decode node: %w", err)
	}
	if s.Name != row.Key || s.Hall == "" || s.PeerAddress == "" || s.CallerAddress == "" || s.Incarnation <= 0 || s.Cores < 0 {
		return gossip.Self{}, errNotNode
	}
	return s, nil
}

// Read reports whether this node stands in the register and has read it.
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
	old, err := decode(row)
	if err != nil {
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
