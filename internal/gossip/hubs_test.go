package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/placement"
)

// simulated is a node whose gossip runs in simulated time; it reports the state set by a test.
type simulated struct {
	*Gossip
	state State
	dead  bool
	next  int // next is the round in which it sends next.
	round int // round is the round in which it last sent.
	sent  int
	bytes int
}

func (s *simulated) LocalState(time.Time) State { return s.state }

func (s *simulated) HandlePeerState(time.Time, NodeInfo, State, time.Time) {}

// network carries the messages of simulated nodes and drops some of them.
type network struct {
	t     *testing.T
	now   time.Time
	round int
	loss  float64
	seed  uint64
	cut   func(o outgoing) bool // cut reports whether a message is dropped in addition to random loss; it may be nil.
	nodes map[string]*simulated
	order []string
}

// newNetwork returns a network of halls with some nodes each, the first three of them large. All nodes
// know each other from the register and have not sent anything yet.
func newNetwork(t *testing.T, halls, each int, loss float64, seed uint64) *network {
	t.Helper()
	n := &network{t: t, now: time.Unix(1000, 0), loss: loss, seed: seed, nodes: map[string]*simulated{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var selves []NodeInfo
	for h := range halls {
		for i := range each {
			s := NodeInfo{Name: fmt.Sprintf("n%d-%d", h, i), Incarnation: 1, PeerAddress: fmt.Sprintf("127.0.%d.%d:9", h, i), CallerAddress: fmt.Sprintf("127.0.%d.%d:8", h, i), Hall: fmt.Sprint("h", h), Cores: 0.2}
			if i < 3 {
				s.Cores = 0.8
			}
			selves = append(selves, s)
		}
	}
	for _, s := range selves {
		node := &simulated{Gossip: newGossip(s, log), state: State{Ready: true, StoreSilentMs: -1, StoreFailureAgeMs: -1, ProofAgeMs: 5, Versions: map[string]int64{"a": 1}}}
		node.node = node
		for _, other := range selves {
			node.AddPeer(n.now, other)
		}
		n.nodes[s.Name] = node
		n.order = append(n.order, s.Name)
	}
	return n
}

// run simulates a period of time.
func (n *network) run(d time.Duration) {
	n.t.Helper()
	for end := n.now.Add(d); n.now.Before(end); n.round++ {
		n.now = n.now.Add(roundInterval)
		for _, name := range n.order {
			if node := n.nodes[name]; !node.dead && (n.round >= node.next || len(node.promoted) > 0) {
				n.send(node)
			}
		}
	}
}

// send simulates a round of one node.
func (n *network) send(node *simulated) {
	n.t.Helper()
	select {
	case <-node.promoted:
	default:
	}
	node.round = n.round
	for _, o := range node.compose(func() time.Time { return n.now }, n.round) {
		raw, err := cbor.Marshal(o.message)
		if err != nil {
			n.t.Fatal(err)
		}
		node.sent++
		node.bytes += len(raw)
		to := n.nodes[o.to.Name]
		if to.dead || n.loses(node.self.Name, o.to.Name) || n.cut != nil && n.cut(o) {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", node.self.PeerAddress)
		if err != nil {
			n.t.Fatal(err)
		}
		to.handleMessage(n.now, o.message, addr)
	}
	node.next = n.round + node.sleepRounds()
}

// loses reports whether this round's message from one node to another is lost. It depends on nothing
// else, so a test gives the same result in each run whatever the order of messages.
func (n *network) loses(from, to string) bool {
	drawn := xxhash.Sum64String(fmt.Sprint(n.seed, from, to, n.round))
	return float64(drawn)/math.MaxUint64 < n.loss
}

// agreeWithin runs until all nodes agree, and fails the test if that takes too long.
func (n *network) agreeWithin(halls int, within time.Duration) {
	n.t.Helper()
	begin := n.now
	for n.run(roundInterval); n.agree(halls) != nil && n.now.Sub(begin) < within; {
		n.run(roundInterval)
	}
	if err := n.agree(halls); err != nil {
		n.t.Fatalf("after %v: %v", n.now.Sub(begin), err)
	}
	n.t.Logf("all agree after %v", n.now.Sub(begin))
}

// hubs returns the hubs of a hall that are running.
func (n *network) hubs(hall string) []string {
	var out []string
	for _, name := range n.order {
		if node := n.nodes[name]; !node.dead && node.self.Hall == hall && node.IsHub() {
			out = append(out, name)
		}
	}
	return out
}

// agree returns an error unless each running node takes exactly the hubs of its hall for hubs there,
// and each hub those of the other halls.
func (n *network) agree(halls int) error {
	for h := range halls {
		hall := fmt.Sprint("h", h)
		want := n.hubs(hall)
		if len(want) < 3 {
			return fmt.Errorf("%s has the hubs %v", hall, want)
		}
		for _, name := range n.order {
			node := n.nodes[name]
			if node.dead || node.self.Hall != hall && !node.IsHub() {
				continue
			}
			var got []string
			for _, p := range node.Hubs(n.now) {
				if p.Hall == hall {
					got = append(got, p.Name)
				}
			}
			if node.self.Hall == hall && node.IsHub() {
				got = append(got, name)
			}
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				return fmt.Errorf("%s takes %v for the hubs of %s, which are %v", name, got, hall, want)
			}
		}
	}
	return nil
}

// TestMessageRateIsBounded checks that 200 nodes that start together soon agree on a few hubs per
// hall, how much hubs and spokes then send, and that new table versions reach spokes at once.
func TestMessageRateIsBounded(t *testing.T) {
	const halls, each = 5, 40
	n := newNetwork(t, halls, each, 0.01, 1)
	n.agreeWithin(halls, 3500*time.Millisecond) // A spoke sends its next message a second after a lost one.
	for _, node := range n.nodes {
		node.sent, node.bytes = 0, 0
		if node.IsHub() {
			node.state.Rate = 60
			node.state.Loads = map[string]placement.Load{}
			for i := range 25 {
				node.state.Loads[fmt.Sprintf("i-%010d", i)] = placement.Load{PrefillTokens: 4000, InFlight: 2}
			}
		}
	}
	const seconds = 2
	n.run(seconds * time.Second)
	hubs, sent, hubBytes, spokeBytes := 0, 0, 0, 0
	for name, node := range n.nodes {
		sent += node.sent
		if node.IsHub() {
			hubs++
			hubBytes += node.bytes
			continue
		}
		spokeBytes += node.bytes
		if perS := node.bytes / seconds; perS > 2<<10 {
			t.Errorf("spoke %s sends %d bytes a second, want 2 KB at most", name, perS)
		}
	}
	t.Logf("%d nodes, %d hubs: %d messages a second; a hub sends %d bytes a second, a spoke %d", len(n.nodes), hubs, sent/seconds, hubBytes/hubs/seconds, spokeBytes/(len(n.nodes)-hubs)/seconds)
	if hubs > 6*halls || sent/seconds > 20*len(n.nodes) {
		t.Errorf("%d hubs, %d messages a second of %d nodes", hubs, sent/seconds, len(n.nodes))
	}
	first := n.hubs("h0")[0]
	n.nodes[first].state.Versions = map[string]int64{"a": 2}
	n.run(2 * roundInterval)
	late := 0
	for _, node := range n.nodes {
		if p := node.peers[first]; node.self.Hall == "h0" && node.self.Name != first && p.State.Versions["a"] != 2 {
			late++
		}
	}
	if late > 4 {
		t.Errorf("%d of %d nodes of the hall do not know the new table version, want only those whose message was lost", late, each)
	}
}

// killAfterStart runs a start and then kills some nodes.
func (n *network) killAfterStart(dies func(n *network, i int, name string) bool) {
	n.t.Helper()
	n.run(4 * time.Second)
	var dying []string
	for i, name := range n.order {
		if dies(n, i, name) {
			dying = append(dying, name)
		}
	}
	for _, name := range dying {
		n.nodes[name].dead = true
	}
}

// TestDeadHubsAreReplaced checks that all nodes soon agree on new hubs after the death of one hub, of
// all hubs of a hall, and of all large nodes and half of the others. If one message in a hundred is
// lost, that may take one more message between hub and spoke.
func TestDeadHubsAreReplaced(t *testing.T) {
	const halls, each = 3, 40
	tests := []struct {
		name   string
		dies   func(n *network, i int, name string) bool
		within time.Duration
	}{
		{"one", func(n *network, _ int, name string) bool { return name == n.hubs("h0")[0] }, 2 * time.Second},
		{"all of a hall", func(n *network, _ int, name string) bool { return slices.Contains(n.hubs("h0"), name) }, 2 * time.Second},
		{"half of the nodes and all that are large", func(n *network, i int, name string) bool {
			return i%2 == 0 || n.nodes[name].self.Cores > 0.5
		}, 2700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(t, halls, each, 0, 0)
			n.killAfterStart(test.dies)
			n.agreeWithin(halls, test.within)
		})
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(test.name, ", messages lost, seed ", seed), func(t *testing.T) {
				n := newNetwork(t, halls, each, 0.01, seed)
				n.killAfterStart(test.dies)
				n.agreeWithin(halls, test.within+spokeRounds*roundInterval)
				n.run(2 * time.Second)
				if err := n.agree(halls); err != nil {
					t.Errorf("two seconds later: %v", err)
				}
			})
		}
	}
}

