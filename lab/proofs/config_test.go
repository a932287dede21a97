package proofs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/bench"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/platform"
	"github.com/croftturn/croftturn/lab/relay"
)

// within is how soon an accepted change must be in force at every reachable node.
const within = 2 * time.Second

// version returns the version that a node has in force, or -1. It reads nothing
// of the node but its address, so that it may be called while the node restarts.
func version(n *cluster.Node) int {
	m, err := bench.MetricsAt(n.Admin)
	if err != nil {
		return -1
	}
	return int(m["croftturn_config_version"])
}

// change makes a change at a node and returns its version.
func (r *rig) change(n *cluster.Node, weight int) (int, error) {
	got, err := r.Statement(context.Background(), n, fmt.Sprintf("set team alfa weight = %d", weight), "")
	if err != nil {
		return 0, err
	}
	return got.Change.Version, nil
}

// inForce waits until nodes have at least a version in force.
func (r *rig) inForce(want int, nodes ...*cluster.Node) {
	r.t.Helper()
	for _, n := range nodes {
		must(r.t, cluster.Wait(fmt.Sprintf("version %d in force at %s, which has %d", want, n.Name, version(n)), within, func() bool { return version(n) >= want }))
	}
}

// watchVersions fails the test when a node's version goes down; the returned
// function ends the watch.
func (r *rig) watchVersions() func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range r.Nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			highest := 0
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				got := version(r.Nodes[i])
				if got > 0 && got < highest {
					r.t.Errorf("n%d reverted from version %d to %d", i+1, highest, got)
				}
				highest = max(highest, got)
			}
		}()
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// TestConfigInForceEverywhere makes changes at every node, with acknowledgements
// lost, and sees each in force at all nodes in time.
func TestConfigInForceEverywhere(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 5, Engines: 1})
	defer r.watchVersions()()
	for i := range 15 {
		if i%3 == 0 {
			must(t, r.Post(r.Platform.Address, "/control/faults", platform.Faults{LoseAcks: 1 + r.rand.IntN(2)}))
		}
		v, err := r.change(r.Nodes[i%5], i+1)
		must(t, err)
		r.inForce(v, r.Nodes...)
	}
	history, err := r.Statement(context.Background(), r.Nodes[0], "history after 1", "")
	must(t, err)
	if len(history.Changes) != 15 {
		t.Errorf("history has %d changes after the first, want 15", len(history.Changes))
	}
	for i, ch := range history.Changes {
		if ch.Version != i+2 || ch.Author != "op" || ch.ID == "" {
			t.Errorf("change %d = %+v", i, ch)
		}
	}
}

