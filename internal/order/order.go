// Package order gives engines their orders, such as to load a model or to
// change role. Each order carries a fence: the version of the configuration that
// made it, which the platform handed out. An engine that checks fences refuses an
// old one itself. To an engine that does not, a node sends only what it has just
// proved current at the platform, one sender at a time.
package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	rowPrefix = "order/"

	// sendTimeout is how long after it began to prove an order current a node may
	// still send it, on its own monotonic clock.
	sendTimeout = time.Second

	// takeOverAfter is how long a node watches another's unfinished sending before
	// it takes over. It is longer than sendWithin, so that the other's time is up.
	takeOverAfter = 3 * sendTimeout

	// pollInterval is how often orders that are still to be sent are looked at.
	pollInterval = 250 * time.Millisecond
)

// ErrNotCurrent says that an order could not be proved current; it was not sent.
var ErrNotCurrent = errors.New("order: not proved current")

type (
	// Table is what orders need of the platform.
	Table interface {
		Get(ctx context.Context, key string) (kv.Row, error)
		Transact(ctx context.Context, txn kv.Txn) error
	}

	// Sender sends an order to an engine. It sends nothing after the deadline. The
	// error is an *OldFenceError where the engine knows a newer one.
	Sender interface {
		Order(ctx context.Context, address string, fence int, text string, deadline time.Time) error
	}

	// Brokers tells whether this node is a pool's broker, which sends its orders.
	Brokers interface {
		Owns(pool string) bool
	}

	// Service sends the orders of the engines whose pools this node is broker of.
	Service struct {
		store   *config.Store
		table   Table
		sender  Sender
		brokers Brokers
		node    string
		log     *slog.Logger
		wg      sync.WaitGroup

		mu        sync.Mutex
		delivered map[string]int // sent is the newest fence that each engine has.
		busy      map[string]bool
		observed  map[string]observation
	}

	// sendRecord is the row of an engine that does not check fences.
	sendRecord struct {
		Fence int    `json:"fence"`
		Node  string `json:"node"`
		Done  bool   `json:"done"`
	}

	// observation is when this node first saw a row at a version.
	observation struct {
		version int
		at      time.Time
	}
)

// New returns a service that has sent nothing.
func New(store *config.Store, table Table, sender Sender, brokers Brokers, node string, log *slog.Logger) *Service {
	return &Service{
		store: store, table: table, sender: sender, brokers: brokers, node: node, log: log,
		delivered: map[string]int{}, busy: map[string]bool{}, observed: map[string]observation{},
	}
}

