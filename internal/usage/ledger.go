package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
)

const (
	// quietMost is for how long after a node's last count it goes on telling that there are no more, and waitsFor how long
	// after that it is waited for when a window ends.
	quietMost = 15 * time.Second
	waitsFor  = quietMost - 3*emptyEvery

	// settleLeast is how long after its end a window is settled at the earliest: nodes send four times a second.
	settleLeast = 1500 * time.Millisecond

	// settleShare of the time until a window is due is how long nodes that are not heard are waited for, as where they are
	// cut off. The rest is what a new holder takes: 1.2 s until the one before is missed, 2.3 s to wait its lease out.
	settleShare = 0.65

	// settleMost of that time is up to when a new holder listens before it settles a window: nodes send it again what the
	// holder before had not written.
	settleMost = 0.9

	// windowsMost is how many windows may be unsettled or unsent; after a longer outage the oldest are given up.
	windowsMost = 80

	// keptSent is how many windows are kept to be shown after they were sent.
	keptSent = 12

	// forgetNode is how long the number of a node's last batch is remembered. Batches of a node are sent again for
	// as long as it lives, four times a second.
	forgetNode = 2 * time.Minute

	// clocksLeast is how many nodes must have told their time of day before any is put right, and clocksAfter how long
	// a new holder listens first: those that counted send within a quarter of a second.
	clocksLeast = 3
	clocksAfter = time.Second

	// The keys of rows.
	keyNodes      = "usage"
	prefixWindows = "usage-"
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
		length time.Duration // length is that of a window.
		late   time.Duration // late is how long after its end a window is due.
		clock  *Clock

		mu      sync.Mutex
		since   time.Time // since is when this node became the holder.
		state   int64     // state counts the changes.
		written int64     // written is the state up to which all is in the store.
		begun   bool      // begun says that next is set.
		next    int64     // next is the first window that is not settled.
		windows map[int64]*Window
		sent    []Window // sent are the windows sent last, the newest last.
		nodes   map[string]*node
		dropped int64 // dropped counts requests that came after their window was settled.
	}

	// node is what the holder knows of a node that counts.
	node struct {
		taken   int64         // taken is the number of the last batch that was added.
		durable int64         // durable is that of the last one in the store.
		changed int64         // changed is the state at which taken changed.
		through time.Time     // through is the time of day, by this node's clock, up to which all its counts are known: that at which it was heard.
		heard   time.Time     // heard is when it was heard last.
		counted time.Time     // counted is when it last had counts.
		gone    bool          // gone says that a later process of its instance was heard.
		ahead   time.Duration // ahead is by how much its time of day is ahead of this node's.
	}

	// nodesRow is the row of what is not of one window.
	nodesRow struct {
		Next  int64            `json:"next"`
		Nodes map[string]int64 `json:"nodes"` // Nodes holds the number of each node's last batch that was added.
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
func NewLedger(length, late time.Duration, clock *Clock) *Ledger {
	return &Ledger{length: length, late: late, clock: clock, windows: map[int64]*Window{}, nodes: map[string]*node{}}
}

// Load takes the rows that the holder before left. What this node knew of an earlier term of its own is dropped.
func (l *Ledger) Load(now time.Time, rows []feed.Row) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since, l.state, l.written, l.begun, l.next = now, 0, 0, false, 0
	l.windows, l.nodes = map[int64]*Window{}, map[string]*node{}
	for _, r := range rows {
		if err := l.load(now, r); err != nil {
			return err
		}
	}
	return nil
}

// load takes one row.
func (l *Ledger) load(now time.Time, r feed.Row) error {
	if r.Key == keyNodes {
		var all nodesRow
		if err := json.Unmarshal(r.Value, &all); err != nil {
			return fmt.Errorf("decode usage of nodes: %w", err)
		}
		l.begun, l.next = all.Next > 0, all.Next
		for name, taken := range all.Nodes {
			l.nodes[name] = &node{taken: taken, durable: taken, heard: now, counted: now}
		}
		return nil
	}
	text, ok := strings.CutPrefix(r.Key, prefixWindows)
	if !ok {
		return nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Errorf("decode number of a window: %w", err)
	}
	w := &Window{Number: number}
	if err := json.Unmarshal(r.Value, w); err != nil {
		return fmt.Errorf("decode window %d: %w", number, err)
	}
	l.windows[number] = w
	return nil
}

// Take adds a node's batches that were not added before.
func (l *Ledger) Take(now time.Time, token int64, r Report) Ack {
	l.mu.Lock()
	defer l.mu.Unlock()
	wall := l.clock.At(now)
	n := l.nodes[r.Node]
	if n == nil {
		n = &node{}
		l.nodes[r.Node] = n
		l.succeed(r.Node)
	}
	n.heard, n.ahead = now, time.UnixMilli(r.WallMs).Sub(wall)
	n.through = wall
	for _, b := range r.Batches {
		if b.Number <= n.taken {
			continue
		}
		l.state++
		n.taken, n.changed, n.counted = b.Number, l.state, now
		l.add(wall, b.Counts)
	}
	a := Ack{Token: token, Taken: n.taken, Durable: n.durable}
	if common, ok := l.common(now); ok {
		a.WallMs = wall.Add(common).UnixMilli()
		l.moveClock(l.clock.PutRight(common))
	}
	return a
}

