package order_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/order"
)

var (
	start = time.Unix(1000, 0)
	e1    = config.Engine{Name: "e1", Pool: "llm", Address: "a", Slots: 1, Order: "load model m", OrderFence: 5}
)

// table is an in-memory table.
type table struct {
	mu     sync.Mutex
	rows   map[string]kv.Row
	before func() // called before each transaction
}

func (t *table) Get(_ context.Context, key string) (kv.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key], nil
}

// put writes a row and increments its version.
func (t *table) put(key string, value any) {
	text, _ := json.Marshal(value)
	t.rows[key] = kv.Row{Key: key, Value: text, Version: t.rows[key].Version + 1}
}

// Transact applies a transaction.
func (t *table) Transact(_ context.Context, txn kv.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.before != nil {
		t.before()
	}
	for _, c := range txn.Checks {
		if t.rows[c.Key].Version != c.Version {
			return kv.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		t.put(p.Key, p.Value)
	}
	return nil
}

// sender records the fences it sends and returns a preset error.
type sender struct {
	sent []int
	err  error
}

func (s *sender) Order(_ context.Context, _ string, fence int, _ string, _ time.Time) error {
	s.sent = append(s.sent, fence)
	return s.err
}

// brokers makes the node the broker of all pools.
type brokers struct{}

func (brokers) Owns(string) bool { return true }

// newTable returns a table with a configuration head at a version.
func newTable(version int) *table {
	t := &table{rows: map[string]kv.Row{}}
	t.put(config.HeadKey, map[string]int{"version": version})
	return t
}

// service returns a node's service with configuration version 5.
func service(t *testing.T, tab *table, s *sender, node string) *order.Service {
	t.Helper()
	store := config.NewStore()
	c := &config.Config{Version: 5, Pools: []config.Pool{{Name: "llm", Kind: config.PoolKindModel}}, Engines: []config.Engine{e1}}
	if _, err := store.Replace(c); err != nil {
		t.Fatal(err)
	}
	return order.New(store, tab, s, brokers{}, node, slog.New(slog.DiscardHandler))
}

func TestCurrentOrderIsSentOnce(t *testing.T) {
	tab, s := newTable(5), &sender{}
	for _, node := range []string{"n1", "n1", "n2"} {
		err := service(t, tab, s, node).Deliver(context.Background(), start, &e1)
		var old *order.OldFenceError
		if err != nil && !errors.As(err, &old) {
			t.Fatal(err)
		}
	}
	if fmt.Sprint(s.sent) != "[5]" {
		t.Errorf("sent fences %v, want 5 once", s.sent)
	}
}

// TestOrderIsNotSentFromAnOldConfiguration checks that a node sends nothing if its configuration
// is out of date or becomes so during verification.
func TestOrderIsNotSentFromAnOldConfiguration(t *testing.T) {
	s := &sender{}
	if err := service(t, newTable(6), s, "n1").Deliver(context.Background(), start, &e1); !errors.Is(err, order.ErrNotCurrent) {
		t.Errorf("old configuration: %v", err)
	}
	tab := newTable(5)
	tab.before = func() { tab.put(config.HeadKey, map[string]int{"version": 6}) }
	if err := service(t, tab, s, "n1").Deliver(context.Background(), start, &e1); !errors.Is(err, order.ErrNotCurrent) {
		t.Errorf("configuration replaced during verification: %v", err)
	}
	if len(s.sent) > 0 {
		t.Errorf("sent %v", s.sent)
	}
}

// TestUnfinishedSendIsTakenOverAfterItExpires checks that a node takes over another's send only
// after watching it for longer than that may last.
func TestUnfinishedSendIsTakenOverAfterItExpires(t *testing.T) {
	tab, s := newTable(5), &sender{err: errors.New("no answer")}
	if err := service(t, tab, s, "n1").Deliver(context.Background(), start, &e1); err == nil {
		t.Fatal("a failed send returned no error")
	}
	s.err = nil
	next := service(t, tab, s, "n2")
	for _, after := range []time.Duration{0, 2 * time.Second} {
		if err := next.Deliver(context.Background(), start.Add(time.Minute+after), &e1); !errors.Is(err, order.ErrNotCurrent) {
			t.Errorf("after %v: %v", after, err)
		}
	}
	if err := next.Deliver(context.Background(), start.Add(time.Minute+4*time.Second), &e1); err != nil {
		t.Errorf("after it expired: %v", err)
	}
	if fmt.Sprint(s.sent) != "[5 5]" {
		t.Errorf("sent %v", s.sent)
	}
}

// TestEngineThatChecksFencesNeedsNoVerification checks that the engine's own rejection is
// sufficient.
func TestEngineThatChecksFencesNeedsNoVerification(t *testing.T) {
	checked := e1
	checked.ChecksFence = true
	s := &sender{err: &order.OldFenceError{Engine: "a"}}
	err := service(t, newTable(9), s, "n1").Deliver(context.Background(), start, &checked)
	var old *order.OldFenceError
	if !errors.As(err, &old) || len(s.sent) != 1 {
		t.Errorf("Deliver() = %v, sent %v", err, s.sent)
	}
}
