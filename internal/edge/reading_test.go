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

	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/platform"
)

// TestFewNodesRead checks that only a few of many nodes read the store's tables, that nodes that
// can't read are skipped, and that a node that hears from no other reads.
func TestFewNodesRead(t *testing.T) {
	peers := map[string]gossip.State{}
	for i := range 9 {
		peers[fmt.Sprintf("%d-n", i)] = gossip.State{}
	}
	e := startWithPeers(t, peers)
	now := time.Now()
	e.configProven(now)
	count := 0
	for _, name := range append([]string{"self"}, keysOf(peers)...) {
		if e.shouldReadAs(now, name) {
			count++
		}
	}
	if count < readerCount || count > readerCount+1 {
		t.Errorf("%d nodes read, want %d", count, readerCount)
	}
	if !startWithPeers(t, nil).shouldRead(time.Now().Add(time.Second)) {
		t.Error("a node that hears nobody does not read")
	}
	for name := range peers {
		peers[name] = gossip.State{CannotReadStore: true, StoreSilentMs: -1}
	}
	e = startWithPeers(t, peers)
	e.configProven(now)
	if !e.shouldRead(now) {
		t.Error("a node does not read, though no other can")
	}
}

// TestSpokesLeaveReadingToHubs checks that a spoke does not read the store's tables and does not
// name itself to callers, and that a few spokes take turns at reading when the hubs' proof gets
// old.
func TestSpokesLeaveReadingToHubs(t *testing.T) {
	e := startWithPeers(t, nil)
	now := time.Now()
	for i := range 30 {
		name := fmt.Sprint("n", i)
		e.gossip.AddAlivePeer(now, gossip.NodeInfo{Name: name, Incarnation: 1, CallerAddress: "c-" + name, Hall: e.settings.Hall, Cores: 4}, gossip.State{Ready: true, StoreSilentMs: -1})
	}
	e.gossip.UpdateHubs(now)
	later := now.Add(time.Minute)
	e.configProven(later)
	if e.gossip.IsHub() || e.shouldRead(later) {
		t.Error("a small node among 30 large ones reads")
	}
	if got := e.Entries(now, e.settings.Hall); len(got) != 3 || slices.Contains(got, e.settings.CallerAddress) {
		t.Errorf("it names %v, want three hubs", got)
	}
	const turns = 300
	reads := 0
	for i := range turns {
		at := later.Add(time.Duration(i) * spokeTurnTime)
		e.proof.SetMaxAge(time.Hour)
		if age, ok := e.proof.Age(at); ok && age > moreReadersAfter*3/2 && e.shouldRead(at) {
			reads++
		}
	}
	if want := turns * spokeReaderCount / 31; reads < want/2 || reads > want*2 {
		t.Errorf("it reads in %d turns of %d without a proof, want about %d", reads, turns, want)
	}
}

// TestHubsThatAreLateToAReturnAreCountedOn guards against hubs that all read at once, as each is ahead of the others at a return.
func TestHubsThatAreLateToAReturnAreCountedOn(t *testing.T) {
	for era, want := range map[int64]bool{0: true, 1: false} { // Only a peer of an older release names none.
		e := startWithPeers(t, nil)
		now := time.Now()
		for i := range 9 {
			said := gossip.State{Ready: true, StoreSilentMs: -1, Versions: map[string]int64{platform.TableConfig: 9}, Eras: map[string]int64{platform.TableConfig: era}}
			name := fmt.Sprint("large", i)
			e.gossip.AddAlivePeer(now, gossip.NodeInfo{Name: name, Incarnation: 1, CallerAddress: "c-" + name, Hall: e.settings.Hall, Cores: 4}, said)
		}
		e.configTable.Replace(now, feed.Snapshot{Era: 2, Version: 10})
		e.returned.Store(nil)
		e.configProven(now.Add(time.Minute))
		if got := e.shouldRead(now); got != want {
			t.Errorf("beside hubs of era %d the node reads: %v", era, got)
		}
	}
}

// TestSpokeReadsBesideHubsOfOlderReleases guards against a spoke that hears of no changes, as it follows no hub without eras.
func TestSpokeReadsBesideHubsOfOlderReleases(t *testing.T) {
	e := startWithPeers(t, nil)
	now := time.Now()
	introduce := func(i int, said gossip.State) {
		said.Ready, said.StoreSilentMs, said.Versions = true, -1, map[string]int64{platform.TableConfig: 9}
		name := fmt.Sprint("n", i)
		e.gossip.AddAlivePeer(now, gossip.NodeInfo{Name: name, Incarnation: 1, CallerAddress: "c-" + name, Hall: e.settings.Hall, Cores: 4}, said)
	}
	for i := range 30 {
		introduce(i, gossip.State{})
	}
	e.gossip.UpdateHubs(now)
	e.configProven(now.Add(time.Minute)) // Whatever the node itself reads meanwhile.
	if e.gossip.IsHub() || e.shouldRead(now) {
		t.Error("a spoke reads beside hubs of a store that names no era")
	}
	e.configTable.Replace(now, feed.Snapshot{Era: 2, Version: 10})
	e.returned.Store(nil)
	if !e.shouldRead(now) {
		t.Error("a spoke whose hubs are all of an older release does not read")
	}
	for i := range 30 {
		introduce(i, gossip.State{Eras: map[string]int64{platform.TableConfig: 2}})
	}
	if e.shouldRead(now) {
		t.Error("a spoke reads though its hubs tell eras")
	}
}

