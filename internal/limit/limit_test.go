package limit_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/limit"
)

var start = time.Unix(1000, 0)

// newLimits returns limits that log nothing.
func newLimits() *limit.Limits { return limit.New(slog.New(slog.DiscardHandler)) }

// TestPermitsKeepToTheRate draws who asks, when and for how long, and holds that permits are used at the rate, with two at
// once at most, that nearly all are given where more are asked for, and that those who can wait longer get most.
func TestPermitsKeepToTheRate(t *testing.T) {
	for _, rate := range []float64{0.2, 0.5, 1, 6, 40} {
		r := rand.New(rand.NewPCG(1, uint64(rate*10)))
		issuer := limit.NewIssuer()
		var used []time.Time
		got := map[time.Duration]int{}
		end := start.Add(time.Duration(400/rate) * time.Second)
		for now := start; now.Before(end); now = now.Add(time.Duration(r.ExpFloat64() / rate / 3 * float64(time.Second))) {
			longest := []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond}[r.IntN(3)]
			wait, ok := issuer.Issue(now, "e", rate, longest)
			if wait > longest && ok || wait <= longest && !ok {
				t.Fatalf("rate %v: issued %v after %v where %v is the longest", rate, ok, wait, longest)
			}
			if ok {
				used = append(used, now.Add(wait))
				got[longest]++
			}
		}
		slices.SortFunc(used, time.Time.Compare)
		for i := range used {
			within := 0
			for _, at := range used[i:] {
				if at.Sub(used[i]) < 4*time.Second {
					within++
				}
			}
			if most := int(math.Ceil(4*rate)) + 2; within > most {
				t.Fatalf("rate %v: %d permits within 4 s, want %d at most", rate, within, most)
			}
		}
		if n := float64(len(used)); n < 0.8*400 {
			t.Errorf("rate %v: %.0f of 400 permits were given", rate, n)
		}
		if got[0] > got[300*time.Millisecond] {
			t.Errorf("rate %v: those that do not wait got %d, those that wait longest %d", rate, got[0], got[300*time.Millisecond])
		}
	}
}

// TestPermitsFollowARateThatChanges holds that a rate that falls counts from the next permit on, and one that rises at once.
func TestPermitsFollowARateThatChanges(t *testing.T) {
	issuer := limit.NewIssuer()
	if wait, ok := issuer.Issue(start, "e", 4, time.Hour); !ok || wait != 250*time.Millisecond {
		t.Fatalf("the first permit of an issuer that knows nothing: %v, %v", wait, ok)
	}
	for range 9 {
		issuer.Issue(start, "e", 4, time.Hour)
	}
	if wait, _ := issuer.Issue(start, "e", 1, 0); wait != 11*time.Second {
		t.Errorf("ten permits ahead at 4 a second are %v at 1", wait)
	}
	if wait, _ := issuer.Issue(start, "e", 10, 0); wait != 1100*time.Millisecond {
		t.Errorf("and %v at 10", wait)
	}
}

// TestWhatEnginesSayOfTheirLimits holds which word of an engine counts, by its own answers and by what peers tell.
func TestWhatEnginesSayOfTheirLimits(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	names := func(l *limit.Limits, ms int, rate float64) { l.Answered(at(ms), at(ms-10), "e", rate, true) }
	told := func(rate float64, ageMs int64) []limit.Told {
		return []limit.Told{{Engine: "e", Rate: rate, AgeMs: ageMs}}
	}
	for _, test := range []struct {
		name string
		said func(l *limit.Limits)
		want float64 // want is the rate that counts then; 0 for none.
	}{
		{"nothing", func(*limit.Limits) {}, 0},
		{"a limit", func(l *limit.Limits) { names(l, 0, 1.2) }, 1.2},
		{"none at all", func(l *limit.Limits) { names(l, 0, 0) }, 0.2},
		{"more than any engine takes", func(l *limit.Limits) { names(l, 0, 1e9) }, 0},
		{"it falls", func(l *limit.Limits) { names(l, 0, 6); names(l, 100, 0.5) }, 0.5},
		{"it ends", func(l *limit.Limits) { names(l, 0, 1); l.Answered(at(50), at(20), "e", 0, false) }, 0},
		{"an answer to a request from before", func(l *limit.Limits) { names(l, 0, 1); l.Answered(at(50), at(-20), "e", 0, false) }, 1},
		{"a peer's word", func(l *limit.Limits) { l.Hear(at(0), told(2, 100)) }, 2},
		{"a peer's older word", func(l *limit.Limits) { names(l, 0, 1); l.Hear(at(100), told(2, 200)) }, 1},
		{"a peer's word that it has ended", func(l *limit.Limits) { names(l, 0, 1); l.Hear(at(100), told(0, 50)) }, 0},
		{"an old word after its end", func(l *limit.Limits) {
			names(l, 0, 1)
			l.Hear(at(100), told(0, 50))
			l.Hear(at(200), told(1, 200))
		}, 0},
		{"what can't be", func(l *limit.Limits) { l.Hear(at(0), told(-1, 0)); l.Hear(at(0), told(1, -5)) }, 0},
		{"started again", func(l *limit.Limits) { names(l, 0, 1); l.Forget("e") }, 0},
		{"not said for long", func(l *limit.Limits) { names(l, -301_000, 1); l.Tell(at(200), time.Second) }, 0},
	} {
		l := newLimits()
		test.said(l)
		rate, _, ok := l.Rate(at(200), "e")
		if _, opens := l.Opens("e"); rate != test.want || ok != (test.want > 0) || opens != ok {
			t.Errorf("%s: rate %v, %v, listed %v, want %v", test.name, rate, ok, opens, test.want)
		}
	}
}

