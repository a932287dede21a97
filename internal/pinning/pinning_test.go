package pinning

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/history"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// mesh is a set of keepers that call each other directly.
type mesh struct {
	mu      sync.Mutex
	keepers map[string]*Keeper
	silent  map[string]bool // silent nodes do not answer.
	spokes  map[string]bool
}

// view is the mesh as one node sees it.
type view struct {
	*mesh
	self string
}

func newMesh(t *testing.T, nodes int) *mesh {
	m := &mesh{keepers: map[string]*Keeper{}, silent: map[string]bool{}, spokes: map[string]bool{}}
	for i := range nodes {
		name := fmt.Sprint("n", i)
		m.keepers[name] = NewKeeper(view{m, name}, view{m, name}, quiet)
		t.Cleanup(m.keepers[name].Close)
	}
	return m
}

func (v view) Keepers(time.Time) (list []Node, direct bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range len(v.keepers) {
		if name := fmt.Sprint("n", i); name != v.self && !v.spokes[name] && (!v.spokes[v.self] || i < 3) {
			list = append(list, Node{Name: name, Address: name, Hall: fmt.Sprint("h", i%3)})
		}
	}
	return list, !v.spokes[v.self]
}

func (v view) Complete(time.Time) bool { return true }

func (v view) Call(ctx context.Context, address, method string, params, result any) error {
	v.mu.Lock()
	k, silent := v.keepers[address], v.silent[address]
	v.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	var reply any
	var err error
	switch p := params.(type) {
	case *RecordRequest:
		reply, err = k.HandleRecord(ctx, p)
	case *FindRequest:
		reply, err = k.HandleFind(ctx, p)
	}
	if err != nil {
		return err
	}
	text, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

func TestRecordIsFoundByOtherNodes(t *testing.T) {
	m, now, o := newMesh(t, 9), time.Now(), Origin{"p", "v1"}
	m.spokes["n7"], m.spokes["n8"] = true, true
	for i := range 40 {
		s := StreamOf("t", fmt.Sprint(i))
		m.keepers["n7"].Record(context.Background(), now, s, o)
		for _, from := range []string{"n1", "n8"} {
			found := false
			for end := time.Now().Add(time.Second); !found && time.Now().Before(end); { // A hub that relays confirms first.
				f, err := m.keepers[from].Find(context.Background(), now, s)
				found = err == nil && f.Origin == o
			}
			if !found {
				t.Fatalf("stream %d is not found from %s", i, from)
			}
		}
	}
	if _, err := m.keepers["n1"].Find(context.Background(), now, StreamOf("u", "1")); !errors.Is(err, ErrUnknown) {
		t.Errorf("the stream of another team: %v", err)
	}
}

func TestSilentNodesLeaveAStreamUnanswered(t *testing.T) {
	m, now, s := newMesh(t, 4), time.Now(), StreamOf("t", "a")
	m.silent["n0"] = true
	if _, err := m.keepers["n1"].Find(context.Background(), now, s); !errors.Is(err, ErrUnanswered) {
		t.Errorf("got %v, want %v", err, ErrUnanswered)
	}
	m.keepers["n2"].Record(context.Background(), now, s, Origin{"p", "v1"})
	if f, err := m.keepers["n1"].Find(context.Background(), now, s); err != nil || f.Version != "v1" {
		t.Errorf("got %+v, %v", f, err)
	}
}

func TestUnconfirmedRecordIsGivenOutAgain(t *testing.T) {
	m, s := newMesh(t, 2), StreamOf("t", "a")
	m.silent["n1"] = true
	m.keepers["n0"].Record(context.Background(), time.Now(), s, Origin{"p", "v1"})
	m.mu.Lock()
	m.silent["n1"] = false
	m.mu.Unlock()
	for end := time.Now().Add(2 * repeatDelay); ; time.Sleep(10 * time.Millisecond) {
		if _, _, ok := m.keepers["n1"].records.get(s); ok {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the other node did not get the record")
		}
	}
}

func TestStreamsOfOneNameAreAmbiguous(t *testing.T) {
	m, now, s := newMesh(t, 4), time.Now(), StreamOf("t", "a")
	m.keepers["n1"].Record(context.Background(), now, s, Origin{"p", "v1"})
	m.keepers["n1"].Record(context.Background(), now, s, Origin{"p", "v2"})
	if f, err := m.keepers["n1"].Find(context.Background(), now, s); err != nil || f.Origin != (Origin{}) {
		t.Errorf("got %+v, %v, want no origin", f, err)
	}
}

func TestRecordsAreBoundedAndKeptForTheirTime(t *testing.T) {
	r, now, first := records{}, time.Now(), StreamOf("t", "first")
	r.put(now, first, Origin{"p", "v1"}, now)
	r.put(now.Add(lifetime), StreamOf("t", "b"), Origin{"p", "v1"}, now)
	if _, _, ok := r.get(first); !ok {
		t.Error("the record is gone within its time")
	}
	for i := range 2 * maxRecords {
		r.put(now, StreamOf("t", fmt.Sprint(i)), Origin{"p", "v1"}, now)
	}
	if kept, dropped := r.counts(); kept > maxRecords || dropped == 0 {
		t.Errorf("%d records kept, %d dropped", kept, dropped)
	}
}

// fakeStore has one row.
type fakeStore struct {
	down  bool
	calls chan struct{} // calls, unless nil, receives a value for each read, which then gets no answer.
	row   feed.Row
	nowMs int64
	era   int64
}

func (f *fakeStore) Range(ctx context.Context, _, _, _, _ string, _ int) (feed.Snapshot, bool, error) {
	if f.calls != nil {
		f.calls <- struct{}{}
		select {
		case <-ctx.Done():
		case <-time.After(time.Minute):
		}
		return feed.Snapshot{}, false, ctx.Err()
	}
	if f.down {
		return feed.Snapshot{}, false, feed.ErrUnavailable
	}
	snap := feed.Snapshot{NowMs: f.nowMs, Era: f.era}
	if f.row.Era = f.era; f.row.Version > 0 {
		snap.Rows = []feed.Row{f.row}
	}
	return snap, false, nil
}

func (f *fakeStore) Commit(_ context.Context, tx feed.Tx) (history.Position, error) {
	if f.down {
		return history.Position{}, feed.ErrUnavailable
	}
	if tx.Expect[0].Version != f.row.Version {
		return history.Position{}, feed.ErrConflict
	}
	f.row = tx.Put[0]
	f.row.Version, f.row.Era = tx.Expect[0].Version+1, f.era
	return f.row.Position(), nil
}

// versions are those of a pool's engines.
type versions []string

func (v *versions) Versions(string) []string { return *v }

func (v *versions) Unheard(context.Context, string, string) (bool, error) { return false, nil }

func newHistory(f *fakeStore, v *versions, first bool) *History {
	h := NewHistory(f, v, func() []string { return []string{"p"} }, func(time.Time, string) bool { return true }, first, quiet)
	for _, each := range *v {
		h.Observe("p", each)
	}
	return h
}

// TestCloseDoesNotWaitForASilentStore guards against a node that is killed as its stop waits for an answer of the store.
func TestCloseDoesNotWaitForASilentStore(t *testing.T) {
	store := &fakeStore{calls: make(chan struct{})}
	h := newHistory(store, &versions{"v1"}, false)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := h.readSince(ctx, time.Now(), "p")
		ended <- err
	}()
	<-store.calls
	cancel() // The request is cut off.
	if err := <-ended; err == nil {
		t.Error("a read without an answer succeeded")
	}
	closed := make(chan struct{})
	go func() { defer close(closed); h.Close() }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the history still waits for the store")
	}
}