// Run sends orders until the context ends, and waits for those on their way.
func (s *Service) Run(ctx context.Context) {
	defer s.wg.Wait()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		changed := s.store.Changed()
		s.sendPending(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

// sendPending starts a sending for each engine whose newest order it does not have.
func (s *Service) sendPending(ctx context.Context) {
	view := s.store.View()
	if view == nil {
		return
	}
	for i := range view.Config.Engines {
		e := view.Config.Engines[i]
		if e.Order == "" || !s.brokers.Owns(e.Pool) || !s.tryStart(e) {
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			err := s.Deliver(ctx, clock.Now(), &e)
			s.finish(e, err)
		}()
	}
}

// tryStart reports whether an order is to be sent now, and marks its engine busy.
func (s *Service) tryStart(e config.Engine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[e.Name] || s.delivered[e.Name] >= e.OrderFence {
		return false
	}
	s.busy[e.Name] = true
	return true
}

// finish notes what came of a sending.
func (s *Service) finish(e config.Engine, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[e.Name] = false
	var old *OldFenceError
	switch {
	case err == nil || errors.As(err, &old):
		s.delivered[e.Name] = e.OrderFence
		s.log.Info("order given", "engine", e.Name, "fence", e.OrderFence, "order", e.Order)
	default:
		s.log.Debug("order not given yet", "engine", e.Name, "fence", e.OrderFence, "error", err.Error())
	}
}

// OldFenceError says that an engine has seen a newer fence.
type OldFenceError struct{ Engine string }

// Error describes the refusal.
func (e *OldFenceError) Error() string { return "order: engine at " + e.Engine + " has a newer fence" }

// Deliver sends one order, after proving it current where the engine does not
// check fences. now is when the proof begins.
func (s *Service) Deliver(ctx context.Context, now time.Time, e *config.Engine) error {
	deadline := now.Add(sendTimeout)
	if e.ChecksFence {
		return s.sender.Order(ctx, e.Address, e.OrderFence, e.Order, deadline)
	}
	row, err := s.verify(ctx, now, e)
	if err != nil {
		return err
	}
	if err := s.sender.Order(ctx, e.Address, e.OrderFence, e.Order, deadline); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	return s.write(ctx, e, row.Version+1, sendRecord{Fence: e.OrderFence, Node: s.node, Done: true}, nil)
}

// verify takes the engine's row for this order, in one transaction that fails
// unless the configuration is still the one that made the order the newest. It
// waits while another node may still be sending.
func (s *Service) verify(ctx context.Context, now time.Time, e *config.Engine) (kv.Row, error) {
	row, err := s.table.Get(ctx, rowPrefix+e.Name)
	if err != nil {
		return row, fmt.Errorf("%w: %w", ErrNotCurrent, err)
	}
	var current sendRecord
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return row, fmt.Errorf("decode %s: %w: %w", row.Key, ErrNotCurrent, err)
		}
	}
	if current.Fence > e.OrderFence || (current.Done && current.Fence == e.OrderFence) {
		return row, &OldFenceError{Engine: e.Address}
	}
	if row.Version > 0 && !current.Done && !s.sendExpired(now, e.Name, row.Version) {
		return row, fmt.Errorf("%w: %s may still be sending", ErrNotCurrent, current.Node)
	}
	head, err := s.table.Get(ctx, config.HeadKey)
	if err != nil {
		return row, fmt.Errorf("%w: %w", ErrNotCurrent, err)
	}
	if version, err := config.HeadVersion(head); err != nil || version != s.store.Version() {
		return row, fmt.Errorf("%w: the configuration here is not the newest", ErrNotCurrent)
	}
	check := &kv.Check{Key: config.HeadKey, Version: head.Version}
	return row, s.write(ctx, e, row.Version, sendRecord{Fence: e.OrderFence, Node: s.node}, check)
}

// sendExpired reports whether another node's unfinished sending was seen for so
// long that its time is up.
func (s *Service) sendExpired(now time.Time, engine string, version int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen := s.observed[engine]; seen.version == version {
		return now.Sub(seen.at) > takeOverAfter
	}
	s.observed[engine] = observation{version, now}
	return false
}

// write writes an engine's row from a version. A write whose fate is not known
// counts as failed: the order is not sent on it.
func (s *Service) write(ctx context.Context, e *config.Engine, version int, row sendRecord, headCheck *kv.Check) error {
	text, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode order row: %w", err)
	}
	key := rowPrefix + e.Name
	txn := kv.Txn{Checks: []kv.Check{{Key: key, Version: version}}, Puts: []kv.Put{{Key: key, Value: text}}}
	if headCheck != nil {
		txn.Checks = append(txn.Checks, *headCheck)
	}
	if err := s.table.Transact(ctx, txn); err != nil {
		return fmt.Errorf("%w: %w", ErrNotCurrent, err)
	}
	return nil
}

// Rows returns the engines with orders, and whether they have them.
func (s *Service) Rows() []wire.Row {
	view := s.store.View()
	if view == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.Row
	for i := range view.Config.Engines {
		e := &view.Config.Engines[i]
		if e.Order == "" || !s.brokers.Owns(e.Pool) {
			continue
		}
		row := wire.Row{Name: e.Name, Engine: e.Name, Pool: e.Pool, State: "pending", Reason: e.Order, Count: e.OrderFence}
		if s.delivered[e.Name] >= e.OrderFence {
			row.State = "given"
		}
		out = append(out, row)
	}
	return out
}
