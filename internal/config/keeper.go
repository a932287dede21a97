package config

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

const (
	// HeadKey is the row that each accepted change writes: a transaction that
	// checks its version fails if another change was accepted in between.
	HeadKey = "config/head"

	fullKey      = "config/full"
	changePrefix = "config/change/"

	// maxFetchedChanges bounds how many changes are read at once; a node that is
	// further behind reads the whole configuration.
	maxFetchedChanges = 64

	// restorerPolls is how many polls the other nodes leave it to the chosen one to write a lost configuration again.
	restorerPolls = 3

	// maxWriteAttempts bounds how often a write with an unknown outcome is retried.
	maxWriteAttempts = 8
)

type (
	// Table is the part of the platform's store that a Syncer uses.
	Table interface {
		Get(ctx context.Context, key string) (kv.Row, error)
		List(ctx context.Context, prefix, after string, limit int) ([]kv.Row, error)
		Transact(ctx context.Context, txn kv.Txn) error
	}

	// Peers asks other nodes for changes after a version, newest first.
	Peers interface {
		Changes(ctx context.Context, after int) ([]*wire.ChangesReply, error)
	}

	// Option configures a Syncer.
	Option func(*Syncer)

	// Syncer reads the configuration from the platform or from peers into a
	// Store, and writes accepted changes to the platform.
	Syncer struct {
		store *Store
		table Table
		peers Peers
		log   *slog.Logger
		wake  chan struct{}

		isRestorer func() bool // isRestorer reports whether this node is the one that writes again what the platform lost.
		compared   bool        // compared is set once the configuration in effect was compared with the platform's in era.
		era        int64
		lostPolls  int // lostPolls counts the polls in a row that found an older configuration on the platform.
	}

	// head is the value of the HeadKey row, which every node polls.
	head struct {
		Version int    `json:"version"`
		Change  string `json:"change"`
		Era     *int64 `json:"era,omitempty"` // Era is that of the platform in which the row was written; nil from older releases.
	}

	// Edit modifies a copy of the configuration in place; the difference becomes
	// a change.
	Edit func(c *Config) error
)

// WithRestorer sets a function that reports whether this node is the one that writes changes again which the
// platform lost when it came back from a copy. Without it, any node does.
func WithRestorer(f func() bool) Option { return func(s *Syncer) { s.isRestorer = f } }

// NewSyncer returns a Syncer that updates a store.
func NewSyncer(store *Store, table Table, peers Peers, log *slog.Logger, options ...Option) *Syncer {
	s := &Syncer{store: store, table: table, peers: peers, log: log, wake: make(chan struct{}, 1), isRestorer: func() bool { return true }}
	for _, option := range options {
		option(s)
	}
	return s
}

