package broker

import (
	"fmt"
	"math"
	"time"

	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/wire"
)

// refuseItem refuses a request that was removed from the queue.
func (p *Pool) refuseItem(now time.Time, it *queue.Item, reason string) {
	w := it.Value.(*waiter)
	p.removeWaiter(w)
	ahead := p.queue.Ahead(p.classes[it.Class].Tier)
	why := fmt.Sprintf("%d wait in its tier or higher, %.1f a second get a place", ahead, p.drainRate(now))
	w.refuse(reason, p.retryAfter(now, ahead), why)
}

// shed refuses requests while too many wait, once all requests that waited at the previous
// broker have had time to ask here.
func (p *Pool) shed(now time.Time) {
	if !p.queueComplete(now) {
		return
	}
	for it := p.queue.Shed(); it != nil; it = p.queue.Shed() {
		p.refuseItem(now, it, ReasonQueueFull)
	}
}

// queueComplete reports whether the queue holds all waiting requests, rather than only the
// first ones to reach a new broker.
func (p *Pool) queueComplete(now time.Time) bool {
	if p.shedAfter.IsZero() && !p.rebuilding(now) {
		p.shedAfter = now.Add(shedGracePeriod)
	}
	return !p.shedAfter.IsZero() && !now.Before(p.shedAfter)
}

// refuse answers the request with a refusal.
func (w *waiter) refuse(reason string, wait time.Duration, why string) {
	w.reply <- wire.Grant{Refusal: reason, RetryAfterMs: int(wait.Milliseconds()), Why: why}
}

// retryAfter returns how long a refused caller should wait: until the queue ahead
// has drained, with retries spaced at the drain rate, so that callers refused
// together do not retry together.
func (p *Pool) retryAfter(now time.Time, ahead int) time.Duration {
	each := time.Duration(float64(time.Second) / p.drainRate(now))
	at := now.Add(time.Duration(ahead) * each)
	if p.nextRetryAt.After(at) {
		at = p.nextRetryAt
	}
	p.nextRetryAt = at.Add(each)
	if wait := at.Sub(now); wait > maxRetryAfter {
		p.nextRetryAt = now
		return maxRetryAfter
	}
	return max(at.Sub(now), each)
}

// countGrant adds a grant to the drain rate.
func (p *Pool) countGrant(now time.Time) {
	p.grants = p.grants*math.Exp2(-float64(now.Sub(p.grantsAt))/float64(rateHalfLife)) + 1
	p.grantsAt = now
}

// drainRate returns how many requests a second are granted a slot.
func (p *Pool) drainRate(now time.Time) float64 {
	n := p.grants * math.Exp2(-float64(now.Sub(p.grantsAt))/float64(rateHalfLife))
	return math.Max(minDrainRate, n*math.Ln2/rateHalfLife.Seconds())
}
