package proofs

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/service"
)

// warmed is how many executions a service cluster has before its test begins.
const warmed = 3

// serviceCluster is a small cluster with a service that takes some time, so that
// faults fall before, during and after a call.
func serviceCluster(t *testing.T) *rig {
	r := start(t, cluster.Options{Nodes: 3, Engines: 1, Services: 2})
	for _, s := range r.Services {
		r.faults(s, service.Faults{DelayMs: 20})
	}
	// A first request waits out the brokers' rebuilding, so that those after it
	// are claimed and dispatched while the faults fall.
	for _, n := range r.Nodes {
		warm := r.request(submit, 0, 1)
		warm.Mark, warm.Key = "warm-"+n.Name, "warm-"+n.Name
		if s := r.caller.Send(context.Background(), at(warm, n, 1)); s.Outcome != "completed" {
			t.Fatalf("warm-up: %+v", s)
		}
	}
	return r
}

// TestOnceSameTime sends each key to two nodes at the same time.
func TestOnceSameTime(t *testing.T) {
	r := serviceCluster(t)
	for i := range 60 {
		req := r.request(submit, i, 1)
		r.send(at(req, r.Nodes[0], 1))
		r.send(at(req, r.Nodes[1], 2))
		r.pause(10 * time.Millisecond)
	}
	if completed, executed := r.verdict(); completed != 120 || executed != 60+warmed {
		t.Errorf("%d of 120 sendings completed with %d executions, want all with 60", completed, executed)
	}
}

// TestOnceCallerCut cuts the caller's connection at a random time and sends the
// key again to another node; every offer must be run, and once.
func TestOnceCallerCut(t *testing.T) {
	r := serviceCluster(t)
	for i := range 40 {
		req := r.request(submit, i, 1)
		ctx, cancel := context.WithCancel(context.Background())
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.keep(r.caller.Send(ctx, at(req, r.Nodes[0], 1)))
			r.keep(r.caller.Send(context.Background(), at(req, r.Nodes[1], 2)))
		}()
		r.pause(40 * time.Millisecond)
		cancel()
	}
	if _, executed := r.verdict(); executed != 40+warmed {
		t.Errorf("%d of 40 requests were executed", executed)
	}
}

// TestOnceBackendBreaks makes the backend cut its connection after it executed.
func TestOnceBackendBreaks(t *testing.T) {
	r := serviceCluster(t)
	for _, s := range r.Services {
		r.faults(s, service.Faults{DelayMs: 5, BreakAfter: true})
	}
	for i := range 20 {
		req := r.request(submit, i, 1)
		r.send(at(req, r.Nodes[0], 1))
		r.pause(10 * time.Millisecond)
		r.send(at(req, r.Nodes[1], 2))
	}
	if completed, _ := r.verdict(); completed != 0 {
		t.Errorf("%d completed though every answer was cut", completed)
	}
}

// TestOnceNodeKilled kills the node at a random time before, during or after
// dispatch, and sends the keys again elsewhere.
func TestOnceNodeKilled(t *testing.T) {
	r := serviceCluster(t)
	for round := range 3 {
		var sent []load.Request
		for i := range 12 {
			req := r.request(submit, 100*round+i, 1)
			sent = append(sent, req)
			r.send(at(req, r.Nodes[0], 1))
			r.pause(4 * time.Millisecond)
		}
		r.Nodes[0].Kill()
		for i, req := range sent {
			r.send(at(req, r.Nodes[1+i%2], 2))
		}
		r.wg.Wait()
		_, err := r.StartNode(0)
		must(t, err)
		must(t, r.WaitReady(context.Background()))
		for _, req := range sent {
			r.send(at(req, r.Nodes[0], 3))
		}
	}
	r.verdict()
}

// TestOnceNodeFrozen freezes the node past its time, sends the keys again
// elsewhere, and wakes it up with its old work still in hand.
func TestOnceNodeFrozen(t *testing.T) {
	r := serviceCluster(t)
	var sent []load.Request
	for i := range 30 {
		req := r.request(submit, i, 1)
		sent = append(sent, req)
		r.send(at(req, r.Nodes[0], 1))
		r.pause(3 * time.Millisecond)
	}
	must(t, r.Nodes[0].Signal(syscall.SIGSTOP))
	must(t, r.waitState(r.Nodes[1], "dead", 1))
	must(t, r.waitState(r.Nodes[2], "dead", 1))
	for i, req := range sent {
		r.send(at(req, r.Nodes[1+i%2], 2))
	}
	r.pause(500 * time.Millisecond)
	must(t, r.Nodes[0].Signal(syscall.SIGCONT))
	must(t, r.WaitReady(context.Background()))
	r.verdict()
}

