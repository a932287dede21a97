package proofs

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/lab/cluster"
	"github.com/croftturn/croftturn/lab/load"
	"github.com/croftturn/croftturn/lab/relay"
)

// TestHalfOpenBroker half-opens the way to the pool's broker: connections stand
// and nothing comes through, while the broker's own heartbeats go out, so that
// the membership sees no failure. Requests at the other nodes must get through
// all the same, and again by the broker once the way is open.
func TestHalfOpenBroker(t *testing.T) {
	relays := map[string]*relay.Relay{}
	r := start(t, cluster.Options{Nodes: 3, Engines: 3, Slots: 16, Queue: 16, Settings: func(i int, s map[string]any) {
		x, err := relay.New(s["peer_address"].(string), 0)
		must(t, err)
		t.Cleanup(x.Close)
		relays[s["instance"].(string)] = x
		s["peer_advertise"] = x.Address()
	}})
	broker := r.brokerOf("llm")
	class := &load.ClassLoad{Class: "explain", Tier: 3, Model: "desk-1"}
	sendAll := func(first, n int) {
		for i := range n {
			req := r.request(class, first+i, 20)
			req.Key = ""
			for _, node := range r.Nodes {
				if node != broker {
					r.send(at(req, node, 1))
					break
				}
			}
			r.pause(50 * time.Millisecond)
		}
	}
	for round := range 2 {
		sendAll(1000*round, 10)
		relays[broker.Name].Set(relay.Hold)
		begun := time.Now()
		sendAll(1000*round+100, 30)
		r.wg.Wait()
		t.Logf("all answered %v after the way was half-open", time.Since(begun))
		relays[broker.Name].Set(relay.Pass)
		sendAll(1000*round+200, 10)
	}
	r.verdict()
	r.allCompleted()
	for _, s := range r.sent {
		if s.TotalMs > 5000 {
			t.Errorf("%s took %.0f ms", s.Mark, s.TotalMs)
		}
	}
}
