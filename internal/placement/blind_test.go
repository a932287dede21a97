package placement_test

import (
	"testing"
	"time"
)

// What was seen: of 87 nodes 48 lost power and started again together. Within 0.7 s of their start two of 112 engines of 12 places
// had 20 requests each, all of them streams that are kept apart, and 26 requests were put back, 11 of them while less urgent ones ran
// on beside them. The cause: a node that has just started knows no work but its own, so that all such nodes gathered their streams on
// the same first engines; and since those seemed empty to them, their requests kept their own urgency there, and put back
// others that nodes which knew of the work had sent with the last one. The evidence: the starts and sendings in the nodes' lines of
// a play of the same day, in which 23 were put back.

// TestNodesThatStartTogetherSpreadTheirStreams holds that streams of many nodes that have just started do not gather on
// one engine beyond its places, that they put no other back, and that streams gather once others' work can be known.
func TestNodesThatStartTogetherSpreadTheirStreams(t *testing.T) {
	const nodes, each, places = 48, 2, 12
	at, scarce := map[string]int{}, 0
	for node := range nodes {
		p := newPlacement(112)
		p.Blind(start.Add(time.Second))
		for i := range each {
			r := stream(node*each + i)
			c := choose(t, p, start, r)
			p.Start(start, c, r)
			at[c.Engine.ID]++
			if c.Scarce {
				scarce++
			}
		}
	}
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	if most > places || scarce != nodes*each {
		t.Errorf("an engine has %d streams for %d places, %d of %d with the last urgency", most, places, scarce, nodes*each)
	}
	ended, never := newPlacement(112), newPlacement(112)
	ended.Blind(start)
	for i := range 8 {
		r := stream(i)
		got, want := choose(t, ended, start, r), choose(t, never, start, r)
		if got != want {
			t.Errorf("stream %d goes to %+v once others' work can be known, want %+v", i, got, want)
		}
		ended.Start(start, got, r)
		never.Start(start, want, r)
	}
}