func keysOf(peers map[string]gossip.State) []string {
	var out []string
	for name := range peers {
		out = append(out, name)
	}
	return out
}

// TestSilentReadersArePassedOver checks that readers that get no answers for too long do not keep
// others from reading, and that this node leaves reading to others when it gets none.
func TestSilentReadersArePassedOver(t *testing.T) {
	peers := map[string]gossip.State{}
	for i := range 9 {
		peers[fmt.Sprintf("%d-n", i)] = gossip.State{StoreSilentMs: 1500}
	}
	e := startWithPeers(t, peers)
	now := time.Now()
	e.configProven(now)
	if !e.shouldRead(now) {
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
	e = startWithPeersAt(t, mute.Listener.Addr().String(), peers)
	now = time.Now()
	e.configProven(now)
	e.noAnswerSince.Store(nil)
	if e.checkSilence(now) != 0 || e.checkSilence(now.Add(time.Second)) != time.Second || e.readFailing(now.Add(time.Second)) {
		t.Error("a node that reads is silent too soon")
	}
	later := now.Add(1300 * time.Millisecond)
	for name := range peers {
		e.gossip.AddAlivePeer(later, gossip.NodeInfo{Name: name, Incarnation: 1}, peers[name]) // They are still being heard from.
	}
	if e.checkSilence(later); !e.readFailing(later) || e.shouldRead(later) {
		t.Error("a node without answers goes on reading")
	}
	if again := later.Add(4 * time.Second); e.readFailing(again) {
		t.Error("a node never reads again")
	}
}

// TestOneProbeWhileTheStoreIsUnavailable checks that a node that restarts while the store is unavailable
// reads the configuration only, and the other tables once the store has answered.
func TestOneProbeWhileTheStoreIsUnavailable(t *testing.T) {
	var mu sync.Mutex
	asked, unavailable := map[string]int{}, true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		asked[r.URL.Path+" "+r.URL.Query().Get("table")]++
		if unavailable {
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
	startWithPeersAt(t, server.Listener.Addr().String(), nil)
	waitFor(t, func() bool { config, _ := counts(); return config >= 3 }, "the configuration is not asked for")
	if _, others := counts(); others != 0 {
		t.Errorf("%d other calls while the store is unavailable: %v", others, asked)
	}
	mu.Lock()
	unavailable = false
	mu.Unlock()
	waitFor(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return asked["/-/rows-get servers"] > 0 && asked["/-/rows-tx "] > 0
	}, "engines or register are not asked for after the store's return")
}

// TestLargestNodesRead checks that the largest nodes that can read do so, whatever their names.
// All others take the data from the readers: when two nodes with a fifth of a core and 10 Mbit/s
// had read a configuration of 0.57 MB, most of 87 nodes did not have it 4 s later.
func TestLargestNodesRead(t *testing.T) {
	e := startWithPeers(t, nil)
	now := time.Now()
	e.configProven(now)
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
		if !e.shouldReadAs(now, name) {
			t.Errorf("%s with one core leaves reading to nodes with a fifth of one", name)
		}
	}
	for i := range 2 {
		introduce(fmt.Sprint("large", i), 4, gossip.State{StoreSilentMs: -1})
	}
	for _, name := range names {
		if e.shouldReadAs(now, name) {
			t.Errorf("%s with one core reads beside nodes with four", name)
		}
	}
	introduce("large0", 4, gossip.State{CannotReadStore: true, StoreSilentMs: -1})
	for _, name := range names {
		if !e.shouldReadAs(now, name) {
			t.Errorf("%s does not read in the place of a larger node that can't", name)
		}
	}
}

// TestLotsAreDrawnWhateverTheNumberOfNodes checks that among nodes that know no others a few read
// soon, and all in the end, however many there are.
func TestLotsAreDrawnWhateverTheNumberOfNodes(t *testing.T) {
	for _, nodes := range []int{1, 30, 1000, 20000} {
		before := 0
		for waited := -oddsHalvingInterval; waited <= 10*oddsHalvingInterval; waited += oddsHalvingInterval {
			reads := 0
			for i := range nodes {
				if drawnByLot(fmt.Sprint("n", i), waited) {
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
