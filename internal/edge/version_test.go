package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/gossip"
)

// goOnShare is the share of the streams taken up that must go on while their version serves.
const goOnShare = 0.95

func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	w := newVersionCluster(t, 5, "a", "a", "a", "a", "b", "b", "b", "b")
	w.breakEvery(5)
	w.load(t, 5*time.Second, func() {}).check(t, goOnShare)
}

func TestStreamsKeepTheirSoftwareVersionWhileNodesAreKilled(t *testing.T) {
	w := newVersionCluster(t, 5, "a", "a", "a", "a", "b", "b", "b", "b")
	w.breakEvery(5)
	w.load(t, 6*time.Second, func() {
		for i := range 5 {
			time.Sleep(900 * time.Millisecond)
			w.restart(t, i)
		}
	}).check(t, 0.5)
}

// restartAll ends all nodes and starts them again.
func (w *versionCluster) restartAll(t *testing.T) {
	t.Helper()
	for i := range w.nodes {
		_ = w.nodes[i].stop()
	}
	for i, old := range w.nodes {
		s := *old.settings
		s.FirstStart = false
		w.nodes[i] = startNodeWith(t, &s)
	}
	connect(t, w.nodes)
}

func TestStreamsWithoutARecordGoOnOnlyInAServiceOfOneVersion(t *testing.T) {
	one, two := []string{"a", "a"}, []string{"a", "b"}
	restart := func(t *testing.T, w *versionCluster, _ *streamResult) { w.restartAll(t) }
	resumes := func(id string) func(*testing.T, *versionCluster, *streamResult) {
		return func(_ *testing.T, _ *versionCluster, g *streamResult) { g.first = id }
	}
	for name, test := range map[string]struct {
		versions []string
		before   func(t *testing.T, w *versionCluster, g *streamResult)
		key      string
		goesOn   bool
	}{
		"nothing happened":                 {two, resumes("first"), "k", true},
		"all nodes restarted":              {two, restart, "k", false},
		"all nodes restarted, one version": {one, restart, "k", true},
		"no attempt named":                 {two, resumes(""), "k", false},
		"no attempt named, one version":    {one, resumes(""), "k", true},
		"an attempt that brought nothing":  {two, resumes("second"), "k", false},
		"a name that is too long":          {two, resumes(strings.Repeat("x", 9000)), "k", false},
		"the attempt of another team":      {two, resumes("first"), "other", false},
		"only engines of another version left": {one, func(t *testing.T, w *versionCluster, _ *streamResult) {
			w.engines[0].gone.Store(true)
			w.engines[1].set("b")
			w.revision.Add(1)
			w.restartAll(t)
		}, "k", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newVersionCluster(t, 3, test.versions...)
			waitFor(t, func() bool { return w.rows.has("croftturn-versions/p") }, "no row for the pool")
			g := &streamResult{versions: map[string]bool{}}
			w.attempt(0, "first", "k", g, leaveAfter)
			test.before(t, w, g)
			status, retryAfter := w.attempt(1, "second", test.key, g, 0)
			if g.whole != test.goesOn || len(g.versions) != 1 || !test.goesOn && (status != http.StatusServiceUnavailable || retryAfter > 0) {
				t.Errorf("status %d, Retry-After %v, whole %t, versions %v", status, retryAfter, g.whole, g.versions)
			}
		})
	}
}

// TestVersionThatTheRowLacksIsNotJoined checks streams that began while the row of their pool could not be written.
func TestVersionThatTheRowLacksIsNotJoined(t *testing.T) {
	w := newVersionCluster(t, 3, "a", "a")
	waitFor(t, func() bool { return w.rows.has("croftturn-versions/p") }, "no row for the pool")
	w.rows.readOnly.Store(true)
	w.engines[0].gone.Store(true)
	w.engines[1].set("b")
	w.revision.Add(1)
	g := &streamResult{versions: map[string]bool{}}
	waitFor(t, func() bool { w.attempt(0, "first", "k", g, leaveAfter); return g.began }, "no stream begins")
	began := fmt.Sprint(g.versions)
	w.engines[0].gone.Store(false)
	w.revision.Add(1)
	w.restartAll(t)
	for i := range 4 {
		status, _ := w.attempt(i%3, fmt.Sprint("again-", i), "k", g, 0)
		if len(g.versions) != 1 || status != http.StatusServiceUnavailable {
			t.Fatalf("began at %s: status %d, versions %v", began, status, g.versions)
		}
	}
}

