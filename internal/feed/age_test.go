package feed_test

import (
	"context"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
)

// nextSource answers each call with the next snapshot.
type nextSource struct{ next feed.Snapshot }

func (s *nextSource) List(context.Context, string, string) (feed.Snapshot, error) {
	return s.next, nil
}

func (s *nextSource) Changes(context.Context, string, int64, time.Duration) (feed.Snapshot, error) {
	return s.next, nil
}

// handlerCaller calls the handler of another follower.
type handlerCaller struct{ follower *feed.Follower }

func (c *handlerCaller) Call(ctx context.Context, _, _ string, params, result any) error {
	reply, err := c.follower.HandleTable(ctx, params.(*feed.TableRequest))
	if err == nil {
		*result.(*feed.TableReply) = *reply.(*feed.TableReply)
	}
	return err
}

// TestAgeOfRows guards against rows that look younger than they are: those that a call found at once or
// at the end of its wait may be as old as the call before, and those of a peer as old as there.
func TestAgeOfRows(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name   string
		last   time.Duration // last is the time since the last reply.
		waited time.Duration // waited is how long the call had waited at the store.
		after  time.Duration // after is the least time since the change, from the answer; 0 if unknown.
	}{
		{"found at once", 500 * ms, 20 * ms, 500 * ms},
		{"came while the call waited", 500 * ms, 300 * ms, 400 * ms},
		{"came soon after the last reply", 350 * ms, 300 * ms, 350 * ms},
		{"a slow answer long after the last reply", 5 * time.Second, 300 * ms, 5 * time.Second},
		{"came at the end of the wait, after the store dropped its history", 900 * ms, 800 * ms, 900 * ms},
		{"first read", 0, -1, 0},
	} {
		now := clock.Now()
		store, got, peerGot := &nextSource{}, &sink{}, &sink{}
		table, peerTable := feed.NewTable("t", got.take), feed.NewTable("t", peerGot.take)
		reader := &feed.Reader{Table: table, Source: store, Wait: 800 * ms, Log: quiet}
		read := func(s feed.Snapshot) {
			store.next = s
			if err := reader.Read(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		caller := &handlerCaller{}
		caller.follower = feed.NewFollower("a", nil, quiet, table)
		peer := feed.NewFollower("b", caller, quiet, peerTable)
		if test.waited >= 0 {
			read(feed.Snapshot{Version: 1, AsOf: now.Add(-test.last)})
			peerTable.Replace(now, feed.Snapshot{Version: 1})
		}
		read(feed.Snapshot{Rows: []feed.Row{row("k", "v", 2)}, Version: 2, AsOf: now, Sent: now.Add(-test.waited)})
		if at := got.rows["k"].AcceptedAfter; at.IsZero() != (test.after == 0) || test.after > 0 && now.Sub(at) != test.after {
			t.Errorf("%s: accepted after %v", test.name, now.Sub(at))
		}
		peer.Observe(now, "a", feed.Announcement{Versions: map[string]int64{"t": 2}})
		for end := time.Now().Add(time.Second); len(peerGot.live()) == 0 && time.Now().Before(end); time.Sleep(ms) {
		}
		if at := peerGot.rows["k"].AcceptedAfter; at.IsZero() != (test.after == 0) || test.after > 0 && now.Sub(at) < test.after-ms {
			t.Errorf("%s: at the peer accepted after %v", test.name, now.Sub(at))
		}
		for _, f := range []*feed.Follower{peer, caller.follower} {
			if err := f.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}
