package feed_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
)

var (
	start = time.Unix(1000, 0)
	quiet = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// sink is a consumer that records the rows it receives.
type sink struct {
	mu    sync.Mutex
	rows  map[string]feed.Row
	stale int // stale counts rows no newer than the one received before
}

func (s *sink) take(_ time.Time, rows []feed.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil {
		s.rows = map[string]feed.Row{}
	}
	for _, r := range rows {
		if r.Version <= s.rows[r.Key].Version {
			s.stale++
		}
		s.rows[r.Key] = r
	}
}

// live returns the values of the rows that are not deleted.
func (s *sink) live() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for k, r := range s.rows {
		if !r.Deleted {
			out[k] = string(r.Value)
		}
	}
	return out
}

func row(key, value string, version int64) feed.Row {
	return feed.Row{Table: "t", Key: key, Value: []byte(value), Version: version}
}

// TestOlderRowsNeverReplaceNewer checks that an older row never replaces a newer
// one, whatever the order and the method of the update.
func TestOlderRowsNeverReplaceNewer(t *testing.T) {
	s := &sink{}
	table := feed.NewTable("t", s.take)
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("a", "1", 1), row("b", "1", 2)}, Version: 5})
	table.Apply(start, []feed.Row{row("a", "3", 9)})
	table.Apply(start, []feed.Row{row("a", "2", 7)})
	table.Apply(start, []feed.Row{{Table: "t", Key: "b", Version: 8, Deleted: true}})
	table.Apply(start, []feed.Row{row("b", "1", 2)})
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("a", "1", 1)}, Version: 6})
	if got := s.live(); len(got) != 1 || got["a"] != "3" || s.stale > 0 {
		t.Errorf("got %v, %d stale rows", got, s.stale)
	}
}

// TestReplaceDropsMissingRows checks that Replace drops a row that was deleted while
// history was lost, and keeps one written since.
func TestReplaceDropsMissingRows(t *testing.T) {
	s := &sink{}
	table := feed.NewTable("t", s.take)
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("a", "1", 1), row("b", "1", 2)}, Version: 3})
	table.Apply(start, []feed.Row{row("c", "1", 20)})
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("a", "1", 1)}, Version: 10})
	if got := s.live(); len(got) != 2 || got["a"] == "" || got["c"] == "" {
		t.Errorf("got %v, want a and c", got)
	}
}

// TestStaleTableRestoresNoDeletedRow guards against a deleted row that comes back for good with a table that a peer had sent before the node
// read the store.
func TestStaleTableRestoresNoDeletedRow(t *testing.T) {
	s := &sink{}
	table := feed.NewTable("t", s.take)
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("a", "1", 3)}, Version: 10})
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("gone", "1", 1), row("a", "1", 3)}, Version: 4})
	table.Apply(start, []feed.Row{row("gone", "2", 9), row("b", "1", 11)})
	if got := s.live(); len(got) != 2 || got["gone"] != "" {
		t.Errorf("got %v, want a and b", got)
	}
}

// directCaller calls followers without a network.
type directCaller map[string]*feed.Follower

func (d directCaller) Call(ctx context.Context, address, _ string, params, result any) error {
	f := d[address]
	if f == nil {
		return errors.New("not there")
	}
	reply, err := f.HandleTable(ctx, params.(*feed.TableRequest))
	if err != nil {
		return err
	}
	text, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// TestFollowersConverge checks for 30 seeds that nodes which learn of versions only
// from each other, including nodes without the table yet, end with the same table.
func TestFollowersConverge(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		net := directCaller{}
		var tables []*feed.Table
		var sinks []*sink
		for i := range 5 {
			s := &sink{}
			table := feed.NewTable("t", s.take)
			net[fmt.Sprint(i)] = feed.NewFollower(fmt.Sprint(i), net, quiet, table)
			tables, sinks = append(tables, table), append(sinks, s)
		}
		truth := map[string]string{}
		version := int64(0)
		tables[0].Replace(start, feed.Snapshot{Version: version})
		for step := range 60 {
			version++
			key := fmt.Sprint("k", rnd.IntN(8))
			if rnd.IntN(3) == 0 {
				delete(truth, key)
				tables[0].Apply(start, []feed.Row{{Table: "t", Key: key, Version: version, Deleted: true}})
			} else {
				truth[key] = fmt.Sprint(step)
				tables[0].Apply(start, []feed.Row{row(key, fmt.Sprint(step), version)})
			}
			deliverVersions(net, rnd.IntN(5), rnd.IntN(5))
		}
		for range 5 {
			for i := range 5 {
				deliverVersions(net, 0, i)
			}
		}
		for i, s := range sinks {
			if got := s.live(); fmt.Sprint(got) != fmt.Sprint(truth) || s.stale > 0 {
				t.Errorf("seed %d: node %d has %v, want %v; %d stale rows", seed, i, got, truth, s.stale)
			}
		}
	}
}

// deliverVersions tells one node another's versions and waits for its fetches.
func deliverVersions(net directCaller, from, to int) {
	f := net[fmt.Sprint(to)]
	f.Observe(start, fmt.Sprint(from), net[fmt.Sprint(from)].Announcement())
	f.Wait()
}

