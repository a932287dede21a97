package usage

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// keptSent is how many windows are kept to be shown after they were sent.
	maxSentWindows = 12

	// clocksLeast is how many nodes must have told their time of day before any is put right, and clocksAfter how long
	// a new holder listens first: those that counted send within a quarter of a second.
	minClocks       = 3
	clockListenTime = time.Second
)

type (
	// Window is what is known of one window.
	Window struct {
		Number  int64          `json:"-"`
		Counts  map[string]int `json:"counts"`
		Settled bool           `json:"settled,omitempty"` // Settled counts never change.
		Sent    bool           `json:"-"`

		changed int64 // changed is the state of the ledger at which it changed last.
	}

	// Ledger gathers the counts of all nodes at the holder. Its methods may be called from many goroutines.
	Ledger struct {
		length   time.Duration // length is that of a window.
		dueAfter time.Duration // late is how long after its end a window is due.
		clock    *Clock

		mu             sync.Mutex
		since          time.Time // since is when this node became the holder.
		revision       int64     // state counts the changes.
		storedRevision int64     // written is the state up to which all is in the store.
		nextKnown      bool      // begun says that next is set.
		next           int64     // next is the first window that is not settled.
		windows        map[int64]*Window
		sentWindows    []Window // sent are the windows sent last, the newest last.
		nodes          map[string]*node
		dropped        int64 // dropped counts requests that came after their window was settled.
	}

	// node is what the holder knows of a node that counts.
	node struct {
		lastAdded    int64         // taken is the number of the last batch that was added.
		lastStored   int64         // durable is that of the last one in the store.
		changed      int64         // changed is the state at which taken changed.
		countedUntil time.Time     // through is the time of day, by this node's clock, up to which all its counts are known: that at which it was heard.
		heardAt      time.Time     // heard is when it was heard last.
		lastCountAt  time.Time     // counted is when it last had counts.
		replaced     bool          // gone says that a later process of its instance was heard.
		clockOffset  time.Duration // ahead is by how much its time of day is ahead of this node's.
	}
)

// Requests returns how many requests engines began in the window.
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

// Take adds a node's batches that were not added before.
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

// moveClock takes that this node's time of day was moved. The caller holds the lock.
func (l *Ledger) adjustOffsets(by time.Duration) {
	for _, n := range l.nodes {
		n.clockOffset -= by
	}
}

// add adds counts to windows that are not settled. The caller holds the lock.
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

// begin sets the first window of all.
func (l *Ledger) initNext(number int64) {
	if !l.nextKnown {
		l.nextKnown, l.next = true, number
	}
}

// window returns a window, which is empty at first; one that is settled stays out of the list.
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

// common returns by how much the time of day that most nodes have is ahead of this node's: the median, so that
// fewer than half of the clocks being wrong does no harm; ok is false until enough have told theirs. The caller holds
// the lock.
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

// Sent says that a window was reported.
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

// Shown returns the newest windows, sent or not, for operators, and how many requests came too late for theirs.
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
