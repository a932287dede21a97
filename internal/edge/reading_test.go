package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/gossip"
)

// TestFewNodesRead holds that of many nodes a few read the store's tables, that
// those which can't are passed over, and that a node which hears nobody reads.
func TestFewNodesRead(t *testing.T) {
	peers := map[string]gossip.State{}
	for i := range 9 {
		peers[fmt.Sprintf("%d-n", i)] = gossip.State{}
	}
	e := heardFrom(t, peers)
	now := time.Now()
	e.proven(now)
	count := 0
	for _, name := range append([]string{"self"}, keysOf(peers)...) {
		if e.readsAs(now, name) {
			count++
		}
	}
	if count < readers || count > readers+1 {
		t.Errorf("%d nodes read, want %d", count, readers)
	}
	if !heardFrom(t, nil).reads(time.Now().Add(time.Second)) {
		t.Error("a node that hears nobody does not read")
	}
	for name := range peers {
		peers[name] = gossip.State{CannotReadStore: true, StoreSilentMs: -1}
	}
	e = heardFrom(t, peers)
	e.proven(now)
	if !e.reads(now) {
		t.Error("a node does not read, though no other can")
	}
}

// TestSpokesLeaveReadingToHubs holds that a node which is no hub does not read the store's
// tables and names itself to no caller, and that a few such nodes try in turn where the
// hubs' proof grows old.
func TestSpokesLeaveReadingToHubs(t *testing.T) {
	e := heardFrom(t, nil)
	now := time.Now()
	for i := range 30 {
		name := fmt.Sprint("n", i)
		e.gossip.AddAlivePeer(now, gossip.NodeInfo{Name: name, Incarnation: 1, CallerAddress: "c-" + name, Hall: e.settings.Hall, Cores: 4}, gossip.State{Ready: true, StoreSilentMs: -1})
	}
	e.gossip.UpdateHubs(now)
	later := now.Add(time.Minute)
	e.proven(later)
	if e.gossip.IsHub() || e.reads(later) {
		t.Error("a small node among 30 large ones reads")
	}
	if got := e.Entries(now, e.settings.Hall); len(got) != 3 || slices.Contains(got, e.settings.CallerAddress) {
		t.Errorf("it names %v, want three hubs", got)
	}
	const turns = 300
	reads := 0
	for i := range turns {
		at := later.Add(time.Duration(i) * spokesTurn)
		e.proof.SetMaxAge(time.Hour)
		if age, ok := e.proof.Age(at); ok && age > readMoreAfter*3/2 && e.reads(at) {
			reads++
		}
	}
	if want := turns * spokesRead / 31; reads < want/2 || reads > want*2 {
		t.Errorf("it reads in %d turns of %d without a proof, want about %d", reads, turns, want)
	}
}

// keysOf returns the names of peers.
func keysOf(peers map[string]gossip.State) []string {
	var out []string
	for name := range peers {
		out = append(out, name)
	}
	return out
}

// TestSilentReadersArePassedOver holds that nodes which read without having an
// answer for too long do not keep others from reading, and that this node leaves
// reading to others when it has none.
func TestSilentReadersArePassedOver(t *testing.T) {
	peers := map[string]gossip.State{}
	for i := range 9 {
		peers[fmt.Sprintf("%d-n", i)] = gossip.State{StoreSilentMs: 1500}
	}
	e := heardFrom(t, peers)
	now := time.Now()
	e.proven(now)
	if !e.reads(now) {
		t.Error("a node does not read, though those that do have no answer")
	}
	peers = map[string]gossip.State{}
	for i := 0; len(peers) < 9; i++ {
		if name := fmt.Sprintf("%d-n", i); newCandidate("self", 1, false).before(newCandidate(name, 1, false)) {
			peers[name] = gossip.State{StoreSilentMs: -1}
		}
	}
	mute := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(mute.Close)
	t.Cleanup(mute.CloseClientConnections)
	e = heardFromAt(t, mute.Listener.Addr().String(), peers)
	now = time.Now()
	e.proven(now)
	e.quietSince.Store(nil)
	if e.watchSilence(now) != 0 || e.watchSilence(now.Add(time.Second)) != time.Second || e.cantRead(now.Add(time.Second)) {
		t.Error("a node that reads is silent too soon")
	}
	later := now.Add(1300 * time.Millisecond)
	for name := range peers {
		e.gossip.AddAlivePeer(later, gossip.NodeInfo{Name: name, Incarnation: 1}, peers[name]) // They are heard until then.
	}
	if e.watchSilence(later); !e.cantRead(later) || e.reads(later) {
		t.Error("a node without answers goes on reading")
	}
	if again := later.Add(4 * time.Second); e.cantRead(again) {
		t.Error("a node never reads again")
	}
}

