package register_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/register"
)

// store is an in-memory table that can fail a given number of writes.
type store struct {
	mu      sync.Mutex
	rows    map[string]feed.Row
	version int64
	writes  int
	reads   int
	fail    int
}

func (s *store) List(ctx context.Context, table, part string) (feed.Snapshot, error) {
	snap, _, err := s.Range(ctx, table, part, "", "", len(s.rows))
	return snap, err
}

// Range returns rows of a part sorted by key.
func (s *store) Range(_ context.Context, _, part, from, _ string, limit int) (snap feed.Snapshot, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	snap.Version = s.version
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		r := s.rows[key]
		switch {
		case r.Part != part || key < from:
		case len(snap.Rows) == limit:
			return snap, true, nil
		default:
			snap.Rows = append(snap.Rows, r)
		}
	}
	return snap, false, nil
}

// Commit applies a transaction.
func (s *store) Commit(_ context.Context, tx feed.Tx) (history.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail > 0 {
		s.fail--
		return history.Position{}, feed.ErrUncertain
	}
	for _, e := range tx.Expect {
		if have := s.rows[e.Key]; have.Version != e.Version {
			return history.Position{}, &feed.ConflictError{Rows: []feed.Row{have}}
		}
	}
	s.version++
	s.writes++
	for _, p := range tx.Put {
		p.Version = s.version
		s.rows[p.Key] = p
	}
	for _, d := range tx.Delete {
		delete(s.rows, d.Key)
	}
	return history.Position{Version: s.version}, nil
}

// peers records the nodes that it is given.
type peers struct {
	met           map[string]gossip.NodeInfo
	hub, isolated bool
}

func (p *peers) AddPeer(_ time.Time, s gossip.NodeInfo) { p.met[s.Name] = s }
func (p *peers) UpdateHubs(time.Time)                   {}
func (p *peers) IsHub() bool                            { return p.hub }
func (p *peers) Isolated(time.Time) bool                { return p.isolated }

// newRegister returns a node's register and its peers, in a system of two halls.
func newRegister(s *store, self gossip.NodeInfo) (*register.Register, *peers) {
	p := &peers{met: map[string]gossip.NodeInfo{}}
	return register.New(time.Unix(1000, 0), s, self, []string{"h", "i"}, false, p, slog.New(slog.NewTextHandler(io.Discard, nil))), p
}

// meet runs a node's register until it has joined, and returns the nodes that it found.
func meet(t *testing.T, s *store, self gossip.NodeInfo) (*register.Register, map[string]gossip.NodeInfo) {
	t.Helper()
	r, p := newRegister(s, self)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	for !r.Joined() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if !r.Joined() {
		t.Fatal("the node has not joined")
	}
	return r, p.met
}

// TestLaterNodeMeetsEarlierOne checks that a later node finds an earlier one, that an uncertain write
// is retried, and that a row that is still valid is not rewritten.
func TestLaterNodeMeetsEarlierOne(t *testing.T) {
	s := &store{rows: map[string]feed.Row{}, fail: 2}
	a := gossip.NodeInfo{Name: "a", Incarnation: 1, PeerAddress: "p-a", CallerAddress: "c-a", Hall: "h"}
	b := gossip.NodeInfo{Name: "b", Incarnation: 2, PeerAddress: "p-b", CallerAddress: "c-b", Hall: "h"}
	meet(t, s, a)
	rb, met := meet(t, s, b)
	if met["a"] != a || len(met) != 1 {
		t.Errorf("b met %v", met)
	}
	again := a
	again.Incarnation = 9
	meet(t, s, again)
	if s.writes != 2 {
		t.Errorf("%d writes, want 2: the row of a is still valid", s.writes)
	}
	again.PeerAddress = "p-a2"
	meet(t, s, again)
	if _, met := meet(t, s, b); met["a"].PeerAddress != "p-a2" {
		t.Errorf("a moved, but is found at %v", met["a"])
	}
	if err := rb.Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	if left := len(s.rows); left != 1 || errors.Is(rb.Leave(context.Background()), feed.ErrConflict) {
		t.Error("b still has a row in the register")
	}
}

// node returns the NodeInfo of a node.
func node(hall, name string, cores float64) gossip.NodeInfo {
	return gossip.NodeInfo{Name: name, Incarnation: 1, PeerAddress: "p-" + name, CallerAddress: "c-" + name, Hall: hall, Cores: cores}
}

