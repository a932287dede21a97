package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/quarantine"
)

// store keeps rows and refuses the first calls; each transaction that it takes is told.
type store struct {
	refuse int
	rows   []feed.Row
	taken  chan feed.Tx
}

var errAway = errors.New("store away")

func (s *store) away() error {
	if s.refuse--; s.refuse >= 0 {
		return errAway
	}
	return nil
}

func (s *store) List(context.Context, string, string) (feed.Snapshot, error) {
	return feed.Snapshot{Rows: s.rows}, s.away()
}

func (s *store) Write(_ context.Context, tx feed.Tx) error {
	if err := s.away(); err != nil {
		return err
	}
	s.taken <- tx
	return nil
}

// runKeeper runs a keeper for the rest of the test.
func runKeeper(t *testing.T, q *quarantine.Quarantine, s *store) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		quarantine.NewKeeper(q, s, false, slog.New(slog.DiscardHandler)).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// TestHeldRequestsAreKept holds that what a node has seen to be held is written though the store is away at first,
// and dropped when it is answered whole; that another node takes it from there; and that rows which no node wrote, or which
// are too old, hold nothing.
func TestHeldRequestsAreKept(t *testing.T) {
	now := time.Now()
	q, s := newQuarantine(never), &store{refuse: 2, taken: make(chan feed.Tx, 9)}
	for i := range 3 {
		q.Ended(now, print, subject, fmt.Sprint("e", i))
	}
	runKeeper(t, q, s)
	put := (<-s.taken).Put
	if len(put) != 1 || put[0].Key != print.String() {
		t.Fatalf("written: %+v", put)
	}
	again := newQuarantine(never)
	runKeeper(t, again, &store{taken: make(chan feed.Tx, 9), rows: []feed.Row{
		put[0], {Key: "x", Value: put[0].Value}, {Key: "8", Value: []byte("\xff")}, {Key: "9", Value: []byte(`{"engines":["a"],"held_unix":5}`)},
	}})
	for end := time.Now().Add(5 * time.Second); again.Len() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d held after the start, want 1", again.Len())
		}
	}
	if held, _ := again.Admit(time.Now(), print); held == nil || len(held.Ends) != 3 || held.Subject != subject {
		t.Errorf("held after the start: %+v", held)
	}
	q.Answered(time.Now(), print, subject.Team)
	if tx := <-s.taken; len(tx.Delete) != 1 || tx.Delete[0].Key != print.String() || len(tx.Put) != 0 {
		t.Errorf("written after an answer: %+v", tx)
	}
	old := &store{taken: make(chan feed.Tx, 9), rows: []feed.Row{{Key: print.String(), Value: []byte(`{"engines":["a","b","c"],"held_unix":5}`)}}}
	third := newQuarantine(never)
	runKeeper(t, third, old)
	if tx := <-old.taken; len(tx.Delete) != 1 || third.Len() != 0 {
		t.Errorf("of a row of long ago: %+v, %d held", tx, third.Len())
	}
}
