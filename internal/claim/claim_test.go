package claim_test

import (
	"context"
	"errors"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/kv"
	"github.com/croftturn/croftturn/internal/wire"
)

// table is an in-memory table that can lose acknowledgements.
type table struct {
	mu       sync.Mutex
	rows     map[string]kv.Row
	loseAcks int
	calls    int
	era      int64
	started  time.Time     // started is when the table's clock read zero; zero if it tells no clock.
	slow     time.Duration // slow is how long a transaction takes.
}

// Get reads a row.
func (t *table) Get(_ context.Context, key string) (kv.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	if now := time.Now(); !t.started.IsZero() {
		row.Read = kv.Moment{Ms: now.Sub(t.started).Milliseconds(), Sent: now, Answered: now}
	}
	return row, nil
}

// List reads rows by prefix.
func (t *table) List(_ context.Context, prefix, after string, limit int) ([]kv.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []kv.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			row.Key = key
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

// Transact checks and writes rows; its acknowledgement may be lost.
func (t *table) Transact(_ context.Context, txn kv.Txn) error {
	time.Sleep(t.slow)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	conflict := &kv.ConflictError{}
	for _, c := range txn.Checks {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return conflict
	}
	for _, p := range txn.Puts {
		if p.Value == nil {
			delete(t.rows, p.Key)
			continue
		}
		t.rows[p.Key] = kv.Row{Key: p.Key, Value: p.Value, Version: t.rows[p.Key].Version + 1}
	}
	if t.loseAcks > 0 {
		t.loseAcks--
		return kv.ErrUncertain
	}
	return nil
}

// Era returns the table's era.
func (t *table) Era() (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, true
}

// newClaimer returns a claimer for a node.
func newClaimer(t *testing.T, tab *table, node string) *claim.Claimer {
	k := claim.NewClaimer(tab, node, 1, time.Millisecond)
	t.Cleanup(k.Close)
	return k
}

// begin begins an attempt on a key that must be unclaimed.
func begin(t *testing.T, k *claim.Claimer, key, id string) *claim.Attempt {
	t.Helper()
	a, err := k.Begin(context.Background(), key, id, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestOneOfManyClaims checks that exactly one of several nodes' concurrent attempts
// claims a key, and that claims of other keys succeed, with acknowledgements lost.
func TestOneOfManyClaims(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}, loseAcks: 3}
	won, others := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	attempts := map[string]*claim.Attempt{} // All begin before any claims.
	for _, node := range []string{"n1", "n2", "n3"} {
		k := newClaimer(t, tab, node)
		for _, key := range []string{"same", "own-" + node, "more-" + node} {
			attempts[node+" "+key] = begin(t, k, key, node+key)
		}
	}
	for name, a := range attempts {
		wg.Go(func() {
			err := a.Claim(context.Background(), time.Now())
			mu.Lock()
			defer mu.Unlock()
			var taken *claim.TakenError
			same := strings.HasSuffix(name, " same")
			switch {
			case err == nil && same:
				won++
			case err == nil:
				others++
			case !same || !errors.As(err, &taken):
				t.Errorf("claim of %s: %v", name, err)
			}
		})
	}
	wg.Wait()
	if won != 1 || others != 6 {
		t.Errorf("%d claims of the shared key and %d of 6 others succeeded", won, others)
	}
}

// fakeForwarder forwards claims to another claimer.
type fakeForwarder struct {
	to          *claim.Claimer
	loseReplies bool
}

// ShouldForward always returns true.
func (*fakeForwarder) ShouldForward() bool { return true }

// Forward forwards a batch; with loseReplies the reply is lost after the write.
func (g *fakeForwarder) Forward(ctx context.Context, batch *wire.ClaimBatch) (*wire.ClaimReply, error) {
	reply, err := g.to.HandleClaims(ctx, batch)
	if err != nil || g.loseReplies {
		return nil, errors.New("the answer was lost")
	}
	return reply.(*wire.ClaimReply), nil
}

// TestAggregator checks with seven nodes forwarding to one that exactly one claim of
// each key succeeds in few transactions, and that a lost reply of the aggregator is
// settled like a lost reply of the platform.
func TestAggregator(t *testing.T) {
	for _, loseReplies := range []bool{false, true} {
		tab := &table{rows: map[string]kv.Row{}}
		aggregator := claim.NewClaimer(tab, "n0", 1, 30*time.Millisecond)
		defer aggregator.Close()
		var mu sync.Mutex
		var wg sync.WaitGroup
		won := map[string]int{}
		for n := range 7 {
			node := string(rune('a' + n))
			k := claim.NewClaimer(tab, node, 1, time.Millisecond, claim.WithForwarder(&fakeForwarder{to: aggregator, loseReplies: loseReplies}))
			defer k.Close()
			for _, key := range []string{"same", "own-" + node} {
				a := begin(t, k, key, node+key)
				wg.Add(1)
				go func() {
					defer wg.Done()
					err := a.Claim(context.Background(), time.Now())
					var taken *claim.TakenError
					if err != nil && !(key == "same" && errors.As(err, &taken)) {
						t.Errorf("claim of %s at %s: %v", key, node, err)
					}
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						won[key]++
					}
				}()
			}
		}
		wg.Wait()
		if won["same"] != 1 || len(won) != 8 {
			t.Errorf("replies lost %v: successful claims %v", loseReplies, won)
		}
		if !loseReplies && tab.calls > 14 {
			t.Errorf("14 claims of 8 keys took %d transactions", tab.calls)
		}
	}
}

