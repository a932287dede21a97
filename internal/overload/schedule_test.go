package overload

import (
	"testing"
	"time"
)

// TestPromiseAsOfATimeBeforeTheFirstOne guards against refusals that panic because their requests had read the clock before those
// that were refused first.
func TestPromiseAsOfATimeBeforeTheFirstOne(t *testing.T) {
	var s schedule
	now := time.Unix(1000, 0)
	s.promise(now, time.Millisecond, 0, 0, time.Millisecond)
	for back := time.Duration(0); back < 20*slotLength; back += slotLength / 2 {
		if wait := s.promise(now.Add(-back), time.Millisecond, 0, slotLength, time.Millisecond); wait < 0 || wait > 2*slotLength {
			t.Errorf("%v before the first promise: promised after %v", back, wait)
		}
	}
}
