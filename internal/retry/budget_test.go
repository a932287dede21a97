package retry_test

import (
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/retry"
)

var start = time.Unix(1000, 0)

// TestBudgetHoldsInEveryWindow sends far too many retries from several nodes and checks their number
// in every span as long as the window.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const nodes, share, extra = 4, 0.2, 52
	window := 10 * time.Second
	var budgets []*retry.Budget
	for range nodes {
		budgets = append(budgets, retry.New(start, retry.Limits{Share: share, Extra: extra, Window: window}, func() int { return nodes }))
	}
	var requests, retries []time.Time
	for ms := 0; ms < 60_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := budgets[(ms/10)%nodes]
		b.Request(now, "p")
		requests = append(requests, now)
		if b.Take(now, "p") {
			retries = append(retries, now)
		}
	}
	if len(retries) == 0 {
		t.Fatal("no retry was allowed")
	}
	for at := time.Duration(0); at < time.Minute; at += 250 * time.Millisecond {
		from, to := start.Add(at), start.Add(at+window)
		n := within(retries, from, to)
		most := max(within(requests, from, to), within(requests, from.Add(-window), from), within(requests, from.Add(-window/2), from.Add(window/2)))
		if float64(n) > share*float64(most)+extra {
			t.Errorf("%d retries in the window from %v, for %d requests", n, at, most)
		}
	}
}

// within counts the times within a span.
func within(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestBudgetRefillsAfterWindow checks that used retries become available again after the window.
func TestBudgetRefillsAfterWindow(t *testing.T) {
	b := retry.New(start, retry.Limits{Extra: 3, Window: 10 * time.Second}, func() int { return 1 })
	for i := range 5 {
		if got := b.Take(start, "p"); got != (i < 3) {
			t.Errorf("take %d: %v", i, got)
		}
	}
	if b.Take(start.Add(9*time.Second), "p") || !b.Take(start.Add(11*time.Second), "p") {
		t.Error("the window does not slide")
	}
	b.SetLimits(retry.Limits{Extra: 0})
	if b.Take(start.Add(30*time.Second), "p") {
		t.Error("new limits are not applied")
	}
}
