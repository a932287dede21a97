package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/queue"
	"pgregory.net/rapid"
)

var (
	start   = time.Unix(1000, 0)
	classes = []queue.Class{
		{Name: "confirm", Tier: 1, MaxWait: time.Second, Target: 300 * time.Millisecond},
		{Name: "offer", Tier: 2, MinShare: 0.2, MaxWait: 5 * time.Second},
		{Name: "explain", Tier: 3, MinShare: 0.1, MaxWait: time.Minute},
	}
	tiers = map[string]int{"confirm": 1, "offer": 2, "explain": 3}
)

// TestMain fixes the seed of the property tests for reproducible runs;
// -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// push adds a request and returns the one that was rejected or shed, or nil.
func push(q *queue.Queue, now time.Time, it *queue.Item) *queue.Item {
	if !q.Add(now, it) {
		return it
	}
	return q.Shed()
}

// item returns a request that arrived at the given time after start.
func item(id, class, team string, at time.Duration) *queue.Item {
	return &queue.Item{ID: id, Class: class, Team: team, Weight: 1, Cost: 100, Arrived: start.Add(at)}
}

func TestHigherTierGoesFirst(t *testing.T) {
	q := queue.New(10, classes)
	push(q, start, item("a", "explain", "x", 0))
	push(q, start, item("b", "confirm", "x", 1))
	if got := q.Pop(start).ID; got != "b" {
		t.Errorf("Pop() = %s, want b", got)
	}
}

func TestMinShareHoldsUnderLoadOfHigherTier(t *testing.T) {
	q := queue.New(1000, classes)
	served := map[string]int{}
	for i := 0; i < 2000; i++ {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		push(q, now, item(fmt.Sprint("c", i), "confirm", "x", now.Sub(start)))
		if i%2 == 0 {
			push(q, now, item(fmt.Sprint("e", i), "explain", "x", now.Sub(start)))
		}
		served[q.Pop(now).Class]++
		q.Expire(now)
	}
	if share := float64(served["explain"]) / 2000; share < 0.09 || share > 0.12 {
		t.Errorf("explain got a share of %.3f, want about 0.1", share)
	}
}

func TestTeamsShareByWeight(t *testing.T) {
	q := queue.New(1000, classes)
	for i := 0; i < 100; i++ {
		heavy := item(fmt.Sprint("h", i), "offer", "heavy", 0)
		heavy.Weight = 3
		push(q, start, heavy)
		push(q, start, item(fmt.Sprint("l", i), "offer", "light", 0))
	}
	got := map[string]int{}
	for i := 0; i < 80; i++ {
		got[q.Pop(start).Team]++
	}
	if got["heavy"] < 58 || got["heavy"] > 62 {
		t.Errorf("heavy got %d of 80, want 60", got["heavy"])
	}
}

func TestLateRequestsGoBehindFreshOnes(t *testing.T) {
	q := queue.New(10, classes)
	push(q, start, item("old", "confirm", "x", 0))
	now := start.Add(400 * time.Millisecond)
	push(q, now, item("new", "confirm", "x", 390*time.Millisecond))
	if got := q.Pop(now).ID; got != "new" {
		t.Errorf("Pop() = %s, want new", got)
	}
	if got := q.Pop(now).ID; got != "old" {
		t.Errorf("Pop() = %s, want old", got)
	}
}

func TestClassLimitRejectsNewest(t *testing.T) {
	q := queue.New(10, []queue.Class{{Name: "confirm", Tier: 1, Limit: 1, MaxWait: time.Second}})
	push(q, start, item("a", "confirm", "x", 0))
	b := item("b", "confirm", "x", 1)
	if got := push(q, start, b); got != b {
		t.Errorf("push() rejected %v, want b", got)
	}
}

// TestSheddingKeepsTiers checks with random arrivals that no request is shed while
// one of a lower tier keeps waiting, except for the last request of a class, which
// its minimum share may protect.
func TestSheddingKeepsTiers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(rapid.IntRange(3, 8).Draw(t, "limit"), classes)
		now := start
		waiting := map[string]*queue.Item{}
		for i := 0; i < 60; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "pop") {
				if it := q.Pop(now); it != nil {
					delete(waiting, it.ID)
				}
				continue
			}
			class := classes[rapid.IntRange(0, 2).Draw(t, "class")].Name
			it := item(fmt.Sprint(i), class, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"), now.Sub(start))
			waiting[it.ID] = it
			shed := push(q, now, it)
			if shed == nil {
				continue
			}
			delete(waiting, shed.ID)
			checkShed(t, shed, waiting)
		}
		if q.Len() != len(waiting) {
			t.Fatalf("Len() = %d, want %d", q.Len(), len(waiting))
		}
	})
}

// checkShed fails if a class of a lower tier than the shed request has more than
// one waiting request.
func checkShed(t *rapid.T, shed *queue.Item, waiting map[string]*queue.Item) {
	lower := map[string]int{}
	for _, it := range waiting {
		if tiers[it.Class] > tiers[shed.Class] {
			lower[it.Class]++
		}
	}
	for class, n := range lower {
		if n > 1 {
			t.Fatalf("shed %s of %s while %d of %s wait", shed.ID, shed.Class, n, class)
		}
	}
}
