package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// Guards against streams overloading a few engines after nodes start together. A node that has
// just started knows only its own load, so all such nodes chose the same first engines for their
// streams. Those seemed empty to them, so their requests kept their own urgency there and
// preempted others that informed nodes had sent with the lowest urgency. When 48 of 87 nodes
// restarted together after a power loss, two of 112 engines with 12 slots had 20 separated
// streams each within 0.7 s, and 26 requests were preempted, 11 of them while less urgent ones
// kept running; a replay of the same day, whose node logs showed the starts and sends, had 23.

// TestNodesThatStartTogetherSpreadTheirStreams checks that the streams of many nodes that have
// just started do not exceed the slots of one engine.
func TestNodesThatStartTogetherSpreadTheirStreams(t *testing.T) {
	const nodes, each, slots = 48, 2, 12
	at := map[string]int{}
	most := 0
	for node := range nodes {
		p := placement.New("hall", placement.WithUnseenNodes(func(time.Time) int { return nodes - 1 }))
		for i := range 112 {
			p.Set(placement.Engine{ID: fmt.Sprintf("e%d", i), Pool: "p", Hall: "hall", Slots: slots})
		}
		for i := range each {
			r := stream(node*each + i)
			c := choose(t, p, start, r)
			p.Start(start, c, r)
			at[c.Engine.ID]++
			most = max(most, at[c.Engine.ID])
		}
	}
	if most > slots {
		t.Errorf("an engine has %d streams for %d slots", most, slots)
	}
}