func TestStreamsBeginAtASecondVersionOnlyOnceTheRowSaysSo(t *testing.T) {
	store, engines, ctx, now := &fakeStore{nowMs: 5}, &versions{"v1"}, context.Background(), time.Now()
	h := newHistory(store, engines, true)
	h.update(ctx, now, "p")
	if v, err := h.Sole(ctx, now, "p"); v != "v1" || err != nil {
		t.Fatalf("got %q, %v", v, err)
	}
	store.down, *engines = true, versions{"v1", "v2"}
	h.Observe("p", "v2")
	h.update(ctx, now, "p")
	if v, ok := h.Established("p"); v != "v1" || !ok {
		t.Errorf("while the store is away streams may begin at %q, %t", v, ok)
	}
	store.down = false
	h.update(ctx, now, "p")
	if _, ok := h.Established("p"); ok {
		t.Error("streams may begin at the first version only, though the row names several")
	}
	if _, err := newHistory(store, &versions{"v1"}, false).Sole(ctx, now, "p"); !errors.Is(err, ErrSeveral) {
		t.Errorf("another node: %v", err)
	}
}

// TestFirstRowKnowsVersionsThatAreGone checks a pool whose first row could only be written once its first version had left.
func TestFirstRowKnowsVersionsThatAreGone(t *testing.T) {
	store, engines, ctx, now := &fakeStore{nowMs: 5, down: true}, &versions{"v1"}, context.Background(), time.Now()
	h := newHistory(store, engines, true)
	h.update(ctx, now, "p")
	*engines = versions{"v2"}
	h.Observe("p", "v2")
	store.down = false
	h.update(ctx, now, "p")
	if v, err := newHistory(store, engines, false).Sole(ctx, now, "p"); !errors.Is(err, ErrSeveral) {
		t.Errorf("got %q, %v", v, err)
	}
}