// TestWhatPeersAreToldOfLimits holds that a message is bounded however many engines have limits, begins with what is new, and
// that all come by turns.
func TestWhatPeersAreToldOfLimits(t *testing.T) {
	const engines, most = 1000, 64
	l := newLimits()
	for i := range engines {
		l.Answered(start, start, fmt.Sprint("e", i), 1, true)
	}
	if n := len(l.Tell(start, time.Second)); n != most {
		t.Errorf("%d engines are told of at once, want %d", n, most)
	}
	later := start.Add(time.Minute)
	l.Answered(later, later, "new", 1, true)
	seen := map[string]bool{}
	for range 2 * engines / most {
		list := l.Tell(later, time.Second)
		if list[0].Engine != "new" || len(list) > most {
			t.Fatalf("%d engines are told of, first %s", len(list), list[0].Engine)
		}
		for _, told := range list {
			seen[told.Engine] = true
		}
	}
	if len(seen) != engines+1 {
		t.Errorf("%d engines of %d were told of by turns", len(seen), engines+1)
	}
}

// peers answer calls at the permits of an address.
type peers map[string]*limit.Permits

// Call calls a peer that is there.
func (p peers) Call(ctx context.Context, address, _ string, params, result any) error {
	to := p[address]
	if to == nil {
		return errors.New("gone")
	}
	reply, err := to.Answer(ctx, params.(*limit.PermitRequest))
	if err == nil {
		*result.(*limit.PermitReply) = *reply.(*limit.PermitReply)
	}
	return err
}

// TestPermitsOfOtherNodes holds that a node's permits come from the one that issues them, which hears of the limit with the
// question, that an engine counts as closed where that one is gone or unknown, and that two sides of a cut issue what one did.
func TestPermitsOfOtherNodes(t *testing.T) {
	others := peers{}
	at, known, share := "a", true, 1.0
	place := func(time.Time, string, string) (limit.Place, bool) { return limit.Place{Address: at}, known }
	self := func(time.Time, string, string) (limit.Place, bool) { return limit.Place{Self: true}, true }
	reach := func(time.Time) float64 { return share }
	issuers := newLimits()
	others["a"] = limit.NewPermits(issuers, others, self, reach, slog.New(slog.DiscardHandler))
	l := newLimits()
	p := limit.NewPermits(l, others, place, reach, slog.New(slog.DiscardHandler))
	take := func(longest time.Duration) (time.Duration, bool) {
		permit := p.Take(context.Background(), time.Now(), "h", "e", longest)
		return permit.Wait, permit.Issued
	}
	if _, ok := take(0); !ok {
		t.Error("an engine without a limit needs no permit")
	}
	p.Answered(time.Now(), time.Now(), "e", 2, true)
	if wait, ok := take(time.Second); !ok || wait < 400*time.Millisecond || wait > 600*time.Millisecond {
		t.Errorf("the first permit: %v, %v", wait, ok)
	}
	if rate, _, _ := issuers.Rate(time.Now(), "e"); rate != 2 {
		t.Errorf("the issuer knows of a limit of %v", rate)
	}
	opens := func() time.Duration {
		at, _ := l.Opens("e")
		return time.Until(at)
	}
	if _, ok := take(0); ok || opens() < 500*time.Millisecond {
		t.Errorf("a second one at once: %v, open in %v", ok, opens())
	}
	others["b"] = limit.NewPermits(newLimits(), others, func(time.Time, string, string) (limit.Place, bool) { return limit.Place{Address: "a"}, true }, reach, slog.New(slog.DiscardHandler))
	at = "b"
	if wait, ok := take(time.Second); !ok || wait < 800*time.Millisecond {
		t.Errorf("by a node that does not issue them: %v, %v", wait, ok)
	}
	at = "a"
	share = 0.5
	if wait, ok := take(5 * time.Second); !ok || wait < 2*time.Second {
		t.Errorf("where half of the nodes are reached, a permit after %v, %v", wait, ok)
	}
	for _, lose := range []func(){func() { at = "gone" }, func() { at, known = "a", false }} {
		lose()
		if _, ok := take(time.Minute); ok || opens() <= 0 {
			t.Error("a permit where none issues them")
		}
	}
}
