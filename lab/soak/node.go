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

// interactiveTargetMs makes pools interactive whose streams have the target of the soak's routes.
const interactiveTargetMs = 300

// nodeMemoryMB is the memory that a node may use, in megabytes.
const nodeMemoryMB = 200

// node is a node process with the relays in front of the store and of its caller address.
type node struct {
	*cluster.Process
	name, settingsPath, sourceIP                               string
	callerAddress, directoryAddress, peerAddress, readyAddress string
	store                                                      *relay.Relay
	callers                                                    *relay.Relay
	reserved                                                   bool // reserved is set while a fault owns the process.
	overMemory                                                 bool // overMemory is set once a violation of its memory is recorded.
	exitExpected                                               bool // exitExpected is set if an exit is not a violation.
}

// addNode writes the settings of a node and starts it.
func (env *Environment) addNode(i int) error {
	n := &node{name: fmt.Sprintf("node-%d", i), sourceIP: fmt.Sprintf("127.0.2.%d", 1+i)}
	var err error
	if n.store, err = relay.New(env.storeAddress, relayDelay); err != nil {
		return fmt.Errorf("relay to store: %w", err)
	}
	var admin, forward string
	for _, a := range []*string{&n.callerAddress, &n.directoryAddress, &n.peerAddress, &n.readyAddress, &admin, &forward} {
		if *a, err = cluster.FreeAddress(); err != nil {
			return err
		}
	}
	if n.callers, err = relay.New(n.callerAddress, relayDelay); err != nil {
		return fmt.Errorf("relay to node: %w", err)
	}
	if env.opts.Seed%2 == 1 {
		forward = "" // Requests are forwarded to the peer address.
	}
	regions := map[string]string{}
	for h := range halls {
		regions[hallOf(h)] = "r"
	}
	text, err := json.Marshal(map[string]any{
		"instance": n.name, "hall": hallOf(i), "region": "r", "hall_regions": regions, "caller_address": n.callerAddress, "directory_address": n.directoryAddress,
		"ready_address": n.readyAddress, "peer_address": n.peerAddress, "admin_address": admin, "forward_address": forward, "engine_source_ip": n.sourceIP, "link_mbps": nodeLinkMbps, "platform_addresses": []string{n.store.Address()},
		"revoke_within_ms": 5000, "stop_grace_ms": stopGrace.Milliseconds(), "retry_share": 0.2, "retry_extra": 50, "memory_mb": nodeMemoryMB, "trace_share": 0,
		"duties": []string{"usage"}, "duties_address": env.storeAddress, "lease_ms": 1500, "usage_window_ms": 500, "usage_late_ms": 3000,
		"interactive_target_ms": interactiveTargetMs * (env.opts.Seed % 2), // The pool of streams is interactive with odd seeds.
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	n.settingsPath = filepath.Join(env.opts.Dir, n.name+".json")
	if err := os.WriteFile(n.settingsPath, text, 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	env.mu.Lock()
	env.nodes = append(env.nodes, n)
	env.mu.Unlock()
	return env.launch(n)
}

// launch starts the process of a node; its exit is a violation unless it is expected.
func (env *Environment) launch(n *node) error {
	p, err := cluster.Launch(filepath.Join(env.opts.Dir, n.name+".log"), n.name, env.opts.Program, "edge", n.settingsPath)
	if err != nil {
		return err
	}
	env.mu.Lock()
	n.Process, n.exitExpected = p, false
	env.mu.Unlock()
	return nil
}

// checkExits records processes that exited unexpectedly, or took more memory than they may use.
func (env *Environment) checkExits() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, n := range env.nodes {
		if n.Process != nil && n.Exited() && !n.exitExpected {
			n.exitExpected = true
			env.ledger.recordExit(n.name + " exited unexpectedly")
		}
		if n.Process == nil || n.overMemory {
			continue
		}
		if peak, err := n.PeakMemory(); err == nil && peak > nodeMemoryMB<<20 { // There is none once the process has ended.
			n.overMemory = true
			env.ledger.recordExit(fmt.Sprintf("%s had %d bytes of memory", n.name, peak))
		}
	}
}

// reserveNode picks a random node and reserves it for a fault; it returns nil if another fault
// owns the node.
func (env *Environment) reserveNode(r *rand.Rand) *node {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := env.nodes[r.IntN(len(env.nodes))]
	if n.reserved {
		return nil
	}
	n.reserved = true
	return n
}

// reserveNodeNamed reserves the node with a name; it returns nil if another fault owns it.
func (env *Environment) reserveNodeNamed(name string) *node {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, n := range env.nodes {
		if n.name == name && !n.reserved {
			n.reserved = true
			return n
		}
	}
	return nil
}

// releaseNode makes a reserved node available to other faults.
func (env *Environment) releaseNode(n *node) {
	env.mu.Lock()
	defer env.mu.Unlock()
	n.reserved = false
}

// expectExit marks the exit of a node as expected.
func (env *Environment) expectExit(n *node) {
	env.mu.Lock()
	defer env.mu.Unlock()
	n.exitExpected = true
}
