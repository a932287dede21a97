package feed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
)

// copiedStore is a store that can come back from an older copy of itself.
type copiedStore struct {
	era, version int64
	rows         map[string]feed.Row
	changes      []feed.Row
}

func newCopiedStore() *copiedStore { return &copiedStore{rows: map[string]feed.Row{}} }

// put writes a row, or deletes it if the value is empty.
func (s *copiedStore) put(key, value string) {
	s.version++
	r := row(key, value, s.version)
	r.Deleted = value == ""
	if s.changes = append(s.changes, r); r.Deleted {
		delete(s.rows, key)
		return
	}
	s.rows[key] = r
}

// goBack loses all transactions after a version.
func (s *copiedStore) goBack(to int64) {
	old := s.changes
	s.era, s.version, s.rows, s.changes = s.era+1, 0, map[string]feed.Row{}, nil
	for _, r := range old {
		if r.Version <= to {
			s.put(r.Key, string(r.Value))
		}
	}
}

// snapshot returns an answer with rows.
func (s *copiedStore) snapshot(rows []feed.Row) feed.Snapshot {
	return feed.Snapshot{Rows: rows, Era: s.era, Version: s.version, AsOf: start}
}

func (s *copiedStore) List(context.Context, string, string) (feed.Snapshot, error) {
	var all []feed.Row
	for _, r := range s.rows {
		all = append(all, r)
	}
	return s.snapshot(all), nil
}

func (s *copiedStore) Changes(_ context.Context, _ string, after int64, _ time.Duration) (feed.Snapshot, error) {
	if after > s.version {
		return feed.Snapshot{}, fmt.Errorf("after %d: %w", after, feed.ErrHistoryGone)
	}
	var out []feed.Row
	for _, r := range s.changes {
		if r.Version > after {
			out = append(out, r)
		}
	}
	return s.snapshot(out), nil
}

// TestRowsWrittenAfterAReturnAreTaken guards against rows missed because their versions are lower after a return.
func TestRowsWrittenAfterAReturnAreTaken(t *testing.T) {
	for _, test := range []struct {
		name    string
		filling int // filling is how many transactions follow before the next read; six make it one without a 410.
	}{{"with a 410", 0}, {"without a 410", 6}} {
		store, got := newCopiedStore(), &sink{}
		for i := range 10 {
			store.put("k", fmt.Sprint(i))
		}
		reader := &feed.Reader{Table: feed.NewTable("t", got.take), Source: store, Log: quiet, OnFailure: func(time.Time) {}}
		read := func() {
			for range 4 { // A 410 takes one more call.
				if err := reader.Read(context.Background()); err != nil {
					t.Logf("%s: %v", test.name, err)
				}
			}
		}
		read()
		store.goBack(5)
		store.put("k", "written after the return")
		store.put("new", "1")
		for i := range test.filling {
			store.put("filling", fmt.Sprint(i))
		}
		read()
		if live := got.live(); live["k"] != "written after the return" || live["new"] != "1" {
			t.Errorf("%s: the table has %v", test.name, live)
		}
	}
}

// TestOlderReleasesAreNotFollowedAfterAReturn guards against older rows from a node that knows no eras.
func TestOlderReleasesAreNotFollowedAfterAReturn(t *testing.T) {
	got, net := &sink{}, directCaller{}
	table := feed.NewTable("t", got.take)
	net["new"] = feed.NewFollower("new", net, quiet, table)
	older := feed.NewTable("t", (&sink{}).take)
	net["old"] = feed.NewFollower("old", net, quiet, older)
	older.Replace(start, feed.Snapshot{Rows: []feed.Row{row("k", "older", 9)}, Version: 9})
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("k", "older", 8)}, Version: 8})
	table.Replace(start, feed.Snapshot{Rows: []feed.Row{row("k", "newer", 6), row("other", "1", 7)}, Era: 1, Version: 7})
	net["new"].Observe(start, "old", net["old"].Announcement())
	net["new"].Wait()
	if live := got.live(); live["k"] != "newer" {
		t.Errorf("after the older node's announcement the table has %v", live)
	}
	reply, err := net["new"].HandleTable(context.Background(), &feed.TableRequest{Table: "t", After: 9})
	if err != nil || len(reply.(*feed.TableReply).Rows) != 0 || reply.(*feed.TableReply).Full || len(reply.(*feed.TableReply).Kept) != 0 {
		t.Errorf("an older node gets %+v, %v", reply, err)
	}
	fresh := feed.NewTable("t", (&sink{}).take)
	net["fresh"] = feed.NewFollower("fresh", net, quiet, fresh)
	for _, from := range []string{"old", "new", "old"} {
		net["fresh"].Observe(start, from, net[from].Announcement())
		net["fresh"].Wait()
	}
	if at, ok := fresh.Position(); !ok || at.Era != 1 || at.Version != 7 {
		t.Errorf("a node that starts is at %+v", at)
	}
}

// replyCaller answers every call with one reply.
type replyCaller struct{ reply feed.TableReply }

func (c replyCaller) Call(_ context.Context, _, _ string, _, result any) error {
	*result.(*feed.TableReply) = c.reply
	return nil
}

