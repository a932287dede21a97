// Package soak runs the real node program as separate processes against small
// stand-ins, injects faults drawn from a seed, and checks the promises from what
// callers, engines and the operator see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/relay"
)

const (
	host = "soak.example"

	routeSafe      = "safe"
	routeUnsafe    = "unsafe"
	routeStream    = "stream"
	routeResumable = "resumable"

	// revokeWithin is how long after its loss a key may still be used, with what
	// a loaded machine takes to record a start.
	revokeWithin = 5250 * time.Millisecond

	// drainWithin is how long after an engine's leaving it may get new work.
	drainWithin = 2250 * time.Millisecond

	// evacuateWithin is how long after a hall's evacuation its engines may get new requests, with what a loaded machine
	// takes to record a start.
	evacuateWithin = 5250 * time.Millisecond

	// halls is how many halls there are.
	halls = 3

	// settle is how long after a fault promises with a time bound hold again.
	settle = 3 * time.Second

	// stopGrace is the time from the signal to stop until a node must have ended.
	stopGrace = 8 * time.Second

	// relayDelay is what a relay that delays adds to each piece, in both directions.
	relayDelay = 300 * time.Millisecond
)

var routes = []string{routeSafe, routeUnsafe, routeStream, routeResumable}

type (
	// key is a key of a team.
	key struct{ text, team string }

	// World is everything that runs in a soak.
	World struct {
		opts   Options
		ledger *Ledger
		store  *http.Server
		addr   string // addr is the store's address.
		client *http.Client

		evacuating sync.Mutex // evacuating is held while a hall is evacuated: the others serve meanwhile.

		mu      sync.Mutex
		nodes   []*node
		engines []*engine
		relays  map[string]*relay.Relay // by engine
		keys    []key
		version int
		made    int // made counts engines.
	}
)

// start starts the store, engines and nodes, and waits until the nodes are ready.
func start(o Options) (*World, error) {
	w := &World{opts: o, ledger: newLedger(), client: &http.Client{Timeout: 5 * time.Second}, relays: map[string]*relay.Relay{}}
	for i := range 6 {
		w.keys = append(w.keys, key{fmt.Sprintf("key-%d", i), fmt.Sprintf("team-%d", i%3)})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	w.addr = l.Addr().String()
	w.store = &http.Server{Handler: platform.New(2000, 400).Handler()}
	go func() { _ = w.store.Serve(l) }() // It ends with close.
	for i := range o.Engines {
		if err := w.addEngine([]string{"llm", "desk"}[i%2]); err != nil {
			return w, err
		}
	}
	if err := w.putConfig(); err != nil {
		return w, err
	}
	for i := range o.Nodes {
		if err := w.addNode(i); err != nil {
			return w, err
		}
	}
	return w, w.waitReady(20 * time.Second)
}

// close ends everything that was started.
func (w *World) close() {
	w.mu.Lock()
	nodes, engines := w.nodes, w.engines
	w.mu.Unlock()
	for _, n := range nodes {
		if n.Process != nil {
			n.Kill()
		}
		n.store.Close()
		n.callers.Close()
	}
	for _, r := range w.relays {
		r.Close()
	}
	for _, e := range engines {
		e.end()
	}
	w.store.Close()
}

// hallOf returns the hall of a node or engine by its number.
func hallOf(i int) string { return fmt.Sprintf("h%d", i%halls) }

// addEngine starts an engine and writes its entry.
func (w *World) addEngine(pool string) error {
	w.mu.Lock()
	w.made++
	id, hall := fmt.Sprintf("i-%d", w.made), hallOf(w.made)
	w.mu.Unlock()
	e, err := newEngine(id, pool, hall, w.ledger, w.crash)
	if err != nil {
		return err
	}
	r, err := relay.New(e.listener.Addr().String(), relayDelay)
	if err != nil {
		return fmt.Errorf("relay to engine: %w", err)
	}
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.relays[id] = r
	w.mu.Unlock()
	return w.putEngine(e, "ready")
}

// anyKey returns a key by chance, one that was taken away included.
func (w *World) anyKey(r *rand.Rand) (text, team string) {
	n := r.IntN(6)
	return fmt.Sprintf("key-%d", n), fmt.Sprintf("team-%d", n%3)
}

// anyDirectory returns the address at which some node tells of entry points.
func (w *World) anyDirectory(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[r.IntN(len(w.nodes))].directory
}

// wayTo returns the address at which callers reach a node that has an address.
func (w *World) wayTo(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.front == address {
			return n.callers.Address()
		}
	}
	return address
}

// nodeAt returns the name of the node that callers reach at an address.
func (w *World) nodeAt(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.callers.Address() == address {
			return n.name
		}
	}
	return ""
}

// waitReady waits until every node names every node as an entry point.
func (w *World) waitReady(within time.Duration) error {
	c := newCaller(w, "probe", 1)
	return cluster.Wait("all nodes name all nodes", within, func() bool {
		for _, n := range w.nodes {
			if len(c.ask(n.directory)) == 0 {
				return false
			}
		}
		return true
	})
}
