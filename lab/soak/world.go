// Package soak runs the node program as separate processes against a fake store and fake
// engines, injects faults drawn from a seed, and checks the service guarantees against what
// callers, engines and the operator observe.
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

	// revokeWithin bounds how long after its revocation a key may still be used, including the
	// time that a loaded machine takes to record a start.
	revokeWithin = 5250 * time.Millisecond

	// drainWithin bounds how long after an engine starts draining it may get new requests.
	drainWithin = 2250 * time.Millisecond

	// evacuateWithin bounds how long after a hall's evacuation its engines may get new requests,
	// including the time that a loaded machine takes to record a start.
	evacuateWithin = 5250 * time.Millisecond

	// halls is the number of halls.
	halls = 3

	// recoveryTime is how long after a fault the time-bounded guarantees apply again.
	recoveryTime = 3 * time.Second

	// stopGrace bounds the time from the stop signal until a node has exited.
	stopGrace = 8 * time.Second

	// pageRows is the most rows of an answer of the store, so that tables have several pages.
	pageRows = 3

	// relayDelay is what a relay in Delay mode adds to each chunk, in both directions.
	relayDelay = 300 * time.Millisecond
)

var routes = []string{routeSafe, routeUnsafe, routeStream, routeResumable}

type (
	// key is an API key of a team.
	key struct{ text, team string }

	// Environment holds all processes and servers of a soak run.
	Environment struct {
		opts         Options
		ledger       *Ledger
		store        *http.Server
		storeAddress string
		client       *http.Client

		evacuationMu sync.Mutex // evacuationMu is held during an evacuation, so that at most one hall is evacuated at a time and the others keep serving.

		brittleMu sync.Mutex // brittleMu is held while engines are brittle.

		pairsMu sync.Mutex // pairsMu is held while pairs of long requests are sent, for which engines have slots.

		popularMu sync.Mutex // popularMu is held while a popular request is sent, so that engines are lost at one moment alone.

		platform *platform.Platform

		writeMu sync.Mutex               // writeMu is held while a row is written.
		written map[[2]string]writtenRow // written holds the last value of each row, by table and key.

		mu             sync.Mutex
		nodes          []*node
		engines        []*engine
		relays         map[string]*relay.Relay // by engine
		keys           []key
		version        int
		enginesStarted int
		versions       int // versions counts the versions that were rolled out.
	}
)

// start starts the store, the engines and the nodes, and waits until the nodes are ready.
func start(o Options) (*Environment, error) {
	env := &Environment{opts: o, ledger: newLedger(), client: &http.Client{Timeout: 5 * time.Second}, relays: map[string]*relay.Relay{}, written: map[[2]string]writtenRow{}}
	for i := range 6 {
		env.keys = append(env.keys, key{fmt.Sprintf("key-%d", i), fmt.Sprintf("team-%d", i%3)})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	env.storeAddress = l.Addr().String()
	env.platform = platform.New(2000, 400)
	env.platform.PageRows = pageRows
	env.store = &http.Server{Handler: env.platform.Handler()}
	go func() { _ = env.store.Serve(l) }() // Returns when close closes the server.
	for i := range o.Engines {
		if err := env.addEngine([]string{streamPool, deskPool}[i%2], env.initialVersion()); err != nil {
			return env, err
		}
	}
	if err := env.putConfig(); err != nil {
		return env, err
	}
	for i := range o.Nodes {
		if err := env.addNode(i); err != nil {
			return env, err
		}
	}
	if err := env.waitReady(20 * time.Second); err != nil {
		return env, err
	}
	return env, env.waitProven(20 * time.Second)
}

// close stops everything that was started.
func (env *Environment) close() {
	env.mu.Lock()
	nodes, engines := env.nodes, env.engines
	env.mu.Unlock()
	for _, n := range nodes {
		if n.Process != nil {
			n.Kill()
		}
		n.store.Close()
		n.callers.Close()
	}
	for _, r := range env.relays {
		r.Close()
	}
	for _, e := range engines {
		e.shutDown()
	}
	env.store.Close()
}

// hallOf returns the hall of the node or engine with a number.
func hallOf(i int) string { return fmt.Sprintf("h%d", i%halls) }

// addEngine starts an engine with a software version and writes its entry.
func (env *Environment) addEngine(pool, version string) error {
	env.mu.Lock()
	env.enginesStarted++
	id, hall := fmt.Sprintf("i-%d", env.enginesStarted), hallOf(env.enginesStarted)
	env.mu.Unlock()
	e, err := newEngine(id, pool, version, hall, env.opts.Seed%2 == 1, env.ledger, env.crash)
	if err != nil {
		return err
	}
	r, err := relay.New(e.listener.Addr().String(), relayDelay)
	if err != nil {
		return fmt.Errorf("relay to engine: %w", err)
	}
	env.mu.Lock()
	env.engines = append(env.engines, e)
	env.relays[id] = r
	env.mu.Unlock()
	return env.putEngine(e, "ready")
}

// randomKey returns a random key, which may be revoked.
func (env *Environment) randomKey(r *rand.Rand) (text, team string) {
	n := r.IntN(6)
	return fmt.Sprintf("key-%d", n), fmt.Sprintf("team-%d", n%3)
}

// randomDirectory returns the directory address of a random node.
func (env *Environment) randomDirectory(r *rand.Rand) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.nodes[r.IntN(len(env.nodes))].directoryAddress
}

// relayAddress returns the address of the relay in front of the node with a caller address.
func (env *Environment) relayAddress(address string) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, n := range env.nodes {
		if n.callerAddress == address {
			return n.callers.Address()
		}
	}
	return address
}

// nodeAt returns the name of the node behind a relay address, or "" if there is none.
func (env *Environment) nodeAt(address string) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, n := range env.nodes {
		if n.callers.Address() == address {
			return n.name
		}
	}
	return ""
}

// waitProven waits until every node has a proof of its configuration: one that starts where no node has settled the
// store's era waits for it, and faults would begin before there is any.
func (env *Environment) waitProven(within time.Duration) error {
	return cluster.Wait("every node is ready", within, func() bool {
		for _, n := range env.nodes {
			resp, err := env.client.Get("http://" + n.readyAddress + "/-/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// waitReady waits until every node resolves the host to at least one entry point.
func (env *Environment) waitReady(within time.Duration) error {
	c := newCaller(env, "probe", 1)
	return cluster.Wait("every node lists entry points", within, func() bool {
		for _, n := range env.nodes {
			if len(c.resolve(n.directoryAddress)) == 0 {
				return false
			}
		}
		return true
	})
}