func TestRecordsOutliveNodesThatAreKilledOneAfterAnother(t *testing.T) {
	w := newVersionCluster(t, 5, "a", "b", "b", "b")
	for i := range 8 {
		g := &streamResult{versions: map[string]bool{}}
		id := fmt.Sprint("first-", i)
		w.attempt(0, id, "k", g, leaveAfter)
		defer func() {
			if w.attempt(2, id+"-again", "k", g, 0); !g.whole || len(g.versions) != 1 {
				t.Errorf("whole %t, versions %v", g.whole, g.versions)
			}
		}()
	}
	for i := range w.nodes {
		w.restart(t, i)
		waitFor(t, func() bool { return len(w.node(i).gossip.Peers(time.Now())) == len(w.nodes)-1 }, "peers not heard")
		time.Sleep(300 * time.Millisecond) // The peers notice the restart and give the records.
	}
}

func TestStreamsAreForwardedOnlyToNodesThatKeepTheirVersion(t *testing.T) {
	e := startWithPeers(t, map[string]gossip.State{"old": {Ready: true, ForwardPort: 1}, "new": {Ready: true, ForwardPort: 1, PinsStreams: true}})
	chosen := map[string]bool{}
	for range 50 {
		node, _, _ := forwarder{nil, e}.Choose(time.Now(), "p", true, nil)
		chosen[node] = true
	}
	if len(chosen) != 1 || !chosen["new"] {
		t.Errorf("chosen: %v", chosen)
	}
	if _, _, ok := (forwarder{nil, e}).Choose(time.Now(), "p", false, []string{"new"}); !ok {
		t.Error("no other request goes to a node of an older release")
	}
}

func TestNodeThatHearsNobodyDoesNotSayThatNobodyKnows(t *testing.T) {
	e := startWithPeers(t, nil)
	waitFor(t, func() bool { return pinMembers{e}.Complete(time.Now()) }, "a node alone does not know all records")
	e.gossip.AddPeer(time.Now(), gossip.NodeInfo{Name: "never heard", Incarnation: 1, PeerAddress: "127.0.0.1:1", Hall: "h1"})
	time.Sleep(simultaneousStartWindow) // Until then all peers count as unheard.
	if (pinMembers{e}).Complete(time.Now()) {
		t.Error("another node may have records")
	}
}

// TestNodeWithAnOldViewDoesNotJoinVersions guards against streams that go on at another version at a node that has not heard
// of the engines which began them, nor reaches the nodes that keep their records.
func TestNodeWithAnOldViewDoesNotJoinVersions(t *testing.T) {
	w := newVersionCluster(t, 2, "a", "a")
	waitFor(t, func() bool { return w.rows.has("croftturn-versions/p") }, "no row for the pool")
	w.engines[1].gone.Store(true) // It joins with another version.
	w.revision.Add(1)
	var deaf atomic.Bool
	deafStore := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		switch {
		case deaf.Load() && r.URL.Path == "/-/rows-feed" && q.Get("wait_ms") != "0":
			time.Sleep(20 * time.Millisecond)
			fmt.Fprintf(rw, `{"rows":[],"ver":%s,"now_ms":%d}`, q.Get("since_revision"), time.Now().UnixMilli())
		case r.URL.Path == "/-/rows-tx" || q.Get("table") == "croftturn-register": // The node and the others don't find each other.
			rw.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.store(rw, r)
		}
	}))
	defer deafStore.Close()
	old := startNodeWith(t, newSettings(t, "old", deafStore.Listener.Addr().String()))
	waitFor(t, func() bool { return len(old.placement.Versions("p")) > 0 }, "the node has no engines")
	old.gossip.AddPeer(time.Now(), gossip.NodeInfo{Name: "not reached", Incarnation: 1, PeerAddress: "127.0.0.1:1", Hall: "h1"})
	deaf.Store(true)
	w.rows.readOnly.Store(true)
	w.engines[0].gone.Store(true)
	w.engines[1].gone.Store(false)
	w.engines[1].set("b")
	w.revision.Add(1)
	waitFor(t, func() bool { return slices.Equal(w.node(0).placement.Versions("p"), []string{"b"}) }, "the new version is not known")
	g := &streamResult{versions: map[string]bool{}}
	waitFor(t, func() bool { w.attempt(0, "first", "k", g, leaveAfter); return g.began }, "no stream begins")
	w.nodes = append(w.nodes, old)
	status, retryAfter := w.attempt(2, "again", "k", g, 0)
	if len(g.versions) != 1 || status != http.StatusServiceUnavailable || retryAfter <= 0 {
		t.Errorf("status %d, Retry-After %v, whole %t, versions %v", status, retryAfter, g.whole, g.versions)
	}
}
