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

// newLimits returns Limits that log nothing.
func newLimits() *limit.Limits { return limit.New(slog.New(slog.DiscardHandler)) }

// TestPermitsKeepToTheRate issues permits at random times with random longest waits. Permits must be used at the rate, with
// two at once at most; nearly all must be issued if demand is higher; and those with the longest wait must get most.
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
				t.Fatalf("rate %v: %d permits within 4 s, want at most %d", rate, within, most)
			}
		}
		if n := float64(len(used)); n < 0.8*400 {
			t.Errorf("rate %v: %.0f of 400 permits were issued", rate, n)
		}
		if got[0] > got[300*time.Millisecond] {
			t.Errorf("rate %v: those that do not wait got %d, those that wait longest %d", rate, got[0], got[300*time.Millisecond])
		}
	}
}

// TestPermitsFollowARateChange checks that a lower rate applies from the next permit on, and a higher one at once.
func TestPermitsFollowARateChange(t *testing.T) {
	issuer := limit.NewIssuer()
	if wait, ok := issuer.Issue(start, "e", 4, time.Hour); !ok || wait != 250*time.Millisecond {
		t.Fatalf("first permit of a new issuer: %v, %v", wait, ok)
	}
	for range 9 {
		issuer.Issue(start, "e", 4, time.Hour)
	}
	if wait, _ := issuer.Issue(start, "e", 1, 0); wait != 11*time.Second {
		t.Errorf("after ten permits at 4 per second, the wait at 1 per second is %v", wait)
	}
	if wait, _ := issuer.Issue(start, "e", 10, 0); wait != 1100*time.Millisecond {
		t.Errorf("and %v at 10 per second", wait)
	}
}

// TestNewestLimitApplies checks which announcement of a limit applies, from an engine's own answers and from gossip.
func TestNewestLimitApplies(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	announce := func(l *limit.Limits, ms int, rate float64) { l.Answered(at(ms), at(ms-10), "e", rate, true) }
	gossip := func(rate float64, ageMs int64) []limit.GossipEntry {
		return []limit.GossipEntry{{Engine: "e", Rate: rate, AgeMs: ageMs}}
	}
	for _, test := range []struct {
		name   string
		update func(l *limit.Limits)
		want   float64 // want is the rate that applies then; 0 for none.
	}{
		{"nothing", func(*limit.Limits) {}, 0},
		{"a limit", func(l *limit.Limits) { announce(l, 0, 1.2) }, 1.2},
		{"a limit of zero", func(l *limit.Limits) { announce(l, 0, 0) }, 0.2},
		{"above the maximum rate", func(l *limit.Limits) { announce(l, 0, 1e9) }, 0},
		{"lowered", func(l *limit.Limits) { announce(l, 0, 6); announce(l, 100, 0.5) }, 0.5},
		{"ended by an answer", func(l *limit.Limits) { announce(l, 0, 1); l.Answered(at(50), at(20), "e", 0, false) }, 0},
		{"an answer to an earlier request", func(l *limit.Limits) { announce(l, 0, 1); l.Answered(at(50), at(-20), "e", 0, false) }, 1},
		{"gossip", func(l *limit.Limits) { l.MergeGossip(at(0), gossip(2, 100)) }, 2},
		{"older gossip", func(l *limit.Limits) { announce(l, 0, 1); l.MergeGossip(at(100), gossip(2, 200)) }, 1},
		{"gossip of its end", func(l *limit.Limits) { announce(l, 0, 1); l.MergeGossip(at(100), gossip(0, 50)) }, 0},
		{"old gossip after its end", func(l *limit.Limits) {
			announce(l, 0, 1)
			l.MergeGossip(at(100), gossip(0, 50))
			l.MergeGossip(at(200), gossip(1, 200))
		}, 0},
		{"invalid gossip", func(l *limit.Limits) { l.MergeGossip(at(0), gossip(-1, 0)); l.MergeGossip(at(0), gossip(1, -5)) }, 0},
		{"engine restarted", func(l *limit.Limits) { announce(l, 0, 1); l.Forget("e") }, 0},
		{"expired", func(l *limit.Limits) { announce(l, -301_000, 1); l.GossipEntries(at(200), time.Second) }, 0},
	} {
		l := newLimits()
		test.update(l)
		rate, _, ok := l.Rate(at(200), "e")
		if _, opens := l.Opens("e"); rate != test.want || ok != (test.want > 0) || opens != ok {
			t.Errorf("%s: rate %v, %v, listed %v, want %v", test.name, rate, ok, opens, test.want)
		}
	}
}

