// Package register lets nodes find each other through a table of the platform. Each hall is a part of
// the table, and its rows are sorted in the order in which its nodes become hubs, largest first. A
// node reads the first rows of its hall's part, the head, and announces itself to these nodes in
// datagrams; only a node that belongs to the head writes a row. So the load on the store at a start
// does not grow with the square of the number of nodes: all nodes read the same few rows, and if nodes
// arrive in random order, the rows written per hall grow with the logarithm of its nodes.
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
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// table holds the node rows. Earlier releases used another name; their rows are unordered.
	table = "croftturn-register"

	// headRows is the size of a hall's head: among so many nodes some are alive and know the hubs.
	headRows = 16

	// startSpread is the period over which nodes register at the first start of the whole system. The
	// store accepts about 150 rows per part and second.
	startSpread = 2 * time.Second

	// pollInterval is how often a node checks whether it has to read more of the register.
	pollInterval = 500 * time.Millisecond

	// initialSearchDelay is how long a node hears no peer before it searches the register for more,
	// first in the head of its hall and then among all rows there. The delay doubles with each search,
	// up to maxSearchDelay.
	initialSearchDelay = 2 * time.Second
	maxSearchDelay     = time.Minute

	// rereadInterval is how often a hub rereads the head of one hall, in case datagrams to nodes there
	// were lost.
	rereadInterval = time.Minute
)

// errInvalidNode is returned for a row that lacks a field that every node writes.
var errInvalidNode = errors.New("a node's name, hall or address is missing")

type (
	// Store is the part of the platform's store that the register uses.
	Store interface {
		List(ctx context.Context, table, part string) (feed.Snapshot, error)
		Range(ctx context.Context, table, part, from, to string, limit int) (snap feed.Snapshot, more bool, err error)
		Commit(ctx context.Context, tx feed.Tx) (at history.Position, err error)
	}

	// Peers receives the nodes found in the register.
	Peers interface {
		// AddPeer adds a node.
		AddPeer(now time.Time, s gossip.NodeInfo)

		// UpdateHubs recomputes which nodes are hubs.
		UpdateHubs(now time.Time)

		// IsHub reports whether this node is a hub, which must know the hubs of other halls.
		IsHub() bool

		// Isolated reports whether this node hears no peer.
		Isolated(now time.Time) bool
	}

	// Register announces this node to the others through the store and finds the others there.
	Register struct {
		store      Store
		self       gossip.NodeInfo
		key        string    // key is the key of this node's row.
		halls      []string  // halls are all halls, this node's first.
		firstStart bool      // firstStart reports whether the whole system starts for the first time.
		startedAt  time.Time // startedAt is when this node started.
		peers      Peers
		log        *slog.Logger

		row           atomic.Pointer[feed.Row] // row is this node's row; nil if there is none.
		returned      atomic.Bool              // returned is set once the store has come back from a copy, which may lack the row.
		rewriteAt     time.Time                // rewriteAt is when the row is written again after that; zero if it is not to be.
		joined        atomic.Bool
		headsRead     bool          // headsRead reports whether the heads of all halls were read.
		rereads       int           // rereads counts the heads that were reread.
		nextReread    time.Time     // nextReread is when the next head is due for rereading.
		isolatedSince time.Time     // isolatedSince is since when this node hears no peer, or when it last searched; zero if it hears one.
		searchDelay   time.Duration // searchDelay is how long the node waits before the next search.
	}
)

// New returns a Register; halls are all halls, and firstStart reports whether the whole system starts for
// the first time.
func New(now time.Time, store Store, self gossip.NodeInfo, halls []string, firstStart bool, peers Peers, log *slog.Logger) *Register {
	others := slices.DeleteFunc(slices.Clone(halls), func(hall string) bool { return hall == self.Hall })
	slices.Sort(others)
	return &Register{store: store, self: self, key: rowKey(self), halls: append([]string{self.Hall}, others...), firstStart: firstStart, startedAt: now, peers: peers, searchDelay: initialSearchDelay, log: log}
}

// rowKey returns the key of a node's row.
func rowKey(s gossip.NodeInfo) string {
	return entry.Node{Name: s.Name, Cores: s.Cores}.SizeKey() + "-" + s.Name
}

// Run registers the node and reads the register as needed until the context ends.
func (r *Register) Run(ctx context.Context) {
	if r.firstStart {
		pause.For(ctx, rand.N(startSpread))
	}
	r.retryUntilDone(ctx, r.Join)
	if !r.firstStart { // Callers are already waiting.
		r.peers.UpdateHubs(clock.Now())
		r.retryUntilDone(ctx, r.pollNow)
	}
	for pause.For(ctx, pollInterval) {
		r.retryUntilDone(ctx, r.pollNow)
	}
}

