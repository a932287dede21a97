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

// hand is a machine's clocks under the test's hand.
type hand struct {
	mu     sync.Mutex
	steady time.Duration
	boot   time.Duration
	wall   time.Duration // wall is by how much the time of day was stepped.
	reads  int           // reads counts readings of the clock that counts suspension.
	start  time.Time
}

func (h *hand) source() clock.Source {
	return clock.Source{Monotonic: h.steadyTime, Wall: h.day, Boot: h.bootTime}
}

func (h *hand) steadyTime() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start.Add(h.steady)
}

func (h *hand) day(time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start.Add(h.boot + h.wall)
}

func (h *hand) bootTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	return h.boot
}

// pass lets time pass, of which the machine is suspended for a part.
func (h *hand) pass(d, suspended time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.steady += d - suspended
	h.boot += d
}

// step moves the time of day.
func (h *hand) step(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wall += d
}

// TestSuspensionCounts holds that differences count suspension and no step of the time of day, and that
// hooks are called once an absence, before anybody is told the time after it.
func TestSuspensionCounts(t *testing.T) {
	h := &hand{start: time.Now()}
	c := clock.New(h.source())
	var called []time.Duration
	var told []time.Time
	remove := c.OnResume(func(now time.Time, away time.Duration) { called, told = append(called, away), append(told, now) })
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
		if len(called) != s.calls || s.suspended > 0 && (called[len(called)-1] != s.suspended || !told[len(told)-1].Equal(now)) {
			t.Errorf("%+v: hooks called with %v at %v", s, called, told)
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

// TestTheClockIsReadWithoutSystemCalls holds that the clock that counts suspension is read only where the others have moved
// against each other.
func TestTheClockIsReadWithoutSystemCalls(t *testing.T) {
	h := &hand{start: time.Now()}
	c := clock.New(h.source())
	for range 1000 {
		h.pass(time.Second, 0)
		c.Now()
	}
	if h.reads != 1 {
		t.Errorf("read %d times, want once at the start", h.reads)
	}
}

// ownClock matches what asks Go for the time; ioDeadline what hands it to Go's own timers.
var (
	ownClock   = regexp.MustCompile(`time\.(Now|Since|Until)\b|context\.WithDeadline\(`)
	ioDeadline = regexp.MustCompile(`Set(Read|Write)Deadline\(time\.Now\(\)`)
)

// TestAllGoByThisClock holds that nothing in the product asks Go for the time but this package, but for deadlines of
// connections, which go by Go's timers.
func TestAllGoByThisClock(t *testing.T) {
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
				if line := lines.Text(); ownClock.MatchString(line) && !ioDeadline.MatchString(line) {
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

// BenchmarkNow measures what asking for the time costs, beside Go's own.
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
