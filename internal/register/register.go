// Package register makes nodes known to each other through a table of the platform. Each hall is a part of
// the table, and its rows stand in the order in which its nodes become hubs, the largest first. A node reads the
// head of its hall's part and makes itself known there by datagrams; only a node that belongs to the head writes a
// row of its own. So what the store carries at a start does not grow with the square of the nodes: each node reads
// the same few rows, and the rows written in a hall grow with the logarithm of its nodes where these come in any order.
package register

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/entry"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// table holds the rows of nodes. Its name differs from that of earlier releases, whose rows stand in no order.
	table = "croftturn-register"

	// headRows is how many rows are the head of a hall: of so many nodes some live and know the hubs.
	headRows = 16

	// startSpread is the time over which nodes register at the first start of the whole system: the store takes some
	// 150 rows of a part a second.
	startSpread = 2 * time.Second

	// watchEvery is how often a node looks whether it has to read more of the register.
	watchEvery = 500 * time.Millisecond

	// lonelyFor is how long a node hears nobody until it looks for more peers in the register, first among the head of its
	// hall and then among all rows there; each time it waits twice as long for the next, lonelyMost at most.
	lonelyFor  = 2 * time.Second
	lonelyMost = time.Minute

	// repairEvery is how often a hub reads one hall's head again, for those whose datagrams were lost.
	repairEvery = time.Minute
)

// errNotNode says that a row lacks what each node writes of itself.
var errNotNode = errors.New("a node's name, hall or address is missing")

type (
	// Store is what the register needs of the platform.
	Store interface {
		List(ctx context.Context, table, part string) (feed.Snapshot, error)
		Range(ctx context.Context, table, part, from, to string, limit int) (snap feed.Snapshot, more bool, err error)
		Commit(ctx context.Context, tx feed.Tx) (version int64, err error)
	}

	// Peers are told of the nodes in the register.
	Peers interface {
		// AddPeer adds a node that was learned of.
		AddPeer(now time.Time, s gossip.NodeInfo)

		// UpdateHubs works out anew who the hubs are.
		UpdateHubs(now time.Time)

		// IsHub reports whether this node is a hub, which has to know those of other halls.
		IsHub() bool

		// Isolated reports whether this node hears nobody.
		Isolated(now time.Time) bool
	}

	// Register makes this node known to the others through the store, and the
	// others to it.
	Register struct {
		store Store
		self  gossip.NodeInfo
		key   string    // key is of this node's row.
		halls []string  // halls are all halls, this node's first.
		first bool      // first says that the whole system starts for the first time.
		begin time.Time // begin is when this node started.
		peers Peers
		log   *slog.Logger

		row       atomic.Pointer[feed.Row] // row is this node's own; nil while there is none.
		wasRead   atomic.Bool
		headsRead bool          // headsRead says that the heads of all halls were read.
		repaired  int           // repaired counts the heads that were read again.
		repairAt  time.Time     // repairAt is when the next is due.
		lonelyAt  time.Time     // lonelyAt is since when this node hears nobody; zero if it hears one.
		patience  time.Duration // patience is how long it waits for that.
	}
)

// New returns a register; halls are all halls, and first says that the whole system starts for the first time.
func New(now time.Time, store Store, self gossip.NodeInfo, halls []string, first bool, peers Peers, log *slog.Logger) *Register {
	others := slices.DeleteFunc(slices.Clone(halls), func(hall string) bool { return hall == self.Hall })
	slices.Sort(others)
	return &Register{store: store, self: self, key: keyOf(self), halls: append([]string{self.Hall}, others...), first: first, begin: now, peers: peers, patience: lonelyFor, log: log}
}

// keyOf returns the key of a node's row.
func keyOf(s gossip.NodeInfo) string {
	return entry.Node{Name: s.Name, Cores: s.Cores}.SizeKey() + "-" + s.Name
}