// Run keeps the store up to date until the context is done. It polls the head row
// at each interval, and asks peers immediately when Wake is called.
func (s *Syncer) Run(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	refresh := s.Refresh
	for {
		if err := refresh(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn("configuration refresh failed", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			refresh = s.Refresh
		case <-s.wake:
			refresh = s.catchUp
		}
	}
}

// Wake makes Run ask peers immediately, for example when a peer has a newer version.
func (s *Syncer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Refresh updates the store from the platform, or from peers if the platform is
// unreachable. It fails if both fail.
func (s *Syncer) Refresh(ctx context.Context) error {
	tableErr := s.pullFromPlatform(ctx)
	if tableErr == nil {
		return nil
	}
	peerErr := s.pullFromPeers(ctx)
	if peerErr == nil && s.store.Version() > 0 {
		return nil
	}
	return fmt.Errorf("refresh configuration: %w", trace.NewAggregate(tableErr, peerErr))
}

// catchUp asks peers for a newer version and falls back to the platform only if
// they have none, because all nodes would query the platform at the same time.
func (s *Syncer) catchUp(ctx context.Context) error {
	before := s.store.Version()
	if err := s.pullFromPeers(ctx); err == nil && s.store.Version() > before {
		return nil
	}
	return s.Refresh(ctx)
}

// pullFromPeers applies newer changes and configurations from peers.
func (s *Syncer) pullFromPeers(ctx context.Context) error {
	replies, err := s.peers.Changes(ctx, s.store.Version())
	if err != nil {
		return fmt.Errorf("ask peers: %w", err)
	}
	for _, r := range replies {
		if err := s.ApplyReply(r); err != nil {
			return fmt.Errorf("take a peer's changes: %w", err)
		}
	}
	return nil
}

// ApplyReply applies a peer's reply if it is newer than the store.
func (s *Syncer) ApplyReply(r *wire.ChangesReply) error {
	if r.Config == nil {
		if len(r.Changes) == 0 {
			return nil
		}
		return s.store.Apply(r.Changes)
	}
	c := &Config{}
	if err := json.Unmarshal(*r.Config, c); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	_, err := s.store.Replace(c)
	return err
}

// ChangesReply returns the changes after a version for a peer, or the whole
// configuration if not all of these changes are kept.
func (s *Syncer) ChangesReply(after int) (*wire.ChangesReply, error) {
	view := s.store.View()
	if view == nil {
		return &wire.ChangesReply{}, nil
	}
	reply := &wire.ChangesReply{Version: view.Config.Version}
	changes, known := s.store.ChangesAfter(after)
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

// pullFromPlatform reads the head row and, if it is newer, the changes or the
// whole configuration.
func (s *Syncer) pullFromPlatform(ctx context.Context) error {
	h, row, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	have := s.store.Version()
	if h.Version < have {
		if s.lostPolls++; s.isRestorer() || s.lostPolls > restorerPolls {
			return s.restore(ctx, h, row)
		}
		return nil
	}
	s.lostPolls = 0
	if err := s.compareEra(ctx, have, row); err != nil {
		return err
	}
	if have = s.store.Version(); h.Version <= have {
		return nil
	}
	if have > 0 && h.Version-have <= maxFetchedChanges {
		changes, err := s.History(ctx, have, maxFetchedChanges)
		if err == nil && s.store.Apply(changes) == nil && s.store.Version() >= h.Version {
			return nil
		}
	}
	c, err := s.readConfig(ctx)
	if err != nil {
		return err
	}
	if _, err := s.store.Replace(c); err != nil {
		return fmt.Errorf("take configuration of the platform: %w", err)
	}
	return nil
}

// readHead reads the head and returns its row, too.
func (s *Syncer) readHead(ctx context.Context) (head, kv.Row, error) {
	row, err := s.table.Get(ctx, HeadKey)
	if err != nil {
		return head{}, kv.Row{}, fmt.Errorf("read head of configuration: %w", err)
	}
	h, err := decodeHead(row)
	return h, row, err
}

// decodeHead decodes the head row; a missing row means version 0.
func decodeHead(row kv.Row) (head, error) {
	var h head
	if row.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, fmt.Errorf("decode head of configuration: %w", err)
	}
	return h, nil
}

// HeadVersion returns the configuration version in the head row.
func HeadVersion(row kv.Row) (int, error) {
	h, err := decodeHead(row)
	return h.Version, err
}

// readConfig reads the whole configuration; a missing row means an empty one at
// version 0.
func (s *Syncer) readConfig(ctx context.Context) (*Config, error) {
	row, err := s.table.Get(ctx, fullKey)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c := Empty()
	if row.Version == 0 {
		return c, nil
	}
	if err := json.Unmarshal(row.Value, c); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return c, nil
}

// History returns up to limit accepted changes after a version, oldest first.
func (s *Syncer) History(ctx context.Context, after, limit int) ([]wire.Change, error) {
	rows, err := s.table.List(ctx, changePrefix, changeKey(after), limit)
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

// changeKey returns the key of the change that created a version; it is padded
// with zeros so that keys sort by version.
func changeKey(version int) string {
	digits := strconv.Itoa(version)
	const width = 12
	return changePrefix + "000000000000"[:width-len(digits)] + digits
}