// TestSmallNodeReadsOnlyTheHead checks that a node that does not belong to the head of its hall makes
// one call, finds only the nodes of the head and writes no row. If it then hears no peer, it writes
// its row and reads all rows of its hall.
func TestSmallNodeReadsOnlyTheHead(t *testing.T) {
	ctx, now := context.Background(), time.Unix(1000, 0)
	s := &store{rows: map[string]feed.Row{}}
	for i := range 60 {
		r, p := newRegister(s, node("h", fmt.Sprint("n", i), 1))
		p.isolated = true
		if err := errors.Join(r.Join(ctx), r.Poll(ctx, now), r.Poll(ctx, now.Add(3*time.Second))); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.rows) != 60 {
		t.Fatalf("%d rows of 60 isolated nodes", len(s.rows))
	}
	s.reads, s.writes = 0, 0
	r, p := newRegister(s, node("h", "small", 0.2))
	if err := r.Join(ctx); err != nil || !r.Joined() || s.reads != 1 || s.writes != 0 {
		t.Errorf("%v: joined %v, %d reads, %d writes; want one read", err, r.Joined(), s.reads, s.writes)
	}
	head := len(p.met)
	if head == 0 || head >= 60 {
		t.Errorf("it met %d nodes of 60, want the head", head)
	}
	at := now
	watch := func(d time.Duration) {
		t.Helper()
		at = at.Add(d)
		if err := r.Poll(ctx, at); err != nil {
			t.Fatal(err)
		}
	}
	if watch(0); s.reads != 1 || s.writes != 0 {
		t.Errorf("a node that hears peers makes %d more reads", s.reads-1)
	}
	p.isolated = true
	watch(0)
	watch(1900 * time.Millisecond)
	if s.reads != 1 {
		t.Error("it searches before the search delay is over")
	}
	if watch(200 * time.Millisecond); s.writes != 1 || len(p.met) != head {
		t.Errorf("isolated for 2 s: %d writes, %d met; want its row, and the head again", s.writes, len(p.met))
	}
	if watch(4 * time.Second); len(p.met) != 60 {
		t.Errorf("isolated for longer it has met %d of 60", len(p.met))
	}
	reads := s.reads
	if watch(4 * time.Second); s.reads != reads {
		t.Error("the search delay does not grow")
	}
	if err := r.Leave(ctx); err != nil || len(s.rows) != 60 {
		t.Errorf("%v: %d rows after it left, want 60", err, len(s.rows))
	}
}

// TestHubWritesItsRowAndReadsOtherHalls checks that a node that becomes a hub writes its row and reads
// the heads of the other halls once, and afterwards one head at a time.
func TestHubWritesItsRowAndReadsOtherHalls(t *testing.T) {
	ctx, now := context.Background(), time.Unix(1000, 0)
	s := &store{rows: map[string]feed.Row{}}
	for i := range 40 {
		meet(t, s, node("h", fmt.Sprint("n", i), 1))
	}
	meet(t, s, node("i", "far", 1))
	r, p := newRegister(s, node("h", "small", 0.2))
	if err := r.Join(ctx); err != nil {
		t.Fatal(err)
	}
	if _, ok := p.met["far"]; ok || s.rows[smallKey(s)].Version != 0 {
		t.Error("a node that is no hub meets nodes of other halls, or has a row in the register")
	}
	p.hub = true
	reads := s.reads
	for range 5 {
		if err := r.Poll(ctx, now); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := p.met["far"]; !ok || smallKey(s) == "" || s.reads != reads+1 {
		t.Errorf("a hub met %d nodes, its row is %q, %d reads", len(p.met), smallKey(s), s.reads-reads)
	}
	reads = s.reads
	for i := range 10 {
		if err := r.Poll(ctx, now.Add(time.Duration(i)*time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	if more := s.reads - reads; more < 4 || more > 10 {
		t.Errorf("%d reads in ten minutes, want about one a minute", more)
	}
}

// smallKey returns the key of the row of the node "small", or "" if there is none.
func smallKey(s *store) string {
	for key := range s.rows {
		if strings.HasSuffix(key, "-small") {
			return key
		}
	}
	return ""
}

// TestLostRowIsWrittenAgainOnce guards against a node that nobody finds after a return.
func TestLostRowIsWrittenAgainOnce(t *testing.T) {
	s := &store{rows: map[string]feed.Row{}}
	now := time.Now()
	r, _ := newRegister(s, gossip.NodeInfo{Name: "n", Incarnation: 1, PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2", Hall: "h", Cores: 1})
	if err := r.Join(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, lost := range []bool{true, false} {
		before := s.writes
		if lost {
			clear(s.rows)
		}
		r.StoreReturned()
		for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(500 * time.Millisecond) {
			if err := r.Poll(context.Background(), at); err != nil {
				t.Fatal(err)
			}
		}
		if want := map[bool]int{true: 1}[lost]; s.writes-before != want || len(s.rows) != 1 {
			t.Errorf("lost %v: %d writes, want %d; %d rows", lost, s.writes-before, want, len(s.rows))
		}
	}
}
