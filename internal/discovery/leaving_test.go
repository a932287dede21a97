package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/feed"
)

// TestWhatAnAnswerSaysOfLeaving holds what keeps and what ends an engine's word that it leaves, and who believes a peer's.
func TestLeavingReportedInAnswers(t *testing.T) {
	gone := feed.Row{Key: "a", Version: 2, Deleted: true}
	told := func(born int64) []discovery.GossipEntry { return []discovery.GossipEntry{{Engine: "a", Born: born}} }
	for _, test := range []struct {
		name  string
		said  func(d *discovery.Discovery)
		works bool // works says that the engine gets work then.
	}{
		{"nothing", func(*discovery.Discovery) {}, true},
		{"it leaves", func(d *discovery.Discovery) { d.Leaves(start, "a", 1) }, false},
		{"its entry is renewed", func(d *discovery.Discovery) {
			d.Leaves(start, "a", 1)
			d.Apply(start, []feed.Row{startEntry("a", 1, false, 2)})
		}, false},
		{"its entry goes and comes", func(d *discovery.Discovery) {
			d.Leaves(start, "a", 1)
			d.Apply(start, []feed.Row{gone})
			d.Apply(start, []feed.Row{startEntry("a", 1, false, 3)})
		}, false},
		{"it starts again", func(d *discovery.Discovery) {
			d.Leaves(start, "a", 1)
			d.Apply(start, []feed.Row{startEntry("a", 2, false, 2)})
		}, true},
		{"an answer of its former life", func(d *discovery.Discovery) {
			d.Apply(start, []feed.Row{startEntry("a", 2, false, 2)})
			d.Leaves(start, "a", 1)
		}, true},
		{"a peer's word", func(d *discovery.Discovery) { d.MergeGossip(start, told(1)) }, false},
		{"a peer's word of a former life", func(d *discovery.Discovery) { d.MergeGossip(start, told(7)) }, true},
		{"a word of an engine that is not known", func(d *discovery.Discovery) { d.Leaves(start, "b", 1) }, true},
	} {
		got := engineStates{}
		d := discovery.New(decodeEngine, got, 2*time.Second, quiet)
		d.Apply(start, []feed.Row{startEntry("a", 1, false, 1)})
		test.said(d)
		if got["a"].Draining == test.works {
			t.Errorf("%s: %+v", test.name, got["a"])
		}
		if list := d.GossipEntries(start.Add(time.Minute), time.Second); (len(list) == 1) == test.works {
			t.Errorf("%s: peers are told %v", test.name, list)
		}
	}
}

// TestWhatPeersAreToldOfLeavingIsBounded holds that a message has no more engines than it may, the newest first, and that what is
// told ends with the engines' entries.
func TestGossipOfLeavingEnginesIsBounded(t *testing.T) {
	const many = 200
	d := discovery.New(decodeEngine, engineStates{}, 2*time.Second, quiet)
	for i := range many {
		id := fmt.Sprint("e", i)
		d.Apply(start, []feed.Row{startEntry(id, 1, false, int64(i))})
		d.Leaves(start.Add(time.Duration(i)*time.Second), id, 1)
	}
	if list := d.GossipEntries(start.Add(many*time.Second), 2*time.Second); len(list) != 64 || list[0].Engine != "e199" {
		t.Errorf("%d engines are told of, first %v", len(list), list[0])
	}
	for i := range many {
		d.Apply(start, []feed.Row{{Key: fmt.Sprint("e", i), Version: many, Deleted: true}})
	}
	if list := d.GossipEntries(start.Add(many*time.Second), time.Second); len(list) > 0 {
		t.Errorf("%d engines are told of that are gone", len(list))
	}
}
