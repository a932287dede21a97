// Package clock tells the present time by a clock that counts the time in which the machine was suspended, and
// that a step of the time of day does not move. Go's own differences and timers go by the steady clock, which
// does not count it: after a suspension a proof, a deadline or a peer's word would look younger than it is.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// drift is by how much the time of day may move against the steady clock before the clock that counts
	// suspension is read: it costs a system call, the other two none. A clock that is disciplined moves by 0.5 ms a second
	// at most, a suspension moves it by its length.
	drift = 5 * time.Millisecond

	// leastAway is the shortest absence that counts as one: what lies below is the time between two readings.
	leastAway = 50 * time.Millisecond
)

type (
	// Source reads the clocks of the machine.
	Source struct {
		Monotonic func() time.Time            // Steady returns a time whose differences are of the steady clock.
		Wall      func(t time.Time) time.Time // Day returns the time of day at such a time.
		Boot      func() time.Duration        // Boot returns the time since the machine's start, suspension included.
	}

	// Clock tells the present time. Its methods may be called from many goroutines.
	Clock struct {
		source Source
		start  time.Time
		apart  atomic.Int64 // apart is how far the time of day was ahead of the steady clock when the clocks were last compared, in ns.
		away   atomic.Int64 // away is how long the machine was suspended since the start, in ns.

		mu    sync.Mutex
		ahead time.Duration // ahead is how far the clock that counts suspension was ahead of the steady one at the start.
		hooks map[int]Hook
		next  int
	}

	// Hook is called once after each absence, before anybody is told the time. It must not ask for it.
	Hook func(now time.Time, away time.Duration)
)

// machine is the clock of this process.
var machine = New(Source{Monotonic: time.Now, Wall: func(t time.Time) time.Time { return t.Round(0) }, Boot: bootTime})

// New returns a clock.
func New(s Source) *Clock {
	c := &Clock{source: s, start: s.Monotonic(), hooks: map[int]Hook{}}
	c.ahead = s.Boot()
	c.apart.Store(c.apartAt(c.start))
	return c
}

// bootTime reads the machine's clock that counts suspension. It is there on every system that the product runs on.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the present time of this process's clock.
func Now() time.Time { return machine.Now() }

// Since returns how long ago a moment of this process's clock was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is to a moment of this process's clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Wall returns the time of day of a moment of this process's clock.
func Wall(t time.Time) time.Time { return t.Add(-time.Duration(machine.away.Load())) }

// OnResume has a hook called after each absence of this process; it returns what ends that.
func OnResume(h Hook) (remove func()) { return machine.OnResume(h) }

// Now returns the present time. Differences between two such times count suspension.
func (c *Clock) Now() time.Time {
	t := c.source.Monotonic()
	if moved := time.Duration(c.apartAt(t) - c.apart.Load()); moved.Abs() > drift {
		c.compare()
		t = c.source.Monotonic()
	}
	return t.Add(time.Duration(c.away.Load()))
}

// OnResume has a hook called after each absence; it returns what ends that.
func (c *Clock) OnResume(h Hook) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.next
	c.next++
	c.hooks[id] = h
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.hooks, id)
	}
}

// compare finds out whether the machine was suspended, and calls the hooks if so. Whoever asks for the time
// meanwhile waits for them.
func (c *Clock) compare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.source.Monotonic()
	ahead := c.source.Boot() - c.ahead - t.Sub(c.start)
	before := time.Duration(c.away.Load())
	if away := ahead - before; away >= leastAway {
		c.away.Store(int64(ahead))
		now := t.Add(ahead)
		for _, h := range c.hooks {
			h(now, away)
		}
	}
	c.apart.Store(c.apartAt(t))
}

// apartAt returns how far the time of day is ahead of the steady clock since the start, in ns.
func (c *Clock) apartAt(t time.Time) int64 {
	return c.source.Wall(t).UnixNano() - int64(t.Sub(c.start))
}
