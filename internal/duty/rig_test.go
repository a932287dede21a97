package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/lease"
	"github.com/croftturn/croftturn/internal/scaling"
	"github.com/croftturn/croftturn/internal/usage"
)

const (
	returnDelay = 600 * time.Millisecond
	window      = 500 * time.Millisecond
	dueAfter    = 3 * time.Second
)

type (
	// fakePlatform is the store and the API of the platform. It can drop answers or reject a node, and records its calls.
	fakePlatform struct {
		mu          sync.Mutex
		rows        map[string]feed.Row
		version     int64
		era         int64
		copies      []storeCopy     // copies are the states before each write.
		dropAnswers bool            // dropAnswers makes writes succeed without an answer.
		storeDown   map[string]bool // storeDown holds the nodes that can't reach the store.
		stopped     map[string]bool // stopped holds the nodes that others see as stopping or silent.
		apiDown     map[string]bool // apiDown holds the nodes whose API calls fail.
		apiSilent   map[string]bool // apiSilent holds the nodes whose API calls get no answer.
		inCall      map[string]int  // inCall counts the calls without an answer in progress by node.
		givenUp     []string        // givenUp holds the nodes that gave the duties up during such a call.

		reports map[int64][]string // reports holds the reports by window.
		calls   []platformCall
	}

	// storeCopy is an earlier state of the store.
	storeCopy struct {
		at      time.Time
		version int64
		rows    map[string]feed.Row
	}

	// platformCall is an API call of a holder.
	platformCall struct {
		holder string
		token  int64
		at     time.Time
	}

	// platformView is the platform as seen by one node.
	platformView struct {
		*fakePlatform
		name string
	}

	// nodes holds the nodes by address.
	nodes map[string]*Duties

	// fakeNode is the node that takes part.
	fakeNode struct {
		memory *fakePlatform
		index  int
	}
)

var errDown = errors.New("unavailable")

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]feed.Row{}, storeDown: map[string]bool{}, stopped: map[string]bool{}, apiDown: map[string]bool{}, apiSilent: map[string]bool{}, inCall: map[string]int{}, reports: map[int64][]string{}}
}

func (m platformView) List(context.Context, string, string) (feed.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeDown[m.name] {
		return feed.Snapshot{}, errDown
	}
	snap := feed.Snapshot{Era: m.era, Version: m.version}
	for _, r := range m.rows {
		r.Era = m.era
		snap.Rows = append(snap.Rows, r)
	}
	return snap, nil
}

func (m platformView) Commit(_ context.Context, tx feed.Tx) (history.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeDown[m.name] {
		return history.Position{}, fmt.Errorf("%w: %w", errDown, feed.ErrUnavailable)
	}
	for _, r := range tx.Expect {
		if m.rows[r.Key].Version != r.Version {
			return history.Position{Era: m.era}, &feed.ConflictError{}
		}
	}
	for _, r := range tx.Put {
		var record lease.Record
		if r.Key == keyLease && json.Unmarshal(r.Value, &record) == nil && record.Released && m.inCall[m.name] > 0 {
			m.givenUp = append(m.givenUp, m.name)
		}
	}
	m.copies = append(m.copies, storeCopy{time.Now(), m.version, maps.Clone(m.rows)})
	m.version++
	for _, r := range tx.Put {
		r.Version = m.version
		m.rows[r.Key] = r
	}
	for _, r := range tx.Delete {
		delete(m.rows, r.Key)
	}
	if m.dropAnswers {
		return history.Position{}, fmt.Errorf("answer lost: %w", feed.ErrUncertain)
	}
	return history.Position{Era: m.era, Version: m.version}, nil
}

func (m platformView) Usage(ctx context.Context, holder string, token, window int64, counts map[string]int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.apiDown[m.name] {
		return errDown
	}
	if m.apiSilent[m.name] {
		m.inCall[m.name]++
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		m.inCall[m.name]--
		return ctx.Err()
	}
	m.calls = append(m.calls, platformCall{holder, token, time.Now()})
	m.reports[window] = append(m.reports[window], fmt.Sprint(counts))
	return nil
}

func (m platformView) Order(context.Context, string, int64, scaling.Order) error { return nil }

func (n nodes) Call(ctx context.Context, address, _ string, params, result any) error {
	d := n[address]
	if d == nil {
		return errDown
	}
	got, err := d.HandleCounts(ctx, params.(*usage.Report))
	if err == nil {
		*result.(*usage.Ack) = got.(usage.Ack)
	}
	return err
}

func (n fakeNode) Rank(time.Time) (rank int, ok bool) {
	n.memory.mu.Lock()
	defer n.memory.mu.Unlock()
	for i := range n.index {
		if !n.memory.stopped[fmt.Sprint("n", i)] {
			rank++
		}
	}
	return rank, true
}
func (fakeNode) Pools(time.Time) []Pool          { return nil }
func (fakeNode) Work() map[string]scaling.Demand { return nil }

