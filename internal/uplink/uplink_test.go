package uplink_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/uplink"
)

// TestQueueOfALinkStaysShort guards against requests that are let out while others are still queued in the link.
func TestQueueOfALinkStaysShort(t *testing.T) {
	link := uplink.New(8) // A megabyte a second.
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var longest time.Duration
	out := 0
	for n := range 200 {
		wg.Go(func() {
			if !link.Await(context.Background(), begin, n%3, 10_000, 300*time.Millisecond) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out++
			longest = max(longest, link.Queue(time.Now()))
		})
	}
	wg.Wait()
	if longest > 50*time.Millisecond {
		t.Errorf("the queue of the link took %v", longest)
	}
	if out < 20 || out > 40 {
		t.Errorf("%d requests were let out in 300 ms, the link takes 29", out)
	}
}

// TestMoreUrgentRequestsLeaveFirst guards against a full link that is shared without regard to tiers.
func TestMoreUrgentRequestsLeaveFirst(t *testing.T) {
	link, now := uplink.New(8), time.Now()
	link.Sent(now, 200_000)
	left := make(chan int, 4)
	for _, tier := range []int{2, 1, 2, 0} {
		go func() {
			if link.Await(context.Background(), now, tier, 50_000, time.Minute) {
				left <- tier
			}
		}()
		time.Sleep(10 * time.Millisecond) // They come in this order.
	}
	for _, want := range []int{0, 1, 2, 2} {
		if tier := <-left; tier != want {
			t.Fatalf("a request of tier %d left, want %d", tier, want)
		}
	}
}

// TestWaitsForALinkEnd guards against requests that are forgotten in the queue, or hold others up that come after.
func TestWaitsForALinkEnd(t *testing.T) {
	link, now := uplink.New(8), time.Now()
	link.Sent(now, 300_000)
	if begin := time.Now(); link.Await(context.Background(), now, 0, 100, 50*time.Millisecond) || time.Since(begin) > 40*time.Millisecond {
		t.Errorf("a wait that would take too long was not refused at once")
	}
	ctx, cancel := context.WithCancel(context.Background())
	given := make(chan bool)
	go func() { given <- link.Await(ctx, now, 0, 100_000, time.Minute) }()
	time.Sleep(10 * time.Millisecond)
	next := make(chan time.Duration)
	go func() {
		link.Await(context.Background(), now, 0, 100, time.Minute)
		next <- time.Since(now)
	}()
	cancel()
	if <-given {
		t.Error("a request that was given up was let out")
	}
	if took := <-next; took > 380*time.Millisecond {
		t.Errorf("the request after it was let out after %v", took)
	}
	if !(*uplink.Link)(nil).Await(context.Background(), now, 0, 1, 0) {
		t.Error("an unknown link held a request up")
	}
}