// scriptedSource is a source whose replies are set by a test.
type scriptedSource struct {
	mu    sync.Mutex
	calls []string
	reply func(call string) (feed.Snapshot, error)
}

func (s *scriptedSource) call(call string) (feed.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return s.reply(call)
}

func (s *scriptedSource) List(context.Context, string, string) (feed.Snapshot, error) {
	return s.call("list")
}

func (s *scriptedSource) Changes(_ context.Context, _ string, after int64, _ time.Duration) (feed.Snapshot, error) {
	return s.call(fmt.Sprint("after ", after))
}

// TestReaderRereadsLostHistory checks that the reader lists the full table after
// history is gone, that a row deleted in the gap is dropped, and that OnSuccess is
// called only for successful calls.
func TestReaderRereadsLostHistory(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sink{}
	successes, failures := 0, 0
	source := &scriptedSource{}
	source.reply = func(call string) (feed.Snapshot, error) {
		switch len(source.calls) {
		case 1:
			return feed.Snapshot{Rows: []feed.Row{row("a", "1", 1), row("b", "1", 2)}, Version: 4}, nil
		case 2:
			return feed.Snapshot{}, fmt.Errorf("wrapped: %w", feed.ErrHistoryGone)
		case 3:
			return feed.Snapshot{}, feed.ErrUnavailable
		case 4:
			return feed.Snapshot{Rows: []feed.Row{row("a", "2", 8)}, Version: 9}, nil
		}
		cancel()
		return feed.Snapshot{Version: 9}, nil
	}
	r := &feed.Reader{
		Table: feed.NewTable("t", s.take), Source: source, ShouldRead: func(time.Time) bool { return true },
		OnSuccess: func(time.Time) { successes++ }, OnFailure: func(time.Time) { failures++ }, Log: quiet,
	}
	r.Run(ctx)
	if got := fmt.Sprint(source.calls); got != "[list after 4 list list after 9]" {
		t.Errorf("calls %s", got)
	}
	if got := s.live(); len(got) != 1 || got["a"] != "2" || failures != 1 || successes != 3 {
		t.Errorf("got %v, %d failures, %d successes", got, failures, successes)
	}
}

// TestReaderPausesIfHistoryStaysLost guards against full reads without a pause where the store has less history than it says.
func TestReaderPausesIfHistoryStaysLost(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	source := &scriptedSource{}
	source.reply = func(call string) (feed.Snapshot, error) {
		if call == "list" {
			return feed.Snapshot{Version: 9}, nil
		}
		return feed.Snapshot{}, feed.ErrHistoryGone
	}
	r := &feed.Reader{Table: feed.NewTable("t", (&sink{}).take), Source: source, ShouldRead: func(time.Time) bool { return true }, OnFailure: func(time.Time) {}, Log: quiet}
	r.Run(ctx)
	if got := len(source.calls); got > 14 {
		t.Errorf("%d calls in 0.3 s", got)
	}
}

// TestDeletionsInLostHistoryReachPeers checks that a node which reread its full table
// passes on to its peers a deletion that it never saw itself.
func TestDeletionsInLostHistoryReachPeers(t *testing.T) {
	mine, theirs := &sink{}, &sink{}
	a, b := feed.NewTable("t", mine.take), feed.NewTable("t", theirs.take)
	a.Replace(start, feed.Snapshot{Rows: []feed.Row{row("x", "1", 1)}, Version: 1})
	b.Replace(start, feed.Snapshot{Rows: []feed.Row{row("x", "1", 1)}, Version: 1})
	b.Apply(start, []feed.Row{row("y", "1", 5)}) // Only the peer saw y before it was deleted.
	a.Replace(start, feed.Snapshot{Rows: []feed.Row{row("x", "2", 9)}, Version: 9})
	net := directCaller{"a": feed.NewFollower("a", directCaller{}, quiet, a)}
	f := feed.NewFollower("b", net, quiet, b)
	f.Observe(start, "a", feed.Announcement{Versions: map[string]int64{"t": 9}})
	f.Wait()
	if got := theirs.live(); len(got) != 1 || got["x"] != "2" {
		t.Errorf("the peer has %v, want only x", got)
	}
}

// TestChangesAreBatched checks that changes in quick succession are fetched in few
// calls, and that the last of them is fetched.
func TestChangesAreBatched(t *testing.T) {
	const changes = 40
	ctx, cancel := context.WithCancel(context.Background())
	begin := time.Now()
	source := &scriptedSource{}
	source.reply = func(call string) (feed.Snapshot, error) {
		newest := min(1+int64(time.Since(begin)/(5*time.Millisecond)), changes) // One change each 5 ms.
		if newest == changes {
			cancel()
		}
		return feed.Snapshot{Rows: []feed.Row{row("a", fmt.Sprint(newest), newest)}, Version: newest}, nil
	}
	s := &sink{}
	r := &feed.Reader{
		Table: feed.NewTable("t", s.take), Source: source, ShouldRead: func(time.Time) bool { return true }, OnFailure: func(time.Time) {}, Log: quiet,
	}
	r.Run(ctx)
	if got := len(source.calls); got > 8 || s.live()["a"] != fmt.Sprint(changes) {
		t.Errorf("%d calls for %d changes in 200 ms, the last is %v", got, changes, s.live())
	}
}
