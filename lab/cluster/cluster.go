// Package cluster starts stand-ins and nodes as separate processes on loopback,
// for the demonstration run, the proofs and the measurements.
package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/config"
)

const (
	// readyTimeout bounds the start of a process.
	readyTimeout = 15 * time.Second

	// OperatorToken is the token of the operator that may do everything.
	OperatorToken = "operator-token"
)

type (
	// Process is one started process.
	Process struct {
		Name string
		cmd  *exec.Cmd
		done chan struct{}
		err  error

		frozen atomic.Bool
	}

	// Backend is a stand-in engine or service.
	Backend struct {
		*Process
		Address string
		args    []string
	}

	// Node is a croftturn process and its addresses.
	Node struct {
		*Process
		Caller, Peer, Admin string
		settings            string
	}

	// Options size a cluster.
	Options struct {
		Nodes    int
		Engines  int
		Services int
		Slots    int
		StepBase time.Duration
		StepEach time.Duration
		Queue    int                              // Queue is how many requests a stand-in engine lets wait.
		Config   func(c *config.Config)           // Config alters the configuration before it is applied.
		Settings func(node int, s map[string]any) // Settings alters a node's settings.
		Dir      string                           // Dir takes logs and programs.
		Reads    int                              // Reads is the platform's limit of reads a second.
		Writes   int                              // Writes is the platform's limit of transactions a second.
		Fenced   int                              // Fenced is how many of the engines check fences.
	}

	// Cluster is a set of processes.
	Cluster struct {
		opts     Options
		Platform *Backend
		Engines  []*Backend
		Services []*Backend
		Nodes    []*Node
	}
)

var (
	buildOnce sync.Once
	buildErr  error
	buildDir  string
)

// Start starts a cluster and waits until every node is ready.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	c := &Cluster{opts: opts}
	if _, err := Build(); err != nil {
		return nil, err
	}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// start starts all processes in order.
func (c *Cluster) start(ctx context.Context) error {
	var err error
	writes, reads := or(c.opts.Writes, 400), or(c.opts.Reads, 2000)
	if c.Platform, err = c.backend("platform", "platform", "-reads", fmt.Sprint(reads), "-writes", fmt.Sprint(writes)); err != nil {
		return err
	}
	for i := range c.opts.Engines {
		name := fmt.Sprintf("e%d", i+1)
		e, err := c.backend(name, "engine", "-name", name, "-slots", fmt.Sprint(c.opts.Slots), "-queue", fmt.Sprint(c.opts.Queue),
			"-step-base", c.opts.StepBase.String(), "-step-each", c.opts.StepEach.String(), "-log", c.path("executions.log"), fmt.Sprintf("-checks-fence=%v", i < c.opts.Fenced))
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, e)
	}
	for i := range c.opts.Services {
		name := fmt.Sprintf("s%d", i+1)
		s, err := c.backend(name, "service", "-name", name, "-log", c.path("executions.log"))
		if err != nil {
			return err
		}
		c.Services = append(c.Services, s)
	}
	for i := range c.opts.Nodes {
		if _, err := c.StartNode(i); err != nil {
			return err
		}
	}
	if err := c.Apply(ctx); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// or returns n, or a default for 0.
func or(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// path returns a path in the cluster's folder.
func (c *Cluster) path(name string) string { return filepath.Join(c.opts.Dir, name) }

// Dir returns the folder of logs and programs.
func (c *Cluster) Dir() string { return c.opts.Dir }

// ExecutionsLog returns the path of the log that all backends write.
func (c *Cluster) ExecutionsLog() string { return c.path("executions.log") }

// backend starts a stand-in on a port of its own.
func (c *Cluster) backend(name string, args ...string) (*Backend, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	b := &Backend{Address: address, args: append(args, "-listen", address)}
	if b.Process, err = c.launch(name, "lab", b.args...); err != nil {
		return nil, err
	}
	return b, waitListening(b.Process, address)
}

// RestartBackend starts a stand-in that was killed, on the same address.
func (c *Cluster) RestartBackend(b *Backend) error {
	p, err := c.launch(b.Name, "lab", b.args...)
	if err != nil {
		return err
	}
	b.Process = p
	return waitListening(p, b.Address)
}

// StartNode starts a node, or starts the one in its place again.
func (c *Cluster) StartNode(i int) (*Node, error) {
	name := fmt.Sprintf("n%d", i+1)
	if i >= len(c.Nodes) {
		n, err := c.newNode(i, name)
		if err != nil {
			return nil, err
		}
		c.Nodes = append(c.Nodes, n)
		if err := c.listInstances(); err != nil {
			return nil, err
		}
	}
	n := c.Nodes[i]
	p, err := c.launch(name, "croftturn", "run", n.settings)
	if err != nil {
		return nil, err
	}
	n.Process = p
	return n, waitListening(p, n.Admin)
}

// newNode chooses a node's addresses and writes its settings.
func (c *Cluster) newNode(i int, name string) (*Node, error) {
	n := &Node{settings: c.path(name + ".json")}
	for _, a := range []*string{&n.Caller, &n.Peer, &n.Admin} {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	s := map[string]any{
		"instance": name, "hall": fmt.Sprintf("hall-%d", i%3+1), "region": "r1",
		"caller_address": n.Caller, "peer_address": n.Peer, "admin_address": n.Admin,
		"platform_addresses":     []string{c.Platform.Address},
		"bootstrap_token_sha256": config.HashToken(OperatorToken),
		"trace_share":            0,
	}
	if c.opts.Settings != nil {
		c.opts.Settings(i, s)
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return n, os.WriteFile(n.settings, text, 0o644)
}

// listInstances tells the platform which instances there are.
func (c *Cluster) listInstances() error {
	type instance struct {
		Name        string `json:"name"`
		PeerAddress string `json:"peer_address"`
	}
	var list []instance
	for i, n := range c.Nodes {
		list = append(list, instance{fmt.Sprintf("n%d", i+1), n.Peer})
	}
	return c.Post(c.Platform.Address, "/control/instances", list)
}

// WaitReady waits until every node is ready and knows all the others.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return Wait("all nodes ready and known to each other", readyTimeout, func() bool {
		for _, n := range c.Nodes {
			if !n.Ready() || c.Alive(ctx, n) != len(c.Nodes) {
				return false
			}
		}
		return true
	})
}

// Ready reports whether a node says that it is ready.
func (n *Node) Ready() bool {
	resp, err := http.Get("http://" + n.Admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Alive returns how many members a node sees alive, or 0 where it can't tell.
func (c *Cluster) Alive(ctx context.Context, n *Node) int {
	r, err := c.Statement(ctx, n, "members where state = alive", "")
	if err != nil {
		return 0
	}
	return len(r.Rows)
}

// CallerAddresses returns where callers can ask for the entry points.
func (c *Cluster) CallerAddresses() []string {
	var out []string
	for _, n := range c.Nodes {
		out = append(out, n.Caller)
	}
	return out
}

// Close kills all processes and waits for them.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if n.Process != nil {
			n.Kill()
		}
	}
	for _, b := range append(append(c.Engines, c.Services...), c.Platform) {
		if b != nil && b.Process != nil {
			b.Kill()
		}
	}
}

// Post sends a document to an address.
func (c *Cluster) Post(address, path string, doc any) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.New(resp.Status + ": " + string(text))
	}
	return nil
}