// TestRestartedSpokeIsAnsweredInNextRound checks that a restarted spoke hears from a hub in the round
// after its first message and not only when the hub's next message is due: until then it does not know
// the engines.
func TestRestartedSpokeIsAnsweredInNextRound(t *testing.T) {
	n := newNetwork(t, 2, 20, 0, 1)
	n.run(4 * time.Second)
	for i := 5; i < 15; i++ {
		old := n.nodes[fmt.Sprint("n0-", i)]
		if old.IsHub() {
			continue
		}
		self := old.self
		self.Incarnation++
		fresh := &simulated{Gossip: newGossip(self, old.log), state: State{Ready: true, StoreSilentMs: -1, StoreFailureAgeMs: -1}}
		fresh.node = fresh
		for _, name := range n.order {
			fresh.AddPeer(n.now, n.nodes[name].self)
		}
		n.nodes[self.Name] = fresh
		n.run(3 * roundInterval)
		if len(fresh.Hubs(n.now)) == 0 {
			t.Errorf("%s has heard no hub %v after its start", self.Name, 3*roundInterval)
		}
	}
}

// TestPromotedSpokeContactsFewRemoteNodes checks that a spoke that becomes a hub after some time takes
// only a few nodes of each other hall for hubs until it hears hubs there. A spoke knows no remote
// hubs, and must not treat that as a long silence.
func TestPromotedSpokeContactsFewRemoteNodes(t *testing.T) {
	n := newNetwork(t, 3, 40, 0, 1)
	n.run(12 * time.Second)
	var spokes []*simulated
	for _, name := range n.order {
		node := n.nodes[name]
		switch {
		case node.self.Hall != "h0":
		case node.isHub:
			node.dead = true
		default:
			spokes = append(spokes, node)
		}
	}
	promoted := func() *simulated {
		for _, node := range spokes {
			if node.isHub {
				return node
			}
		}
		return nil
	}
	for end := n.now.Add(5 * time.Second); promoted() == nil && n.now.Before(end); {
		n.run(roundInterval)
	}
	node := promoted()
	if node == nil {
		t.Fatal("no spoke has become a hub")
	}
	hubs := map[string]int{}
	for name := range node.hubs {
		if name != node.self.Name {
			hubs[node.peers[name].Hall]++
		}
	}
	for _, hall := range []string{"h1", "h2"} {
		if hubs[hall] == 0 || hubs[hall] > initialHubs {
			t.Errorf("the promoted spoke takes %d nodes of hall %s for hubs, want 1 to %d", hubs[hall], hall, initialHubs)
		}
	}
}

