package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/feed"
)

// TestLeavingReportedInAnswers checks how long an engine counts as leaving after its answer or a peer said so, and which
// reports of a peer are accepted.
func TestLeavingReportedInAnswers(t *testing.T) {
	gone := feed.Row{Key: "a", Version: 2, Deleted: true}
	gossip := func(born int64) []discovery.GossipEntry { return []discovery.GossipEntry{{Engine: "a", Born: born}} }
	for _, test := range []struct {
		name     string
		update   func(d *discovery.Discovery)
		getsWork bool // getsWork is set if the engine is to get work then.
	}{
		{"nothing", func(*discovery.Discovery) {}, true},
		{"leaving", func(d *discovery.Discovery) { d.Leaves(start, "a", 1) }, false},
		{"entry renewed", func(d *discovery.Discovery) {
			d.Leaves(start, "a", 1)
			d.Apply(start, []feed.Row{startEntry("a", 1, false, 2)})
		}, false},
		{"entry deleted and restored", func(d *discovery.Discovery) {
			d.Leaves(start, "a", 1)
			d.Apply(start, []feed.Row{gone})
			d.Apply(start, []feed.Row{startEntry("a", 1, false, 3)})
		}, false},
		{"restarted", func(d *discovery.Discovery) {
			d.Leaves(start, "a", 1)
			d.Apply(start, []feed.Row{startEntry("a", 2, false, 2)})
		}, true},
		{"answer of an earlier incarnation", func(d *discovery.Discovery) {
			d.Apply(start, []feed.Row{startEntry("a", 2, false, 2)})
			d.Leaves(start, "a", 1)
		}, true},
		{"gossip", func(d *discovery.Discovery) { d.MergeGossip(start, gossip(1)) }, false},
		{"gossip about another incarnation", func(d *discovery.Discovery) { d.MergeGossip(start, gossip(7)) }, true},
		{"answer of an unknown engine", func(d *discovery.Discovery) { d.Leaves(start, "b", 1) }, true},
	} {
		got := engineStates{}
		d := discovery.New(decodeEngine, got, 2*time.Second, quiet)
		d.Apply(start, []feed.Row{startEntry("a", 1, false, 1)})
		test.update(d)
		if got["a"].Draining == test.getsWork {
			t.Errorf("%s: %+v", test.name, got["a"])
		}
		if list := d.GossipEntries(start.Add(time.Minute), time.Second); (len(list) == 1) == test.getsWork {
			t.Errorf("%s: gossip is %v", test.name, list)
		}
	}
}

// TestGossipOfLeavingEnginesIsBounded checks that a message is bounded and starts with the newest engines, and that
// engines without an entry are not sent.
func TestGossipOfLeavingEnginesIsBounded(t *testing.T) {
	const many = 200
	d := discovery.New(decodeEngine, engineStates{}, 2*time.Second, quiet)
	for i := range many {
		id := fmt.Sprint("e", i)
		d.Apply(start, []feed.Row{startEntry(id, 1, false, int64(i))})
		d.Leaves(start.Add(time.Duration(i)*time.Second), id, 1)
	}
	if list := d.GossipEntries(start.Add(many*time.Second), 2*time.Second); len(list) != 64 || list[0].Engine != "e199" {
		t.Errorf("%d engines in the message, the first is %v", len(list), list[0])
	}
	for i := range many {
		d.Apply(start, []feed.Row{{Key: fmt.Sprint("e", i), Version: many, Deleted: true}})
	}
	if list := d.GossipEntries(start.Add(many*time.Second), time.Second); len(list) > 0 {
		t.Errorf("%d engines without an entry in the message", len(list))
	}
}