// TestOneProbeWhileTheStoreIsAway holds that a node which restarts while the store is
// away asks it for the configuration only, and for the rest once it has answered.
func TestOneProbeWhileTheStoreIsAway(t *testing.T) {
	var mu sync.Mutex
	asked, away := map[string]int{}, true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		asked[r.URL.Path+" "+r.URL.Query().Get("table")]++
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, `{"rows":[],"ver":7,"now_ms":%d}`, time.Now().UnixMilli())
	}))
	t.Cleanup(server.Close)
	counts := func() (config, others int) {
		mu.Lock()
		defer mu.Unlock()
		for what, n := range asked {
			if strings.HasSuffix(what, " op") {
				config += n
				continue
			}
			others += n
		}
		return config, others
	}
	heardFromAt(t, server.Listener.Addr().String(), nil)
	waitFor(t, func() bool { config, _ := counts(); return config >= 3 }, "the configuration is not asked for")
	if _, others := counts(); others != 0 {
		t.Errorf("%d other calls while the store is away: %v", others, asked)
	}
	mu.Lock()
	away = false
	mu.Unlock()
	waitFor(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return asked["/-/rows-get servers"] > 0 && asked["/-/rows-tx "] > 0
	}, "engines or register are not asked for after the store's return")
}

// TestLargestNodesRead holds that the nodes which read the store are the largest of those that
// can, whatever their names: what a reader has all others take from it, so that a
// configuration of 0.57 MB which two nodes with a fifth of a core and 10 Mbit/s had read
// was not at most of 87 nodes 4 s later.
func TestLargestNodesRead(t *testing.T) {
	e := heardFrom(t, nil)
	now := time.Now()
	e.proven(now)
	introduce := func(name string, cores float64, said gossip.State) {
		e.gossip.AddAlivePeer(now, gossip.NodeInfo{Name: name, Incarnation: 1, CallerAddress: "c-" + name, Hall: e.settings.Hall, Cores: cores}, said)
	}
	for i := range 4 {
		introduce(fmt.Sprint("small", i), 0.2, gossip.State{StoreSilentMs: -1})
	}
	names := make([]string, 20)
	for i := range names {
		names[i] = fmt.Sprint("self", i)
	}
	for _, name := range names {
		if !e.readsAs(now, name) {
			t.Errorf("%s with one core leaves reading to nodes with a fifth of one", name)
		}
	}
	for i := range 2 {
		introduce(fmt.Sprint("large", i), 4, gossip.State{StoreSilentMs: -1})
	}
	for _, name := range names {
		if e.readsAs(now, name) {
			t.Errorf("%s with one core reads beside nodes with four", name)
		}
	}
	introduce("large0", 4, gossip.State{CannotReadStore: true, StoreSilentMs: -1})
	for _, name := range names {
		if !e.readsAs(now, name) {
			t.Errorf("%s does not read in the place of a larger node that can't", name)
		}
	}
}

// TestLotsAreDrawnWhateverTheNumberOfNodes holds that of nodes which know nobody some read soon after they have waited, a few at
// first, and all in the end.
func TestLotsAreDrawnWhateverTheNumberOfNodes(t *testing.T) {
	for _, nodes := range []int{1, 30, 1000, 20000} {
		before := 0
		for waited := -widenEvery; waited <= 10*widenEvery; waited += widenEvery {
			reads := 0
			for i := range nodes {
				if drawn(fmt.Sprint("n", i), waited) {
					reads++
				}
			}
			if reads < before || reads > max(8, 3*before, nodes/500) {
				t.Errorf("%d of %d nodes read after %v, %d before", reads, nodes, waited, before)
			}
			before = reads
		}
		if before != nodes {
			t.Errorf("%d of %d nodes read in the end", before, nodes)
		}
	}
}