// TestHubsAreUpdatedWithAnOlderTime guards against processes that end because a time that was read before a wait is used after one
// that was read later.
func TestHubsAreUpdatedWithAnOlderTime(t *testing.T) {
	n := newNetwork(t, 2, maxFullMeshPeers, 0, 1)
	for _, heard := range []bool{false, true} {
		for back := time.Duration(0); back <= 20*widenInterval; back += widenInterval / 2 {
			node := n.nodes["n1-4"]
			node.UpdateHubs(n.now)
			node.UpdateHubs(n.now.Add(-back))
			if hubs := len(node.hubs); hubs == 0 {
				t.Errorf("heard %v, %v back: no hubs are known", heard, back)
			}
		}
		n.run(5 * time.Second)
	}
}

// TestChosenHubsAreResent guards against a spoke that hears a hub but has no hub itself: the message
// with the addresses of the chosen hubs was lost, so the spoke does not know the hubs that are
// advertised to it.
func TestChosenHubsAreResent(t *testing.T) {
	n := newNetwork(t, 1, 40, 0, 1)
	n.run(4 * time.Second)
	hubs := n.hubs("h0")
	spoke := n.nodes[n.order[len(n.order)-1]]
	for _, name := range n.order { // Nodes know only the hubs, as if the register head of the hall did not hold the others.
		maps.DeleteFunc(n.nodes[name].peers, func(other string, _ *Peer) bool { return !slices.Contains(hubs, name) && !slices.Contains(hubs, other) })
	}
	for _, name := range hubs {
		n.nodes[name].state.Stopping = true
	}
	n.cut = func(o outgoing) bool { return o.to.Name == spoke.self.Name }
	n.run(time.Second)
	n.cut = nil
	var without time.Duration
	for range 80 {
		n.run(roundInterval)
		if len(spoke.Hubs(n.now)) == 0 {
			without += roundInterval
		}
	}
	if without > spokeRounds*roundInterval {
		t.Errorf("a spoke that hears hubs had no hub for %v of 8 s", without)
	}
}
