package gossip_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/testport"
)

// node says what it is told to say and keeps what it hears.
type node struct {
	say gossip.Said

	mu       sync.Mutex
	heard    []gossip.Said
	received []time.Time
	changed  chan struct{}
}

func (n *node) Say(time.Time) gossip.Said { return n.say }

func (n *node) Heard(_ time.Time, _ gossip.Self, s gossip.Said, received time.Time) {
	n.mu.Lock()
	n.heard = append(n.heard, s)
	n.received = append(n.received, received)
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := testport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// run starts a gossip and stops it at the end of the test.
func run(t *testing.T, name, address string, n gossip.Node) (*gossip.Gossip, func()) {
	t.Helper()
	self := gossip.Self{Name: name, Incarnation: 7, PeerAddress: address, CallerAddress: "c-" + name, Hall: "h"}
	g, err := gossip.New(self, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx, n)
	}()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	return g, stop
}

// TestNodesHearEachOther holds that a node which one other was told of becomes
// known, that what is said arrives whole, that the moment of receipt is between
// the sending and now, and that a silent peer no longer counts as alive.
func TestNodesHearEachOther(t *testing.T) {
	a := &node{changed: make(chan struct{}, 1)}
	b := &node{changed: make(chan struct{}, 1), say: gossip.Said{
		Ready: true, ConfigVersion: 3, ProofAgeMs: 12, LostAgeMs: -1, Versions: map[string]int64{"t": 9},
		Loads: map[string]placement.Load{"e": {PrefillTokens: 1, InFlight: 2, Streams: 3}}, Uses: []placement.Use{{Engine: "e", Part: 5}},
	}}
	begin := time.Now()
	addressA, addressB := freeAddress(t), freeAddress(t)
	ga, _ := run(t, "a", addressA, a)
	_, stopB := run(t, "b", addressB, b)
	ga.Meet(begin, gossip.Self{Name: "b", PeerAddress: addressB})
	deadline := time.After(5 * time.Second)
	for received := (time.Time{}); received.IsZero(); {
		select {
		case <-a.changed:
		case <-deadline:
			t.Fatal("nothing heard that answers a message")
		}
		a.mu.Lock()
		received = a.received[len(a.received)-1]
		said := a.heard[len(a.heard)-1]
		a.mu.Unlock()
		if !received.IsZero() && (received.Before(begin) || received.After(time.Now())) {
			t.Errorf("received at %v, begun at %v", received, begin)
		}
		if !said.Ready || said.ConfigVersion != 3 || said.ProofAgeMs != 12 || said.Versions["t"] != 9 || said.Loads["e"].Streams != 3 || said.Uses[0].Part != 5 {
			t.Errorf("heard %+v", said)
		}
	}
	peers := ga.Peers(time.Now())
	if len(peers) != 1 || peers[0].CallerAddress != "c-b" || ga.Nodes() != 2 {
		t.Errorf("peers %+v", peers)
	}
	stopB()
	if later := ga.Peers(time.Now().Add(2 * time.Second)); len(later) != 0 {
		t.Errorf("a silent peer is alive: %+v", later)
	}
}

// slow is a node that stops for a while after it has worked out what to say, as a
// process does that freezes there.
type slow struct{ node }

func (s *slow) Say(time.Time) gossip.Said {
	at := time.Now()
	time.Sleep(150 * time.Millisecond) // It stands still meanwhile.
	return gossip.Said{Versions: map[string]int64{"at": at.UnixNano()}}
}

// TestWhatIsSaidIsNotOlderThanItSeems holds that what a peer says was worked out
// after it had received the message that it answers: else the age of a proof would
// count from too late a moment.
func TestWhatIsSaidIsNotOlderThanItSeems(t *testing.T) {
	a := &node{changed: make(chan struct{}, 1)}
	b := &slow{node{changed: make(chan struct{}, 1)}}
	addressA, addressB := freeAddress(t), freeAddress(t)
	ga, _ := run(t, "a", addressA, a)
	run(t, "b", addressB, b)
	ga.Meet(time.Now(), gossip.Self{Name: "b", PeerAddress: addressB})
	deadline := time.After(10 * time.Second)
	for seen := 0; seen < 8; {
		select {
		case <-a.changed:
		case <-deadline:
			t.Fatal("too few messages")
		}
		a.mu.Lock()
		received, at := a.received[len(a.received)-1], a.heard[len(a.heard)-1].Versions["at"]
		a.mu.Unlock()
		if received.IsZero() {
			continue
		}
		seen++
		if received.UnixNano() > at {
			t.Fatalf("said %v before the message that it answers was sent", time.Duration(received.UnixNano()-at))
		}
	}
}
