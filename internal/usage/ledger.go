package usage

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// maxSentWindows is how many windows are kept for display after they were sent.
	maxSentWindows = 12

	// minClocks is how many nodes must have reported their clocks before any is corrected, and clockListenTime how long
	// a new holder listens first: nodes that counted send within a quarter of a second.
	minClocks       = 3
	clockListenTime = time.Second
)

type (
	// Window is the state of one window.
	Window struct {
		Number  int64          `json:"-"`
		Counts  map[string]int `json:"counts"`
		Settled bool           `json:"settled,omitempty"` // Settled is set once the counts no longer change.
		Sent    bool           `json:"-"`

		changed int64 // changed is the ledger's revision of the last change.
	}

	// Ledger collects the counts of all nodes at the holder. It is safe for concurrent use.
	Ledger struct {
		length   time.Duration // length is the length of a window.
		dueAfter time.Duration // dueAfter is how long after its end a window is due.
		clock    *Clock

		mu             sync.Mutex
		since          time.Time // since is when this node became the holder.
		copied         bool      // copied is set if the state that was loaded then may lack the last seconds.
		revision       int64     // revision counts the changes.
		storedRevision int64     // storedRevision is the revision up to which everything is in the store.
		nextKnown      bool      // nextKnown is set once next is.
		next           int64     // next is the first window that is not settled.
		windows        map[int64]*Window
		sentWindows    []Window // sentWindows are the last windows sent, the newest last.
		nodes          map[string]*node
		dropped        int64 // dropped counts requests that arrived after their window was settled.
	}

	// node is what the holder knows of a node that counts.
	node struct {
		lastAdded    int64         // lastAdded is the number of the last batch added.
		lastStored   int64         // lastStored is the number of the last batch in the store.
		changed      int64         // changed is the revision at which lastAdded changed.
		countedUntil time.Time     // countedUntil is the wall-clock time, by this node's clock, up to which all its counts are known: that of its last report.
		heardAt      time.Time     // heardAt is when its last report arrived.
		lastCountAt  time.Time     // lastCountAt is when it last had counts.
		replaced     bool          // replaced is set once a later process of its instance sent a report.
		clockOffset  time.Duration // clockOffset is how far its wall clock is ahead of this node's.
	}
)

// Requests returns how many requests engines started in the window.
func (w *Window) Requests() int {
	sum := 0
	for _, n := range w.Counts {
		sum += n
	}
	return sum
}

// NewLedger returns an empty ledger for windows of a length that are due some time after their end.
func NewLedger(length, dueAfter time.Duration, clock *Clock) *Ledger {
	return &Ledger{length: length, dueAfter: dueAfter, clock: clock, windows: map[int64]*Window{}, nodes: map[string]*node{}}
}

// AddReport adds the batches of a node's report that were not added before.
func (l *Ledger) AddReport(now time.Time, token int64, r Report) Ack {
	l.mu.Lock()
	defer l.mu.Unlock()
	wall := l.clock.At(now)
	n := l.nodes[r.Node]
	if n == nil {
		n = &node{}
		l.nodes[r.Node] = n
		l.markReplaced(r.Node)
	}
	n.heardAt, n.clockOffset = now, time.UnixMilli(r.WallMs).Sub(wall)
	n.countedUntil = wall
	for _, b := range r.Batches {
		if b.Number <= n.lastAdded {
			continue
		}
		l.revision++
		n.lastAdded, n.changed, n.lastCountAt = b.Number, l.revision, now
		l.addCounts(wall, b.Counts)
	}
	a := Ack{Token: token, Received: n.lastAdded, Durable: n.lastStored}
	if offset, ok := l.medianOffset(now); ok {
		a.WallMs = wall.Add(offset).UnixMilli()
		l.adjustOffsets(l.clock.Correct(offset))
	}
	return a
}

// adjustOffsets updates the clock offsets after a correction of this node's clock. The caller holds the lock.
func (l *Ledger) adjustOffsets(by time.Duration) {
	for _, n := range l.nodes {
		n.clockOffset -= by
	}
}

// addCounts adds counts to windows that are not settled. The caller holds the lock.
func (l *Ledger) addCounts(wall time.Time, c Counts) {
	for number, teams := range c {
		l.initNext(min(number, windowNumber(wall, l.length)))
		w := l.window(number)
		for team, n := range teams {
			if number < l.next {
				l.dropped += int64(n)
				continue
			}
			w.Counts[team] += n
			w.changed = l.revision
		}
	}
}

// initNext sets the first unsettled window if it is not known yet.
func (l *Ledger) initNext(number int64) {
	if !l.nextKnown {
		l.nextKnown, l.next = true, number
	}
}

// window returns a window, creating it if needed; a settled one is not added to the map.
func (l *Ledger) window(number int64) *Window {
	w := l.windows[number]
	if w == nil {
		w = &Window{Number: number, Counts: map[string]int{}}
		if number >= l.next {
			l.windows[number] = w
		}
	}
	if w.Counts == nil {
		w.Counts = map[string]int{}
	}
	return w
}

// medianOffset returns how far the wall clock of most nodes is ahead of this node's. It is the median, so that wrong clocks
// have no effect as long as they are fewer than half; ok is false until enough nodes have reported. The caller holds the lock.
func (l *Ledger) medianOffset(now time.Time) (offset time.Duration, ok bool) {
	var all []time.Duration
	for _, n := range l.nodes {
		if !n.countedUntil.IsZero() && now.Sub(n.heardAt) < l.length {
			all = append(all, n.clockOffset)
		}
	}
	if len(all) < minClocks || now.Sub(l.since) < clockListenTime {
		return 0, false
	}
	slices.Sort(all)
	return all[(len(all)-1)/2], true
}

// Due returns the earliest window that is settled in the store and not sent yet.
func (l *Ledger) Due() (w Window, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, each := range l.windows {
		if each.Settled && !each.Sent && each.changed <= l.storedRevision && (!ok || each.Number < w.Number) {
			w, ok = *each, true
		}
	}
	w.Counts = maps.Clone(w.Counts)
	return w, ok
}

// MarkSent records that a window was reported.
func (l *Ledger) MarkSent(number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[number]
	if w == nil || w.Sent {
		return
	}
	l.revision++
	w.Sent, w.changed = true, l.revision
	l.sentWindows = append(l.sentWindows, *w)
	l.sentWindows = l.sentWindows[max(0, len(l.sentWindows)-maxSentWindows):]
}

// RecentWindows returns the newest windows, sent or not, for display, and how many requests arrived too late for theirs.
func (l *Ledger) RecentWindows() (windows []Window, dropped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	windows = slices.Clone(l.sentWindows)
	for _, w := range l.windows {
		if !w.Sent {
			shown := *w
			shown.Counts = maps.Clone(w.Counts)
			windows = append(windows, shown)
		}
	}
	sort.Slice(windows, func(i, j int) bool { return windows[i].Number < windows[j].Number })
	return windows, l.dropped
}

// Age returns how long ago a window ended.
func (l *Ledger) Age(now time.Time, number int64) time.Duration {
	return l.clock.At(now).Sub(l.windowEnd(number))
}