// TestAPeerWithoutErasIsNoReturn guards against an upgrade that looks like a return, since the table came from an older release.
func TestAPeerWithoutErasIsNoReturn(t *testing.T) {
	for name, test := range map[string]struct {
		older bool // older is set if the peer is of a release that knows no eras.
		want  int
	}{"an older release": {true, 0}, "a store in its first era": {false, 1}} {
		returns := 0
		table := feed.NewTable("t", func(time.Time, []feed.Row) {}, feed.WithReturnObserver(func(time.Time, feed.Return) { returns++ }))
		reply := feed.TableReply{Rows: []feed.PeerRow{{Row: row("a", "1", 5)}}, Latest: 5, Full: true, Base: 5}
		if test.older {
			reply.Base = 0
		}
		f := feed.NewFollower("self", replyCaller{reply}, quiet, table)
		f.Observe(start, "peer", feed.Announcement{Versions: map[string]int64{"t": 5}})
		f.Wait()
		table.Replace(start, feed.Snapshot{Era: 1, Version: 7, Rows: []feed.Row{row("a", "1", 5)}})
		table.Replace(start, feed.Snapshot{Era: 2, Version: 6, Rows: []feed.Row{row("a", "1", 5)}})
		if returns != test.want+1 {
			t.Errorf("%s: %d returns seen, want %d", name, returns, test.want+1)
		}
		table.Close()
	}
}

// TestKeptRowsLastThroughASecondReturn guards against rows that end before they can be written to the second copy.
func TestKeptRowsLastThroughASecondReturn(t *testing.T) {
	got := &sink{}
	table := feed.NewTable("t", got.take, feed.WithCarry(feed.Carry{Missing: 3 * time.Second, Older: 3 * time.Second}))
	defer table.Close()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	table.Replace(at(0), feed.Snapshot{Version: 7, Rows: []feed.Row{row("evacuated", "1", 6)}})
	table.Replace(at(1), feed.Snapshot{Era: 1, Version: 4})
	table.Replace(at(3), feed.Snapshot{Era: 2, Version: 4})
	for _, step := range []struct {
		second int
		want   string
	}{{5, "1"}, {6, ""}} {
		table.Expire(at(step.second))
		if live := got.live()["evacuated"]; live != step.want {
			t.Errorf("%d s after the second return the row is %q, want %q", step.second-3, live, step.want)
		}
	}
}

// TestKeptRowDoesNotHideALaterOne guards against a peer's kept row that replaces a kept deletion and hides the store's later row.
func TestKeptRowDoesNotHideALaterOne(t *testing.T) {
	got, now := &sink{}, time.Now()
	table := feed.NewTable("t", got.take, feed.WithCarry(testCarry))
	defer table.Close()
	table.Replace(now, feed.Snapshot{Era: 8, Version: 19})
	gone := row("e", "", 20)
	gone.Deleted = true
	table.Apply(now, []feed.Row{gone})
	table.Replace(now, feed.Snapshot{Era: 13, Version: 15, Rows: []feed.Row{row("e", "21", 15)}})
	kept := feed.KeptRow{PeerRow: feed.PeerRow{Row: row("e", "19", 28)}, Era: 9, LeftMs: 5000}
	f := feed.NewFollower("self", replyCaller{feed.TableReply{Latest: 15, Era: 13, Base: 14, Kept: []feed.KeptRow{kept}}}, quiet, table)
	f.Observe(now, "peer", feed.Announcement{Versions: map[string]int64{"t": 15}, Eras: map[string]int64{"t": 13}, Kept: map[string]uint64{"t": 1}})
	f.Wait()
	if live := got.live()["e"]; live != "21" {
		t.Errorf("in force is %q, want the store's 21", live)
	}
}

// TestLateNodeBringsNoGoneRowBack guards against a node that was away during a return and makes its peers use engines that left long ago.
func TestLateNodeBringsNoGoneRowBack(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	carry := feed.WithCarry(feed.Carry{Compare: testCarry.Compare, Lasting: testCarry.Lasting, Missing: 2 * time.Second, Older: 6 * time.Second})
	net, got := directCaller{}, map[string]*sink{"late": {}, "in time": {}}
	tables := map[string]*feed.Table{}
	for name, s := range got {
		tables[name] = feed.NewTable("t", s.take, carry)
		defer tables[name].Close()
		net[name] = feed.NewFollower(name, net, quiet, tables[name])
		tables[name].Replace(at(0), feed.Snapshot{Era: 1, Version: 20, Rows: []feed.Row{row("gone", "1", 10), row("config", "1", 11)}})
	}
	tables["in time"].Replace(at(1), feed.Snapshot{Era: 1, Version: 21, Rows: []feed.Row{row("config", "1", 11)}})
	tables["late"].Apply(at(1), []feed.Row{row("config", "2", 22)})
	copied := feed.Snapshot{Era: 2, Version: 15, Rows: []feed.Row{row("config", "1", 11)}}
	tables["in time"].Replace(at(2), copied)
	tables["in time"].Expire(at(9))
	tables["late"].Replace(at(10), copied)
	if live := got["late"].live(); live["gone"] != "1" || live["config"] != "2" {
		t.Errorf("the late node has %v", live)
	}
	net["in time"].Observe(at(10), "late", net["late"].Announcement())
	net["in time"].Wait()
	if live := got["in time"].live(); live["gone"] != "" || live["config"] != "2" {
		t.Errorf("after the late node's announcement the other has %v, want no row that is gone, and the later configuration", live)
	}
}
