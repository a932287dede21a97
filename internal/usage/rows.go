package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/croftturn/croftturn/internal/feed"
)

const (
	// nodeTTL is how long the number of a node's last batch is remembered. A node resends its batches as
	// long as it runs, four times a second.
	nodeTTL = 2 * time.Minute

	// Row keys.
	keyNodes      = "usage"
	prefixWindows = "usage-"
)

// nodesRow is the row of all state that does not belong to a window.
type nodesRow struct {
	Next  int64            `json:"next"`
	Nodes map[string]int64 `json:"nodes"` // Nodes holds the number of each node's last batch that was added.
}

// Load loads the rows of the previous holder. State of an earlier term of this node is discarded. copied is set if
// the rows are those of a copy from which the store has come back: nodes then send what it lacks. Rows that can't
// be decoded are left out; the error names them.
func (l *Ledger) Load(now time.Time, rows []feed.Row, copied bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copied = copied
	l.since, l.revision, l.storedRevision, l.nextKnown, l.next = now, 0, 0, false, 0
	l.windows, l.nodes = map[int64]*Window{}, map[string]*node{}
	var odd []error
	for _, r := range rows {
		if err := l.load(now, r); err != nil {
			odd = append(odd, err)
		}
	}
	if len(odd) > 0 && !l.nextKnown {
		l.restoreNext()
	}
	return errors.Join(odd...)
}

// restoreNext takes the first unsettled window from the settled ones where it may be in a row that can't be decoded,
// so that no settled window gets further counts. The caller holds the lock.
func (l *Ledger) restoreNext() {
	for number, w := range l.windows {
		if w.Settled && number >= l.next {
			l.nextKnown, l.next = true, number+1
		}
	}
}

// load loads one row.
func (l *Ledger) load(now time.Time, r feed.Row) error {
	if r.Key == keyNodes {
		var all nodesRow
		if err := json.Unmarshal(r.Value, &all); err != nil {
			return fmt.Errorf("decode usage of nodes: %w", err)
		}
		l.nextKnown, l.next = all.Next > 0, all.Next
		for name, taken := range all.Nodes {
			l.nodes[name] = &node{lastAdded: taken, lastStored: taken, heardAt: now, lastCountAt: now}
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

// PendingRows returns the rows that differ from the store, with their keys only, and the revision that they reflect.
func (l *Ledger) PendingRows(now time.Time) (rows []feed.Row, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storedRevision == l.revision {
		return nil, l.revision
	}
	all := nodesRow{Next: l.next, Nodes: map[string]int64{}}
	for name, n := range l.nodes {
		if now.Sub(n.heardAt) > nodeTTL {
			delete(l.nodes, name)
			continue
		}
		if n.lastAdded > 0 {
			all.Nodes[name] = n.lastAdded
		}
	}
	rows = append(rows, feed.Row{Key: keyNodes, Value: encode(all)})
	for number, w := range l.windows {
		key := prefixWindows + strconv.FormatInt(number, 10)
		switch {
		case w.Sent:
			rows = append(rows, feed.Row{Key: key, Deleted: true})
		case w.changed > l.storedRevision:
			rows = append(rows, feed.Row{Key: key, Value: encode(w)})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, l.revision
}

// StoreReturned records that the store has come back from a copy with some rows: all state is written again, and
// windows that were reported since the copy was made are removed again.
func (l *Ledger) StoreReturned(rows []feed.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.storedRevision = -1
	for _, r := range rows {
		text, isWindow := strings.CutPrefix(r.Key, prefixWindows)
		number, err := strconv.ParseInt(text, 10, 64)
		if isWindow && err == nil && l.windows[number] == nil && number < l.next {
			l.windows[number] = &Window{Number: number, Settled: true, Sent: true, changed: l.revision}
		}
	}
}

// encode encodes rows as JSON, which can't fail for numbers and strings.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// MarkWritten records that everything up to a revision is in the store.
func (l *Ledger) MarkWritten(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storedRevision = max(l.storedRevision, revision)
	for _, n := range l.nodes {
		if n.changed <= l.storedRevision {
			n.lastStored = n.lastAdded
		}
	}
	for number, w := range l.windows {
		if w.Sent && w.changed <= l.storedRevision {
			delete(l.windows, number)
		}
	}
}
