package reach_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/reach"
)

// world is a pool of engines, some of which cannot be reached.
type world struct {
	mu        sync.Mutex
	engines   int
	connected map[string]bool // connected holds the engines that accept connections.
	answering map[string]bool // answering holds those that answer.
	silent    bool            // silent is set if attempts to connect end with their contexts only.
	probes    int
	changes   int
}

func (w *world) Sample(_ string, n int, avoid func(string) bool) (out []placement.Engine, total int) {
	for i := range w.engines {
		id := fmt.Sprint("e", i)
		if len(out) < n && (avoid == nil || !avoid(id)) {
			out = append(out, placement.Engine{ID: id, Address: id})
		}
	}
	return out, w.engines
}

func (w *world) Probe(_ context.Context, address string) (connected, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes++
	return w.connected[address], w.answering[address]
}

func (w *world) Accepts(ctx context.Context, address string) bool {
	connected, _ := w.Probe(ctx, address)
	if w.silent {
		<-ctx.Done()
	}
	return connected && !w.silent
}

// newPool returns a pool whose engines all answer, or accept connections only, or neither.
func newPool(t *testing.T, engines int, connected, answering bool) (*world, *reach.Pool, *reach.Monitor) {
	t.Helper()
	w := &world{engines: engines, connected: map[string]bool{}, answering: map[string]bool{}}
	for i := range engines {
		w.connected[fmt.Sprint("e", i)], w.answering[fmt.Sprint("e", i)] = connected, answering
	}
	m := reach.New(w, w, func(string) { w.mu.Lock(); w.changes++; w.mu.Unlock() }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(m.Close)
	return w, m.Pool("p"), m
}

// await waits for a state of a pool.
func await(t *testing.T, what string, state func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !state(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 3 s", what)
		}
	}
}

func TestOneSuspicionFindsALostPool(t *testing.T) {
	for name, connected := range map[string]bool{"refused": false, "silent": true} {
		for _, engines := range []int{1, 2, 3, 200} {
			w, p, m := newPool(t, engines, connected, false)
			p.Suspect(time.Now())
			await(t, name, p.Unreachable)
			if got := m.Unreachable(); len(got) != 1 || p.Unconnectable() == connected {
				t.Errorf("%s, %d engines: unreachable %v, unconnectable %v", name, engines, got, p.Unconnectable())
			}
			w.mu.Lock()
			w.connected["e0"], w.answering["e0"] = true, true
			for i := range engines {
				w.connected[fmt.Sprint("e", i)], w.answering[fmt.Sprint("e", i)] = true, true
			}
			w.mu.Unlock()
			await(t, name+" healed", func() bool { return !p.Unreachable() && !p.Unconnectable() })
		}
	}
}

func TestFailedEnginesAmongOthersLoseNoPool(t *testing.T) {
	w, p, _ := newPool(t, 8, true, true)
	for i := range 2 {
		w.connected[fmt.Sprint("e", i)], w.answering[fmt.Sprint("e", i)] = false, false
		p.ConnectFailed(time.Now(), fmt.Sprint("e", i))
	}
	if p.Unreachable() {
		t.Error("unreachable after two engines failed")
	}
	await(t, "probe", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.probes > 0 })
	p.ConnectFailed(time.Now(), "e0")
	if p.Unreachable() || w.changes > 0 {
		t.Errorf("unreachable %v after %d changes, though others answer", p.Unreachable(), w.changes)
	}
}

func TestOpenConnectionsThatLiveKeepAPoolReachable(t *testing.T) {
	w, p, _ := newPool(t, 4, false, false)
	now := time.Now()
	for i := range 3 {
		p.Heard(now)
		p.ConnectFailed(now, fmt.Sprint("e", i))
	}
	if p.Unreachable() || !p.Unconnectable() {
		t.Errorf("unreachable %v, unconnectable %v, want the latter alone", p.Unreachable(), p.Unconnectable())
	}
	w.mu.Lock()
	for i := range 4 {
		w.connected[fmt.Sprint("e", i)], w.answering[fmt.Sprint("e", i)] = true, true
	}
	w.mu.Unlock()
	await(t, "healed", func() bool { return !p.Unconnectable() })
}

func TestBusyPoolIsNotProbed(t *testing.T) {
	w, p, _ := newPool(t, 4, true, true)
	now := time.Now()
	p.Heard(now.Add(time.Second))
	p.Suspect(now)
	p.CheckSilence(now, now)
	time.Sleep(200 * time.Millisecond)
	if w.mu.Lock(); w.probes > 0 {
		t.Errorf("%d probes though an engine was heard", w.probes)
	}
	w.mu.Unlock()
}

func TestNothingIsProbedAfterClose(t *testing.T) {
	w, p, m := newPool(t, 4, true, true)
	m.Close()
	p.Suspect(time.Now())
	if p.OthersAccept(context.Background(), "e0") {
		t.Error("another engine counts as reached though no probe was made")
	}
	if w.mu.Lock(); w.probes > 0 {
		t.Errorf("%d probes", w.probes)
	}
	w.mu.Unlock()
}

// TestCloseDoesNotWaitForSilentEngines guards against a node that is killed as its stop waits for engines to accept
// connections.
func TestCloseDoesNotWaitForSilentEngines(t *testing.T) {
	w, p, m := newPool(t, 4, true, true)
	w.silent = true
	reached := make(chan bool)
	go func() { reached <- p.OthersAccept(t.Context(), "e0") }()
	await(t, "the engines are asked", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.probes > 0
	})
	begin := time.Now()
	m.Close()
	if took := time.Since(begin); took > 100*time.Millisecond {
		t.Errorf("Close waited for %v", took)
	}
	if <-reached {
		t.Error("a silent engine counts as reached")
	}
}

// TestBusyEnginesShowThatTheirPoolIsReached guards against crashes that are taken for a partition, or known late, since the other engines are
// too busy to answer.
func TestBusyEnginesShowThatTheirPoolIsReached(t *testing.T) {
	for _, connected := range []bool{true, false} {
		if _, p, _ := newPool(t, 4, connected, false); p.OthersAccept(context.Background(), "e0") != connected {
			t.Errorf("others accept connections: %v, want %v", !connected, connected)
		}
	}
}
