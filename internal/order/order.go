// Package order sends orders to engines, such as to load a model or to change role. Each order
// carries a fencing token: the version of the configuration that created it, which the platform
// assigned. An engine that checks fences rejects an old order itself. To any other engine a node
// sends only an order that it has just verified as current at the platform, one sender at a
// time.
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
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	rowPrefix = "order/"

	// sendTimeout is how long after the start of verification a node may send an order, by its
	// own monotonic clock.
	sendTimeout = time.Second

	// takeOverAfter is how long a node watches another's unfinished send before it takes over.
	// It exceeds sendTimeout, so that the other node may no longer send.
	takeOverAfter = 3 * sendTimeout

	// pollInterval is how often pending orders are checked.
	pollInterval = 250 * time.Millisecond
)

// ErrNotCurrent means that an order could not be verified as current and was not sent.
var ErrNotCurrent = errors.New("order: not verified as current")

type (
	// Table is the part of the platform's store that orders need.
	Table interface {
		Get(ctx context.Context, key string) (kv.Row, error)
		Transact(ctx context.Context, txn kv.Txn) error
	}

	// Sender sends an order to an engine, but not after the deadline. It returns an
	// *OldFenceError if the engine has seen a newer fence.
	Sender interface {
		Order(ctx context.Context, address string, fence int, text string, deadline time.Time) error
	}

	// Brokers reports whether this node is the broker of a pool and therefore sends its orders.
	Brokers interface {
		Owns(pool string) bool
	}

	// Service sends the orders for engines of the pools that this node is broker of.
	Service struct {
		store   *config.Store
		table   Table
		sender  Sender
		brokers Brokers
		node    string
		log     *slog.Logger
		wg      sync.WaitGroup

		mu        sync.Mutex
		delivered map[string]int // newest fence that each engine has received
		busy      map[string]bool
		observed  map[string]observation
	}

	// sendRecord is the stored row for an engine that does not check fences.
	sendRecord struct {
		Fence int    `json:"fence"`
		Node  string `json:"node"`
		Done  bool   `json:"done"`
	}

	// observation is when this node first saw a row at a position.
	observation struct {
		row history.Position
		at  time.Time
	}
)

// New returns a service that has sent nothing yet.
func New(store *config.Store, table Table, sender Sender, brokers Brokers, node string, log *slog.Logger) *Service {
	return &Service{
		store: store, table: table, sender: sender, brokers: brokers, node: node, log: log,
		delivered: map[string]int{}, busy: map[string]bool{}, observed: map[string]observation{},
	}
}

// Run sends orders until the context ends, then waits for sends in progress.
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

// sendPending starts a send for each engine that has not received its newest order.
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

// tryStart reports whether an order is to be sent now, and if so marks its engine busy.
func (s *Service) tryStart(e config.Engine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[e.Name] || s.delivered[e.Name] >= e.OrderFence {
		return false
	}
	s.busy[e.Name] = true
	return true
}

// finish records the result of a send.
func (s *Service) finish(e config.Engine, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[e.Name] = false
	var old *OldFenceError
	switch {
	case err == nil || errors.As(err, &old):
		s.delivered[e.Name] = e.OrderFence
		s.log.Info("order delivered", "engine", e.Name, "fence", e.OrderFence, "order", e.Order)
	default:
		s.log.Debug("order not delivered yet", "engine", e.Name, "fence", e.OrderFence, "error", err.Error())
	}
}

// OldFenceError means that an engine has seen a newer fence.
type OldFenceError struct{ Engine string }

// Error implements error.
func (e *OldFenceError) Error() string { return "order: engine at " + e.Engine + " has a newer fence" }

// Deliver sends one order, after verifying that it is current if the engine does not check
// fences. now is when the verification starts.
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
	return s.write(ctx, e, row, row.Version+1, sendRecord{Fence: e.OrderFence, Node: s.node, Done: true}, nil)
}

// verify claims the engine's row for this order in a transaction that fails unless this node's
// configuration is still the newest one. It fails while another node may still be sending.
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
	if row.Version > 0 && !current.Done && !s.sendExpired(now, e.Name, history.Position{Era: row.Era, Version: int64(row.Version)}) {
		return row, fmt.Errorf("%w: node %s may still be sending", ErrNotCurrent, current.Node)
	}
	head, err := s.table.Get(ctx, config.HeadKey)
	if err != nil {
		return row, fmt.Errorf("%w: %w", ErrNotCurrent, err)
	}
	if version, err := config.HeadVersion(head); err != nil || version != s.store.Version() {
		return row, fmt.Errorf("%w: this node's configuration is out of date", ErrNotCurrent)
	}
	check := &kv.Check{Key: config.HeadKey, Version: head.Version, Era: head.Era}
	return row, s.write(ctx, e, row, row.Version, sendRecord{Fence: e.OrderFence, Node: s.node}, check)
}

// sendExpired reports whether another node's unfinished send has been watched for so long that
// the other node may no longer send.
func (s *Service) sendExpired(now time.Time, engine string, row history.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen := s.observed[engine]; seen.row == row {
		return now.Sub(seen.at) > takeOverAfter
	}
	s.observed[engine] = observation{row, now}
	return false
}

// write updates an engine's row at a given version, of the era in which it was read. A write with an unknown
// outcome counts as failed, and the order is not sent.
func (s *Service) write(ctx context.Context, e *config.Engine, read kv.Row, version int, row sendRecord, headCheck *kv.Check) error {
	text, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode order row: %w", err)
	}
	key := rowPrefix + e.Name
	txn := kv.Txn{Fenced: true, Checks: []kv.Check{{Key: key, Version: version, Era: read.Era}}, Puts: []kv.Put{{Key: key, Value: text}}}
	if headCheck != nil {
		txn.Checks = append(txn.Checks, *headCheck)
	}
	if err := s.table.Transact(ctx, txn); err != nil {
		return fmt.Errorf("%w: %w", ErrNotCurrent, err)
	}
	return nil
}

// Rows returns the engines with orders and whether they have received them.
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
