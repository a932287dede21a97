package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
)

const (
	window   = 5 * time.Second
	dueAfter = 10 * time.Second
)

// base is the beginning of a window, both as process time and wall-clock time.
var base = time.UnixMilli(1_700_000_000_000)

// after returns the time some milliseconds after base.
func after(ms int) time.Time { return base.Add(time.Duration(ms) * time.Millisecond) }

// firstWindow is the number of the window that begins at base.
func firstWindow() int64 { return windowNumber(base, window) }

// testCluster is some nodes, a holder and the store.
type testCluster struct {
	t      *testing.T
	nodes  []*Counter
	rows   map[string][]byte
	ledger *Ledger
	token  int64
}

// newTestCluster returns nodes whose clocks are ahead of the true time by the given durations.
func newTestCluster(t *testing.T, ahead ...time.Duration) *testCluster {
	r := &testCluster{t: t, rows: map[string][]byte{}}
	for i, by := range ahead {
		r.nodes = append(r.nodes, NewCounter(fmt.Sprint("n", i), window, NewClock(base, base.Add(by))))
	}
	r.takeOver(base, 0)
	return r
}

// takeOver makes a node the holder, with the rows in the store.
func (r *testCluster) takeOver(now time.Time, node int) {
	r.t.Helper()
	r.token++
	r.ledger = NewLedger(window, dueAfter, r.nodes[node].clock)
	var rows []feed.Row
	for key, value := range r.rows {
		rows = append(rows, feed.Row{Key: key, Value: value})
	}
	if err := r.ledger.Load(now, rows, false); err != nil {
		r.t.Fatal(err)
	}
}

// send sends a node's counts; lost drops the answer.
func (r *testCluster) send(now time.Time, node int, lost bool) {
	report, ok := r.nodes[node].Report(now, r.token)
	if !ok {
		return
	}
	if ack := r.ledger.AddReport(now, r.token, report); !lost {
		r.nodes[node].HandleAck(now, now, ack)
	}
}

// write writes the holder's pending rows to the store.
func (r *testCluster) write(now time.Time) {
	rows, state := r.ledger.PendingRows(now)
	for _, row := range rows {
		if row.Deleted {
			delete(r.rows, row.Key)
			continue
		}
		r.rows[row.Key] = row.Value
	}
	r.ledger.MarkWritten(state)
}

// due settles and stores windows, and returns the next one to be sent.
func (r *testCluster) due(now time.Time) (Window, bool) {
	r.ledger.Settle(now)
	r.write(now)
	return r.ledger.Due()
}

// countRequests counts requests of a team at a node.
func (r *testCluster) countRequests(now time.Time, node int, team string, n int) {
	for range n {
		r.nodes[node].Began(now, team)
	}
}

// TestCountsAreAddedOnce checks that counts received by a holder that is lost are added once and not lost, whether or not it
// had stored them and whether or not its answer arrived.
func TestCountsAreAddedOnce(t *testing.T) {
	for _, written := range []bool{false, true} {
		for _, lost := range []bool{false, true} {
			r := newTestCluster(t, 0, 0, 0)
			r.countRequests(after(100), 1, "a", 7)
			r.send(after(200), 1, false)
			r.write(after(300))
			r.countRequests(after(400), 1, "a", 3)
			r.countRequests(after(400), 2, "b", 5)
			r.send(after(500), 1, lost)
			r.send(after(500), 2, lost)
			if written {
				r.write(after(600))
			}
			r.takeOver(after(3000), 2)
			for _, at := range []int{3100, 3400, 6200, 6500} {
				r.send(after(at), 1, false)
				r.send(after(at), 2, false)
				r.write(after(at))
			}
			w, ok := r.due(after(10_600))
			if !ok || w.Number != firstWindow() || w.Counts["a"] != 10 || w.Counts["b"] != 5 {
				t.Errorf("written %v, answer lost %v: got %+v, %v", written, lost, w, ok)
			}
		}
	}
}

