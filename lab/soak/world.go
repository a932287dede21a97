// Package soak runs the real node program as separate processes against small
// stand-ins, injects faults drawn from a seed, and checks the promises from what
// callers, engines and the operator see.
package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
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

	// settle is how long after a fault promises with a time bound hold again.
	settle = 3 * time.Second

	// stopGrace is the time from the signal to stop until a node must have ended.
	stopGrace = 8 * time.Second

	// storeDelay is what a relay that delays adds to each piece, in both directions.
	storeDelay = 300 * time.Millisecond
)

var routes = []string{routeSafe, routeUnsafe, routeStream, routeResumable}

type (
	// Options size a soak.
	Options struct {
		Seed    uint64
		Nodes   int
		Engines int
		Callers int
		Faults  time.Duration // Faults is how long faults are injected.
		Calm    time.Duration // Calm is how long requests are counted after the last fault.
		Dir     string        // Dir takes settings and logs.
	}

	// node is one node's process, and the relay between it and the store.
	node struct {
		*cluster.Process
		name, settings         string
		front, directory, peer string
		store                  *relay.Relay
		taken                  bool // taken says that a fault has the process in hand.
		expected               bool // expected says that its end is no finding.
	}

	// key is a key of a team.
	key struct{ text, team string }

	// World is everything that runs in a soak.
	World struct {
		opts   Options
		ledger *Ledger
		store  *http.Server
		addr   string // addr is the store's address.
		client *http.Client

		mu      sync.Mutex
		nodes   []*node
		engines []*engine
		relays  map[string]*relay.Relay // by engine
		keys    []key
		version int
		made    int // made counts engines.
	}
)

// start starts the store, engines and nodes, and waits until a request is served.
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
	}
	for _, r := range w.relays {
		r.Close()
	}
	for _, e := range engines {
		e.close()
	}
	w.store.Close()
}

