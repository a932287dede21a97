// Package clock tells the current time with a clock that includes the time in which the machine was
// suspended and that is not moved when the wall clock is set. Go's time differences and timers use the
// monotonic clock, which stops during a suspension: afterwards a proof, a deadline or the state of a
// peer would look younger than it is.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxDrift is how far the wall clock may move against the monotonic clock before the boot-time
	// clock is read. Reading that one costs a system call, reading the other two does not. A
	// disciplined wall clock drifts by at most 0.5 ms per second; a suspension moves it by its length.
	maxDrift = 5 * time.Millisecond

	// minSuspension is the shortest suspension that counts; a shorter difference is the time between
	// two readings.
	minSuspension = 50 * time.Millisecond
)

type (
	// Source reads the clocks of the machine.
	Source struct {
		Monotonic func() time.Time            // Monotonic returns a time with a monotonic clock reading.
		Wall      func(t time.Time) time.Time // Wall returns the wall clock time for a time returned by Monotonic.
		Boot      func() time.Duration        // Boot returns the time since the machine booted, including suspensions.
	}

	// Clock tells the current time. It is safe for concurrent use.
	Clock struct {
		source     Source
		start      time.Time
		wallOffset atomic.Int64 // wallOffset is how far the wall clock was ahead of the monotonic one at the last comparison, in ns.
		suspended  atomic.Int64 // suspended is how long the machine was suspended since the start, in ns.

		mu         sync.Mutex
		bootOffset time.Duration // bootOffset is the boot-time clock's reading at the start.
		hooks      map[int]Hook
		nextID     int
	}

	// Hook is called once after each suspension, before any caller gets a time after it. It must not
	// ask the clock for the time.
	Hook func(now time.Time, suspended time.Duration)
)

// process is the clock of this process.
var process = New(Source{Monotonic: time.Now, Wall: func(t time.Time) time.Time { return t.Round(0) }, Boot: bootTime})

// New returns a Clock that reads the given source.
func New(s Source) *Clock {
	c := &Clock{source: s, start: s.Monotonic(), hooks: map[int]Hook{}}
	c.bootOffset = s.Boot()
	c.wallOffset.Store(c.wallOffsetAt(c.start))
	return c
}

// bootTime reads CLOCK_BOOTTIME, which exists on every supported system.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the current time of this process's clock.
func Now() time.Time { return process.Now() }

// Since returns the time elapsed since t, a time of this process's clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a time of this process's clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Wall returns the wall clock time for t, a time of this process's clock.
func Wall(t time.Time) time.Time { return t.Add(-time.Duration(process.suspended.Load())) }

// OnResume registers a hook that is called after each suspension; remove unregisters it.
func OnResume(h Hook) (remove func()) { return process.OnResume(h) }

// Now returns the current time. Differences between two such times include suspensions.
func (c *Clock) Now() time.Time {
	t := c.source.Monotonic()
	if moved := time.Duration(c.wallOffsetAt(t) - c.wallOffset.Load()); moved.Abs() > maxDrift {
		c.checkSuspension()
		t = c.source.Monotonic()
	}
	return t.Add(time.Duration(c.suspended.Load()))
}

// OnResume registers a hook that is called after each suspension; remove unregisters it.
func (c *Clock) OnResume(h Hook) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.nextID
	c.nextID++
	c.hooks[id] = h
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.hooks, id)
	}
}

// checkSuspension checks whether the machine was suspended and calls the hooks if so. Callers that ask
// for the time meanwhile wait for the hooks.
func (c *Clock) checkSuspension() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.source.Monotonic()
	total := c.source.Boot() - c.bootOffset - t.Sub(c.start)
	before := time.Duration(c.suspended.Load())
	if suspended := total - before; suspended >= minSuspension {
		c.suspended.Store(int64(total))
		now := t.Add(total)
		for _, h := range c.hooks {
			h(now, suspended)
		}
	}
	c.wallOffset.Store(c.wallOffsetAt(t))
}

// wallOffsetAt returns how far the wall clock is ahead of the monotonic clock since the start, in ns.
func (c *Clock) wallOffsetAt(t time.Time) int64 {
	return c.source.Wall(t).UnixNano() - int64(t.Sub(c.start))
}
