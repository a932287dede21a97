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
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

var (
	start = time.Unix(1000, 0)
	quiet = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// decode decodes the entries of the tests.
func decode(_ time.Time, r feed.Row) (placement.Engine, error) {
	e := placement.Engine{ID: r.Key}
	err := json.Unmarshal(r.Value, &e.Draining)
	return e, err
}

// workable records which engines get work.
type workable map[string]bool

func (e workable) Set(x placement.Engine) { e[x.ID] = !x.Draining }
func (e workable) Remove(id string)       { delete(e, id) }
func (e workable) Drain(id string)        { e[id] = false }

func entry(id string, draining bool, version int64) feed.Row {
	text, _ := json.Marshal(draining)
	return feed.Row{Key: id, Value: text, Version: version}
}

// TestDrainingEngineStaysDraining checks that an engine that is leaving gets no work if an entry says ready again,
// as after a read of outdated rows.
func TestDrainingEngineStaysDraining(t *testing.T) {
	got := workable{}
	d := discovery.New(decode, got, 2*time.Second, quiet)
	d.Apply(start, []feed.Row{entry("a", false, 1)})
	d.Apply(start, []feed.Row{entry("a", true, 2)})
	d.Apply(start, []feed.Row{entry("a", false, 3)})
	if got["a"] {
		t.Error("an engine that is leaving gets work again")
	}
}

// TestDeletedEntryRemovesTheEngineAtOnce checks that an engine without an entry gets no work
// if the store is available.
func TestDeletedEntryRemovesTheEngineAtOnce(t *testing.T) {
	got := workable{}
	d := discovery.New(decode, got, 2*time.Second, quiet)
	d.Apply(start, []feed.Row{entry("a", false, 1)})
	d.Apply(start, []feed.Row{{Key: "a", Version: 2, Deleted: true}})
	if len(got) != 0 {
		t.Errorf("still there: %v", got)
	}
}

// TestEntryDeletedDuringAStoreOutage checks that an engine whose entry expired during an outage is
// used until the entry could have come back, and is removed within two seconds if it does not.
func TestEntryDeletedDuringAStoreOutage(t *testing.T) {
	got := workable{}
	d := discovery.New(decode, got, 2*time.Second, quiet)
	d.Apply(start, []feed.Row{entry("back", false, 1), entry("gone", false, 2)})
	d.StoreUnavailable(start)
	after := start.Add(500 * time.Millisecond)
	d.Apply(after, []feed.Row{{Key: "back", Version: 3, Deleted: true}, {Key: "gone", Version: 4, Deleted: true}})
	if !got["back"] || !got["gone"] {
		t.Fatalf("dropped at once: %v", got)
	}
	d.Apply(after.Add(time.Second), []feed.Row{entry("back", false, 5)})
	d.Expire(after.Add(2 * time.Second))
	if !got["back"] || got["gone"] {
		t.Errorf("after two seconds: %v, want only the one that came back", got)
	}
	d.Apply(after.Add(3*time.Second), []feed.Row{{Key: "back", Version: 6, Deleted: true}})
	if got["back"] {
		t.Error("an engine is used though its entry was deleted while the store was available")
	}
}

// TestManyEntriesAreLoggedInOneLine checks that a large batch is logged in one line, and a small one entry by
// entry.
func TestManyEntriesAreLoggedInOneLine(t *testing.T) {
	var out bytes.Buffer
	d := discovery.New(decode, workable{}, 2*time.Second, slog.New(slog.NewJSONHandler(&out, nil)))
	var rows []feed.Row
	for i := range 300 {
		rows = append(rows, entry(fmt.Sprint("e", i), i < 2, int64(i)))
	}
	d.Apply(start, rows)
	if lines := strings.Count(out.String(), "\n"); lines != 1 || !strings.Contains(out.String(), `"taken":300,"draining":2`) {
		t.Errorf("%d lines for 300 engines: %.300s", lines, out.String())
	}
	out.Reset()
	d.Apply(start, rows[:3])
	if lines := strings.Count(out.String(), "\n"); lines != 3 {
		t.Errorf("%d lines for 3 engines", lines)
	}
}

// engineStates holds the engines as last set.
type engineStates map[string]placement.Engine

func (l engineStates) Set(e placement.Engine) { l[e.ID] = e }
func (l engineStates) Remove(id string)       { delete(l, id) }

func (l engineStates) Drain(id string) {
	e := l[id]
	e.Draining = true
	l[id] = e
}

// startEntry returns an entry of an engine with a start time; 0 if it reports none.
func startEntry(id string, born int64, draining bool, version int64) feed.Row {
	text, _ := json.Marshal(placement.Engine{ID: id, Incarnation: born, Draining: draining})
	return feed.Row{Key: id, Value: text, Version: version}
}

// decodeEngine decodes the entries of startEntry.
func decodeEngine(_ time.Time, r feed.Row) (placement.Engine, error) {
	var e placement.Engine
	err := json.Unmarshal(r.Value, &e)
	return e, err
}

// TestRestartedEngineGetsWork checks that an engine that was leaving gets work again after a restart, that SinceVersion is
// the version of the incarnation's first entry, and that later entries of the incarnation don't change it. Incarnations are
// compared for equality only, not by order.
func TestRestartedEngineGetsWork(t *testing.T) {
	got := engineStates{}
	d := discovery.New(decodeEngine, got, 2*time.Second, quiet)
	for i, step := range []struct {
		born     int64
		draining bool
		want     placement.Engine
	}{
		{100, false, placement.Engine{ID: "e", Incarnation: 100, Since: history.Position{Version: 1}}},
		{100, true, placement.Engine{ID: "e", Incarnation: 100, Since: history.Position{Version: 1}, Draining: true}},
		{100, false, placement.Engine{ID: "e", Incarnation: 100, Since: history.Position{Version: 1}, Draining: true}},
		{50, false, placement.Engine{ID: "e", Incarnation: 50, Since: history.Position{Version: 4}}},
		{50, false, placement.Engine{ID: "e", Incarnation: 50, Since: history.Position{Version: 4}}},
		{100, true, placement.Engine{ID: "e", Incarnation: 100, Since: history.Position{Version: 6}, Draining: true}},
	} {
		d.Apply(start, []feed.Row{startEntry("e", step.born, step.draining, int64(i+1))})
		if got["e"] != step.want {
			t.Errorf("entry %d: %+v, want %+v", i+1, got["e"], step.want)
		}
	}
	d.Apply(start, []feed.Row{{Key: "e", Version: 7, Deleted: true}})
	d.Apply(start, []feed.Row{startEntry("e", 100, false, 8)})
	if !got["e"].Draining {
		t.Error("an engine that was leaving gets work again after its entry came back, without a restart")
	}
}

// TestInvalidEntryRemovesTheEngine checks that an engine gets no work if its entry becomes invalid or
// lacks its start time, that other engines of the same batch are kept, that a valid entry restores it, and that
// rejections are counted and logged, up to a maximum number of lines.
func TestInvalidEntryRemovesTheEngine(t *testing.T) {
	var out bytes.Buffer
	got := engineStates{}
	d := discovery.New(decodeEngine, got, 2*time.Second, slog.New(slog.NewJSONHandler(&out, nil)))
	d.Apply(start, []feed.Row{startEntry("a", 1, false, 1), startEntry("b", 1, false, 2), startEntry("c", 1, false, 3)})
	out.Reset()
	d.Apply(start, []feed.Row{{Key: "a", Value: []byte{0xff, 0}, Version: 4}, startEntry("c", 0, false, 5), startEntry("d", 1, false, 6)})
	if _, a := got["a"]; a || len(got) != 2 || got["d"].ID == "" {
		t.Errorf("engines that get work: %v, want b and d", got)
	}
	if lines := strings.Count(out.String(), "not understood"); lines != 2 || d.Refused() != 2 {
		t.Errorf("%d lines and a count of %d for two invalid entries: %s", lines, d.Refused(), out.String())
	}
	d.Apply(start, []feed.Row{startEntry("a", 1, false, 7)})
	if got["a"].ID == "" {
		t.Error("an engine gets no work although its entry is valid again")
	}
	var many []feed.Row
	for i := range 300 {
		many = append(many, feed.Row{Key: fmt.Sprint("x", i), Value: []byte("no"), Version: int64(100 + i)})
	}
	out.Reset()
	d.Apply(start, many)
	if lines := strings.Count(out.String(), "\n"); lines > 30 || !strings.Contains(out.String(), `"refused":300`) {
		t.Errorf("%d lines for 300 invalid entries: %.300s", lines, out.String())
	}
}
