// Package usage counts the requests that engines started, by team and by window of wall-clock time. Every node counts, and one
// node, the holder, collects the counts, settles each window and reports it.
//
// Each node closes its counts into numbered batches, which it sends until they are in the platform's store. The holder
// stores the number of the last batch of each node that it added, so a batch counts once although it is sent again to the
// next holder. Counts are lost only if the node's process ends before it sent them, or if it ends and the holder does, too,
// before the holder stored them.
package usage

import (
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/scaling"
)

const (
	// maxBatches is how many closed batches a node keeps; while there is no holder, later counts are added to the newest
	// batch that was not sent yet.
	maxBatches = 8

	// maxClockSkew is how much a node's wall clock may differ from the others' before it is corrected: the time that
	// messages and a busy processor take.
	maxClockSkew = 150 * time.Millisecond

	// emptyReportInterval is how often a node that counted recently sends a report without counts: the holder waits for it
	// before it settles a window.
	emptyReportInterval = time.Second

	// storedRetention is how long a batch is kept after it was stored, for the next holder: the store may lose the
	// last seconds before it comes back from a copy.
	storedRetention = 10 * time.Second
)

type (
	// Counts is how many requests engines started, by window and team.
	Counts map[int64]map[string]int

	// Batch is a part of a node's counts; every count is in one batch only.
	Batch struct {
		Number int64  `json:"n"`
		Counts Counts `json:"c,omitempty"`
	}

	// Report is what a node sends to the holder.
	Report struct {
		Node    string  `json:"node"`    // Node is unique to one process: its instance, a slash, and a suffix of its own.
		WallMs  int64   `json:"wall_ms"` // WallMs is the node's wall-clock time; all counts up to then are in the batches.
		Batches []Batch `json:"batches,omitempty"`

		Work map[string]scaling.Demand `json:"work,omitempty"` // Work is, by pool, the prompt-processing work that this node has given to engines since its start, in milliseconds.
	}

	// Ack is the holder's answer.
	Ack struct {
		Token    int64 `json:"token"`
		Received int64 `json:"taken"`   // Received is the number of the last batch that the holder has.
		Durable  int64 `json:"durable"` // Durable is the number of the last batch in the store.
		WallMs   int64 `json:"wall_ms"` // WallMs is the wall-clock time of most nodes; 0 if not known.
	}

	// Clock is a wall clock that starts from the process's start time and advances by the monotonic clock, so that a step of the
	// machine's clock has no effect. It is corrected by the clocks of other nodes.
	Clock struct {
		mu       sync.Mutex
		base     time.Time // base is a time of the process's clock.
		baseWall time.Time // baseWall is the wall-clock time at base.
	}

	// storedBatch is a batch that was stored.
	storedBatch struct {
		Batch
		at time.Time // at is when this node learned of it.
	}

	// Counter counts at one node. It is safe for concurrent use.
	Counter struct {
		node   string
		window time.Duration
		clock  *Clock

		mu           sync.Mutex
		open         Counts
		batches      []Batch       // batches are closed and not known to be in the store, the newest last.
		stored       []storedBatch // stored are batches that were stored lately, the newest last.
		lastNumber   int64         // lastNumber is the number of the newest batch.
		holderToken  int64         // holderToken is the token of the holder last sent to.
		lastSent     int64         // lastSent is the number of the last batch sent to any holder.
		lastReceived int64         // lastReceived is the number of the last batch that this holder has.

		lastBeganAt  time.Time // lastBeganAt is when an engine last started a request.
		lastReportAt time.Time // lastReportAt is when the last report was made.
	}
)

// NewClock returns a clock with a wall-clock time at a time.
func NewClock(now, wall time.Time) *Clock { return &Clock{base: now, baseWall: wall.Round(0)} }

// At returns the wall-clock time at a time.
func (c *Clock) At(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.baseWall.Add(now.Sub(c.base))
}

// Correct adjusts the clock by an offset larger than message delays explain; it returns the adjustment made.
func (c *Clock) Correct(by time.Duration) time.Duration {
	if by.Abs() <= maxClockSkew {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.baseWall = c.baseWall.Add(by)
	return by
}

// windowNumber returns the number of the window that contains a wall-clock time.
func windowNumber(wall time.Time, length time.Duration) int64 {
	return wall.UnixNano() / length.Nanoseconds()
}

// NewCounter returns the counter of a node for windows of a length.
func NewCounter(node string, window time.Duration, clock *Clock) *Counter {
	return &Counter{node: node, window: window, clock: clock, open: Counts{}}
}

// Began counts a request of a team that an engine started.
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

// Report closes the open counts and returns the report for the holder of a term; ok is false if there is nothing to send.
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
	for _, b := range c.stored {
		if b.Number > c.lastReceived {
			r.Batches = append(r.Batches, b.Batch)
		}
	}
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

// UnstoredBatches returns how many batches, including the open one, are not known to be in the store.
func (c *Counter) UnstoredBatches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.batches) + min(len(c.open), 1)
}

// closeBatch makes a batch of the open counts, or adds them to one that was never sent. The caller holds the lock.
func (c *Counter) closeBatch() {
	if n := len(c.batches); n >= maxBatches && c.batches[n-1].Number > c.lastSent {
		c.batches[n-1].Counts.addAll(c.open)
	} else {
		c.lastNumber++
		c.batches = append(c.batches, Batch{Number: c.lastNumber, Counts: c.open})
	}
	c.open = Counts{}
}

// HandleAck processes the holder's answer to a report, by the times at which the report was sent and the answer received. It
// returns the clock adjustment.
func (c *Counter) HandleAck(sent, received time.Time, a Ack) (moved time.Duration) {
	c.mu.Lock()
	if a.Token == c.holderToken {
		c.lastReceived = max(c.lastReceived, a.Received)
	}
	for len(c.batches) > 0 && c.batches[0].Number <= a.Durable {
		c.stored = append(c.stored, storedBatch{c.batches[0], received})
		c.batches = c.batches[1:]
	}
	for len(c.stored) > 0 && received.Sub(c.stored[0].at) > storedRetention {
		c.stored = c.stored[1:]
	}
	c.mu.Unlock()
	middle := sent.Add(received.Sub(sent) / 2)
	if a.WallMs == 0 || received.Sub(sent) > maxClockSkew {
		return 0 // The holder does not know, or the round trip took too long.
	}
	return c.clock.Correct(time.UnixMilli(a.WallMs).Sub(c.clock.At(middle)))
}
