package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/platform"
)

// given is an order that an engine accepted.
type given struct {
	Fence int    `json:"fence"`
	Text  string `json:"text"`
}

// ordersAt returns the orders that an engine accepted, in the order in which
// they came.
func ordersAt(t *testing.T, e *cluster.Backend) []given {
	t.Helper()
	resp, err := http.Get("http://" + e.Address + "/orders")
	must(t, err)
	defer resp.Body.Close()
	var out []given
	must(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// TestOrdersAreFenced lets two operators give conflicting orders to an engine
// that checks fences and to one that does not, while the broker that sends them
// is frozen past its death and woken, acknowledgements are lost, and the next
// broker is killed. Orders must reach each engine in the order of their fences,
// and the newest must be the last.
func TestOrdersAreFenced(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 4, Engines: 2, Fenced: 1})
	ctx := context.Background()
	newest := map[string]given{}
	var mu sync.Mutex
	race := func(round int) {
		var wg sync.WaitGroup
		for op := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range 4 {
					name := fmt.Sprintf("e%d", 1+i%2)
					text := fmt.Sprintf("load model m-%d-%d-%d", round, op, i)
					got, err := r.Statement(ctx, r.alive(op), fmt.Sprintf("order engine %s %q", name, text), "")
					if err != nil {
						continue // A conflict: the other operator's came first.
					}
					mu.Lock()
					if got.Change.Version > newest[name].Fence {
						newest[name] = given{got.Change.Version, text}
					}
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
	}
	race(0)
	broker := r.brokerOf("llm")
	must(t, r.Post(r.Platform.Address, "/control/faults", platform.Faults{LoseAcks: 2}))
	go race(1)
	r.pause(100 * time.Millisecond)
	must(t, broker.Signal(syscall.SIGSTOP))
	for _, n := range r.Nodes {
		if n != broker {
			must(t, r.waitState(n, "dead", 1))
		}
	}
	race(2)
	must(t, broker.Signal(syscall.SIGCONT))
	must(t, r.WaitReady(ctx))
	race(3)
	r.brokerOf("llm").Kill()
	race(4)
	for i, e := range r.Engines {
		name := fmt.Sprintf("e%d", i+1)
		must(t, cluster.Wait("the newest order at "+name, 20*time.Second, func() bool {
			got := ordersAt(t, e)
			return len(got) > 0 && got[len(got)-1] == newest[name]
		}))
		got := ordersAt(t, e)
		for i := 1; i < len(got); i++ {
			if got[i].Fence <= got[i-1].Fence {
				t.Errorf("%s took fence %d after %d", name, got[i].Fence, got[i-1].Fence)
			}
		}
		t.Logf("%s took %d orders, the newest %+v", name, len(got), newest[name])
	}
}

// alive returns the i-th node that has not been killed or frozen by the test's
// own doing; asking a frozen one would only wait.
func (r *rig) alive(i int) *cluster.Node {
	for k := range r.Nodes {
		n := r.Nodes[(i+k)%len(r.Nodes)]
		if !n.Exited() && !n.Frozen() {
			return n
		}
	}
	return r.Nodes[i]
}
