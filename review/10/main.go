//go:build review

// Command case10 changes the settings of three nodes to a grace of eight and a half seconds, restarts them in turn, and looks
// whether they start and serve.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/review/fleet2"
)

const (
	template = "../../deploy/settings.json.tmpl"
	recoverS = 12 // recoverS is recovery_s.
)

func main() { os.Exit(run()) }

func fail(err error) int {
	fmt.Println("could not run:", err)
	return 2
}

func run() int {
	grace := 8.5
	if os.Getenv("TROUBLE") == "0" {
		grace = 9
	}
	w, err := fleet2.New(os.Args[2], os.Args[1])
	if err != nil {
		return fail(err)
	}
	defer w.End()
	text, err := os.ReadFile(template)
	if err != nil {
		return fail(err)
	}
	if _, err := w.AddEngine("i-0", "bid-desk", "zgz-a", "127.0.0.1", 6, nil); err != nil {
		return fail(err)
	}
	if err := w.Put("op", "config", map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "r1", "host": "ficu95.example", "path_prefix": "/cufi504/", "kind": "safe", "timeout_ms": 600, "target_latency_ms": 100, "priority": 1, "service": "bid-desk", "max_attempts": 2, "public": true}},
		"services": []any{map[string]any{"name": "bid-desk", "health_path": "/health", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}); err != nil {
		return fail(err)
	}
	var nodes []*fleet2.Node
	var fields []map[string]any
	for i := range 3 {
		f, n, err := w.PlanNode(i, "zgz-a")
		if err != nil {
			return fail(err)
		}
		if err := settle(n, string(text), f, 8, true); err != nil {
			return fail(err)
		}
		if err := n.Start(); err != nil {
			return fail(err)
		}
		nodes, fields = append(nodes, n), append(fields, f)
	}
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return fail(err)
	}
	served := 0
	for _, n := range nodes {
		served += ask(w, n, "before")
	}
	if served < len(nodes) {
		return fail(fmt.Errorf("%d of %d nodes serve before the change", served, len(nodes)))
	}
	for i, n := range nodes {
		if err := settle(n, string(text), fields[i], grace, false); err != nil {
			return fail(err)
		}
		n.Signal(syscall.SIGHUP)
	}
	w.Logf("grace_s is %v", grace)
	time.Sleep(time.Second)
	for _, n := range nodes {
		n.Signal(syscall.SIGTERM)
		for end := time.Now().Add(9 * time.Second); !n.Exited() && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
		if !n.Exited() {
			n.Signal(syscall.SIGKILL)
		}
		if err := n.Start(); err != nil {
			return fail(err)
		}
		time.Sleep(time.Second)
	}
	// A process that ends is started again after a short delay.
	starts := 0
	for end := time.Now().Add(recoverS * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		for _, n := range nodes {
			if n.Exited() {
				log, _ := os.ReadFile(n.LogPath)
				lines := strings.Split(strings.TrimSpace(string(log)), "\n")
				w.Logf("%s has ended: %.200s", n.Name, lines[len(lines)-1])
				starts++
				if err := n.Start(); err != nil {
					return fail(err)
				}
			}
		}
	}
	after := 0
	for _, n := range nodes {
		after += ask(w, n, "after")
	}
	w.Logf("%d of 3 nodes serve %d s after they were started again; they ended by themselves %d times", after, recoverS, starts)
	if after < len(nodes) || starts > 0 {
		fmt.Printf("%d of 3 nodes serve; they ended by themselves %d times\n", after, starts)
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// settle fills the template with a node's fields and writes it where the settings lie.
func settle(n *fleet2.Node, text string, fields map[string]any, grace float64, first bool) error {
	fields["bootstrap"] = first
	fields["bounds"].(map[string]any)["grace_s"] = grace
	filled, err := fleet2.Fill(text, fields)
	if err != nil {
		return err
	}
	return os.WriteFile(n.Settings, []byte(filled), 0o644)
}

// ask sends a request to a node and returns 1 if it is served.
func ask(w *fleet2.World, n *fleet2.Node, when string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.Caller+"/cufi504/2f", nil)
	if err != nil {
		return 0
	}
	req.Host = "ficu95.example"
	req.Header.Set("Attempt-Id", when+"-"+n.Name)
	req.Header.Set("Deadline-Ms", "600")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.Logf("%s the change, %s: %v", when, n.Name, err)
		return 0
	}
	defer resp.Body.Close()
	w.Logf("%s the change, %s: %s", when, n.Name, resp.Status)
	if resp.StatusCode == http.StatusOK {
		return 1
	}
	return 0
}
