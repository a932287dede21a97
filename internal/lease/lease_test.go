package lease

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

var (
	timing = Timing{TTL: 2 * time.Second, Margin: 300 * time.Millisecond, ReturnDelay: 3 * time.Second}
	start  = time.Unix(1000, 0)
)

// at returns the time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// store is the row in the platform's store.
type store struct {
	record  Record
	version int64
	era     int64
	written bool    // written is set once the row was written in the present era.
	earlier []store // earlier holds the states before, the newest last.
}

// at returns the position of the row.
func (s *store) at() history.Position { return history.Position{Era: s.era, Version: s.version} }

// write applies a write if its condition holds. One that was sent before a return may still be applied as long as
// the row is as in the copy.
func (s *store) write(r Record, expect history.Position) bool {
	if expect != s.at() && (s.written || expect.Era > s.era || expect.Version != s.version) {
		return false
	}
	s.earlier = append(s.earlier, store{record: s.record, version: s.version})
	s.record, s.written = r, true
	s.version++
	return true
}

// goBack makes the store come back as it was some writes before.
func (s *store) goBack(writes int) {
	if writes = min(writes, len(s.earlier)); writes > 0 {
		to := s.earlier[len(s.earlier)-writes]
		s.record, s.version, s.earlier = to.record, to.version, s.earlier[:len(s.earlier)-writes]
	}
	s.era, s.written = s.era+1, false
}

// TestTermStartsWhenTheWriteIsSent checks that a term lasts for the TTL from the time its renewal was sent, not from the
// time of the answer, and that a renewal whose answer was lost counts once it is seen in the row.
func TestTermStartsWhenTheWriteIsSent(t *testing.T) {
	s, l := &store{}, New("a", "a:1", timing)
	l.Observe(at(0), s.record, s.at())
	s.write(l.Acquire(at(10)))
	l.WriteSucceeded(at(900), s.at())
	if _, ok := l.Holds(at(2009)); !ok {
		t.Error("the term ended before its TTL")
	}
	if _, ok := l.Holds(at(2010)); ok {
		t.Error("the term continues after its TTL, counted from the time of sending")
	}
	s.write(l.Renew(at(1500)))
	l.WriteUncertain()
	if _, ok := l.Holds(at(2011)); ok {
		t.Error("a renewal of unknown outcome extends the term")
	}
	l.Observe(at(1900), s.record, s.at())
	if _, ok := l.Holds(at(3499)); !ok {
		t.Error("a renewal that was applied does not extend the term, since its answer was lost")
	}
	if _, ok := l.Holds(at(3500)); ok {
		t.Error("the renewal counts from the time it was seen")
	}
}

// TestTakeoverWaitsForExpiry checks that a row must have been seen unchanged for the TTL and the margin, that a
// renewal restarts this wait, and that a released lease can be acquired at once.
func TestTakeoverWaitsForExpiry(t *testing.T) {
	s, a, b := &store{}, New("a", "", timing), New("b", "", timing)
	a.Observe(at(0), s.record, s.at())
	s.write(a.Acquire(at(0)))
	a.WriteSucceeded(at(5), s.at())
	b.Observe(at(100), s.record, s.at())
	if from, ok := b.AcquirableAt(); !ok || from != at(2400) {
		t.Errorf("b may take over from %v on, want 2.4 s", from.Sub(start))
	}
	stale, expect := b.Acquire(at(2400))
	s.write(a.Renew(at(1000)))
	a.WriteSucceeded(at(1005), s.at())
	if s.write(stale, expect) {
		t.Error("b took over although the lease was renewed")
	}
	b.WriteConflicted()
	if _, ok := b.AcquirableAt(); ok {
		t.Error("b may take over before reading the row")
	}
	s.write(a.Release(at(1500)))
	if _, ok := a.Holds(at(1501)); ok {
		t.Error("a acts after its release")
	}
	b.Observe(at(1600), s.record, s.at())
	if from, _ := b.AcquirableAt(); from != at(1600) {
		t.Errorf("b waits until %v for a released lease", from.Sub(start))
	}
	s.write(b.Acquire(at(1600)))
	b.WriteSucceeded(at(1605), s.at())
	if term, ok := b.Holds(at(1700)); !ok || term.Token != 2 {
		t.Errorf("b has term %+v, %v", term, ok)
	}
}