// TestOnceLostAcknowledgements loses the answers of the platform's writes while
// keys are claimed, at two nodes for each key.
func TestOnceLostAcknowledgements(t *testing.T) {
	r := serviceCluster(t)
	for i := range 40 {
		if i%4 == 0 {
			must(t, r.Post(r.Platform.Address, "/control/faults", platform.Faults{LoseAcks: 1 + r.rand.IntN(2)}))
		}
		req := r.request(submit, i, 1)
		r.send(at(req, r.Nodes[0], 1))
		r.pause(15 * time.Millisecond)
		r.send(at(req, r.Nodes[1], 2))
	}
	if completed, executed := r.verdict(); executed != 40+warmed || completed != 80 {
		t.Errorf("%d sendings completed with %d executions, want 80 with 40", completed, executed)
	}
}

// ticket gets a ticket from a node.
func (r *rig) ticket(n *cluster.Node) string {
	r.t.Helper()
	text, err := r.caller.Ticket(context.Background(), n.Caller, alfa)
	must(r.t, err)
	return text
}

// TestOnceOutage holds that in an outage of the platform offers with tickets
// still run, once, through any node, while keys of the callers' own are refused
// without a guess; and that a ticket whose process is gone gives unknown.
func TestOnceOutage(t *testing.T) {
	r := serviceCluster(t)
	must(t, r.Post(r.Platform.Address, "/control/faults", platform.Faults{Down: true}))
	for i := range 20 {
		req := r.request(submit, i, 1)
		req.Key = r.ticket(r.Nodes[0])
		r.send(at(req, r.Nodes[0], 1))
		r.send(at(req, r.Nodes[1], 2))
		r.send(at(req, r.Nodes[2], 3))
		r.send(at(r.request(submit, 1000+i, 1), r.Nodes[1], 1))
	}
	r.wg.Wait()
	for _, s := range r.sent {
		if s.Key[:3] == "key" && s.Outcome != "unknown" {
			t.Errorf("key in an outage: %+v", s)
		}
	}
	if completed, executed := r.verdict(); completed != 60 || executed != 20+warmed {
		t.Errorf("%d sendings completed with %d executions, want 60 with 20", completed, executed)
	}
	orphan := r.request(submit, 2000, 1)
	orphan.Key = r.ticket(r.Nodes[0])
	r.Nodes[0].Kill()
	_, err := r.StartNode(0)
	must(t, err)
	must(t, r.WaitReady(context.Background()))
	for i, n := range r.Nodes {
		if s := r.caller.Send(context.Background(), at(orphan, n, i)); s.Outcome != "unknown" {
			t.Errorf("ticket of a process that is gone, at %s: %+v", n.Name, s)
		}
	}
}

// TestOnceSlowPlatform makes the platform answer after the nodes have given a
// write up, so that writes take effect late: a claim may appear for an attempt
// that did not run, and must never let two run.
func TestOnceSlowPlatform(t *testing.T) {
	r := serviceCluster(t)
	for i := range 30 {
		if i%10 == 0 {
			r.wg.Wait() // So that each key meets one slowness only.
			must(t, r.Post(r.Platform.Address, "/control/faults", platform.Faults{SlowMs: []int{1300, 300, 2500}[i/10]}))
		}
		req := r.request(submit, i, 1)
		r.send(at(req, r.Nodes[i%3], 1))
		r.pause(60 * time.Millisecond)
		r.send(at(req, r.Nodes[(i+1)%3], 2))
	}
	r.wg.Wait()
	must(t, r.Post(r.Platform.Address, "/control/faults", platform.Faults{}))
	for i := range 30 {
		r.send(at(r.request(submit, i, 1), r.Nodes[(i+2)%3], 3))
	}
	// The ten keys that met answers within the nodes' patience run, and all three
	// sendings of each are answered with the outcome.
	if completed, _ := r.verdict(); completed < 30 {
		t.Errorf("only %d of 90 sendings completed", completed)
	}
}
