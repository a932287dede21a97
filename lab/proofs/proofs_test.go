// Package proofs holds the proofs of what must always hold, run on separate
// processes under faults. The verdicts come from the callers' and the backends'
// records. CROFTTURN_PROOFS=all runs the long ones too.
package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/check"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/record"
)

var (
	alfa   = &load.Team{Name: "alfa", Token: "alfa-token"}
	submit = &load.ClassLoad{Class: "submit", Tier: 1, Service: "bids", Once: true}
	tell   = &load.ClassLoad{Class: "explain", Tier: 3, Model: "desk-1"}
)

// long skips a proof that is only part of `make proofs`.
func long(t *testing.T) {
	t.Helper()
	if os.Getenv("CROFTTURN_PROOFS") != "all" {
		t.Skip("long: run by make proofs")
	}
}

// seed returns the seed of this run, which CROFTTURN_SEED sets.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CROFTTURN_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// rig is a cluster with the record of what was sent.
type rig struct {
	*cluster.Cluster
	t      *testing.T
	caller *load.Caller
	rand   *rand.Rand
	wg     sync.WaitGroup

	mu   sync.Mutex
	sent []record.Attempt
}

// start starts a cluster; the test's end closes it.
func start(t *testing.T, opts cluster.Options) *rig {
	t.Helper()
	opts.Dir = t.TempDir()
	if opts.StepBase == 0 {
		opts.StepBase, opts.StepEach = 4*time.Millisecond, 200*time.Microsecond
	}
	opts.Slots, opts.Queue = max(opts.Slots, 8), max(opts.Queue, 4)
	c, err := cluster.Start(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	r := &rig{Cluster: c, t: t, caller: load.NewCaller(c.CallerAddresses()), rand: rand.New(rand.NewPCG(seed(), 7))}
	t.Cleanup(r.caller.Close)
	return r
}

// send sends a request in the background and records what came of it.
func (r *rig) send(req load.Request) {
	caller := r.caller
	r.wg.Go(func() { r.keep(caller.Send(context.Background(), req)) })
}

// keep records a sending.
func (r *rig) keep(s record.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, s)
}

// request returns a request with a mark of its own and a key.
func (r *rig) request(class *load.ClassLoad, n, tokens int) load.Request {
	mark := fmt.Sprintf("%s-%d-%d", class.Class, seed(), n)
	return load.Request{Arrival: load.Arrival{Mark: mark, Class: class, Team: alfa, Tokens: tokens}, Key: "key-" + mark, Try: 1}
}

// at returns a request as it is sent to one node.
func at(req load.Request, node *cluster.Node, try int) load.Request {
	req.Node, req.Try = node.Caller, try
	return req
}

// pause waits for a random time up to a bound: it places a fault, and no verdict
// hangs on it.
func (r *rig) pause(most time.Duration) {
	time.Sleep(time.Duration(r.rand.Int64N(int64(most))))
}

// verdict waits for all answers and fails on each broken invariant. It returns
// how many requests were completed and how many backends executed.
func (r *rig) verdict() (completed, executed int) {
	r.t.Helper()
	r.wg.Wait()
	executions, err := record.Read[record.Execution](r.ExecutionsLog())
	if err != nil {
		r.t.Fatal(err)
	}
	for _, v := range check.Run(r.sent, executions) {
		r.t.Error(v)
	}
	outcomes := map[string]int{}
	for _, s := range r.sent {
		outcomes[s.Outcome]++
	}
	for _, e := range executions {
		if e.Event == "start" {
			executed++
		}
	}
	r.t.Logf("seed %d: %d sendings %v, %d executions", seed(), len(r.sent), outcomes, executed)
	return outcomes["completed"], executed
}

// waitState waits until a node sees a number of members in a state.
func (r *rig) waitState(n *cluster.Node, state string, count int) error {
	what := fmt.Sprintf("%s sees %d members %s", n.Name, count, state)
	return cluster.Wait(what, 15*time.Second, func() bool {
		got, err := r.Statement(context.Background(), n, "members where state = "+state, "")
		return err == nil && len(got.Rows) == count
	})
}

// faults sets a backend's faults.
func (r *rig) faults(b *cluster.Backend, doc any) {
	r.t.Helper()
	if err := r.Post(b.Address, "/control/faults", doc); err != nil {
		r.t.Fatal(err)
	}
}

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
