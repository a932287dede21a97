package edge

import (
	"sync"
	"testing"
	"time"
)

const (
	// standstillBeat is how often a process that runs is seen to run.
	standstillBeat = time.Millisecond

	// minStandstill is how long a process must not have run for a standstill.
	minStandstill = 10 * time.Millisecond
)

// standstills records when the process of a test did not run. What nodes have to do within a time is
// counted without these, as on a machine that gives the process its time.
type standstills struct {
	mu    sync.Mutex
	spans []span
}

// span is a time in which a process did not run.
type span struct{ from, to time.Time }

// watchStandstills records standstills until the end of the test.
func watchStandstills(t *testing.T) *standstills {
	t.Helper()
	s, done := &standstills{}, make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		last := time.Now()
		for tick := time.Tick(standstillBeat); ; {
			select {
			case <-done:
				return
			case <-tick:
			}
			now := time.Now()
			s.beat(last, now)
			last = now
		}
	})
	t.Cleanup(func() { close(done); wg.Wait() })
	return s
}

// beat records that the process ran at two times and was not seen to between them.
func (s *standstills) beat(last, now time.Time) {
	if now.Sub(last) < minStandstill {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans = append(s.spans, span{last, now})
}

// after returns when the process has run for a duration since a time.
func (s *standstills) after(from time.Time, d time.Duration) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := from.Add(d)
	for _, each := range s.spans {
		if each.from.After(end) {
			break
		}
		if each.from.Before(from) {
			each.from = from
		}
		end = end.Add(max(each.to.Sub(each.from), 0))
	}
	return end
}

// TestStandstillsExtendATime guards against bounds that end too late: only standstills from their
// begin to their end extend them.
func TestStandstillsExtendATime(t *testing.T) {
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	s := &standstills{}
	for _, each := range [][2]int{{-500, -400}, {-100, 100}, {110, 118}, {500, 800}, {1350, 1450}, {1501, 2000}} {
		s.beat(at(each[0]), at(each[1]))
	}
	for d, want := range map[int]int{0: 100, 300: 400, 900: 1300, 1000: 1500} {
		if got := s.after(begin, time.Duration(d)*time.Millisecond); !got.Equal(at(want)) {
			t.Errorf("%d ms have passed after %v, want %d ms", d, got.Sub(begin), want)
		}
	}
}
