package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/lab/cluster"
)

const (
	// longRun is how long the longest requests run, and standstill how long a node stands still some time before its stop.
	longRun    = 5 * time.Second
	standstill = time.Second

	// frozenFor is how long a process stands still around the end of its stop.
	frozenFor = 700 * time.Millisecond

	// knownRuns is how many short requests of each route a node has run before its stop.
	knownRuns = 25

	// callersOfEach is how many callers there are with a kept connection, and how many with a new one.
	callersOfEach = 8
)

// frozenStop is a process that stands still while its stop ends.
type frozenStop struct {
	process *cluster.Process
	address string
	ends    time.Duration // ends is how long after SIGTERM an idle process ends its stop.
	request func(address, id string) (*http.Request, error)
}

// check sends requests over connections that were opened before the stop, and over new ones, while the process stands
// still. Each must get a whole answer.
func (f *frozenStop) check(t *testing.T) {
	t.Helper()
	ask := func(conn net.Conn, id string) (*http.Response, error) {
		req, err := f.request(f.address, id)
		if err != nil {
			return nil, err
		}
		if err := req.Write(conn); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil {
			return nil, err
		}
		return resp, resp.Body.Close()
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	conns := map[string]net.Conn{}
	for i := range callersOfEach {
		id := fmt.Sprint("kept-", i)
		conns[id] = dial()
		if _, err := ask(conns[id], id+"-before"); err != nil {
			t.Fatal(err)
		}
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.process.Stop(stopGrace) }()
	time.Sleep(f.ends - frozenFor/2)
	if err := f.process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for i := range callersOfEach {
		conns[fmt.Sprint("new-", i)] = dial()
	}
	var callers sync.WaitGroup
	for id, conn := range conns {
		callers.Go(func() {
			if _, err := ask(conn, id); err != nil {
				t.Errorf("%s got no answer: %v", id, err)
			}
		})
	}
	time.Sleep(frozenFor)
	if err := f.process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	callers.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// startTwoNodes starts two nodes and two engines until the end of a test, and returns one of the nodes.
func startTwoNodes(t *testing.T, timeout time.Duration) (*Environment, *node) {
	t.Helper()
	return startNodesOf(t, 2, timeout)
}

// startNodesOf is startTwoNodes with a seed; the pool of streams is interactive with odd ones.
func startNodesOf(t *testing.T, seed uint64, timeout time.Duration) (*Environment, *node) {
	t.Helper()
	env, err := start(Options{Seed: seed, Nodes: 2, Engines: 2, Dir: t.TempDir(), Program: "croftturn", Timeout: timeout})
	if env != nil {
		t.Cleanup(env.close)
	}
	if err != nil {
		t.Fatal(err)
	}
	return env, env.nodes[0]
}

// TestStopAnswersWhatLiesInTheKernel guards against requests that get no answer since they lie unread in a connection or
// in a listener's backlog when the stop of a node ends.
func TestStopAnswersWhatLiesInTheKernel(t *testing.T) {
	env, n := startTwoNodes(t, 0)
	env.expectExit(n)
	f := frozenStop{n.Process, n.callerAddress, 6200 * time.Millisecond, func(address, id string) (*http.Request, error) {
		return newRequest(t.Context(), address, routeSafe, id, "key-1", id+":100", "body of "+id)
	}}
	f.check(t)
}

// TestStopOfRunAnswersWhatLiesInTheKernel guards against the same at the product's own interface.
func TestStopOfRunAnswersWhatLiesInTheKernel(t *testing.T) {
	const notice = 2 * time.Second
	c, err := cluster.Start(t.Context(), cluster.Options{Nodes: 2, Engines: 1, Slots: 16, StepBase: time.Millisecond, StepEach: time.Millisecond, Dir: t.TempDir(), Settings: func(_ int, s map[string]any) {
		s["leave_notice_ms"] = notice.Milliseconds()
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	f := frozenStop{c.Nodes[0].Process, c.Nodes[0].Caller, notice, func(address, id string) (*http.Request, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/models", nil)
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+config.HashToken(id)) // Any answer will do.
		}
		return req, err
	}}
	f.check(t)
}

// TestStandstillBeforeAStopEndsNoAnswers guards against answers that a node ends seconds before the end of its stop, since it
// stood still some time before.
func TestStandstillBeforeAStopEndsNoAnswers(t *testing.T) {
	env, n := startTwoNodes(t, longRun+time.Second)
	env.expectExit(n)
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var callers sync.WaitGroup
	callers.Go(func() { _, _, _ = ask(t, n, routeSafe, "short", time.Millisecond) }) // It lies unread while the node stands still.
	time.Sleep(standstill)
	if err := n.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * standstill)
	for i := range callersOfEach / 4 { // The engines have slots for all.
		for _, route := range routes {
			callers.Go(func() { askWhole(t, n, route, longID(fmt.Sprint(route, "-", i)), longRun) })
		}
	}
	time.Sleep(standstill / 2)
	if err := n.Stop(stopGrace); err != nil {
		t.Error(err)
	}
	callers.Wait()
}

// TestLongRequestsLateInAStopAreNotCut guards against requests that a stopping node takes since it knows short runs only, and
// cuts at the end of its grace.
func TestLongRequestsLateInAStopAreNotCut(t *testing.T) {
	env, n := startTwoNodes(t, longDeadline)
	env.expectExit(n)
	for i := range knownRuns {
		for _, route := range routes {
			askWhole(t, n, route, longID(fmt.Sprint(route, "-before-", i)), 0)
		}
	}
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(stopGrace) }()
	var callers sync.WaitGroup
	for _, after := range []time.Duration{lateSent + 100*time.Millisecond, 5 * time.Second} {
		for i := range callersOfEach / 4 {
			for _, route := range routes {
				callers.Go(func() {
					time.Sleep(after)
					askLate(t, env, n, route, longID(fmt.Sprintf("%s-%v-%d", route, after, i)), stopGrace-after)
				})
			}
		}
	}
	callers.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestLateProcessEndsNothingThatItTookInAStop guards against requests that a stopping node takes as they fit, and ends before their
// time since it falls behind later.
func TestLateProcessEndsNothingThatItTookInAStop(t *testing.T) {
	env, n := startTwoNodes(t, longDeadline)
	env.expectExit(n)
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(stopGrace) }()
	var callers sync.WaitGroup
	for _, after := range []time.Duration{300 * time.Millisecond, time.Second} {
		for _, route := range routes {
			callers.Go(func() {
				time.Sleep(after)
				askLate(t, env, n, route, longID(fmt.Sprintf("%s-%v", route, after)), longDeadline-200*time.Millisecond)
			})
		}
	}
	time.Sleep(stopGrace - lastPart - 9*standstill/5) // Deadlines of what is taken come after the standstill.
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	time.Sleep(standstill)
	if err := n.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// askLate sends a request that runs for some time to a stopping node. It must be served, be refused at once as not run, or be
// told apart from one that has not run if it may be sent again.
func askLate(t *testing.T, env *Environment, n *node, route, id string, work time.Duration) {
	t.Helper()
	begin := time.Now()
	status, body, err := ask(t, n, route, id, work)
	took := time.Since(begin)
	env.ledger.mu.Lock()
	ran := len(env.ledger.runs[id])
	env.ledger.mu.Unlock()
	switch {
	case err == nil && status == success && versionLine.ReplaceAllString(body, "") == expectedBody(route, id):
	case err == nil && status == unavailable && ran == 0 && took < time.Second:
	case err == nil && status == http.StatusBadGateway && route == routeSafe:
	case err == nil && status == http.StatusGatewayTimeout && took >= longDeadline:
	default:
		t.Errorf("%s got status %d, %q, %v after %v, runs %d", id, status, body, err, took, ran)
	}
}
