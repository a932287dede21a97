package discovery_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/placement"
)

// TestLeaveTimes guards against a wrong time until which a draining engine is used: it comes from the
// entry, the settings or the platform's promise, counts from the first entry, and is unknown if the
// entry may be old. The last time to send counts from when the store may have accepted the entry.
func TestLeaveTimes(t *testing.T) {
	const ms = time.Millisecond
	draining := func(spot bool, leavesAfter time.Duration) placement.Engine {
		e := placement.Engine{ID: "e", Incarnation: 1, Draining: true, Spot: spot}
		if leavesAfter > 0 {
			e.LeavesAt = start.Add(leavesAfter)
		}
		return e
	}
	ready := placement.Engine{ID: "e", Incarnation: 1}
	type step struct {
		after time.Duration
		entry placement.Engine
		age   time.Duration // age is how long before that the store may have accepted the entry; negative if unknown.
	}
	for _, test := range []struct {
		name               string
		notice             time.Duration
		steps              []step
		then               func(d *discovery.Discovery)
		leavesAt, lastSend time.Duration // These are after the start; 0 if unknown.
	}{
		{"entry says", 2000 * ms, []step{{0, draining(true, 900*ms), 100 * ms}}, nil, 900 * ms, 1400 * ms},
		{"spot engine", 2000 * ms, []step{{0, draining(true, 0), 100 * ms}}, nil, 2000 * ms, 1400 * ms},
		{"spot engine, notice unknown", 0, []step{{0, draining(true, 0), 0}}, nil, 0, 0},
		{"planned end", 0, []step{{0, draining(false, 0), 0}}, nil, 2000 * ms, 1500 * ms},
		{"old entry", 2000 * ms, []step{{0, draining(true, 0), 800 * ms}}, nil, 0, 0},
		{"age unknown", 2000 * ms, []step{{0, draining(true, 0), -1}}, nil, 0, 0},
		{"later entry extends it", 2000 * ms, []step{{0, draining(true, 0), 0}, {time.Second, ready, 0}, {time.Second, draining(true, 9*time.Second), 0}}, nil, 2000 * ms, 1500 * ms},
		{"later entry after an old one", 2000 * ms, []step{{0, draining(true, 0), -1}, {100 * ms, draining(true, time.Second), 0}}, nil, 0, 0},
		{"later entry brings it forward", 2000 * ms, []step{{0, draining(true, 0), 0}, {100 * ms, draining(true, time.Second), 0}}, nil, time.Second, 1500 * ms},
		{"later entry is read late", 2000 * ms, []step{{0, draining(true, 0), 50 * ms}, {950 * ms, draining(true, time.Second), 50 * ms}}, nil, time.Second, 1450 * ms},
		{"announced in an answer", 2000 * ms, []step{{0, draining(true, 0), 0}}, func(d *discovery.Discovery) {
			d.Leaves(start, "e", 1)
			d.Apply(start, []feed.Row{engineRow(draining(true, 0), 9, start)})
		}, 0, 0},
		{"entry gone and back", 2000 * ms, []step{{0, draining(true, 0), 0}}, func(d *discovery.Discovery) {
			d.Apply(start, []feed.Row{{Key: "e", Version: 8, Deleted: true}})
			d.Apply(start.Add(time.Second), []feed.Row{engineRow(draining(true, 0), 9, start.Add(time.Second))})
		}, 2000 * ms, 1500 * ms},
		{"restarted", 2000 * ms, []step{{0, draining(true, 0), 0}, {time.Second, placement.Engine{ID: "e", Incarnation: 2}, 0}}, nil, 0, 0},
	} {
		got := engineStates{}
		d := discovery.New(decodeEngine, got, 2*time.Second, quiet, discovery.WithSpotNotice(test.notice))
		for i, s := range test.steps {
			now := start.Add(s.after)
			r := engineRow(s.entry, int64(i+1), now.Add(-s.age))
			if s.age < 0 {
				r.AcceptedAfter = time.Time{}
			}
			d.Apply(now, []feed.Row{r})
		}
		if test.then != nil {
			test.then(d)
		}
		since := func(at time.Time) time.Duration {
			if at.IsZero() {
				return 0
			}
			return at.Sub(start)
		}
		e := got["e"]
		if since(e.LeavesAt) != test.leavesAt || since(e.LastSend) != test.lastSend {
			t.Errorf("%s: leaves at %v, last request at %v", test.name, since(e.LeavesAt), since(e.LastSend))
		}
		// What must end before the engine does counts from when the entry may have been written.
		if age := max(0, test.steps[0].age); !e.LastSend.IsZero() && since(e.ServesUntil) != test.leavesAt-age {
			t.Errorf("%s: serves until %v, the entry was %v old", test.name, since(e.ServesUntil), age)
		}
	}
}

// engineRow returns the row of an engine that the store accepted after a time.
func engineRow(e placement.Engine, version int64, acceptedAfter time.Time) feed.Row {
	text, _ := json.Marshal(e)
	return feed.Row{Key: e.ID, Value: text, Version: version, AcceptedAfter: acceptedAfter}
}
