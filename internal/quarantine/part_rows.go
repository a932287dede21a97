package quarantine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
)

// partTable has one row per held part. A release that does not know parts does not read it.
const partTable = "croftturn-held-parts"

// partRow is the stored form of a held part.
type partRow struct {
	Pool     string    `json:"pool"`
	Crashes  []crashAt `json:"crashes"` // Crashes tell parts that were in the same crashes from others.
	HeldUnix int64     `json:"held_unix"`
}

// crashAt is a crash in a row.
type crashAt struct {
	Engine   string `json:"engine"`
	Version  string `json:"version,omitempty"`
	UnixMs   int64  `json:"unix_ms"`
	ResentMs int64  `json:"resent_ms,omitempty"` // ResentMs is how long before the crash a request with the part was sent after an earlier crash, 0 if none was.
}

// rowKey returns the key of a part's row.
func (p Part) rowKey() string { return p.String() + "@" + p.Pool }

// markUnsaved marks a part whose row may be out of date, if this node is one that writes it. The caller holds the lock.
func (q *Parts) markUnsaved(p Part) {
	if !q.seenHere[p] {
		return
	}
	q.unsaved[p] = true
	q.wakePersister()
}

// wakePersister wakes the Persister.
func (q *Parts) wakePersister() {
	select {
	case q.wake <- struct{}{}:
	default: // The Persister has been woken already.
	}
}

// table, wakeups, count, restoreRow and takePending implement rowSource.
func (q *Parts) table() string            { return partTable }
func (q *Parts) wakeups() <-chan struct{} { return q.wake }
func (q *Parts) count() int64             { return q.Len() }

// markDiffering implements rowSource.
func (q *Parts) markDiffering(stored []feed.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	missing := map[Part]bool{}
	for p, s := range q.suspects {
		if s.held {
			missing[p] = true
		}
	}
	for _, r := range stored {
		hex, pool, _ := strings.Cut(r.Key, "@")
		id, err := strconv.ParseUint(hex, 16, 64)
		if p := (Part{pool, id}); err == nil && missing[p] {
			delete(missing, p)
		} else if err == nil && q.wasAnswered(p) {
			q.unsaved[p] = true // It was released since the copy was made.
		}
	}
	for p := range missing {
		q.unsaved[p] = true
	}
	q.wakePersister()
}

// wasAnswered reports whether a request with a part, or its release, is known to have cleared it. The caller holds
// the lock.
func (q *Parts) wasAnswered(p Part) bool {
	for key := range q.answers {
		if key.Part == p {
			return true
		}
	}
	return false
}

// restoreRow restores a part that was held before this node started. A row older than rowTTL is deleted.
func (q *Parts) restoreRow(now time.Time, r feed.Row) error {
	var row partRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return fmt.Errorf("decode held part: %w", err)
	}
	hex, pool, found := strings.Cut(r.Key, "@")
	id, err := strconv.ParseUint(hex, 16, 64)
	if err != nil || !found || pool != row.Pool || len(row.Crashes) < heldMoments || row.HeldUnix <= 0 {
		return errInvalidRow
	}
	p := Part{row.Pool, id}
	q.mu.Lock()
	defer q.mu.Unlock()
	wall := clock.Wall(now)
	if wall.Sub(time.Unix(row.HeldUnix, 0)) > rowTTL {
		q.unsaved[p] = true
		q.wakePersister()
		return nil
	}
	for _, c := range row.Crashes {
		age := max(0, wall.Sub(time.UnixMilli(c.UnixMs)))
		at, resent := now.Add(-min(age, rowTTL)), time.Time{}
		if c.ResentMs > 0 {
			resent = at.Add(-millis(c.ResentMs))
		}
		q.addCrash(now, &partCrash{pool: p.Pool, engine: EngineRun{ID: c.Engine, Version: c.Version}, at: at}, []uint64{id}, func(int) time.Time { return resent })
	}
	q.judge(now)
	return nil
}

// takePending returns a transaction with the next unsaved changes, and a function that marks them as unsaved again.
func (q *Parts) takePending(now time.Time) (tx feed.Tx, requeue func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var taken []Part
	for p := range q.unsaved {
		if len(taken) == maxWriteBatch {
			break
		}
		taken = append(taken, p)
		delete(q.unsaved, p)
		s := q.suspects[p]
		if s == nil || !s.held {
			tx.Delete = append(tx.Delete, feed.Row{Table: partTable, Key: p.rowKey()})
			continue
		}
		row := partRow{Pool: p.Pool, HeldUnix: clock.Wall(now).Unix()}
		for _, c := range s.crashes[max(0, len(s.crashes)-maxCrashesKept):] {
			at := crashAt{Engine: c.engine.ID, Version: c.engine.Version, UnixMs: clock.Wall(c.at).UnixMilli()}
			if sent := c.parts[p.ID]; !sent.IsZero() {
				at.ResentMs = max(1, c.at.Sub(sent).Milliseconds())
			}
			row.Crashes = append(row.Crashes, at)
		}
		value, err := json.Marshal(row)
		if err != nil {
			q.log.Error("cannot encode held part", "part", p.String(), "error", err.Error())
			continue
		}
		tx.Put = append(tx.Put, feed.Row{Table: partTable, Key: p.rowKey(), Value: value})
	}
	return tx, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, p := range taken {
			q.unsaved[p] = true
		}
	}
}