func TestVoidEndsEarlierAttempts(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}}
	k := newClaimer(t, tab, "n1")
	stale, refused := begin(t, k, "k", "a1"), begin(t, k, "k", "a2")
	if err := refused.Void(context.Background(), time.Now()); err != nil {
		t.Fatal(err)
	}
	var taken *claim.TakenError
	if err := stale.Claim(context.Background(), time.Now()); !errors.As(err, &taken) || !taken.Void() {
		t.Errorf("claim by an attempt older than the void: %v", err)
	}
	if err := begin(t, k, "k", "a3").Claim(context.Background(), time.Now()); err != nil {
		t.Errorf("claim by a new attempt: %v", err)
	}
}

// TestVoidHoldsUntilItsCallerKnows guards against requests that run though they reached a node before the caller of a refused one
// had its answer, at a platform that takes its time as well.
func TestVoidHoldsUntilItsCallerKnows(t *testing.T) {
	for _, slow := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		tab := &table{rows: map[string]kv.Row{}, started: time.Now().Add(-time.Hour), slow: slow}
		k := newClaimer(t, tab, "n1")
		refused := begin(t, k, "k", "a1")
		err := refused.Void(context.Background(), time.Now())
		if slow == time.Second {
			if !errors.Is(err, claim.ErrUnsettled) {
				t.Errorf("transactions take %v: %v", slow, err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if again := begin(t, k, "k", "a2"); !again.Superseded() { // It reaches its node as the caller gets the answer.
			t.Errorf("transactions take %v: a request that came before the answer may run", slow)
		}
		time.Sleep(time.Until(refused.RetryAt()))
		again := begin(t, k, "k", "a3")
		if again.Superseded() || again.Claim(context.Background(), time.Now()) != nil {
			t.Errorf("transactions take %v: a new try may not run", slow)
		}
	}
}

// TestVoidOverAnotherHolds guards against a key that is reported as not run since another attempt was, whose void does not hold for
// what came after it.
func TestVoidOverAnotherHolds(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}, started: time.Now().Add(-time.Hour)}
	k := newClaimer(t, tab, "n1")
	late, refused := begin(t, k, "k", "a1"), begin(t, k, "k", "a2")
	if err := refused.Void(context.Background(), time.Now()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(refused.RetryAt()))
	reached := time.Now()
	if err := late.Void(context.Background(), time.Now()); err != nil {
		t.Fatal(err)
	}
	if a, err := k.Begin(context.Background(), "k", "a3", reached); err != nil || !a.Superseded() {
		t.Errorf("a request that came before the second refusal may run: %v", err)
	}
}

// TestClaimCanBeVoidedByItsHolder checks that an attempt which claimed a key and then
// found no engine can still void it.
func TestClaimCanBeVoidedByItsHolder(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}}
	a := begin(t, newClaimer(t, tab, "n1"), "k", "a1")
	if err := a.Claim(context.Background(), time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := a.Void(context.Background(), time.Now()); err != nil {
		t.Errorf("void after claim: %v", err)
	}
}

// TestBatching checks that concurrent claims are written in few transactions.
func TestBatching(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}}
	k := claim.NewClaimer(tab, "n1", 1, 50*time.Millisecond)
	defer k.Close()
	var wg sync.WaitGroup
	for i := range 50 {
		a := begin(t, k, strings.Repeat("k", i+1), strings.Repeat("a", i+1))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := a.Claim(context.Background(), time.Now()); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if tab.calls > 10 {
		t.Errorf("50 claims took %d transactions", tab.calls)
	}
}

func TestTickets(t *testing.T) {
	now := time.Unix(1000, 0)
	i := claim.NewIssuer(now, "n1", 7, time.Minute)
	ticket := i.Issue(now, "alfa")
	read, err := claim.ParseTicket(ticket)
	if err != nil || read != (claim.Ticket{Node: "n1", Incarnation: 7}) {
		t.Errorf("ParseTicket() = %+v, %v", read, err)
	}
	for name, tc := range map[string]struct {
		ticket, team string
		at           time.Time
		want         error
	}{
		"good":           {ticket, "alfa", now.Add(59 * time.Second), nil},
		"expired":        {ticket, "alfa", now.Add(61 * time.Second), claim.ErrExpiredTicket},
		"another team's": {ticket, "bravo", now, claim.ErrBadTicket},
		"altered":        {strings.Replace(ticket, ".1.", ".2.", 1), "alfa", now, claim.ErrBadTicket},
		"another start":  {claim.NewIssuer(now, "n1", 7, time.Minute).Issue(now, "alfa"), "alfa", now, claim.ErrBadTicket},
	} {
		if err := i.Verify(tc.at, tc.ticket, tc.team); !errors.Is(err, tc.want) {
			t.Errorf("%s: Verify() = %v, want %v", name, err, tc.want)
		}
	}
}