func TestPoolHasOneVersionAgainAfterItsTime(t *testing.T) {
	store, engines, ctx, now := &fakeStore{nowMs: 5}, &versions{"v1", "v2"}, context.Background(), time.Now()
	h := newHistory(store, engines, true)
	h.update(ctx, now, "p")
	*engines = versions{"v2"}
	for _, at := range []time.Duration{0, settleTime / 2, settleTime} {
		h.update(ctx, now.Add(at), "p")
	}
	if _, ok := h.Established("p"); ok {
		t.Error("the former versions still count")
	}
	for ms, want := range map[int64]error{6: ErrSeveral, 5 + soleTime.Milliseconds(): nil} {
		store.nowMs = ms
		if v, err := h.Sole(ctx, now, "p"); !errors.Is(err, want) || want == nil && v != "v2" {
			t.Errorf("at %d ms of the store: %q, %v, want %v", ms, v, err, want)
		}
	}
	if _, err := newHistory(&fakeStore{}, engines, false).Sole(ctx, now, "p"); !errors.Is(err, ErrSeveral) {
		t.Errorf("without a row: %v", err)
	}
}

// TestOddRowOfAPoolIsWrittenAnew guards against a row that can't be decoded and stays for ever; until it is written
// anew, streams may have begun at any version.
func TestOddRowOfAPoolIsWrittenAnew(t *testing.T) {
	for _, value := range []string{"[", "7", `{"version":7}`, `{"since_ms":"x"}`} {
		store, engines, ctx, now := &fakeStore{nowMs: 5, row: feed.Row{Key: "p", Value: []byte(value), Version: 3}}, &versions{"v1"}, context.Background(), time.Now()
		h := newHistory(store, engines, false)
		for _, at := range []time.Duration{0, settleTime / 2, settleTime} {
			h.update(ctx, now.Add(at), "p")
			if v, err := h.Sole(ctx, now, "p"); !errors.Is(err, ErrSeveral) {
				t.Errorf("%s: got %q, %v", value, v, err)
			}
		}
		store.nowMs += soleTime.Milliseconds()
		if v, err := newHistory(store, engines, false).Sole(ctx, now, "p"); v != "v1" || err != nil {
			t.Errorf("%s, after its time: got %q, %v", value, v, err)
		}
	}
}

// TestLostVersionOfAPoolIsNotForgotten guards against a single version that only the copy names.
func TestLostVersionOfAPoolIsNotForgotten(t *testing.T) {
	for name, copied := range map[string]bool{"the copy has the row before": true, "the copy has no row": false} {
		store, engines, ctx, now := &fakeStore{nowMs: 5}, &versions{"v1"}, context.Background(), time.Now()
		h, peer := newHistory(store, engines, true), newHistory(store, &versions{"v2"}, false)
		h.update(ctx, now, "p")
		before := store.row
		*engines = versions{"v1", "v2"}
		h.update(ctx, now, "p")
		*engines = versions{"v2"}
		store.era, store.row = 1, feed.Row{}
		if copied {
			store.row = before
		}
		if _, err := peer.Sole(ctx, now, "p"); !errors.Is(err, ErrSeveral) {
			t.Errorf("%s: a node that knows the copy only: %v", name, err)
		}
		h.StoreReturned()
		for range 3 {
			h.update(ctx, clock.Now(), "p")
		}
		var stored historyRow
		if err := json.Unmarshal(store.row.Value, &stored); err != nil || !stored.Several || stored.Era != 1 {
			t.Errorf("%s: the row is %s, %v", name, store.row.Value, err)
		}
		list := h.GossipEntries(now)
		peer.MergeGossip(now, list, Eras(list))
		if _, err := peer.Sole(ctx, now, "p"); !errors.Is(err, ErrSeveral) {
			t.Errorf("%s: after the row was written again: %v", name, err)
		}
	}
}
