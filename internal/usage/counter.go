// Package usage counts the requests that engines began, by team and by window of the time of day, at each node, and
// gathers the counts at one node, the holder, which settles and reports each window.
//
// Each node closes its counts into numbered batches, which it sends until the holder has them in the platform's store.
// The holder remembers, there as well, the number of the last batch of each node that it added. So a batch counts once,
// though it is sent again to the next holder; lost is what a node had not sent, or what the holder had not
// written, when its process ended.
package usage

import (
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/scaling"
)

const (
	// batchesMost is how many closed batches a node keeps; while there is no holder, later counts are added to the
	// newest that was not sent yet.
	batchesMost = 8

	// clockSlack is by how much a node's time of day may differ from the others' before it is put right: what
	// messages and a busy processor take.
	clockSlack = 150 * time.Millisecond

	// emptyEvery is how often a node that counted lately sends a report without counts: the holder waits for it
	// before it settles a window.
	emptyEvery = time.Second
)

type (
	// Counts is how many requests engines began, by window and team.
	Counts map[int64]map[string]int

	// Batch is a part of a node's counts; no count is in two of them.
	Batch struct {
		Number int64  `json:"n"`
		Counts Counts `json:"c,omitempty"`
	}

	// Report is what a node sends to the holder.
	Report struct {
		Node    string  `json:"node"`    // Node tells one process from all others: its instance, a slash, and what is its own.
		WallMs  int64   `json:"wall_ms"` // WallMs is the node's time of day; all counts up to then are in the batches.
		Batches []Batch `json:"batches,omitempty"`

		Work map[string]scaling.Demand `json:"work,omitempty"` // Work is, by pool, the reading that this node has given to engines since its start, in milliseconds.
	}

	// Ack is the holder's answer.
	Ack struct {
		Token   int64 `json:"token"`
		Taken   int64 `json:"taken"`   // Taken is the number of the last batch that the holder has.
		Durable int64 `json:"durable"` // Durable is that of the last one that outlives the holder.
		WallMs  int64 `json:"wall_ms"` // WallMs is the time of day as most nodes have it; 0 where that is not known.
	}

	// Clock tells the time of day: that of the process's start, moved on by the steady clock, so that a step of the
	// machine's own changes nothing, and put right by what the others have.
	Clock struct {
		mu   sync.Mutex
		zero time.Time // zero is a moment of the process's clock.
		wall time.Time // wall is the time of day then.
	}

	// Counter counts at one node. Its methods may be called from many goroutines.
	Counter struct {
		node   string
		window time.Duration
		clock  *Clock

		mu      sync.Mutex
		open    Counts
		batches []Batch // batches are closed and not known to be durable, the newest last.
		number  int64   // number is that of the newest batch.
		token   int64   // token is of the holder that was sent to last.
		sent    int64   // sent is the number of the last batch that was sent to anybody.
		taken   int64   // taken is the number of the last batch that this holder has.

		beganAt  time.Time // beganAt is when an engine last began a request.
		reportAt time.Time // reportAt is when a report was last made.
	}
)

// NewClock returns a clock from the time of day at a moment.
func NewClock(now, wall time.Time) *Clock { return &Clock{zero: now, wall: wall.Round(0)} }

// At returns the time of day at a moment.
func (c *Clock) At(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wall.Add(now.Sub(c.zero))
}

// PutRight moves the clock where it differs by more than others' messages explain; it reports by how much.
func (c *Clock) PutRight(by time.Duration) time.Duration {
	if by.Abs() <= clockSlack {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wall = c.wall.Add(by)
	return by
}

// windowOf returns the number of the window of a time of day.
func windowOf(wall time.Time, length time.Duration) int64 {
	return wall.UnixMilli() / length.Milliseconds()
}

// NewCounter returns a counter of a node for windows of a length.
func NewCounter(node string, window time.Duration, clock *Clock) *Counter {
	return &Counter{node: node, window: window, clock: clock, open: Counts{}}
}

// Began counts a request of a team that an engine began.
func (c *Counter) Began(now time.Time, team string) {
	k := windowOf(c.clock.At(now), c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open.add(k, team, 1)
	c.beganAt = now
}

// add adds to the count of a team in a window.
func (c Counts) add(window int64, team string, n int) {
	if c[window] == nil {
		c[window] = map[string]int{}
	}
	c[window][team] += n
}

// addAll adds other counts.
func (c Counts) addAll(other Counts) {
	for window, teams := range other {
		for team, n := range teams {
			c.add(window, team, n)
		}
	}
}

// Report closes the open counts and returns what is to be sent to the holder of a term; ok is false where nothing is.
func (c *Counter) Report(now time.Time, token int64) (r Report, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token != c.token {
		c.token, c.taken = token, 0
	}
	if len(c.open) > 0 {
		c.closeBatch()
	}
	r = Report{Node: c.node, WallMs: c.clock.At(now).UnixMilli()}
	for _, b := range c.batches {
		if b.Number > c.taken {
			r.Batches = append(r.Batches, b)
		}
	}
	if len(r.Batches) == 0 && (now.Sub(c.beganAt) > quietMost || now.Sub(c.reportAt) < emptyEvery) {
		return Report{}, false
	}
	c.sent, c.reportAt = c.number, now
	return r, true
}

// Unkept returns how many batches, the open one among them, are not known to be in the store.
func (c *Counter) Unkept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.batches) + min(len(c.open), 1)
}

// closeBatch makes a batch of the open counts, or adds them to one that nobody has seen. The caller holds the lock.
func (c *Counter) closeBatch() {
	if n := len(c.batches); n >= batchesMost && c.batches[n-1].Number > c.sent {
		c.batches[n-1].Counts.addAll(c.open)
	} else {
		c.number++
		c.batches = append(c.batches, Batch{Number: c.number, Counts: c.open})
	}
	c.open = Counts{}
}

// Acked takes the holder's answer to a report of a term that was sent and received at two moments.
func (c *Counter) Acked(sent, received time.Time, a Ack) (moved time.Duration) {
	c.mu.Lock()
	if a.Token == c.token {
		c.taken = max(c.taken, a.Taken)
	}
	for len(c.batches) > 0 && c.batches[0].Number <= a.Durable {
		c.batches = c.batches[1:]
	}
	c.mu.Unlock()
	middle := sent.Add(received.Sub(sent) / 2)
	if a.WallMs == 0 || received.Sub(sent) > clockSlack {
		return 0 // The holder does not know, or the answer was on its way too long.
	}
	return c.clock.PutRight(time.UnixMilli(a.WallMs).Sub(c.clock.At(middle)))
}
