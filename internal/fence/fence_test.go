package fence_test

import (
	"context"
	"errors"
	"testing"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/fence"
	"github.com/croftturn/croftturn/internal/history"
)

// store is a store that can come back from a copy.
type store struct {
	at   history.Position
	rows map[string]feed.Row
}

func (s *store) Commit(_ context.Context, tx feed.Tx) (history.Position, error) {
	var conflict feed.ConflictError
	for _, e := range tx.Expect {
		if have := s.rows[e.Table+e.Key]; have.Version != e.Version {
			have.Table, have.Key = e.Table, e.Key
			conflict.Rows = append(conflict.Rows, have)
		}
	}
	if len(conflict.Rows) > 0 {
		return history.Position{}, &conflict
	}
	s.at.Version++
	for _, p := range tx.Put {
		p.Version = s.at.Version
		s.rows[p.Table+p.Key] = p
	}
	return s.at, nil
}

// TestConditionOfALostVersionFails guards against a condition that holds for another value of the same version.
func TestConditionOfALostVersionFails(t *testing.T) {
	ctx, s := context.Background(), &store{rows: map[string]feed.Row{}}
	before, after := fence.New(s), fence.New(s)
	put := func(value string, version int64) feed.Tx {
		return feed.Tx{Expect: []feed.Row{{Table: "t", Key: "k", Version: version}}, Put: []feed.Row{{Table: "t", Key: "k", Value: []byte(value)}}}
	}
	if _, err := before.Commit(ctx, 0, "", put("copied", 0)); err != nil {
		t.Fatal(err)
	}
	s.at = history.Position{Era: 1, Version: 1} // A second write, which got version 2, is lost.
	if _, err := after.Commit(ctx, 1, "", put("written since", 1)); err != nil {
		t.Fatal(err)
	}
	if got := s.rows["tk"]; got.Version != 2 {
		t.Fatalf("the new value has version %d, want that of the lost one", got.Version)
	}
	_, err := before.Commit(ctx, 0, "", put("late", 2))
	var conflict *feed.ConflictError
	if !errors.Is(err, feed.ErrConflict) || !errors.Is(err, feed.ErrStale) || !errors.As(err, &conflict) || len(conflict.Rows) > 0 {
		t.Errorf("a write of the earlier era: %v", err)
	}
	if got := string(s.rows["tk"].Value); got != "written since" {
		t.Errorf("the row has %q", got)
	}
	if _, err := after.Commit(ctx, 1, "", put("next", 2)); err != nil || len(s.rows) != 2 {
		t.Errorf("%d rows, %v", len(s.rows), err)
	}
}

// TestConditionOfAnEraBeforeTwoReturnsFails guards against a write applied after a second, older copy.
func TestConditionOfAnEraBeforeTwoReturnsFails(t *testing.T) {
	ctx, s := context.Background(), &store{rows: map[string]feed.Row{}}
	put := feed.Tx{Expect: []feed.Row{{Table: "t", Key: "k", Version: 0}}, Put: []feed.Row{{Table: "t", Key: "k"}}}
	s.at = history.Position{Era: 2}
	if _, err := fence.New(s).Commit(ctx, 2, "", put); err != nil {
		t.Fatal(err)
	}
	for era := range int64(2) {
		if _, err := fence.New(s).Commit(ctx, era, "", feed.Tx{Put: put.Put}); !errors.Is(err, feed.ErrStale) {
			t.Errorf("a write of era %d: %v", era, err)
		}
	}
}