// retryUntilDone calls a function until it succeeds or the context ends.
func (r *Register) retryUntilDone(ctx context.Context, f func(ctx context.Context) error) {
	var backoff pause.Backoff
	for ctx.Err() == nil {
		err := f(ctx)
		if err == nil {
			return
		}
		r.log.Warn("writing or reading the register failed; retrying", "written", r.row.Load() != nil, "error", err.Error())
		backoff.Wait(ctx)
	}
}

// Join makes one attempt to announce this node. It writes the node's row if the node belongs to the
// head of its hall. If callers are already waiting, it then reads the head again: of two nodes that
// start together at least one sees the other and announces itself to it. At the first start the hubs
// do so after all nodes have registered. A row of an earlier start usually can be kept.
func (r *Register) Join(ctx context.Context) error {
	head, err := r.readHead(ctx, r.self.Hall)
	if err != nil {
		return err
	}
	belongs := len(head) < headRows || r.key < head[len(head)-1].Key
	if r.row.Load() == nil && belongs {
		if err := r.writeOwnRow(ctx); err != nil {
			return err
		}
		if !r.firstStart {
			if err := r.readOwnHead(ctx); err != nil {
				return err
			}
		}
	}
	r.joined.Store(true)
	return nil
}

// pollNow calls Poll with the current time.
func (r *Register) pollNow(ctx context.Context) error { return r.Poll(ctx, clock.Now()) }

// StoreReturned records that the store has come back from a copy. A node that has a row writes it again if the copy
// lacks it.
func (r *Register) StoreReturned() { r.returned.Store(true) }

// Poll reads more of the register if that is due. A hub always has a row, so a reader of a hall's head
// finds running nodes as long as there are any. At the first start Poll waits until all nodes have had
// time to register.
func (r *Register) Poll(ctx context.Context, now time.Time) error {
	if r.firstStart && now.Sub(r.startedAt) < startSpread+pollInterval {
		return nil
	}
	if r.returned.Swap(false) && r.row.Load() != nil {
		r.rewriteAt = now.Add(rand.N(startSpread))
	}
	hub, isolated := r.peers.IsHub(), r.peers.Isolated(now)
	switch {
	case !isolated:
		r.isolatedSince, r.searchDelay = time.Time{}, initialSearchDelay
	case r.isolatedSince.IsZero():
		r.isolatedSince = now
	}
	switch {
	case isolated && now.Sub(r.isolatedSince) >= r.searchDelay:
		return r.searchPeers(ctx, now)
	case hub && r.row.Load() == nil:
		return r.writeOwnRow(ctx)
	case !r.rewriteAt.IsZero() && !now.Before(r.rewriteAt):
		if err := r.writeOwnRow(ctx); err != nil {
			return err
		}
		r.rewriteAt = time.Time{}
	case hub && !r.headsRead:
		return r.readHeads(ctx, now)
	case hub && !now.Before(r.nextReread):
		return r.rereadHead(ctx, now)
	}
	return nil
}

// searchPeers looks for peers if none is heard: in the head of the hall, and later among all its rows.
// The node writes its own row wherever that sorts, since all rows before it may be of nodes that are
// gone for good.
func (r *Register) searchPeers(ctx context.Context, now time.Time) error {
	r.log.Warn("no peer heard; searching the register", "after_ms", r.searchDelay.Milliseconds())
	if r.row.Load() == nil {
		if err := r.writeOwnRow(ctx); err != nil {
			return err
		}
	}
	read := r.readAll
	if r.searchDelay == initialSearchDelay {
		read = r.readOwnHead
	}
	if err := read(ctx); err != nil {
		return err
	}
	r.isolatedSince, r.searchDelay = now, min(2*r.searchDelay, maxSearchDelay)
	return nil
}

// readHeads reads the heads of the other halls. At the first start it also rereads the head of its own
// hall, since nodes that knew few others may have taken themselves for hubs.
func (r *Register) readHeads(ctx context.Context, now time.Time) error {
	halls := r.halls
	if !r.firstStart {
		halls = halls[1:]
	}
	for _, hall := range halls {
		if _, err := r.readHead(ctx, hall); err != nil {
			return err
		}
	}
	r.headsRead = true
	r.nextReread = now.Add(rereadInterval/2 + rand.N(rereadInterval))
	r.peers.UpdateHubs(now)
	return nil
}