// TestSettledWindowSurvivesATakeover checks that a window is in the store before it is sent, that the next holder sends the
// same counts, and that later counts change nothing.
func TestSettledWindowSurvivesATakeover(t *testing.T) {
	r := newTestCluster(t, 0, 0)
	r.countRequests(after(100), 1, "a", 4)
	r.send(after(200), 1, false)
	r.send(after(5100), 1, false)
	if settled := r.ledger.Settle(after(6600)); len(settled) != 1 {
		t.Fatalf("settled %+v, want one window", settled)
	}
	if w, ok := r.ledger.Due(); ok {
		t.Errorf("%+v is due before it is in the store", w)
	}
	r.write(after(6650))
	sent, _ := r.ledger.Due()
	r.takeOver(after(9000), 1)
	r.countRequests(after(4900), 1, "a", 2) // A late count.
	r.send(after(9100), 1, false)
	again, ok := r.due(after(9200))
	if !ok || again.Number != sent.Number || fmt.Sprint(again.Counts) != fmt.Sprint(sent.Counts) {
		t.Errorf("first %+v, then %+v, %v", sent, again, ok)
	}
	r.ledger.MarkSent(again.Number)
	r.write(after(9300))
	if w, ok := r.ledger.Due(); ok {
		t.Errorf("%+v is sent again", w)
	}
	if _, there := r.rows[fmt.Sprint(prefixWindows, firstWindow())]; there {
		t.Error("a window that was sent is still in the store")
	}
	if _, dropped := r.ledger.RecentWindows(); dropped != 2 {
		t.Errorf("%d late counts were recorded, want 2", dropped)
	}
}

// TestOddRowDoesNotHideOthers guards against windows that are never reported, or counted anew, because another row
// of the previous holder can't be read.
func TestOddRowDoesNotHideOthers(t *testing.T) {
	number := fmt.Sprint(prefixWindows, firstWindow())
	for key, value := range map[string]string{prefixWindows + "0": "[", prefixWindows + "1": `{"counts":7}`, prefixWindows + "x": "{}", keyNodes: `{"next":"7"}`} {
		t.Run(key, func(t *testing.T) {
			r := newTestCluster(t, 0, 0)
			r.countRequests(after(100), 1, "a", 4)
			r.send(after(200), 1, false)
			r.send(after(5100), 1, false)
			r.due(after(6600))
			r.rows[key] = []byte(value)
			rows := []feed.Row{{Key: key, Value: r.rows[key]}} // The odd row comes first.
			for each, stored := range r.rows {
				if each != key {
					rows = append(rows, feed.Row{Key: each, Value: stored})
				}
			}
			if err := r.ledger.Load(after(9000), rows, false); err == nil {
				t.Error("the odd row is not reported")
			}
			r.token++
			r.countRequests(after(4900), 1, "a", 2) // A late count.
			r.send(after(9100), 1, false)
			w, ok := r.due(after(9200))
			if !ok || w.Number != firstWindow() || w.Counts["a"] != 4 {
				t.Errorf("%+v is due, %v; want window %s with 4 requests", w, ok, number)
			}
		})
	}
}

// TestWindowWaitsForActiveNodes checks that a window is settled once all nodes that counted recently have reported up to its
// end, and in time although a node stays silent.
func TestWindowWaitsForActiveNodes(t *testing.T) {
	r := newTestCluster(t, 0, 0)
	r.countRequests(after(4000), 1, "a", 1)
	r.send(after(4100), 1, false)
	if settled := r.ledger.Settle(after(7000)); len(settled) != 0 {
		t.Errorf("settled %+v before a node has reported up to its end", settled)
	}
	r.countRequests(after(4990), 1, "a", 1)
	r.send(after(7100), 1, false)
	if settled := r.ledger.Settle(after(7200)); len(settled) != 1 || settled[0].Counts["a"] != 2 {
		t.Errorf("settled %+v, want one window with 2", settled)
	}
	if settled := r.ledger.Settle(after(10_000 + 6_499)); len(settled) != 0 {
		t.Errorf("settled %+v although a node may still report", settled)
	}
	if settled := r.ledger.Settle(after(10_000 + 6_500)); len(settled) != 1 {
		t.Errorf("settled %+v, want one that waited long enough", settled)
	}
}

// TestReplacedProcessIsNotWaitedFor checks that a window does not wait for a process whose successor has sent a report.
func TestReplacedProcessIsNotWaitedFor(t *testing.T) {
	r := newTestCluster(t, 0, 0)
	for i, name := range []string{"a/1", "a/2"} {
		r.nodes[i].node = name
	}
	r.countRequests(after(4000), 0, "t", 1)
	r.send(after(4100), 0, false)
	r.countRequests(after(6000), 1, "t", 1)
	r.send(after(6100), 1, false)
	if settled := r.ledger.Settle(after(6600)); len(settled) != 1 || settled[0].Counts["t"] != 1 {
		t.Errorf("settled %+v, want the window of the process that ended", settled)
	}
}

