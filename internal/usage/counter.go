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
	maxBatches = 8

	// clockSlack is by how much a node's time of day may differ from the others' before it is put right: what
	// messages and a busy processor take.
	maxClockSkew = 150 * time.Millisecond

	// emptyEvery is how often a node that counted lately sends a report without counts: the holder waits for it
	// before it settles a window.
	emptyReportInterval = time.Second
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
		Token    int64 `json:"token"`
		Received int64 `json:"taken"`   // Taken is the number of the last batch that the holder has.
		Durable  int64 `json:"durable"` // Durable is that of the last one that outlives the holder.
		WallMs   int64 `json:"wall_ms"` // WallMs is the time of day as most nodes have it; 0 where that is not known.
	}

	// Clock tells the time of day: that of the process's start, moved on by the steady clock, so that a step of the
	// machine's own changes nothing, and put right by what the others have.
	Clock struct {
		mu       sync.Mutex
		base     time.Time // zero is a moment of the process's clock.
		baseWall time.Time // wall is the time of day then.
	}

	// Counter counts at one node. Its methods may be called from many goroutines.
	Counter struct {
		node   string
		window time.Duration
		clock  *Clock

		mu           sync.Mutex
		open         Counts
		batches      []Batch // batches are closed and not known to be durable, the newest last.
		lastNumber   int64   // number is that of the newest batch.
		holderToken  int64   // token is of the holder that was sent to last.
		lastSent     int64   // sent is the number of the last batch that was sent to anybody.
		lastReceived int64   // taken is the number of the last batch that this holder has.

		lastBeganAt  time.Time // beganAt is when an engine last began a request.
		lastReportAt time.Time // reportAt is when a report was last made.
	}
)

// NewClock returns a clock from the time of day at a moment.
func NewClock(now, wall time.Time) *Clock { return &Clock{base: now, baseWall: wall.Round(0)} }

// At returns the time of day at a moment.
func (c *Clock) At(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.baseWall.Add(now.Sub(c.base))
}

// PutRight moves the clock where it differs by more than others' messages explain; it reports by how much.
func (c *Clock) Correct(by time.Duration) time.Duration {
	if by.Abs() <= maxClockSkew {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.baseWall = c.baseWall.Add(by)
	return by
}

// windowOf returns the number of the window of a time of day.
func windowNumber(wall time.Time, length time.Duration) int64 {
	return wall.UnixMilli() / length.Milliseconds()
}

// NewCounter returns a counter of a node for windows of a length.
func NewCounter(node string, window time.Duration, clock *Clock) *Counter {
	return &Counter{node: node, window: window, clock: clock, open: Counts{}}
}

// Began counts a request of a team that an engine began.
func (c *Counter) Began(now time.Time, team string) {
	k := windowNumber(c.clock.At(now), c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open.add(k, team, 1)
	c.lastBeganAt = now
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
	if token != c.holderToken {
		c.holderToken, c.lastReceived = token, 0
	}
	if len(c.open) > 0 {
		c.closeBatch()
	}
	r = Report{Node: c.node, WallMs: c.clock.At(now).UnixMilli()}
	for _, b := range c.batches {
		if b.Number > c.lastReceived {
			r.Batches = append(r.Batches, b)
		}
	}
	if len(r.Batches) == 0 && (now.Sub(c.lastBeganAt) > idleReportPeriod || now.Sub(c.lastReportAt) < emptyReportInterval) {
		return Report{}, false
	}
	c.lastSent, c.lastReportAt = c.lastNumber, now
	return r, true
}

// Unkept returns how many batches, the open one among them, are not known to be in the store.
func (c *Counter) UnstoredBatches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.batches) + min(len(c.open), 1)
}

// closeBatch makes a batch of the open counts, or adds them to one that nobody has seen. The caller holds the lock.
func (c *Counter) closeBatch() {
	if n := len(c.batches); n >= maxBatches && c.batches[n-1].Number > c.lastSent {
		c.batches[n-1].Counts.addAll(c.open)
	} else {
		c.lastNumber++
		c.batches = append(c.batches, Batch{Number: c.lastNumber, Counts: c.open})
	}
	c.open = Counts{}
}

// Acked takes the holder's answer to a report of a term that was sent and received at two moments.
func (c *Counter) HandleAck(sent, received time.Time, a Ack) (moved time.Duration) {
	c.mu.Lock()
	if a.Token == c.holderToken {
		c.lastReceived = max(c.lastReceived, a.Received)
	}
	for len(c.batches) > 0 && c.batches[0].Number <= a.Durable {
		c.batches = c.batches[1:]
	}
	c.mu.Unlock()
	middle := sent.Add(received.Sub(sent) / 2)
	if a.WallMs == 0 || received.Sub(sent) > maxClockSkew {
		return 0 // The holder does not know, or the answer was on its way too long.
	}
	return c.clock.Correct(time.UnixMilli(a.WallMs).Sub(c.clock.At(middle)))
}