// Run registers the node and reads the register, as far as it is needed, until the context ends.
func (r *Register) Run(ctx context.Context) {
	if r.first {
		pause.For(ctx, rand.N(startSpread))
	}
	r.untilDone(ctx, r.Join)
	if !r.first { // Callers wait already.
		r.peers.UpdateHubs(clock.Now())
		r.untilDone(ctx, r.watchNow)
	}
	for pause.For(ctx, watchEvery) {
		r.untilDone(ctx, r.watchNow)
	}
}

// untilDone calls a function until it succeeds or the context ends.
func (r *Register) untilDone(ctx context.Context, f func(ctx context.Context) error) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		err := f(ctx)
		if err == nil {
			return
		}
		r.log.Warn("register not written or read", "written", r.row.Load() != nil, "error", err.Error())
		backoff.Wait(ctx)
	}
}

// Join makes one attempt to make this node known. It writes its row where it belongs to the head of its hall. A node that
// callers wait for reads the head once more then: of two nodes that start together at least one sees the other, and makes
// itself known to it; at the first start hubs do so once all have registered. A row of an earlier start mostly serves as it is.
func (r *Register) Join(ctx context.Context) error {
	head, err := r.readHead(ctx, r.self.Hall)
	if err != nil {
		return err
	}
	belongs := len(head) < headRows || r.key < head[len(head)-1].Key
	if r.row.Load() == nil && belongs {
		if err := r.writeOwn(ctx); err != nil {
			return err
		}
		if !r.first {
			if err := r.readOwnHead(ctx); err != nil {
				return err
			}
		}
	}
	r.wasRead.Store(true)
	return nil
}

// watchNow watches at the present time.
func (r *Register) watchNow(ctx context.Context) error { return r.Poll(ctx, clock.Now()) }

// Poll reads more of the register where that is due. A hub always stands in the register, so that whoever reads the head
// of a hall finds nodes that live as long as there are any. At the first start it waits until all nodes have had the time to
// register.
func (r *Register) Poll(ctx context.Context, now time.Time) error {
	if r.first && now.Sub(r.begin) < startSpread+watchEvery {
		return nil
	}
	hub, lonely := r.peers.IsHub(), r.peers.Isolated(now)
	switch {
	case !lonely:
		r.lonelyAt, r.patience = time.Time{}, lonelyFor
	case r.lonelyAt.IsZero():
		r.lonelyAt = now
	}
	switch {
	case lonely && now.Sub(r.lonelyAt) >= r.patience:
		return r.widen(ctx, now)
	case hub && r.row.Load() == nil:
		return r.writeOwn(ctx)
	case hub && !r.headsRead:
		return r.readHeads(ctx, now)
	case hub && !now.Before(r.repairAt):
		return r.repair(ctx, now)
	}
	return nil
}

// widen looks for peers where none is heard: in the head of the hall, and later among all its rows. The node writes its own
// row wherever it stands, since all that stand before it may be gone for good.
func (r *Register) widen(ctx context.Context, now time.Time) error {
	r.log.Warn("nobody heard; looking for peers in the register", "after_ms", r.patience.Milliseconds())
	if r.row.Load() == nil {
		if err := r.writeOwn(ctx); err != nil {
			return err
		}
	}
	read := r.readAll
	if r.patience == lonelyFor {
		read = r.readOwnHead
	}
	if err := read(ctx); err != nil {
		return err
	}
	r.lonelyAt, r.patience = now, min(2*r.patience, lonelyMost)
	return nil
}

// readHeads reads the heads of the other halls, and at the first start that of its own once more, since nodes that knew few
// others may have taken themselves for hubs.
func (r *Register) readHeads(ctx context.Context, now time.Time) error {
	halls := r.halls
	if !r.first {
		halls = halls[1:]
	}
	for _, hall := range halls {
		if _, err := r.readHead(ctx, hall); err != nil {
			return err
		}
	}
	r.headsRead = true
	r.repairAt = now.Add(repairEvery/2 + rand.N(repairEvery))
	r.peers.UpdateHubs(now)
	return nil
}