// testCluster is a set of running nodes.
type testCluster struct {
	t        *testing.T
	platform *fakePlatform
	nodes    nodes
	kill     map[string]func() // kill stops a node without a release.
}

// newTestCluster starts nodes; the first has the highest rank.
func newTestCluster(t *testing.T, count int) *testCluster {
	r := &testCluster{t: t, platform: newFakePlatform(), nodes: nodes{}, kill: map[string]func(){}}
	made := make([]*Duties, count)
	for i := range count {
		name := fmt.Sprint("n", i)
		made[i] = New(time.Now(), Settings{Name: name, ProcessID: name, PeerAddress: name, ReturnDelay: returnDelay, Window: window, DueAfter: dueAfter, Usage: true},
			platformView{r.platform, name}, platformView{r.platform, name}, r.nodes, fakeNode{r.platform, i}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		r.nodes[name] = made[i]
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.gossip(ctx, made) })
	for i, d := range made {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.Run(ctx)
		}()
		r.kill[fmt.Sprint("n", i)] = sync.OnceFunc(func() {
			cancel()
			<-ended
		})
	}
	t.Cleanup(func() {
		stop()
		wg.Wait()
		for _, end := range r.kill {
			end()
		}
	})
	return r
}

// gossip tells all nodes who the holder is.
func (r *testCluster) gossip(ctx context.Context, all []*Duties) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, from := range all {
				term, ok := from.Holds(now)
				for _, to := range all {
					if h := from.Holder(now); to != from && h.Released {
						to.ObserveHolder(h)
					}
					if ok && to != from {
						to.ObserveHolder(Holder{Token: term.Token, Address: from.settings.PeerAddress, RenewedAt: now})
					}
				}
			}
		}
	}
}

// holder waits until one of the given nodes is the holder.
func (r *testCluster) holder(names ...string) string {
	r.t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, name := range names {
			if _, ok := r.nodes[name].Holds(time.Now()); ok {
				return name
			}
		}
	}
	r.t.Fatalf("none of %v holds the duties", names)
	return ""
}

// countRequests counts requests at the given nodes for a while, and returns how many.
func (r *testCluster) countRequests(d time.Duration, names ...string) int {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, name := range names {
			r.nodes[name].Counter.Began(time.Now(), "team")
			n++
		}
	}
	return n
}

// waitReported waits until the wanted number of requests was reported, and checks that repeated reports of a window are equal.
func (r *testCluster) waitReported(want int) {
	r.t.Helper()
	got := 0
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		got = 0
		r.platform.mu.Lock()
		for window, all := range r.platform.reports {
			n := 0
			fmt.Sscanf(all[0], "map[team:%d]", &n)
			got += n
			for _, each := range all {
				if each != all[0] {
					r.t.Errorf("window %d was reported as %v", window, all)
				}
			}
		}
		r.platform.mu.Unlock()
		if got >= want {
			break
		}
	}
	if got != want {
		r.t.Errorf("%d requests were reported, want %d", got, want)
	}
	r.checkCalls()
}

// checkCalls checks that tokens never decrease, that no two holders share one, and that no holder returns within the return
// delay.
func (r *testCluster) checkCalls() {
	r.t.Helper()
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	for i, a := range r.platform.calls {
		other := false
		for _, b := range r.platform.calls[i+1:] {
			other = other || b.holder != a.holder
			switch {
			case b.token < a.token, b.token == a.token && b.holder != a.holder:
				r.t.Errorf("%+v after %+v", b, a)
			case b.holder == a.holder && other && b.at.Sub(a.at) < returnDelay:
				r.t.Errorf("%s acted again after %v, with another holder between", a.holder, b.at.Sub(a.at))
			}
		}
	}
}

// goBack makes the store come back from a copy of some age.
func (m *fakePlatform) goBack(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	for len(m.copies) > 0 {
		last := m.copies[len(m.copies)-1]
		if time.Since(last.at) > age {
			return
		}
		m.version, m.rows, m.copies = last.version, last.rows, m.copies[:len(m.copies)-1]
	}
}

// mark adds a node to a set.
func (m *fakePlatform) mark(of map[string]bool, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	of[name] = true
}

// waitStored waits until the counts of nodes are in the store.
func (r *testCluster) waitStored(names ...string) {
	r.t.Helper()
	for _, name := range names {
		for deadline := time.Now().Add(5 * time.Second); r.nodes[name].Counter.UnstoredBatches() > 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				r.t.Fatalf("counts of %s are not in the store", name)
			}
		}
	}
}

// loseAnswers sets whether the answers to writes are lost.
func (m *fakePlatform) loseAnswers(lose bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropAnswers = lose
}
