// Package uplink keeps the queue of a machine's link short. Bytes that were written leave in order, whoever waits
// for them, so that a request which has waited long in a full link is still sent when its caller has left. What can be
// withheld waits here instead, until little is queued before it.
package uplink

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
)

const (
	// maxQueue is the longest queue, as the time that the link takes for it, at which another request is let out. It
	// keeps the link busy while the next request is woken.
	maxQueue = 25 * time.Millisecond

	// segmentBytes is the payload of a full packet, and headerBytes the length of its headers, on Ethernet.
	segmentBytes = 1448
	headerBytes  = 66
)

type (
	// Link is the link of this machine to the network. It is safe for concurrent use. A nil Link has no limit.
	Link struct {
		perByte float64 // perByte is the time that a byte takes, in nanoseconds.

		mu      sync.Mutex
		clearAt time.Time // clearAt is when all that was written will have left.
		waiting []*waiter // waiting is in the order in which they are let out.
	}

	// waiter is a request that waits for the link.
	waiter struct {
		tier  int
		bytes int
		wake  chan struct{} // wake is sent to when no other goes before it.
	}
)

// New returns a link of a bandwidth in megabits a second, nil if it is 0, for unknown.
func New(mbps float64) *Link {
	if mbps <= 0 {
		return nil
	}
	return &Link{perByte: 8e3 / mbps}
}

// Sent counts bytes that were written to a connection, or as a datagram.
func (l *Link) Sent(now time.Time, bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(now, bytes)
}

// Queue returns how long the link takes for what is queued in it.
func (l *Link) Queue(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue(now)
}

// Await waits until the link may take a request of a tier, the highest tier first, and counts its bytes as sent. It
// returns false, at once if that can be foreseen, where this takes longer than a given time, and when the context
// ends.
func (l *Link) Await(ctx context.Context, now time.Time, tier, bytes int, longest time.Duration) bool {
	if l == nil {
		return true
	}
	w := &waiter{tier: tier, bytes: bytes, wake: make(chan struct{}, 1)}
	if !l.enter(now, w, longest) {
		return false
	}
	until := now.Add(longest)
	for ; ; now = clock.Now() {
		wait, out := l.tryLeave(now, w)
		if out {
			return true
		}
		left := until.Sub(now)
		if left <= 0 || ctx.Err() != nil {
			return l.giveUp(w)
		}
		pause.ForOrWake(ctx, min(wait, left), w.wake)
	}
}

// enter makes a request wait, unless those before it take too long.
func (l *Link) enter(now time.Time, w *waiter, longest time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ahead := len(l.waiting), 0
	for at > 0 && w.tier < l.waiting[at-1].tier {
		at--
	}
	for _, o := range l.waiting[:at] {
		ahead += o.bytes
	}
	if l.queue(now)+l.duration(ahead)-maxQueue > max(0, longest) {
		return false
	}
	l.waiting = slices.Insert(l.waiting, at, w)
	return true
}

// tryLeave lets a request out if no other goes before it and the link's queue is short. Otherwise it returns how long
// that takes at least.
func (l *Link) tryLeave(now time.Time, w *waiter) (wait time.Duration, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting[0] != w {
		return time.Hour, false // The one before it wakes it.
	}
	if wait = l.queue(now) - maxQueue; wait > 0 {
		return wait, false
	}
	l.remove(w)
	l.add(now, w.bytes)
	return 0, true
}

// giveUp removes a request that waits no longer. It returns false.
func (l *Link) giveUp(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(w)
	return false
}

// remove removes a request and wakes the one that is first then. The caller holds the lock.
func (l *Link) remove(w *waiter) {
	at := slices.Index(l.waiting, w)
	l.waiting = slices.Delete(l.waiting, at, at+1)
	if len(l.waiting) > 0 {
		select {
		case l.waiting[0].wake <- struct{}{}:
		default: // It is awake, or about to be.
		}
	}
}

// add counts bytes as queued. The caller holds the lock.
func (l *Link) add(now time.Time, bytes int) {
	if l.clearAt.Before(now) {
		l.clearAt = now
	}
	l.clearAt = l.clearAt.Add(l.duration(bytes + headerBytes*(1+bytes/segmentBytes)))
}

// queue returns how long the link takes for what is queued. The caller holds the lock.
func (l *Link) queue(now time.Time) time.Duration { return max(0, l.clearAt.Sub(now)) }

// duration returns how long the link takes for some bytes.
func (l *Link) duration(bytes int) time.Duration {
	return time.Duration(l.perByte * float64(bytes))
}
