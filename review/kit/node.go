//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

type (
	// Node is one machine of the system: a process of the deploy file's command and its settings.
	Node struct {
		Name, Hall                       string
		Caller, Directory, Ready, Peer   string
		settings, forward, admin, logDir string
		doc                              map[string]any

		mu        sync.Mutex
		cmd       *exec.Cmd
		done      chan struct{}
		startedAt time.Time
		disturbed time.Time
	}

	// NodeOptions are the settings that differ between cases.
	NodeOptions struct {
		Dir       string
		Store     string
		Halls     []string
		Overrides map[string]any
	}
)

var (
	portMu   sync.Mutex
	nextPort = 20000 + os.Getpid()%200*50
)

// freeAddress returns a loopback address with a free port below the ephemeral range.
func freeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		nextPort++
		if nextPort > 31900 {
			nextPort = 20000
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		return address
	}
}

// NewNode prepares the settings of node i, in the form of deploy/settings.json.tmpl.
func NewNode(i int, o NodeOptions) *Node {
	hall := o.Halls[i%len(o.Halls)]
	n := &Node{Name: fmt.Sprintf("edge-%s-%d", hall, 1+i/len(o.Halls)), Hall: hall, logDir: o.Dir}
	for _, a := range []*string{&n.Caller, &n.Directory, &n.Ready, &n.Peer, &n.forward, &n.admin} {
		*a = freeAddress()
	}
	halls := map[string]string{}
	for _, h := range o.Halls {
		halls[h] = "region"
	}
	n.doc = map[string]any{
		"instance": n.Name, "hall": hall, "region": "region", "hall_regions": halls, "caller_address": n.Caller, "directory_address": n.Directory,
		"ready_address": n.Ready, "peer_address": n.Peer, "forward_address": n.forward, "admin_address": n.admin, "platform_addresses": []string{o.Store},
		"revoke_within_ms": 5000, "serve_unproven": false, "engine_drain_ms": 2000, "interactive_target_ms": 500, "spot_notice_ms": 2000, "stop_grace_ms": 8000,
		"retry_share": 0.2, "retry_extra": 52, "retry_window_ms": 10000, "first_start": true, "memory_mb": 284, "processor_share": 0.4, "processor_speed": 1, "trace_share": 0,
	}
	for k, v := range o.Overrides {
		n.doc[k] = v
	}
	n.settings = filepath.Join(o.Dir, n.Name+".json")
	return n
}

// Start starts the process; first is set at the first start of the whole system only.
func (n *Node) Start(first bool) error {
	n.doc["first_start"] = first
	text, err := json.Marshal(n.doc)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, text, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.logDir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/croftturn", "edge")
	cmd.Env = append(os.Environ(), "CROFTTURN_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan struct{})
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // The parent-death signal is that of the thread.
		started <- cmd.Start()
		cmd.Wait()
		close(done)
	}()
	if err := <-started; err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.done, n.startedAt, n.disturbed = cmd, done, time.Now(), time.Now()
	return nil
}

// Kill ends the process at once.
func (n *Node) Kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.disturbed = time.Now()
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-done
}

// Exited reports whether the process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = time.Now()
	n.cmd.Process.Signal(sig)
}

// UndisturbedSince returns when a kill, start or signal last hit the node.
func (n *Node) UndisturbedSince() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disturbed
}

// IsReady asks the node's readiness.
func (n *Node) IsReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.Ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes are ready.
func AwaitReady(within time.Duration, nodes ...*Node) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range nodes {
			all = all && n.IsReady()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("nodes not ready within %v", within)
}