// moveClock takes that this node's time of day was moved. The caller holds the lock.
func (l *Ledger) moveClock(by time.Duration) {
	for _, n := range l.nodes {
		n.ahead -= by
	}
}

// add adds counts to windows that are not settled. The caller holds the lock.
func (l *Ledger) add(wall time.Time, c Counts) {
	for number, teams := range c {
		l.begin(min(number, windowOf(wall, l.length)))
		w := l.window(number)
		for team, n := range teams {
			if number < l.next {
				l.dropped += int64(n)
				continue
			}
			w.Counts[team] += n
			w.changed = l.state
		}
	}
}

// begin sets the first window of all.
func (l *Ledger) begin(number int64) {
	if !l.begun {
		l.begun, l.next = true, number
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
func (l *Ledger) common(now time.Time) (ahead time.Duration, ok bool) {
	var all []time.Duration
	for _, n := range l.nodes {
		if !n.through.IsZero() && now.Sub(n.heard) < l.length {
			all = append(all, n.ahead)
		}
	}
	if len(all) < clocksLeast || now.Sub(l.since) < clocksAfter {
		return 0, false
	}
	slices.Sort(all)
	return all[(len(all)-1)/2], true
}

// Settle settles the windows of which all that can be heard was heard, or that can't wait longer, the earliest first. A
// settled window is to be written before it is sent.
func (l *Ledger) Settle(now time.Time) (settled []Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wall := l.clock.At(now)
	l.begin(windowOf(wall, l.length))
	l.next = max(l.next, windowOf(wall, l.length)-windowsMost)
	for end := l.end(l.next); l.ended(now, wall, end); end = l.end(l.next) {
		l.state++
		w := l.window(l.next)
		w.Settled, w.changed = true, l.state
		l.next++
		settled = append(settled, *w)
	}
	return settled
}

// end returns when a window ends.
func (l *Ledger) end(number int64) time.Time {
	return time.UnixMilli((number + 1) * l.length.Milliseconds())
}

// ended reports whether a window that ends at a time of day can be settled. The caller holds the lock.
func (l *Ledger) ended(now, wall, end time.Time) bool {
	after := wall.Sub(end)
	listens := now.Sub(l.since) < clocksAfter && after < time.Duration(settleMost*float64(l.late))
	if after < settleLeast || listens {
		return false
	}
	if after >= time.Duration(settleShare*float64(l.late)) {
		return true
	}
	for _, n := range l.nodes {
		if now.Sub(n.counted) < waitsFor && n.through.Before(end) && !n.gone {
			return false
		}
	}
	return true
}

// succeed takes that a process tells of itself: the others of its instance have ended. The caller holds the lock.
func (l *Ledger) succeed(process string) {
	instance, _, ok := strings.Cut(process, "/")
	for name, n := range l.nodes {
		if other, _, _ := strings.Cut(name, "/"); ok && other == instance && name != process {
			n.gone = true
		}
	}
}

// Pending returns the rows that differ from what is in the store, by their keys alone, and the state that they are of.
func (l *Ledger) Pending(now time.Time) (rows []feed.Row, state int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written == l.state {
		return nil, l.state
	}
	all := nodesRow{Next: l.next, Nodes: map[string]int64{}}
	for name, n := range l.nodes {
		if now.Sub(n.heard) > forgetNode {
			delete(l.nodes, name)
			continue
		}
		if n.taken > 0 {
			all.Nodes[name] = n.taken
		}
	}
	rows = append(rows, feed.Row{Key: keyNodes, Value: encode(all)})
	for number, w := range l.windows {
		key := prefixWindows + strconv.FormatInt(number, 10)
		switch {
		case w.Sent:
			rows = append(rows, feed.Row{Key: key, Deleted: true})
		case w.changed > l.written:
			rows = append(rows, feed.Row{Key: key, Value: encode(w)})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, l.state
}

// encode returns what is kept as JSON; numbers and texts always can be encoded.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// Written says that all up to a state is in the store.
func (l *Ledger) Written(state int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = max(l.written, state)
	for _, n := range l.nodes {
		if n.changed <= l.written {
			n.durable = n.taken
		}
	}
	for number, w := range l.windows {
		if w.Sent && w.changed <= l.written {
			delete(l.windows, number)
		}
	}
}

// Due returns the earliest window that is settled in the store and not sent yet.
func (l *Ledger) Due() (w Window, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, each := range l.windows {
		if each.Settled && !each.Sent && each.changed <= l.written && (!ok || each.Number < w.Number) {
			w, ok = *each, true
		}
	}
	w.Counts = maps.Clone(w.Counts)
	return w, ok
}

// Sent says that a window was reported.
func (l *Ledger) Sent(number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[number]
	if w == nil || w.Sent {
		return
	}
	l.state++
	w.Sent, w.changed = true, l.state
	l.sent = append(l.sent, *w)
	l.sent = l.sent[max(0, len(l.sent)-keptSent):]
}

// Shown returns the newest windows, sent or not, for operators, and how many requests came too late for theirs.
func (l *Ledger) Shown() (windows []Window, dropped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	windows = slices.Clone(l.sent)
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
	return l.clock.At(now).Sub(l.end(number))
}
