package uplink

import (
	"context"
	"testing"
	"time"
)

// TestQueueOfALinkStaysShort guards against requests that are let out while others are still queued in the link, and
// against a link that is left idle while requests wait.
func TestQueueOfALinkStaysShort(t *testing.T) {
	link, begin := New(8), time.Unix(1000, 0) // A megabyte a second.
	var waiting []*waiter
	for n := range 200 {
		w := &waiter{tier: n % 3, bytes: 10_000, wake: make(chan struct{}, 1)}
		if link.enter(begin, w, 300*time.Millisecond) {
			waiting = append(waiting, w)
		}
	}
	out, tiers := 0, [3]int{}
	for now := begin; now.Before(begin.Add(300 * time.Millisecond)); now = now.Add(time.Millisecond) {
		for _, w := range waiting {
			if link.waiting[0] != w {
				continue
			}
			if _, ok := link.tryLeave(now, w); ok {
				out++
				tiers[w.tier]++
			}
			break
		}
		if queued := link.Queue(now); queued > maxQueue+11*time.Millisecond {
			t.Fatalf("the link takes %v for its queue", queued)
		}
	}
	if out < 29 || out > 32 {
		t.Errorf("%d requests were let out in 300 ms, of tiers %v; the link takes 29 and the queue 3 more", out, tiers)
	}
	if tiers[1]+tiers[2] > 0 {
		t.Errorf("requests of lower tiers were let out before those of the highest: %v", tiers)
	}
}

// TestWaitThatWouldTakeTooLongIsRefusedAtOnce guards against callers that wait for a link in vain.
func TestWaitThatWouldTakeTooLongIsRefusedAtOnce(t *testing.T) {
	link, now := New(8), time.Unix(1000, 0)
	link.Sent(now, 300_000)
	w := &waiter{bytes: 100, wake: make(chan struct{}, 1)}
	if link.enter(now, w, 50*time.Millisecond) {
		t.Error("a request waits for 50 ms where the link is busy for 300 ms")
	}
	if !link.enter(now, w, 400*time.Millisecond) {
		t.Error("a request that can wait for the link was refused")
	}
}

// TestRequestsThatAreGivenUpHoldNoneUp guards against requests that stay in the queue when their context has ended.
func TestRequestsThatAreGivenUpHoldNoneUp(t *testing.T) {
	link, now := New(8), time.Now()
	link.Sent(now, 300_000)
	ctx, cancel := context.WithCancel(context.Background())
	given, next := make(chan bool), make(chan bool)
	go func() { given <- link.Await(ctx, now, 0, 100_000, time.Minute) }()
	for len(link.queued()) == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() { next <- link.Await(context.Background(), now, 0, 100, time.Minute) }()
	cancel()
	if <-given {
		t.Error("a request that was given up was let out")
	}
	if !<-next {
		t.Error("the request after it was not let out")
	}
	if !(*Link)(nil).Await(context.Background(), now, 0, 1, 0) {
		t.Error("an unknown link held a request up")
	}
}

// queued returns the requests that wait.
func (l *Link) queued() []*waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}
