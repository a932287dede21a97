package clock_test

import (
	"bufio"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
)

// fakeClocks are the clocks of a machine, set by the test.
type fakeClocks struct {
	mu        sync.Mutex
	monotonic time.Duration
	boot      time.Duration
	wallStep  time.Duration // wallStep is how far the wall clock was set.
	bootReads int           // bootReads counts readings of the boot-time clock.
	start     time.Time
}

func (h *fakeClocks) source() clock.Source {
	return clock.Source{Monotonic: h.monotonicTime, Wall: h.wallTime, Boot: h.bootTime}
}

func (h *fakeClocks) monotonicTime() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start.Add(h.monotonic)
}

func (h *fakeClocks) wallTime(time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start.Add(h.boot + h.wallStep)
}

func (h *fakeClocks) bootTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bootReads++
	return h.boot
}

// pass advances the clocks; the machine is suspended for a part of the time.
func (h *fakeClocks) pass(d, suspended time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.monotonic += d - suspended
	h.boot += d
}

// step sets the wall clock.
func (h *fakeClocks) step(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wallStep += d
}

// TestSuspensionCounts checks that time differences include suspensions but no steps of the wall
// clock, and that hooks are called once per suspension, before any caller gets a time after it.
func TestSuspensionCounts(t *testing.T) {
	h := &fakeClocks{start: time.Now()}
	c := clock.New(h.source())
	var called []time.Duration
	var calledAt []time.Time
	remove := c.OnResume(func(now time.Time, suspended time.Duration) {
		called, calledAt = append(called, suspended), append(calledAt, now)
	})
	begin := c.Now()
	for _, s := range []struct {
		d, suspended, step time.Duration
		calls              int
	}{
		{time.Second, 0, 0, 0},
		{time.Second, 0, 2 * time.Hour, 0},
		{5 * time.Second, 4 * time.Second, 0, 1},
		{time.Second, 0, -3 * time.Hour, 1},
		{6 * time.Second, 6 * time.Second, 2 * time.Second, 2},
	} {
		before := c.Now()
		h.pass(s.d, s.suspended)
		h.step(s.step)
		now := c.Now()
		if got := now.Sub(before); got != s.d {
			t.Errorf("%+v: %v passed", s, got)
		}
		if len(called) != s.calls || s.suspended > 0 && (called[len(called)-1] != s.suspended || !calledAt[len(calledAt)-1].Equal(now)) {
			t.Errorf("%+v: hooks called with %v at %v", s, called, calledAt)
		}
	}
	if got := c.Now().Sub(begin); got != 14*time.Second {
		t.Errorf("%v passed in all, want 14 s", got)
	}
	remove()
	h.pass(time.Minute, time.Minute)
	if c.Now(); len(called) != 2 {
		t.Error("a hook that was removed is called")
	}
}

// TestBootClockIsReadOnlyAfterDrift checks that the boot-time clock, which costs a system call, is
// read only if the other two have moved against each other.
func TestBootClockIsReadOnlyAfterDrift(t *testing.T) {
	h := &fakeClocks{start: time.Now()}
	c := clock.New(h.source())
	for range 1000 {
		h.pass(time.Second, 0)
		c.Now()
	}
	if h.bootReads != 1 {
		t.Errorf("read %d times, want once at the start", h.bootReads)
	}
}

// goClock matches code that reads Go's clock; ioDeadline matches deadlines for Go's own timers.
var (
	goClock    = regexp.MustCompile(`time\.(Now|Since|Until)\b|context\.WithDeadline\(`)
	ioDeadline = regexp.MustCompile(`Set(Read|Write)Deadline\(time\.Now\(\)`)
)

// TestOnlyThisPackageReadsGoClock checks that no other production code reads Go's clock, except for
// deadlines of connections, which use Go's timers.
func TestOnlyThisPackageReadsGoClock(t *testing.T) {
	for _, dir := range []string{"../../internal", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "internal/clock/") {
				return err
			}
			f, err := os.Open(path)
			if err != nil {
				return err
			}
			defer f.Close()
			lines := bufio.NewScanner(f)
			for n := 1; lines.Scan(); n++ {
				if line := lines.Text(); goClock.MatchString(line) && !ioDeadline.MatchString(line) {
					t.Errorf("%s:%d asks Go for the time: %s", path, n, strings.TrimSpace(line))
				}
			}
			return lines.Err()
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// BenchmarkNow measures the cost of reading the time, compared with Go's own clock.
func BenchmarkNow(b *testing.B) {
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			clock.Now()
		}
	})
	b.Run("time", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
}