// addNode starts a node.
func (w *World) addNode(i int) error {
	n := &node{name: fmt.Sprintf("node-%d", i)}
	var err error
	if n.store, err = relay.New(w.addr, storeDelay); err != nil {
		return fmt.Errorf("relay to store: %w", err)
	}
	var ready, admin string
	for _, a := range []*string{&n.front, &n.directory, &n.peer, &ready, &admin} {
		if *a, err = cluster.FreeAddress(); err != nil {
			return err
		}
	}
	text, err := json.Marshal(map[string]any{
		"instance": n.name, "hall": fmt.Sprintf("h%d", i%3), "region": "r", "caller_address": n.front, "directory_address": n.directory,
		"ready_address": ready, "peer_address": n.peer, "admin_address": admin, "platform_addresses": []string{n.store.Address()},
		"revoke_within_ms": 5000, "stop_grace_ms": stopGrace.Milliseconds(), "retry_share": 0.2, "retry_extra": 50, "memory_mb": 200, "trace_share": 0,
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	n.settings = filepath.Join(w.opts.Dir, n.name+".json")
	if err := os.WriteFile(n.settings, text, 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return w.launch(n)
}

// launch starts a node's process and reports an end that nobody asked for.
func (w *World) launch(n *node) error {
	p, err := cluster.Launch(filepath.Join(w.opts.Dir, n.name+".log"), n.name, "croftturn", "edge", n.settings)
	if err != nil {
		return err
	}
	w.mu.Lock()
	n.Process, n.expected = p, false
	w.mu.Unlock()
	return nil
}

// checkExits records processes that ended by themselves.
func (w *World) checkExits() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.Process != nil && n.Exited() && !n.expected {
			n.expected = true
			w.ledger.exited(n.name + " ended by itself")
		}
	}
}

// addEngine starts an engine and writes its entry.
func (w *World) addEngine(pool string) error {
	w.mu.Lock()
	w.made++
	id := fmt.Sprintf("i-%d", w.made)
	w.mu.Unlock()
	e, err := newEngine(id, pool, w.ledger)
	if err != nil {
		return err
	}
	r, err := relay.New(e.listener.Addr().String(), storeDelay)
	if err != nil {
		return fmt.Errorf("relay to engine: %w", err)
	}
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.relays[id] = r
	w.mu.Unlock()
	return w.putEngine(e, "ready")
}

// putEngine writes an engine's entry.
func (w *World) putEngine(e *engine, state string) error {
	w.mu.Lock()
	address := w.relays[e.id].Address()
	w.mu.Unlock()
	return w.write(row{"servers", e.id, map[string]any{"service": e.pool, "address": address, "zone": "h1", "version": "v1", "slots": 8, "state": state, "sequence": 1}})
}

// row is a row to be written; a nil value deletes it.
type row struct {
	table, key string
	value      any
}

// write writes a row and returns once it is acknowledged, or can't be.
func (w *World) write(r row) error {
	name := map[string]any{"table": r.table, "part": "", "tls_key": r.key}
	tx := map[string]any{"expected_revision": []any{}, "puts": []any{}, "remove": []any{}}
	if r.value == nil {
		tx["remove"] = []any{name}
	} else {
		text, err := json.Marshal(r.value)
		if err != nil {
			return fmt.Errorf("encode row: %w", err)
		}
		name["value"] = text
		tx["puts"] = []any{name}
	}
	return w.post("/-/rows-tx", tx)
}

// post posts a document to the store until it is taken.
func (w *World) post(path string, doc any) error {
	text, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	for tries := 0; ; tries++ {
		resp, err := w.client.Post("http://"+w.addr+path, "application/json", bytes.NewReader(text))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if tries > 200 {
			return fmt.Errorf("the store does not take %s: %v", path, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// putConfig writes the next version of the configuration.
func (w *World) putConfig() error {
	w.mu.Lock()
	w.version++
	teams := map[string][]string{}
	for _, k := range w.keys {
		teams[k.team] = append(teams[k.team], k.text)
	}
	version := w.version
	w.mu.Unlock()
	var tenants, list []any
	for team, keys := range teams {
		tenants = append(tenants, map[string]any{"name": team, "api_keys": keys, "priority": 1})
	}
	for i, name := range routes {
		service, kind, attempts := "llm", "streaming", 1
		switch name {
		case routeSafe:
			service, kind, attempts = "desk", "safe", 2
		case routeUnsafe:
			service, kind = "desk", "unsafe"
		case routeResumable:
			attempts = 2
		}
		list = append(list, map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": patience, "target_latency_ms": 300, "priority": i % 3,
			"service": service, "max_attempts": attempts, "public": false, "resumable": name == routeResumable, "gap_aim_ms": 250,
		})
	}
	return w.write(row{"op", "config", map[string]any{
		"version": version, "routes": list, "tenants": tenants, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"services": []any{map[string]any{"name": "desk", "max_connections": 200}, map[string]any{"name": "llm", "max_connections": 200, "engine": map[string]any{"slots": 8, "stride": 6}}},
	}})
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

// Run runs a soak and returns the ledger of what was seen.
func Run(ctx context.Context, o Options) (*Ledger, error) {
	w, err := start(o)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			newCaller(w, fmt.Sprintf("c%d", i), o.Seed*100+uint64(i)).run(ctx)
		}()
	}
	err = w.injectFaults(ctx)
	if err == nil {
		err = w.calm(ctx)
	}
	cancel()
	wg.Wait()
	w.checkExits()
	return w.ledger, err
}

// calm waits until the nodes are back and counts what is served then.
func (w *World) calm(ctx context.Context) error {
	if err := w.waitReady(12 * time.Second); err != nil {
		return fmt.Errorf("after the last fault: %w", err)
	}
	pause.For(ctx, settle)
	begin := time.Now()
	pause.For(ctx, w.opts.Calm)
	served, asked := w.ledger.Served(begin)
	if asked == 0 || float64(served) < 0.9*float64(asked) {
		return fmt.Errorf("after the last fault %d of %d requests are served", served, asked)
	}
	return nil
}
