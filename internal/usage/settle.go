package usage

import (
	"strings"
	"time"
)

const (
	// quietMost is for how long after a node's last count it goes on telling that there are no more, and waitsFor how long
	// after that it is waited for when a window ends.
	idleReportPeriod = 15 * time.Second
	nodeWaitPeriod   = idleReportPeriod - 3*emptyReportInterval

	// settleLeast is how long after its end a window is settled at the earliest: nodes send four times a second.
	minSettleDelay = 1500 * time.Millisecond

	// settleShare of the time until a window is due is how long nodes that are not heard are waited for, as where they are
	// cut off. The rest is what a new holder takes: 1.2 s until the one before is missed, 2.3 s to wait its lease out.
	nodeWaitShare = 0.65

	// settleMost of that time is up to when a new holder listens before it settles a window: nodes send it again what the
	// holder before had not written.
	listenShare = 0.9

	// windowsMost is how many windows may be unsettled or unsent; after a longer outage the oldest are given up.
	maxOpenWindows = 80
)

// Settle settles the windows of which all that can be heard was heard, or that can't wait longer, the earliest first. A
// settled window is to be written before it is sent.
func (l *Ledger) Settle(now time.Time) (settled []Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wall := l.clock.At(now)
	l.initNext(windowNumber(wall, l.length))
	l.next = max(l.next, windowNumber(wall, l.length)-maxOpenWindows)
	for end := l.windowEnd(l.next); l.canSettle(now, wall, end); end = l.windowEnd(l.next) {
		l.revision++
		w := l.window(l.next)
		w.Settled, w.changed = true, l.revision
		l.next++
		settled = append(settled, *w)
	}
	return settled
}

// end returns when a window ends.
func (l *Ledger) windowEnd(number int64) time.Time {
	return time.UnixMilli((number + 1) * l.length.Milliseconds())
}

// ended reports whether a window that ends at a time of day can be settled. The caller holds the lock.
func (l *Ledger) canSettle(now, wall, end time.Time) bool {
	after := wall.Sub(end)
	listening := now.Sub(l.since) < clockListenTime && after < time.Duration(listenShare*float64(l.dueAfter))
	if after < minSettleDelay || listening {
		return false
	}
	if after >= time.Duration(nodeWaitShare*float64(l.dueAfter)) {
		return true
	}
	for _, n := range l.nodes {
		if now.Sub(n.lastCountAt) < nodeWaitPeriod && n.countedUntil.Before(end) && !n.replaced {
			return false
		}
	}
	return true
}

// succeed takes that a process tells of itself: the others of its instance have ended. The caller holds the lock.
func (l *Ledger) markReplaced(process string) {
	instance, _, ok := strings.Cut(process, "/")
	for name, n := range l.nodes {
		if other, _, _ := strings.Cut(name, "/"); ok && other == instance && name != process {
			n.replaced = true
		}
	}
}