// TestRegistryRemembersRunsWithoutBodies fills the registry with bodies beyond its
// size limit: the first key must have an unknown outcome and not run again.
func TestRegistryRemembersRunsWithoutBodies(t *testing.T) {
	now := time.Unix(1000, 0)
	r := claim.NewRegistry(time.Minute)
	for i := range 40 {
		run, first := r.Begin(now, strings.Repeat("k", i+1), "a")
		if !first {
			t.Fatal("a new key is not the first")
		}
		r.Finish(now, run, wire.Outcome{State: wire.OutcomeStateDone, Body: make([]byte, 1<<20)})
	}
	run, first := r.Begin(now.Add(14*time.Minute), "k", "b")
	if first || r.Outcome(run).State != wire.OutcomeStateUnknown {
		t.Errorf("first = %v, outcome %q, want a known run with an unknown outcome", first, r.Outcome(run).State)
	}
	if _, first := r.Begin(now.Add(16*time.Minute), "k", "c"); !first {
		t.Error("the key is remembered beyond its retention")
	}
}

func TestSweeperRemovesOnlyExpired(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}}
	k := newClaimer(t, tab, "n1")
	now := time.Now()
	for key, at := range map[string]time.Time{"old": now.Add(-49 * time.Hour), "new": now.Add(-47 * time.Hour)} {
		if err := begin(t, k, key, key).Claim(context.Background(), at); err != nil {
			t.Fatal(err)
		}
	}
	s := claim.NewSweeper(tab, 48*time.Hour, func() bool { return true }, slog.New(slog.DiscardHandler))
	if removed, err := s.SweepPage(context.Background(), now); err != nil || removed != 1 {
		t.Errorf("SweepPage() = %d, %v, want 1", removed, err)
	}
	if _, err := k.Begin(context.Background(), "new", "x", time.Now()); err == nil {
		t.Error("the new claim was removed")
	}
}

// TestClaimLostByThePlatformIsNotClaimedAgain guards against a second run of a key whose claim the platform lost.
func TestClaimLostByThePlatformIsNotClaimedAgain(t *testing.T) {
	ctx, tab := context.Background(), &table{rows: map[string]kv.Row{}}
	a, b := newClaimer(t, tab, "a"), newClaimer(t, tab, "b")
	first := begin(t, a, "key", "first")
	under := begin(t, b, "other", "under way")
	if err := first.Claim(ctx, time.Now()); err != nil {
		t.Fatal(err)
	}
	tab.mu.Lock()
	clear(tab.rows)
	tab.era++
	tab.mu.Unlock()
	if _, err := b.Begin(ctx, "key", "again", time.Now()); !errors.Is(err, claim.ErrUnsettled) {
		t.Errorf("before the claim is written again another attempt gets %v", err)
	}
	if err := under.Claim(ctx, time.Now()); !errors.Is(err, claim.ErrUnsettled) {
		t.Errorf("a claim that began before the return: %v", err)
	}
	a.StoreReturned(ctx)
	a.StoreReturned(ctx)
	var taken *claim.TakenError
	if _, err := b.Begin(ctx, "key", "again", time.Now()); !errors.As(err, &taken) || taken.Record.Attempt != "first" {
		t.Errorf("after it is written again: %v", err)
	}
}

// eraTable is a table as one node sees it, which has not heard of the latest era.
type eraTable struct{ *table }

// Era returns the first era.
func (eraTable) Era() (int64, bool) { return 0, true }

// TestClaimThroughAnAggregatorDoesNotSpanAReturn guards against a second run of a key claimed elsewhere after a return.
func TestClaimThroughAnAggregatorDoesNotSpanAReturn(t *testing.T) {
	tab := &table{rows: map[string]kv.Row{}}
	to := newClaimer(t, tab, "aggregator")
	k := claim.NewClaimer(eraTable{tab}, "n", 1, time.Millisecond, claim.WithForwarder(&fakeForwarder{to: to}))
	t.Cleanup(k.Close)
	a := begin(t, k, "key", "late")
	tab.mu.Lock()
	tab.era++
	tab.mu.Unlock()
	if err := a.Claim(context.Background(), time.Now()); !errors.Is(err, claim.ErrUnsettled) {
		t.Errorf("the claim gets %v", err)
	}
}
