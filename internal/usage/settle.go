package usage

import (
	"strings"
	"time"
)

const (
	// idleReportPeriod is how long after its last count a node continues to send empty reports, and nodeWaitPeriod how long
	// after its last count the holder waits for its reports when a window ends.
	idleReportPeriod = 15 * time.Second
	nodeWaitPeriod   = idleReportPeriod - 3*emptyReportInterval

	// minSettleDelay is the least time between a window's end and its settlement, unless the window is due too soon for it:
	// nodes send four times a second.
	minSettleDelay = 1500 * time.Millisecond

	// nodeWaitShare is the share of the time until a window is due during which silent nodes are waited for, as when they are
	// partitioned. The rest is for a takeover: 1.2 s until the previous holder is missed, 2.3 s for its lease to expire.
	nodeWaitShare = 0.65

	// listenShare is the share of that time up to which a new holder listens before it settles a window: nodes resend the
	// counts that the previous holder had not stored.
	listenShare = 0.9

	// resendTime is how long a new holder listens at least if the store has lost counts: nodes send them again
	// within two reports.
	resendTime = 700 * time.Millisecond

	// maxOpenWindows is how many windows may be unsettled or unsent; after a longer outage the oldest are discarded.
	maxOpenWindows = 80
)

// Settle settles the windows for which all expected reports arrived or which can't wait longer, the earliest first. A
// settled window must be stored before it is sent.
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

// windowEnd returns when a window ends.
func (l *Ledger) windowEnd(number int64) time.Time {
	return time.Unix(0, (number+1)*l.length.Nanoseconds())
}

// canSettle reports whether a window that ends at a wall-clock time can be settled. The caller holds the lock.
func (l *Ledger) canSettle(now, wall, end time.Time) bool {
	after := wall.Sub(end)
	listening := now.Sub(l.since) < clockListenTime && after < time.Duration(listenShare*float64(l.dueAfter))
	resending := l.copied && now.Sub(l.since) < resendTime
	wait := time.Duration(nodeWaitShare * float64(l.dueAfter))
	if after < min(minSettleDelay, wait) || listening || resending {
		return false
	}
	if after >= wait {
		return true
	}
	for _, n := range l.nodes {
		if now.Sub(n.lastCountAt) < nodeWaitPeriod && n.countedUntil.Before(end) && !n.replaced {
			return false
		}
	}
	return true
}

// markReplaced marks the other processes of a process's instance as ended. The caller holds the lock.
func (l *Ledger) markReplaced(process string) {
	instance, _, ok := strings.Cut(process, "/")
	for name, n := range l.nodes {
		if other, _, _ := strings.Cut(name, "/"); ok && other == instance && name != process {
			n.replaced = true
		}
	}
}
