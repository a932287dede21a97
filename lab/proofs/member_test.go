package proofs

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/bench"
	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/relay"
)

// seenWithin is how soon a failure must be seen by all the others.
const seenWithin = 3 * time.Second

// TestFailureIsSeenInTime kills and freezes nodes; all others must see it in
// time, and see them back again.
func TestFailureIsSeenInTime(t *testing.T) {
	r := start(t, cluster.Options{Nodes: 7, Engines: 1})
	for round := range 2 {
		victim := r.Nodes[r.rand.IntN(len(r.Nodes))]
		begun := time.Now()
		if round == 0 {
			victim.Kill()
		} else {
			must(t, victim.Signal(syscall.SIGSTOP))
		}
		for _, n := range r.Nodes {
			if n != victim {
				must(t, r.waitState(n, "dead", 1))
			}
		}
		took := time.Since(begun)
		t.Logf("seen dead by all after %v", took)
		if took > seenWithin {
			t.Errorf("seen dead by all only after %v", took)
		}
		if round == 0 {
			i := 0
			for r.Nodes[i] != victim {
				i++
			}
			_, err := r.StartNode(i)
			must(t, err)
		} else {
			must(t, victim.Signal(syscall.SIGCONT))
		}
		must(t, r.WaitReady(context.Background()))
	}
}

// delayedCluster is a cluster whose peers are reached through relays that delay
// one message in twenty by half a second.
func delayedCluster(t *testing.T) *rig {
	const share, delay = 0.05, 500 * time.Millisecond
	return start(t, cluster.Options{Nodes: 7, Engines: 2, Slots: 16, Queue: 16, Settings: func(i int, s map[string]any) {
		x, err := relay.New(s["peer_address"].(string), delay)
		must(t, err)
		t.Cleanup(x.Close)
		x.DelaySome(seed()+uint64(i), share)
		s["peer_advertise"] = x.Address()
	}})
}

// noFalseFailure watches for a time, under load, that no node is ever seen dead.
func noFalseFailure(t *testing.T, watch time.Duration) {
	r := delayedCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	r.traffic(ctx, 10, load.ClassLoad{Class: "explain", Tier: 3, Model: "desk-1", Tokens: 20})
	suspected := 0
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, n := range r.Nodes {
			got, err := r.Statement(ctx, n, "members where state != alive", "")
			must(t, err)
			for _, m := range got.Rows {
				if m.State == "dead" {
					t.Fatalf("%s sees %s dead", n.Name, m.Name)
				}
				suspected++
			}
		}
	}
	cancel()
	r.verdict()
	m, err := bench.Metrics(r.Nodes[0])
	must(t, err)
	t.Logf("%d sightings of a suspect; %v control bytes out of n1", suspected, m["croftturn_control_bytes_out"])
}

// TestNoFalseFailure watches for a short time.
func TestNoFalseFailure(t *testing.T) { noFalseFailure(t, 15*time.Second) }

// TestNoFalseFailureForTenMinutes watches for as long as is promised.
func TestNoFalseFailureForTenMinutes(t *testing.T) {
	long(t)
	noFalseFailure(t, 10*time.Minute)
}