// TestWindowsAreReportedAfterAnOutage checks that all windows of an outage are due after it, the earliest first, including
// those without counts.
func TestWindowsAreReportedAfterAnOutage(t *testing.T) {
	r := newTestCluster(t, 0, 0)
	r.countRequests(after(100), 1, "a", 1)
	r.send(after(200), 1, false)
	r.write(after(300))
	r.countRequests(after(12_000), 1, "a", 2)
	r.takeOver(after(21_000), 0)
	r.send(after(21_100), 1, false)
	for i := range int64(3) {
		w, ok := r.due(after(22_100))
		if want := []int{1, 0, 2}[i]; !ok || w.Number != firstWindow()+i || w.Counts["a"] != want {
			t.Errorf("window %d of the outage: %+v, %v, want %d", i, w, ok, want)
		}
		r.ledger.MarkSent(w.Number)
	}
}

// TestWrongClockIsCorrected checks that a node with a wrong wall clock counts in the right window once the holder has
// answered it, and that a holder with a wrong clock is corrected by the others'.
func TestWrongClockIsCorrected(t *testing.T) {
	for holder := range 2 {
		r := newTestCluster(t, 7*time.Second, 0, 0, 0, 0)
		r.takeOver(base, holder)
		for i := range r.nodes {
			r.countRequests(after(10), i, "a", 1)
		}
		for _, at := range []int{100, 350, 1200, 2400} {
			for i := range r.nodes {
				r.send(after(at), i, false)
			}
		}
		for i, n := range r.nodes {
			if off := n.clock.At(after(2500)).Sub(after(2500)); off.Abs() > maxClockSkew {
				t.Errorf("holder %d: node %d is off by %v", holder, i, off)
			}
		}
	}
}

// TestClockFollowsTheMonotonicClock checks that wall-clock time follows the monotonic clock from the process's start on.
func TestClockFollowsTheMonotonicClock(t *testing.T) {
	c := NewClock(base, base)
	if got := c.At(after(1234)); !got.Equal(after(1234)) {
		t.Errorf("got %v", got)
	}
	if moved := c.Correct(maxClockSkew); moved != 0 {
		t.Errorf("adjusted by %v for an offset that message delays explain", moved)
	}
}

// TestWindowsMayHaveFractionsOfAMillisecond guards against windows that drift from those of the platform since their length
// was cut to whole milliseconds.
func TestWindowsMayHaveFractionsOfAMillisecond(t *testing.T) {
	const length = 750*time.Millisecond + 500*time.Microsecond
	l := NewLedger(length, dueAfter, NewClock(base, base))
	number := windowNumber(base, length)
	if want := base.UnixMicro() / length.Microseconds(); number != want {
		t.Errorf("window %d, want %d", number, want)
	}
	if end := l.windowEnd(number); !end.After(base) || end.Sub(base) > length || windowNumber(end, length) != number+1 {
		t.Errorf("window %d ends %v after a time in it, and window %d begins then", number, end.Sub(base), windowNumber(end, length))
	}
}

// TestWindowThatIsDueSoonIsSettledInTime guards against a window that is settled after it was due, since the wait for reports
// did not depend on the time until then.
func TestWindowThatIsDueSoonIsSettledInTime(t *testing.T) {
	const due = 1200 * time.Millisecond
	l := NewLedger(window, due, NewClock(base, base))
	l.AddReport(base, 1, Report{Node: "n0/1", WallMs: base.UnixMilli(), Batches: []Batch{{Number: 1, Counts: Counts{firstWindow(): {"t": 1}}}}})
	end := base.Add(window)
	if early := l.Settle(end.Add(due / 2)); len(early) > 0 {
		t.Errorf("settled %d windows before the nodes have reported", len(early))
	}
	if settled := l.Settle(end.Add(due * 3 / 4)); len(settled) != 1 || settled[0].Requests() != 1 {
		t.Errorf("settled %v three quarters of the way to when the window is due, want it", settled)
	}
}
