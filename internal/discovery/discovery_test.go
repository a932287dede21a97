package discovery_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/discovery"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/placement"
)

var (
	start = time.Unix(1000, 0)
	quiet = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// decode reads the test's own entries.
func decode(_ time.Time, r feed.Row) (placement.Engine, error) {
	e := placement.Engine{ID: r.Key}
	err := json.Unmarshal(r.Value, &e.Draining)
	return e, err
}

// engines keeps which engines get work.
type engines map[string]bool

func (e engines) Set(x placement.Engine) { e[x.ID] = !x.Draining }
func (e engines) Remove(id string)       { delete(e, id) }
func (e engines) Drain(id string)        { e[id] = false }

func entry(id string, draining bool, version int64) feed.Row {
	text, _ := json.Marshal(draining)
	return feed.Row{Key: id, Value: text, Version: version}
}

// TestDrainingEngineNeverComesBack holds that an entry which says ready again,
// as after a read of old rows, gives a leaving engine no work.
func TestDrainingEngineNeverComesBack(t *testing.T) {
	got := engines{}
	d := discovery.New(decode, got, 2*time.Second, quiet)
	d.Take(start, []feed.Row{entry("a", false, 1)})
	d.Take(start, []feed.Row{entry("a", true, 2)})
	d.Take(start, []feed.Row{entry("a", false, 3)})
	if got["a"] {
		t.Error("a leaving engine gets work again")
	}
}

// TestEntryGoneIsDroppedAtOnce holds that an engine without entry gets no work
// where the store is well.
func TestEntryGoneIsDroppedAtOnce(t *testing.T) {
	got := engines{}
	d := discovery.New(decode, got, 2*time.Second, quiet)
	d.Take(start, []feed.Row{entry("a", false, 1)})
	d.Take(start, []feed.Row{{Key: "a", Version: 2, Deleted: true}})
	if len(got) != 0 {
		t.Errorf("still there: %v", got)
	}
}

// TestEntryLapsedWhileTheStoreWasAway holds that an engine whose entry lapsed is
// used until its entry could have come back, and dropped within two seconds if it
// does not.
func TestEntryLapsedWhileTheStoreWasAway(t *testing.T) {
	got := engines{}
	d := discovery.New(decode, got, 2*time.Second, quiet)
	d.Take(start, []feed.Row{entry("back", false, 1), entry("gone", false, 2)})
	d.Lost(start)
	after := start.Add(500 * time.Millisecond)
	d.Take(after, []feed.Row{{Key: "back", Version: 3, Deleted: true}, {Key: "gone", Version: 4, Deleted: true}})
	if !got["back"] || !got["gone"] {
		t.Fatalf("dropped at once: %v", got)
	}
	d.Take(after.Add(time.Second), []feed.Row{entry("back", false, 5)})
	d.Expire(after.Add(2 * time.Second))
	if !got["back"] || got["gone"] {
		t.Errorf("after two seconds: %v, want only the one that came back", got)
	}
	d.Take(after.Add(3*time.Second), []feed.Row{{Key: "back", Version: 6, Deleted: true}})
	if got["back"] {
		t.Error("an entry that goes later, the store being well, still counts")
	}
}

// TestManyEnginesAreOneLine holds that a table that is taken at a start is logged in one
// line, and a few changes one by one.
func TestManyEnginesAreOneLine(t *testing.T) {
	var out bytes.Buffer
	d := discovery.New(decode, engines{}, 2*time.Second, slog.New(slog.NewJSONHandler(&out, nil)))
	var rows []feed.Row
	for i := range 300 {
		rows = append(rows, entry(fmt.Sprint("e", i), i < 2, int64(i)))
	}
	d.Take(start, rows)
	if lines := strings.Count(out.String(), "\n"); lines != 1 || !strings.Contains(out.String(), `"taken":300,"draining":2`) {
		t.Errorf("%d lines for 300 engines: %.300s", lines, out.String())
	}
	out.Reset()
	d.Take(start, rows[:3])
	if lines := strings.Count(out.String(), "\n"); lines != 3 {
		t.Errorf("%d lines for 3 engines", lines)
	}
}

// lives keeps the engines as they were set last.
type lives map[string]placement.Engine

func (l lives) Set(e placement.Engine) { l[e.ID] = e }
func (l lives) Remove(id string)       { delete(l, id) }

func (l lives) Drain(id string) {
	e := l[id]
	e.Draining = true
	l[id] = e
}

// bornEntry returns an entry of an incarnation of an engine; 0 is of one that does not tell.
func bornEntry(id string, born int64, draining bool, version int64) feed.Row {
	text, _ := json.Marshal(placement.Engine{ID: id, Incarnation: born, Draining: draining})
	return feed.Row{Key: id, Value: text, Version: version}
}

// decodeBorn reads such entries.
func decodeBorn(_ time.Time, r feed.Row) (placement.Engine, error) {
	var e placement.Engine
	err := json.Unmarshal(r.Value, &e)
	return e, err
}

// TestAnEngineThatStartsAgainMayTakeWork holds that an engine which said that it leaves gets work again
// once it has started again, since which entry that is known, and that an entry of the present
// incarnation does not change it. Starts are told apart by being others, not by their order.
func TestAnEngineThatStartsAgainMayTakeWork(t *testing.T) {
	got := lives{}
	d := discovery.New(decodeBorn, got, 2*time.Second, quiet)
	for i, step := range []struct {
		born     int64
		draining bool
		want     placement.Engine
	}{
		{100, false, placement.Engine{ID: "e", Incarnation: 100, SinceVersion: 1}},
		{100, true, placement.Engine{ID: "e", Incarnation: 100, SinceVersion: 1, Draining: true}},
		{100, false, placement.Engine{ID: "e", Incarnation: 100, SinceVersion: 1, Draining: true}},
		{50, false, placement.Engine{ID: "e", Incarnation: 50, SinceVersion: 4}},
		{50, false, placement.Engine{ID: "e", Incarnation: 50, SinceVersion: 4}},
		{100, true, placement.Engine{ID: "e", Incarnation: 100, SinceVersion: 6, Draining: true}},
	} {
		d.Take(start, []feed.Row{bornEntry("e", step.born, step.draining, int64(i+1))})
		if got["e"] != step.want {
			t.Errorf("entry %d: %+v, want %+v", i+1, got["e"], step.want)
		}
	}
	d.Take(start, []feed.Row{{Key: "e", Version: 7, Deleted: true}})
	d.Take(start, []feed.Row{bornEntry("e", 100, false, 8)})
	if !got["e"].Draining {
		t.Error("a leaving engine whose entry was away gets work again, though it has not started again")
	}
}

// TestAnEntryOfAnotherWriterNamesNoEngine holds that an engine whose entry can't be understood any more, or
// lacks its start, gets no work, that the others in the same answer hold, that it gets work again by
// a good entry, and that there is one line for each such change, with a bound, and a count.
func TestAnEntryOfAnotherWriterNamesNoEngine(t *testing.T) {
	var out bytes.Buffer
	got := lives{}
	d := discovery.New(decodeBorn, got, 2*time.Second, slog.New(slog.NewJSONHandler(&out, nil)))
	d.Take(start, []feed.Row{bornEntry("a", 1, false, 1), bornEntry("b", 1, false, 2), bornEntry("c", 1, false, 3)})
	out.Reset()
	d.Take(start, []feed.Row{{Key: "a", Value: []byte{0xff, 0}, Version: 4}, bornEntry("c", 0, false, 5), bornEntry("d", 1, false, 6)})
	if _, a := got["a"]; a || len(got) != 2 || got["d"].ID == "" {
		t.Errorf("engines that get work: %v, want b and d", got)
	}
	if lines := strings.Count(out.String(), "not understood"); lines != 2 || d.Refused() != 2 {
		t.Errorf("%d lines and a count of %d for two entries: %s", lines, d.Refused(), out.String())
	}
	d.Take(start, []feed.Row{bornEntry("a", 1, false, 7)})
	if got["a"].ID == "" {
		t.Error("an engine with a good entry again gets no work")
	}
	var many []feed.Row
	for i := range 300 {
		many = append(many, feed.Row{Key: fmt.Sprint("x", i), Value: []byte("no"), Version: int64(100 + i)})
	}
	out.Reset()
	d.Take(start, many)
	if lines := strings.Count(out.String(), "\n"); lines > 30 || !strings.Contains(out.String(), `"refused":300`) {
		t.Errorf("%d lines for 300 entries that can't be understood: %.300s", lines, out.String())
	}
}
