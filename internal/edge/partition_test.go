package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/settings"
)

const (
	// contactTime is how long after a partition began nodes may need to get by without engines.
	contactTime = 3 * time.Second

	// servedShare is the share of requests at nodes with and without engines that must be served.
	servedShare = 0.95
)

// safeAndUnsafeConfig is twoTierConfig with an unsafe route.
var safeAndUnsafeConfig = strings.Replace(twoTierConfig, `"path_prefix":"/low/","kind":"safe"`, `"path_prefix":"/low/","kind":"unsafe"`, 1)

// newPartitionedCluster starts engines and nodes that can be cut off from them, by source address.
func newPartitionedCluster(t *testing.T, engines, nodes int) (*scriptedCluster, *partition) {
	t.Helper()
	return newPartitionedClusterWith(t, engines, nodes, func(s *settings.Settings) { s.ForwardAddress = freeAddress(t) })
}

// newPartitionedClusterWith is newPartitionedCluster with changed settings of each node.
func newPartitionedClusterWith(t *testing.T, engines, nodes int, change func(s *settings.Settings)) (*scriptedCluster, *partition) {
	t.Helper()
	p := newPartition()
	w := &scriptedCluster{config: safeAndUnsafeConfig}
	w.version.Store(6)
	for i := range engines {
		e := &scriptedEngine{id: fmt.Sprint("e", i), hall: "h1"}
		e.startedAt.Store(1)
		server := httptest.NewUnstartedServer(e)
		server.Listener = partitionedListener{server.Listener, p}
		server.Start()
		t.Cleanup(server.Close)
		e.address = server.Listener.Addr().String()
		w.engines = append(w.engines, e)
	}
	store := httptest.NewServer(http.HandlerFunc(w.store))
	t.Cleanup(store.Close)
	w.address = store.Listener.Addr().String()
	for i := range nodes {
		s := newSettings(t, fmt.Sprint("n", i), w.address)
		s.EngineSourceIp = sourceOf(i)
		change(s)
		w.nodes = append(w.nodes, startNodeWith(t, s))
	}
	t.Cleanup(func() {
		for i := range nodes {
			p.set(sourceOf(i), 0)
		}
	})
	connect(t, w.nodes)
	return w, p
}

// sourceOf returns the address from which a node connects to engines.
func sourceOf(node int) string { return fmt.Sprintf("127.0.1.%d", 1+node) }

// tally counts the requests at nodes that are cut off and at the others.
type tally struct {
	mu            sync.Mutex
	served, asked [2]int // The second is of nodes that are cut off.
}

// countLoad sends load and counts the requests from a time on at the first nodes, which are cut off,
// and at the others.
func countLoad(w *scriptedCluster, cut int, every, duration time.Duration, from time.Time) *tally {
	c := &tally{}
	w.load(every, duration, func(_ string, node int, sent time.Time, g result) {
		if sent.Before(from) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		kind := 0
		if node < cut {
			kind = 1
		}
		c.asked[kind]++
		if g.status == http.StatusOK {
			c.served[kind]++
		}
	})
	return c
}

// check fails the test if too few requests were served.
func (c *tally) check(t *testing.T) {
	t.Helper()
	for kind, name := range []string{"other nodes", "nodes cut off"} {
		if float64(c.served[kind]) < servedShare*float64(c.asked[kind]) {
			t.Errorf("%s served %d of %d requests", name, c.served[kind], c.asked[kind])
		}
	}
	t.Logf("other nodes served %d of %d, nodes cut off %d of %d", c.served[0], c.asked[0], c.served[1], c.asked[1])
}

func TestNodesPartitionedFromAllEnginesServeTheirCallers(t *testing.T) {
	turns := make(chan struct{}, 2) // More cases at once leave each other too little of the processor.
	for name, mode := range map[string]cutMode{"refused": cutRefuse, "hanging": cutHang, "new connections refused": cutNew} {
		for _, cut := range []int{1, 3} {
			t.Run(fmt.Sprint(name, " ", cut), func(t *testing.T) {
				t.Parallel()
				turns <- struct{}{}
				defer func() { <-turns }()
				w, p := newPartitionedCluster(t, 8, 5)
				countLoad(w, cut, 10*time.Millisecond, time.Second, time.Now()).check(t)
				for i := range cut {
					p.set(sourceOf(i), mode)
				}
				countLoad(w, cut, 10*time.Millisecond, 2*contactTime, time.Now().Add(contactTime)).check(t)
				for i := range cut {
					p.set(sourceOf(i), 0)
				}
				countLoad(w, cut, 10*time.Millisecond, time.Second+contactTime, time.Now().Add(contactTime)).check(t)
				w.checkRuns(t)
			})
		}
	}
}

func TestNodesForwardWithTheSettingsOfBefore(t *testing.T) {
	w, p := newPartitionedClusterWith(t, 8, 5, func(*settings.Settings) {})
	p.set(sourceOf(0), cutRefuse)
	countLoad(w, 1, 10*time.Millisecond, 2*contactTime, time.Now().Add(contactTime)).check(t)
	w.checkRuns(t)
}

func TestIdleNodePartitionedFromEnginesServesItsCallers(t *testing.T) {
	for name, mode := range map[string]cutMode{"refused": cutRefuse, "hanging": cutHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, p := newPartitionedCluster(t, 8, 3)
			p.set(sourceOf(0), mode)
			begin, failed := time.Now(), 0
			for i := range 8 {
				if r := w.send(w.nodes[0], "high", fmt.Sprint("n0-", i)); r.status != http.StatusOK && time.Since(begin) > contactTime {
					failed++
				}
				time.Sleep(time.Until(begin.Add(time.Duration(i+1) * time.Second)))
			}
			if failed > 0 {
				t.Errorf("%d requests failed later than %v after the cut", failed, contactTime)
			}
		})
	}
}

// checkRuns fails the test if an engine ran a request of the unsafe route again.
func (w *scriptedCluster) checkRuns(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, e := range w.engines {
		e.mu.Lock()
		for _, id := range e.unsafeRuns {
			runs[id]++
		}
		e.mu.Unlock()
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("unsafe request %s ran %d times", id, n)
		}
	}
}

func TestPeerWithoutEnginesBlocksNoDecision(t *testing.T) {
	e := startWithPeers(t, map[string]gossip.State{"b": {Ready: true, Unreachable: []string{"p"}, Partitioned: true}})
	waitFor(t, func() bool { return e.dispatcher.Version() == 3 }, "no configuration")
	e.placement.Set(placement.Engine{ID: "e", Pool: "p", Hall: "h1", Slots: 4, ColdUntil: time.Now().Add(time.Hour)})
	e.placement.SetColdLimit("p", 100)
	decided := make(chan bool, 1)
	go func() {
		_, ok := e.placement.Choose(time.Now(), placement.Request{Pool: "p"})
		decided <- ok
	}()
	select {
	case ok := <-decided:
		if !ok {
			t.Error("no engine, though this node alone sends requests")
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the decision hangs")
	}
}