// TestGossipOfLimitsIsBounded checks that a message is bounded however many engines have limits, starts with new limits, and
// that all limits are sent in rotation.
func TestGossipOfLimitsIsBounded(t *testing.T) {
	const engines, most = 1000, 64
	l := newLimits()
	for i := range engines {
		l.Answered(start, start, fmt.Sprint("e", i), 1, true)
	}
	if n := len(l.GossipEntries(start, time.Second)); n != most {
		t.Errorf("%d engines in one message, want %d", n, most)
	}
	later := start.Add(time.Minute)
	l.Answered(later, later, "new", 1, true)
	seen := map[string]bool{}
	for range 2 * engines / most {
		list := l.GossipEntries(later, time.Second)
		if list[0].Engine != "new" || len(list) > most {
			t.Fatalf("%d engines in the message, the first is %s", len(list), list[0].Engine)
		}
		for _, entry := range list {
			seen[entry.Engine] = true
		}
	}
	if len(seen) != engines+1 {
		t.Errorf("%d of %d engines were sent in rotation", len(seen), engines+1)
	}
}

// peers maps addresses to the Permits that handle their calls.
type peers map[string]*limit.Permits

// Call calls the peer at an address, or fails if there is none.
func (p peers) Call(ctx context.Context, address, _ string, params, result any) error {
	to := p[address]
	if to == nil {
		return errors.New("gone")
	}
	reply, err := to.HandleRequest(ctx, params.(*limit.PermitRequest))
	if err == nil {
		*result.(*limit.PermitReply) = *reply.(*limit.PermitReply)
	}
	return err
}

// TestPermitsFromAnotherNode checks that permits come from the issuer node, which learns of the limit from the request, that no
// permit is available if the issuer is gone or unknown, and that the two sides of a partition together keep to the rate.
func TestPermitsFromAnotherNode(t *testing.T) {
	others := peers{}
	at, known, share := "a", true, 1.0
	lookup := func(time.Time, string, string) (limit.IssuerNode, bool) { return limit.IssuerNode{Address: at}, known }
	self := func(time.Time, string, string) (limit.IssuerNode, bool) { return limit.IssuerNode{Self: true}, true }
	reach := func(time.Time) float64 { return share }
	issuers := newLimits()
	others["a"] = limit.NewPermits(issuers, others, self, reach, slog.New(slog.DiscardHandler))
	l := newLimits()
	p := limit.NewPermits(l, others, lookup, reach, slog.New(slog.DiscardHandler))
	take := func(longest time.Duration) (time.Duration, bool) {
		permit := p.Take(context.Background(), time.Now(), "h", "e", longest)
		return permit.Wait, permit.Issued
	}
	if _, ok := take(0); !ok {
		t.Error("an engine without a limit must not need a permit")
	}
	p.Answered(time.Now(), time.Now(), "e", 2, true)
	if wait, ok := take(time.Second); !ok || wait < 400*time.Millisecond || wait > 600*time.Millisecond {
		t.Errorf("first permit: %v, %v", wait, ok)
	}
	if rate, _, _ := issuers.Rate(time.Now(), "e"); rate != 2 {
		t.Errorf("the issuer has a limit of %v", rate)
	}
	opens := func() time.Duration {
		at, _ := l.Opens("e")
		return time.Until(at)
	}
	if _, ok := take(0); ok || opens() < 500*time.Millisecond {
		t.Errorf("second permit without a wait: %v, next permit in %v", ok, opens())
	}
	others["b"] = limit.NewPermits(newLimits(), others, func(time.Time, string, string) (limit.IssuerNode, bool) { return limit.IssuerNode{Address: "a"}, true }, reach, slog.New(slog.DiscardHandler))
	at = "b"
	if wait, ok := take(time.Second); !ok || wait < 800*time.Millisecond {
		t.Errorf("through a node that does not issue the permits: %v, %v", wait, ok)
	}
	at = "a"
	share = 0.5
	if wait, ok := take(5 * time.Second); !ok || wait < 2*time.Second {
		t.Errorf("with half of the nodes reachable: permit after %v, %v", wait, ok)
	}
	for _, lose := range []func(){func() { at = "gone" }, func() { at, known = "a", false }} {
		lose()
		if _, ok := take(time.Minute); ok || opens() <= 0 {
			t.Error("permit issued without a reachable issuer")
		}
	}
}
