//go:build review

// Package fleet2 runs a small deployment on loopback addresses for the cases of this review: the platform's store, engines,
// clients and node processes as the deploy file starts them.
package fleet2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Row is a row of a transaction at the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"tls_key"`
	Value   []byte `json:"value,omitempty"`
	Version *int64 `json:"ver,omitempty"`
}

// World is one run.
type World struct {
	Dir      string
	Program  string       // Program is the node's program.
	Store    string       // Store is the address of the platform's store.
	Platform http.Handler // Platform serves the store; a node may have an address of its own there.
	begin    time.Time
	network  int // network is the second byte of the addresses of this world.

	mu      sync.Mutex
	record  *os.File
	nodes   []*Node
	stops   []func()
	stopped bool
}

// Node is a node process.
type Node struct {
	Name, Hall                              string
	Caller, Directory, Ready, Peer, Forward string
	Settings                                string
	LogPath                                 string
	cmd                                     *exec.Cmd
	done                                    chan struct{}
	w                                       *World
}

// New starts a world with a store. The record is written to recordPath.
func New(recordPath, program string) (*World, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &World{Dir: dir, Program: program, begin: time.Now(), network: 10 + rand.IntN(240)}
	if w.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	w.Platform = distant(newStore())
	if w.Store, err = w.Serve("127.0.0.1:0", w.Platform); err != nil {
		return nil, err
	}
	return w, nil
}

// Serve serves HTTP until the world ends, and returns the address.
func (w *World) Serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	w.OnEnd(func() { s.Close() })
	return l.Addr().String(), nil
}

// OnEnd makes a function run at the end.
func (w *World) OnEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, f)
}

// Logf writes a line with the time since the start to the record.
func (w *World) Logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Commit writes rows to the store.
func (w *World) Commit(puts, removes []Row) error {
	if puts == nil {
		puts = []Row{}
	}
	if removes == nil {
		removes = []Row{}
	}
	body, err := json.Marshal(map[string]any{"expected_revision": []Row{}, "puts": puts, "remove": removes})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+w.Store+"/-/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store answered %d", resp.StatusCode)
	}
	return nil
}

// Put writes one document to the store.
func (w *World) Put(table, key string, doc any) error {
	value, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return w.Commit([]Row{{Table: table, Key: key, Value: value}}, nil)
}

// Remove removes one document.
func (w *World) Remove(table, key string) error {
	return w.Commit(nil, []Row{{Table: table, Key: key}})
}

// IP returns a loopback address for a purpose of one machine. Each world has a range of its own.
func (w *World) IP(machine, purpose int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, 20+machine, purpose)
}

// freeAddresses returns addresses on an IP whose ports are free.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // All are held until the last one is chosen.
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// AddNode writes the settings of a node, as the template lays them out, and starts it. extra replaces single settings.
func (w *World) AddNode(i int, hall string, extra map[string]any) (*Node, error) {
	n := &Node{Name: fmt.Sprintf("edge-%s-%d", hall, i), Hall: hall, w: w}
	free, err := freeAddresses(w.IP(i, 1), 6)
	if err != nil {
		return nil, err
	}
	admin := free[0]
	n.Caller, n.Directory, n.Ready, n.Peer, n.Forward = free[1], free[2], free[3], free[4], free[5]
	s := map[string]any{
		"instance": n.Name, "hall": hall, "region": "ebro-norte", "hall_regions": map[string]string{"zgz-a": "ebro-norte", "zgz-b": "ebro-norte", "pam-c": "ebro-norte"},
		"caller_address": n.Caller, "directory_address": n.Directory, "ready_address": n.Ready, "peer_address": n.Peer, "forward_address": n.Forward, "admin_address": admin,
		"platform_addresses": []string{w.Store}, "revoke_within_ms": 5000, "serve_unproven": false, "engine_drain_ms": 2000, "interactive_target_ms": 500, "spot_notice_ms": 2000,
		"stop_grace_ms": 8000, "retry_share": 0.2, "retry_extra": 52, "retry_window_ms": 10000, "first_start": true, "memory_mb": 134, "processor_share": 0.4, "link_mbps": 1000,
		"processor_speed": 1, "trace_share": 0,
	}
	for k, v := range extra {
		s[k] = v
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	n.Settings = filepath.Join(w.Dir, n.Name+".json")
	n.LogPath = filepath.Join(w.Dir, n.Name+".log")
	if err := os.WriteFile(n.Settings, text, 0o644); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n, n.Start()
}

// Start starts the process of a node.
func (n *Node) Start() error {
	out, err := os.OpenFile(n.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.w.Program, "edge")
	cmd.Env = append(os.Environ(), "CROFTTURN_SETTINGS="+n.Settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to a node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.w.Logf("signal %v to %s", s, n.Name)
	_ = n.cmd.Process.Signal(s)
}

// Pid returns the id of a node's process.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Exited reports whether a node's process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// AwaitReady waits until all nodes are ready.
func (w *World) AwaitReady(within time.Duration) error {
	w.mu.Lock()
	nodes := append([]*Node(nil), w.nodes...)
	w.mu.Unlock()
	end := time.Now().Add(within)
	for _, n := range nodes {
		for {
			resp, err := http.Get("http://" + n.Ready + "/-/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				log, _ := os.ReadFile(n.LogPath)
				return fmt.Errorf("%s is not ready: %.600s", n.Name, log)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// End ends all processes and servers of the world.
func (w *World) End() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	w.stopped = true
	nodes, stops := w.nodes, w.stops
	w.mu.Unlock()
	for _, n := range nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	for _, f := range stops {
		f()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.Dir)
	}
	w.record.Close()
}

// storeWay is the time that a call to the store takes each way: the pages name 4 ms an answer.
const storeWay = 2 * time.Millisecond

// distant answers calls as over a network.
func distant(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeWay)
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, r)
		time.Sleep(storeWay)
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // The caller may have left.
	})
}