// TestExpiredTermIsResumed checks that a holder whose renewals failed continues as soon as one succeeds, without waiting
// for expiry, as long as nobody took over; and that it does not after its release, or as another process.
func TestExpiredTermIsResumed(t *testing.T) {
	s, a, b := &store{}, New("a", "", timing), New("b", "", timing)
	a.Observe(at(0), s.record, s.at())
	s.write(a.Acquire(at(0)))
	a.WriteSucceeded(at(5), s.at())
	a.Renew(at(1000)) // It does not reach the store.
	a.WriteUncertain()
	a.Observe(at(5000), s.record, s.at())
	if _, ok := a.Holds(at(5000)); ok || !a.CanResume() {
		t.Errorf("holds %v, can resume %v", ok, a.CanResume())
	}
	b.Observe(at(2600), s.record, s.at())
	taken, expect := b.Acquire(at(5005))
	if !s.write(a.Renew(at(5000))) || s.write(taken, expect) {
		t.Error("want the renewal applied and the takeover rejected")
	}
	a.WriteSucceeded(at(5010), s.at())
	if term, ok := a.Holds(at(6999)); !ok || term.Token != 1 {
		t.Errorf("after the renewal: %+v, %v", term, ok)
	}
	again := New("a", "", timing)
	again.Observe(at(6000), s.record, s.at())
	if again.CanResume() {
		t.Error("another process of the node resumes its term")
	}
	s.write(a.Release(at(6500)))
	a.WriteSucceeded(at(6505), s.at())
	if a.CanResume() {
		t.Error("a released term is resumed")
	}
}

// TestTermLostByTheStoreIsNotRepeated guards against a second holder and a reused token after a return.
func TestTermLostByTheStoreIsNotRepeated(t *testing.T) {
	s, a, b := &store{}, New("a", "", timing), New("b", "", timing)
	a.Observe(at(0), s.record, s.at())
	s.write(a.Acquire(at(0)))
	a.WriteSucceeded(at(5), s.at())
	s.write(a.Release(at(100)))
	b.Observe(at(110), s.record, s.at())
	s.write(b.Acquire(at(110)))
	b.WriteSucceeded(at(115), s.at())
	lost, _ := b.Holds(at(120))
	s.goBack(1)
	c := New("c", "", timing)
	c.Observe(at(200), s.record, s.at())
	if from, _ := c.AcquirableAt(); from != at(200+2300) {
		t.Errorf("the copy says that the lease is free, and it is taken after %v", from.Sub(at(200)))
	}
	b.Observe(at(300), s.record, s.at())
	if _, ok := b.Holds(at(301)); ok {
		t.Error("the holder of the lost term goes on without its row")
	}
	s.write(c.Acquire(at(2500)))
	c.WriteSucceeded(at(2505), s.at())
	if term, ok := c.Holds(at(2510)); !ok || term.Token <= lost.Token {
		t.Errorf("the new term has token %d, %v; the lost one had %d", term.Token, ok, lost.Token)
	}
}

// TestFormerHolderWaitsForTheReturnDelay checks that a former holder does not acquire the lease within ReturnDelay after
// another node's term, also if it has restarted.
func TestFormerHolderWaitsForTheReturnDelay(t *testing.T) {
	s, a, b := &store{}, New("a", "", timing), New("b", "", timing)
	a.Observe(at(0), s.record, s.at())
	s.write(a.Acquire(at(0)))
	a.WriteSucceeded(at(5), s.at())
	s.write(a.Release(at(100)))
	b.Observe(at(110), s.record, s.at())
	s.write(b.Acquire(at(110)))
	b.WriteSucceeded(at(115), s.at())
	s.write(b.Release(at(120)))
	again := New("a", "", timing)
	again.Observe(at(130), s.record, s.at())
	if from, _ := again.AcquirableAt(); from.Before(at(130 + 3000)) {
		t.Errorf("a comes back %v after the start", from.Sub(start))
	}
	c := New("c", "", timing)
	c.Observe(at(130), s.record, s.at())
	if from, _ := c.AcquirableAt(); from != at(130) {
		t.Errorf("c waits until %v", from.Sub(start))
	}
}

// TestTokensOfLaterErasAreHigher guards against tokens that overflow or lose digits with a large era.
func TestTokensOfLaterErasAreHigher(t *testing.T) {
	const exact = 1 << 53 // exact is the largest number up to which all whole numbers survive readers that take them for floating-point ones.
	last := int64(0)
	for _, era := range []int64{0, 1, 2, 1000, 1 << 28} {
		l := New("a", "", timing)
		l.Observe(at(0), Record{Token: last, Holder: "b"}, history.Position{Era: era, Version: 1})
		r, _ := l.Acquire(at(9000))
		if r.Token <= last || r.Token >= exact {
			t.Errorf("era %d: token %d after %d", era, r.Token, last)
		}
		last = r.Token
	}
}
