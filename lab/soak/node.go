package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/relay"
)

// node is one node's process, and the relays between it and the store and callers.
type node struct {
	*cluster.Process
	name, settings         string
	front, directory, peer string
	store                  *relay.Relay
	callers                *relay.Relay
	taken                  bool // taken says that a fault has the process in hand.
	expected               bool // expected says that its end is no finding.
}

// addNode starts a node.
func (w *World) addNode(i int) error {
	n := &node{name: fmt.Sprintf("node-%d", i)}
	var err error
	if n.store, err = relay.New(w.addr, relayDelay); err != nil {
		return fmt.Errorf("relay to store: %w", err)
	}
	var ready, admin string
	for _, a := range []*string{&n.front, &n.directory, &n.peer, &ready, &admin} {
		if *a, err = cluster.FreeAddress(); err != nil {
			return err
		}
	}
	if n.callers, err = relay.New(n.front, relayDelay); err != nil {
		return fmt.Errorf("relay to node: %w", err)
	}
	regions := map[string]string{}
	for h := range halls {
		regions[hallOf(h)] = "r"
	}
	text, err := json.Marshal(map[string]any{
		"instance": n.name, "hall": hallOf(i), "region": "r", "hall_regions": regions, "caller_address": n.front, "directory_address": n.directory,
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

// launch starts a node's process; its end is a finding unless it is expected.
func (w *World) launch(n *node) error {
	p, err := cluster.Launch(filepath.Join(w.opts.Dir, n.name+".log"), n.name, w.opts.Program, "edge", n.settings)
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

// take returns a node that no other fault has taken, or nil; giveBack frees it.
func (w *World) take(r *rand.Rand) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[r.IntN(len(w.nodes))]
	if n.taken {
		return nil
	}
	n.taken = true
	return n
}

// giveBack frees a node for the next fault of its process.
func (w *World) giveBack(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.taken = false
}

// expect says that a node's end is no finding.
func (w *World) expect(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.expected = true
}
