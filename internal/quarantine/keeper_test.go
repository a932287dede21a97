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

// store returns fixed rows, fails the first calls and reports each transaction that it accepts.
type store struct {
	failures int
	rows     []feed.Row
	written  chan feed.Tx
}

var errUnavailable = errors.New("store unavailable")

func (s *store) unavailable() error {
	if s.failures--; s.failures >= 0 {
		return errUnavailable
	}
	return nil
}

func (s *store) List(context.Context, string, string) (feed.Snapshot, error) {
	return feed.Snapshot{Rows: s.rows}, s.unavailable()
}

func (s *store) Write(_ context.Context, tx feed.Tx) error {
	if err := s.unavailable(); err != nil {
		return err
	}
	s.written <- tx
	return nil
}

// runPersister runs a Persister until the test ends.
func runPersister(t *testing.T, q *quarantine.Quarantine, s *store) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		quarantine.NewPersister(q, s, false, func(time.Time) bool { return true }, slog.New(slog.DiscardHandler)).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// TestHeldRequestsArePersisted checks that a request held by this node is written although the store is unavailable at
// first, that its row is deleted once the request is answered, and that another node restores it. Rows that are
// invalid or expired must hold nothing.
func TestHeldRequestsArePersisted(t *testing.T) {
	now := time.Now()
	q, s := newQuarantine(never), &store{failures: 2, written: make(chan feed.Tx, 9)}
	for i := range 3 {
		q.RecordCrash(now, now, fingerprint, subject, fmt.Sprint("e", i))
	}
	runPersister(t, q, s)
	put := (<-s.written).Put
	if len(put) != 1 || put[0].Key != fingerprint.String() {
		t.Fatalf("written: %+v", put)
	}
	restarted := newQuarantine(never)
	runPersister(t, restarted, &store{written: make(chan feed.Tx, 9), rows: []feed.Row{
		put[0], {Key: "x", Value: put[0].Value}, {Key: "8", Value: []byte("\xff")}, {Key: "9", Value: []byte(`{"engines":["a"],"held_unix":5}`)},
	}})
	for end := time.Now().Add(5 * time.Second); restarted.Len() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d held after the start, want 1", restarted.Len())
		}
	}
	if held, _ := restarted.Admit(time.Now(), fingerprint); held == nil || len(held.Crashes) != 3 || held.Subject != subject {
		t.Errorf("held after the start: %+v", held)
	}
	q.RecordAnswer(time.Now(), fingerprint, subject.Team)
	if tx := <-s.written; len(tx.Delete) != 1 || tx.Delete[0].Key != fingerprint.String() || len(tx.Put) != 0 {
		t.Errorf("written after an answer: %+v", tx)
	}
	old := &store{written: make(chan feed.Tx, 9), rows: []feed.Row{{Key: fingerprint.String(), Value: []byte(`{"engines":["a","b","c"],"held_unix":5}`)}}}
	expired := newQuarantine(never)
	runPersister(t, expired, old)
	if tx := <-old.written; len(tx.Delete) != 1 || expired.Len() != 0 {
		t.Errorf("after loading an expired row: %+v, %d held", tx, expired.Len())
	}
}

// TestHeldRequestsLostByTheStoreAreWrittenAgain guards against held requests that a return forgets or brings back.
func TestHeldRequestsLostByTheStoreAreWrittenAgain(t *testing.T) {
	now := time.Now()
	for _, writer := range []bool{true, false} {
		q, s := newQuarantine(never), &store{written: make(chan feed.Tx, 9)}
		for i := range 3 {
			q.RecordCrash(now, now, fingerprint, subject, fmt.Sprint("e", i))
		}
		p := quarantine.NewPersister(q, s, true, func(time.Time) bool { return writer }, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); p.Run(ctx) }()
		first := (<-s.written).Put[0]
		const other = quarantine.Fingerprint(0xff)
		for i := range 3 {
			q.RecordCrash(now, now, other, subject, fmt.Sprint("e", i))
		}
		<-s.written
		q.Release(now.Add(time.Second), other)
		<-s.written
		released, unknown := feed.Row{Key: other.String(), Value: first.Value}, feed.Row{Key: "00000000000000fe", Value: first.Value}
		s.rows = []feed.Row{released, unknown}
		p.StoreReturned()
		select {
		case tx := <-s.written:
			if !writer || len(tx.Put) != 1 || tx.Put[0].Key != first.Key || len(tx.Delete) != 1 || tx.Delete[0].Key != released.Key {
				t.Errorf("writer %v: written after the return: %+v", writer, tx)
			}
		case <-time.After(map[bool]time.Duration{true: 5 * time.Second, false: 100 * time.Millisecond}[writer]):
			if writer {
				t.Error("nothing was written after the return")
			}
		}
		cancel()
		<-done
	}
}
