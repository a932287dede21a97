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

// simulated is a node whose gossip runs in simulated time; it says what it is told to say.
type simulated struct {
	*Gossip
	say   Said
	dead  bool
	next  int // next is the turn in which it sends.
	turn  int // turn counts its own turns.
	sent  int
	bytes int
}

func (s *simulated) Say(time.Time) Said { return s.say }

func (s *simulated) Heard(time.Time, Self, Said, time.Time) {}

// network carries the messages of simulated nodes and loses some of them.
type network struct {
	t     *testing.T
	now   time.Time
	turn  int
	loss  float64
	seed  uint64
	cut   func(o outgoing) bool // cut says that a message is lost; nil if none is by it.
	nodes map[string]*simulated
	order []string
}

// newNetwork returns a network of halls with some nodes each, of which each third hall's
// node is large, that all know each other from the register and have not yet spoken.
func newNetwork(t *testing.T, halls, each int, loss float64, seed uint64) *network {
	t.Helper()
	n := &network{t: t, now: time.Unix(1000, 0), loss: loss, seed: seed, nodes: map[string]*simulated{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var selves []Self
	for h := range halls {
		for i := range each {
			s := Self{Name: fmt.Sprintf("n%d-%d", h, i), Incarnation: 1, PeerAddress: fmt.Sprintf("127.0.%d.%d:9", h, i), CallerAddress: fmt.Sprintf("127.0.%d.%d:8", h, i), Hall: fmt.Sprint("h", h), Cores: 0.2}
			if i < 3 {
				s.Cores = 0.8
			}
			selves = append(selves, s)
		}
	}
	for _, s := range selves {
		node := &simulated{Gossip: newGossip(s, log), say: Said{Ready: true, SilentMs: -1, LostAgeMs: -1, ProofAgeMs: 5, Versions: map[string]int64{"a": 1}}}
		node.node = node
		for _, other := range selves {
			node.Meet(n.now, other)
		}
		n.nodes[s.Name] = node
		n.order = append(n.order, s.Name)
	}
	return n
}

// run plays some time.
func (n *network) run(d time.Duration) {
	n.t.Helper()
	for end := n.now.Add(d); n.now.Before(end); n.turn++ {
		n.now = n.now.Add(every)
		for _, name := range n.order {
			if node := n.nodes[name]; !node.dead && (n.turn >= node.next || len(node.promoted) > 0) {
				n.send(node)
			}
		}
	}
}

// send plays a turn of one node.
func (n *network) send(node *simulated) {
	n.t.Helper()
	select {
	case <-node.promoted:
	default:
	}
	node.turn = n.turn
	for _, o := range node.compose(func() time.Time { return n.now }, n.turn) {
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
		to.take(n.now, o.message, addr)
	}
	node.next = n.turn + node.rest()
}

// loses reports whether the message of this turn from one node to another is lost. It hangs
// on nothing else, so that a test plays the same each time, whatever the order of messages.
func (n *network) loses(from, to string) bool {
	drawn := xxhash.Sum64String(fmt.Sprint(n.seed, from, to, n.turn))
	return float64(drawn)/math.MaxUint64 < n.loss
}

// agreeWithin plays until all agree and fails the test if that takes too long.
func (n *network) agreeWithin(halls int, within time.Duration) {
	n.t.Helper()
	begin := n.now
	for n.run(every); n.agree(halls) != nil && n.now.Sub(begin) < within; {
		n.run(every)
	}
	if err := n.agree(halls); err != nil {
		n.t.Fatalf("after %v: %v", n.now.Sub(begin), err)
	}
	n.t.Logf("all agree after %v", n.now.Sub(begin))
}

// hubs returns the hubs of a hall that are alive.
func (n *network) hubs(hall string) []string {
	var out []string
	for _, name := range n.order {
		if node := n.nodes[name]; !node.dead && node.self.Hall == hall && node.Hub() {
			out = append(out, name)
		}
	}
	return out
}

// agree reports whether each living node of a hall names the hubs of the hall alone, and
// whether each hub knows those of the other halls.
func (n *network) agree(halls int) error {
	for h := range halls {
		hall := fmt.Sprint("h", h)
		want := n.hubs(hall)
		if len(want) < 3 {
			return fmt.Errorf("%s has the hubs %v", hall, want)
		}
		for _, name := range n.order {
			node := n.nodes[name]
			if node.dead || node.self.Hall != hall && !node.Hub() {
				continue
			}
			var got []string
			for _, p := range node.Hubs(n.now) {
				if p.Hall == hall {
					got = append(got, p.Name)
				}
			}
			if node.self.Hall == hall && node.Hub() {
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

// TestMessagesDoNotGrowWithTheNodes holds that soon after 200 nodes have started together
// all agree on a few hubs a hall, what a hub and a spoke then send, and that a spoke hears
// at once of new tables.
func TestMessagesDoNotGrowWithTheNodes(t *testing.T) {
	const halls, each = 5, 40
	n := newNetwork(t, halls, each, 0.01, 1)
	n.agreeWithin(halls, 3500*time.Millisecond) // A spoke's message that is lost is followed a second later.
	for _, node := range n.nodes {
		node.sent, node.bytes = 0, 0
		if node.Hub() {
			node.say.Rate = 60
			node.say.Loads = map[string]placement.Load{}
			for i := range 25 {
				node.say.Loads[fmt.Sprintf("i-%010d", i)] = placement.Load{PrefillTokens: 4000, InFlight: 2}
			}
		}
	}
	const seconds = 2
	n.run(seconds * time.Second)
	hubs, sent, hubBytes, spokeBytes := 0, 0, 0, 0
	for name, node := range n.nodes {
		sent += node.sent
		if node.Hub() {
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
	n.nodes[first].say.Versions = map[string]int64{"a": 2}
	n.run(2 * every)
	late := 0
	for _, node := range n.nodes {
		if p := node.peers[first]; node.self.Hall == "h0" && node.self.Name != first && p.Said.Versions["a"] != 2 {
			late++
		}
	}
	if late > 4 {
		t.Errorf("%d of %d nodes of the hall have not heard of the new table, want those alone whose message was lost", late, each)
	}
}

// killAfterStart plays a start and kills some nodes.
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

// TestHubsThatDieAreReplaced holds that all agree on others soon after the hubs of a hall
// have died: one of them, all of them, and all large nodes and half of the others of all
// halls; and a message between hub and spoke later where a hundredth of the messages is lost.
func TestHubsThatDieAreReplaced(t *testing.T) {
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
				n.agreeWithin(halls, test.within+spokeTurns*every)
				n.run(2 * time.Second)
				if err := n.agree(halls); err != nil {
					t.Errorf("two seconds later: %v", err)
				}
			})
		}
	}
}

// TestARestartedSpokeIsAnsweredAtOnce holds that a spoke which has started anew hears from a
// hub in the turn after its first message, not when its next message is due: until then it
// does not know the engines.
func TestARestartedSpokeIsAnsweredAtOnce(t *testing.T) {
	n := newNetwork(t, 2, 20, 0, 1)
	n.run(4 * time.Second)
	for i := 5; i < 15; i++ {
		old := n.nodes[fmt.Sprint("n0-", i)]
		if old.Hub() {
			continue
		}
		self := old.self
		self.Incarnation++
		fresh := &simulated{Gossip: newGossip(self, old.log), say: Said{Ready: true, SilentMs: -1, LostAgeMs: -1}}
		fresh.node = fresh
		for _, name := range n.order {
			fresh.Meet(n.now, n.nodes[name].self)
		}
		n.nodes[self.Name] = fresh
		n.run(3 * every)
		if len(fresh.Hubs(n.now)) == 0 {
			t.Errorf("%s has heard no hub %v after its start", self.Name, 3*every)
		}
	}
}

// TestASpokeThatBecomesAHubTalksToFewNodesOfOtherHalls holds that a spoke knows no hubs of
// other halls, and that one which becomes a hub after some time takes few nodes of each other
// hall for its hubs until it hears them, not all.
func TestASpokeThatBecomesAHubTalksToFewNodesOfOtherHalls(t *testing.T) {
	n := newNetwork(t, 3, 40, 0, 1)
	n.run(12 * time.Second)
	var spokes []*simulated
	for _, name := range n.order {
		node := n.nodes[name]
		switch {
		case node.self.Hall != "h0":
		case node.hub:
			node.dead = true
		default:
			spokes = append(spokes, node)
		}
	}
	promoted := func() *simulated {
		for _, node := range spokes {
			if node.hub {
				return node
			}
		}
		return nil
	}
	for end := n.now.Add(5 * time.Second); promoted() == nil && n.now.Before(end); {
		n.run(every)
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
		if hubs[hall] == 0 || hubs[hall] > firstHubs {
			t.Errorf("it takes %d nodes of hall %s for hubs, want 1 to %d", hubs[hall], hall, firstHubs)
		}
	}
}

// TestASpokeIsToldOfNewHubsAgain guards against a spoke without a hub that hears one all the time: the hubs that this one names
// are not known to it, since the message was lost that says how they are reached.
func TestASpokeIsToldOfNewHubsAgain(t *testing.T) {
	n := newNetwork(t, 1, 40, 0, 1)
	n.run(4 * time.Second)
	hubs := n.hubs("h0")
	spoke := n.nodes[n.order[len(n.order)-1]]
	for _, name := range n.order { // Nodes know the hubs alone, as where the hall's head in the register does not hold the others.
		maps.DeleteFunc(n.nodes[name].peers, func(other string, _ *Peer) bool { return !slices.Contains(hubs, name) && !slices.Contains(hubs, other) })
	}
	for _, name := range hubs {
		n.nodes[name].say.Stopping = true
	}
	n.cut = func(o outgoing) bool { return o.to.Name == spoke.self.Name }
	n.run(time.Second)
	n.cut = nil
	var without time.Duration
	for range 80 {
		n.run(every)
		if len(spoke.Hubs(n.now)) == 0 {
			without += every
		}
	}
	if without > spokeTurns*every {
		t.Errorf("a spoke that hears hubs counts none as one for %v of 8 s", without)
	}
}