// rereadHead rereads the head of one hall, of a different one each time.
func (r *Register) rereadHead(ctx context.Context, now time.Time) error {
	if _, err := r.readHead(ctx, r.halls[r.rereads%len(r.halls)]); err != nil {
		return err
	}
	r.rereads++
	r.nextReread = now.Add(rereadInterval/2 + rand.N(rereadInterval))
	return nil
}

// readHead reads the head of a hall and adds its nodes as peers.
func (r *Register) readHead(ctx context.Context, hall string) ([]feed.Row, error) {
	snap, _, err := r.store.Range(ctx, table, hall, "", "", headRows)
	if err != nil {
		return nil, fmt.Errorf("read head of register: %w", err)
	}
	r.handleRows(hall, snap.Rows)
	return snap.Rows, nil
}

// readOwnHead reads the head of this node's hall.
func (r *Register) readOwnHead(ctx context.Context) error {
	_, err := r.readHead(ctx, r.self.Hall)
	return err
}

// readAll reads all rows of this node's hall and adds their nodes as peers.
func (r *Register) readAll(ctx context.Context) error {
	snap, err := r.store.List(ctx, table, r.self.Hall)
	if err != nil {
		return fmt.Errorf("read register: %w", err)
	}
	r.handleRows(r.self.Hall, snap.Rows)
	return nil
}

// handleRows adds the nodes of rows as peers.
func (r *Register) handleRows(hall string, rows []feed.Row) {
	now := clock.Now()
	for _, row := range rows {
		r.handleRow(now, hall, row)
	}
}

// handleRow adds the node of a row as a peer, or records the row if it is this node's own.
func (r *Register) handleRow(now time.Time, hall string, row feed.Row) {
	if hall == r.self.Hall && row.Key == r.key {
		if r.matchesSelf(row) {
			r.row.Store(&row)
		}
		return
	}
	other, err := decodeNode(row)
	if err != nil {
		r.log.Error("invalid node in register", "hall", hall, "key", row.Key, "error", err.Error())
		return
	}
	r.peers.AddPeer(now, other)
}

// decodeNode decodes the node of a row. It returns an error if no node can have written the row.
func decodeNode(row feed.Row) (gossip.NodeInfo, error) {
	var s gossip.NodeInfo
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return gossip.NodeInfo{}, fmt.Errorf("decode node: %w", err)
	}
	if s.Name == "" || !strings.HasSuffix(row.Key, "-"+s.Name) || s.Hall == "" || s.PeerAddress == "" || s.CallerAddress == "" || s.Incarnation <= 0 || s.Cores < 0 {
		return gossip.NodeInfo{}, errInvalidNode
	}
	return s, nil
}

// Joined reports whether this node has read the head of its hall, and written its row if it belongs
// there.
func (r *Register) Joined() bool { return r.joined.Load() }

// writeOwnRow writes this node's row if there is none.
func (r *Register) writeOwnRow(ctx context.Context) error { return r.writeRow(ctx, 0) }

// writeRow writes this node's row if the stored row has the given version. A row of an earlier start
// with the same addresses is kept.
func (r *Register) writeRow(ctx context.Context, version int64) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return fmt.Errorf("encode node: %w", err)
	}
	put := feed.Row{Table: table, Part: r.self.Hall, Key: r.key, Value: value}
	expect := feed.Row{Table: table, Part: r.self.Hall, Key: r.key, Version: version}
	at, err := r.store.Commit(ctx, feed.Tx{Expect: []feed.Row{expect}, Put: []feed.Row{put}})
	put.Version, put.Era = at.Version, at.Era
	var conflict *feed.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) == 1 && conflict.Rows[0].Version != version {
		if existing := conflict.Rows[0]; r.matchesSelf(existing) {
			r.row.Store(&existing)
			return nil
		}
		return r.writeRow(ctx, conflict.Rows[0].Version)
	}
	if err != nil {
		return fmt.Errorf("write register: %w", err)
	}
	r.row.Store(&put)
	r.log.Info("node registered", "peer_address", r.self.PeerAddress, "caller_address", r.self.CallerAddress, "incarnation", r.self.Incarnation)
	return nil
}

// matchesSelf reports whether a row has the current addresses and hall of this node.
func (r *Register) matchesSelf(row feed.Row) bool {
	old, err := decodeNode(row)
	if err != nil {
		return false // The row is replaced.
	}
	return old.PeerAddress == r.self.PeerAddress && old.CallerAddress == r.self.CallerAddress && old.Hall == r.self.Hall
}

// Leave removes this node's row. A row that stays does no harm: other nodes see from its silence that
// the node is gone.
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