// repair reads one hall's head again, another each time.
func (r *Register) repair(ctx context.Context, now time.Time) error {
	if _, err := r.readHead(ctx, r.halls[r.repaired%len(r.halls)]); err != nil {
		return err
	}
	r.repaired++
	r.repairAt = now.Add(repairEvery/2 + rand.N(repairEvery))
	return nil
}

// readHead reads the head of a hall and tells the peers of it.
func (r *Register) readHead(ctx context.Context, hall string) ([]feed.Row, error) {
	snap, _, err := r.store.Range(ctx, table, hall, "", "", headRows)
	if err != nil {
		return nil, fmt.Errorf("read head of register: %w", err)
	}
	r.takeAll(hall, snap.Rows)
	return snap.Rows, nil
}

// readOwnHead reads the head of this node's hall.
func (r *Register) readOwnHead(ctx context.Context) error {
	_, err := r.readHead(ctx, r.self.Hall)
	return err
}

// readAll reads all rows of this node's hall and tells the peers of them.
func (r *Register) readAll(ctx context.Context) error {
	snap, err := r.store.List(ctx, table, r.self.Hall)
	if err != nil {
		return fmt.Errorf("read register: %w", err)
	}
	r.takeAll(r.self.Hall, snap.Rows)
	return nil
}

// takeAll takes rows of a hall.
func (r *Register) takeAll(hall string, rows []feed.Row) {
	now := clock.Now()
	for _, row := range rows {
		r.take(now, hall, row)
	}
}

// take takes one row.
func (r *Register) take(now time.Time, hall string, row feed.Row) {
	if hall == r.self.Hall && row.Key == r.key {
		if r.serves(row) {
			r.row.Store(&row)
		}
		return
	}
	other, err := decode(row)
	if err != nil {
		r.log.Error("node in register not understood", "hall", hall, "key", row.Key, "error", err.Error())
		return
	}
	r.peers.AddPeer(now, other)
}

// decode returns the node of a row. An error says that no node wrote it.
func decode(row feed.Row) (gossip.NodeInfo, error) {
	var s gossip.NodeInfo
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return gossip.NodeInfo{}, fmt.Errorf("decode node: %w", err)
	}
	if s.Name == "" || !strings.HasSuffix(row.Key, "-"+s.Name) || s.Hall == "" || s.PeerAddress == "" || s.CallerAddress == "" || s.Incarnation <= 0 || s.Cores < 0 {
		return gossip.NodeInfo{}, errNotNode
	}
	return s, nil
}

// Joined reports whether this node has read the head of its hall, and stands in the register if it belongs there.
func (r *Register) Joined() bool { return r.wasRead.Load() }

// writeOwn writes this node's row where there is none.
func (r *Register) writeOwn(ctx context.Context) error { return r.write(ctx, 0) }

// write writes this node's row, on the condition that it has a version. A row
// of an earlier start with the same addresses serves as it is.
func (r *Register) write(ctx context.Context, version int64) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return fmt.Errorf("encode node: %w", err)
	}
	put := feed.Row{Table: table, Part: r.self.Hall, Key: r.key, Value: value}
	expect := feed.Row{Table: table, Part: r.self.Hall, Key: r.key, Version: version}
	put.Version, err = r.store.Commit(ctx, feed.Tx{Expect: []feed.Row{expect}, Put: []feed.Row{put}})
	var conflict *feed.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) == 1 && conflict.Rows[0].Version != version {
		if have := conflict.Rows[0]; r.serves(have) {
			r.row.Store(&have)
			return nil
		}
		return r.write(ctx, conflict.Rows[0].Version)
	}
	if err != nil {
		return fmt.Errorf("write register: %w", err)
	}
	r.row.Store(&put)
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
	own := r.row.Load()
	if own == nil {
		return nil
	}
	_, err := r.store.Commit(ctx, feed.Tx{Expect: []feed.Row{*own}, Delete: []feed.Row{*own}})
	if err != nil && !errors.Is(err, feed.ErrConflict) {
		return fmt.Errorf("leave register: %w", err)
	}
	return nil
}
