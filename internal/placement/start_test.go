package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/placement"
)

// What was seen: of 87 nodes 48 lost power and started again together. Within 0.7 s of their start two of 112 engines of 12 places
// had 20 requests each, all of them streams that are kept apart, and 26 requests were put back, 11 of them while less urgent ones ran
// on beside them. The cause: a node that has just started knows no work but its own, so that all such nodes gathered their streams on
// the same first engines; and since those seemed empty to them, their requests kept their own urgency there, and put back
// others that nodes which knew of the work had sent with the last one. The evidence: the starts and sendings in the nodes' lines of
// a play of the same day, in which 23 were put back.

// TestNodesThatStartTogetherSpreadTheirStreams holds that streams of many nodes that have just started do not gather on
// one engine beyond its places.
func TestNodesThatStartTogetherSpreadTheirStreams(t *testing.T) {
	const nodes, each, places = 48, 2, 12
	at := map[string]int{}
	most := 0
	for node := range nodes {
		p := placement.New("hall", placement.WithUnseenNodes(func(time.Time) int { return nodes - 1 }))
		for i := range 112 {
			p.Set(placement.Engine{ID: fmt.Sprintf("e%d", i), Pool: "p", Hall: "hall", Slots: places})
		}
		for i := range each {
			r := stream(node*each + i)
			c := choose(t, p, start, r)
			p.Start(start, c, r)
			at[c.Engine.ID]++
			most = max(most, at[c.Engine.ID])
		}
	}
	if most > places {
		t.Errorf("an engine has %d streams for %d places", most, places)
	}
}