// TestConfigOperatorsRace lets two operators make changes at two nodes at the
// same time: each is accepted once, under a version of its own, or refused as a
// conflict and not in the history.
func TestConfigOperatorsRace(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 3, Engines: 1})
	var mu sync.Mutex
	accepted, refused := map[string]int{}, map[string]bool{}
	var wg sync.WaitGroup
	for op := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 25 {
				id := fmt.Sprintf("race-%d-%d", op, i)
				got, err := r.Statement(context.Background(), r.Nodes[op], fmt.Sprintf("set team alfa weight = %d", 1+op*100+i), id)
				var status *cluster.StatusError
				mu.Lock()
				switch {
				case err == nil:
					accepted[id] = got.Change.Version
				case errors.As(err, &status) && status.Status == http.StatusConflict:
					refused[id] = true
				default:
					t.Errorf("change %s: %v", id, err)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	history, err := r.Statement(context.Background(), r.Nodes[2], "history after 1", "")
	must(t, err)
	for _, ch := range history.Changes {
		if refused[ch.ID] || accepted[ch.ID] != ch.Version {
			t.Errorf("history has %s as version %d; refused %v, accepted as %d", ch.ID, ch.Version, refused[ch.ID], accepted[ch.ID])
		}
	}
	if len(history.Changes) != len(accepted) {
		t.Errorf("%d changes accepted, %d in the history", len(accepted), len(history.Changes))
	}
	t.Logf("%d accepted, %d refused as conflicts", len(accepted), len(refused))
}

// TestConfigSurvivesOutage restarts a node while the platform is down: it must
// come up with the newest version, from its peers, and changes are refused.
func TestConfigSurvivesOutage(t *testing.T) {
	seeds := make([]any, 0, 3)
	r := start(t, cluster.Options{Nodes: 3, Engines: 1, Settings: func(i int, s map[string]any) {
		quickLeave(i, s)
		seeds = append(seeds, s["peer_address"])
		s["seed_peers"] = append([]any(nil), seeds...)
	}})
	defer r.watchVersions()()
	v, err := r.change(r.Nodes[0], 7)
	must(t, err)
	r.inForce(v, r.Nodes...)
	must(t, r.Post(r.Platform.Address, "/control/faults", platform.Faults{Down: true}))
	_, err = r.change(r.Nodes[1], 8)
	var status *cluster.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusServiceUnavailable {
		t.Errorf("a change in an outage: %v, want status 503", err)
	}
	r.Nodes[2].Kill()
	_, err = r.StartNode(2)
	must(t, err)
	must(t, cluster.Wait("restarted node is ready", 5*time.Second, r.Nodes[2].Ready))
	if got := version(r.Nodes[2]); got != v {
		t.Errorf("restarted in an outage with version %d, want %d", got, v)
	}
}

// TestConfigAfterCutAndFreeze cuts one node off from peers and platform and
// freezes another, makes changes, and heals: both must have the newest in time
// and none may go back.
func TestConfigAfterCutAndFreeze(t *testing.T) {
	var relays []*relay.Relay
	platformRelay := map[int]*relay.Relay{}
	t.Cleanup(func() {
		for _, x := range relays {
			x.Close()
		}
	})
	through := func(address string) (*relay.Relay, error) {
		x, err := relay.New(address, 0)
		if err == nil {
			relays = append(relays, x)
		}
		return x, err
	}
	peerRelay := map[int]*relay.Relay{}
	r := start(t, cluster.Options{Nodes: 4, Engines: 1, Settings: func(i int, s map[string]any) {
		var err error
		peerRelay[i], err = through(s["peer_address"].(string))
		must(t, err)
		s["peer_advertise"] = peerRelay[i].Address()
		platformRelay[i], err = through(s["platform_addresses"].([]string)[0])
		must(t, err)
		s["platform_addresses"] = []string{platformRelay[i].Address()}
	}})
	defer r.watchVersions()()
	for round := range 2 {
		// The cut node can neither be reached nor reach the platform; its own
		// heartbeats still go out, as over a link that fails one way.
		peerRelay[3].Set(relay.Cut)
		platformRelay[3].Set(relay.Cut)
		must(t, r.Nodes[2].Signal(syscall.SIGSTOP))
		v := 0
		for i := range 5 {
			got, err := r.change(r.Nodes[i%2], 10*round+i+1)
			must(t, err)
			v = got
		}
		r.inForce(v, r.Nodes[0], r.Nodes[1])
		must(t, r.Nodes[2].Signal(syscall.SIGCONT))
		r.inForce(v, r.Nodes[2])
		peerRelay[3].Set(relay.Pass)
		platformRelay[3].Set(relay.Pass)
		r.inForce(v, r.Nodes[3])
		must(t, r.WaitReady(context.Background()))
	}
}

// TestConfigRollback takes changes back as a new version.
func TestConfigRollback(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 2, Engines: 1})
	before, err := r.change(r.Nodes[0], 3)
	must(t, err)
	_, err = r.change(r.Nodes[1], 9)
	must(t, err)
	_, err = r.Statement(context.Background(), r.Nodes[1], "drain engine e1", "")
	must(t, err)
	got, err := r.Statement(context.Background(), r.Nodes[0], fmt.Sprintf("rollback to %d", before), "")
	must(t, err)
	if got.Change.Version != before+3 {
		t.Errorf("rollback made version %d, want %d", got.Change.Version, before+3)
	}
	text := fmt.Sprint(len(got.Change.Entities))
	if text != "2" {
		t.Errorf("rollback changed %s parts, want the team and the engine", text)
	}
}
