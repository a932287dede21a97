// Package discovery follows the entries of engines in the platform's store and decides which engines get new work.
// Entries also disappear while the store is unavailable although the engines run, and reappear soon after. An engine that
// announced that it is leaving gets no new work until it has restarted, whatever its entry says later, except that
// placement may use one whose entry says so until a known time. An engine with an invalid entry gets no work.
package discovery

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/news"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// maxMissingGrace bounds how long after the store's return an engine without an entry
	// is still used: engines write their entries again within two seconds.
	maxMissingGrace = 1800 * time.Millisecond

	// maxLogLines is how many entries of one batch are logged individually. At a start there are
	// some hundred engines, and as many nodes that read them.
	maxLogLines = 20

	// missingGraceShare is the share of the drain time that the grace period may use at most.
	missingGraceShare = 0.9
)

type (
	// Decode decodes the engine of a row.
	Decode func(now time.Time, row feed.Row) (placement.Engine, error)

	// Engines is told which engines may get work.
	Engines interface {
		Set(e placement.Engine)
		Remove(id string)

		// Drain stops new work for an engine.
		Drain(id string)
	}

	// Discovery follows the entries of engines.
	Discovery struct {
		decode  Decode
		engines Engines
		log     *slog.Logger

		missingGrace time.Duration // missingGrace is how long an engine without an entry is used after the store's return.
		drain        time.Duration // drain is how long after its entry a draining engine may get requests.
		spotNotice   time.Duration // spotNotice is how long a draining spot engine serves if its entry does not say; 0 if unknown.

		mu          sync.Mutex
		storeLostAt time.Time              // storeLostAt is when the store was last unavailable.
		dropAt      map[string]time.Time   // dropAt is when each engine without an entry is to be removed.
		known       map[string]incarnation // known holds the present incarnation of every engine ever seen.
		leaving     news.List              // leaving holds the engines with an entry that announced in an answer that they are leaving.
		refused     int64                  // refused counts the updates rejected because the entry was invalid.
	}

	// incarnation is one run of an engine, from its start.
	incarnation struct {
		born     int64            // born is the start time that the engine reports; 0 if none.
		first    history.Position // first is the position of the first entry of this incarnation.
		draining bool             // draining is set once the engine announced that it is leaving.

		learnedAt time.Time // learnedAt is when this node learned of an answer that announced it; zero if there was none.

		leavesAt, lastSend, servesUntil time.Time // These are as in placement.Engine.
	}
)

// errStartMissing is returned for an entry without a start time if the engine reported one before.
var errStartMissing = errors.New("the entry no longer has the engine's start time")

// New returns a Discovery that reports to engines. New work at an engine that left must stop
// within drain.
func New(decode Decode, engines Engines, drain time.Duration, log *slog.Logger, options ...Option) *Discovery {
	grace := min(maxMissingGrace, time.Duration(missingGraceShare*float64(drain)))
	d := &Discovery{decode: decode, engines: engines, log: log, missingGrace: grace, drain: drain, dropAt: map[string]time.Time{}, known: map[string]incarnation{}}
	for _, option := range options {
		option(d)
	}
	return d
}

// StoreUnavailable records that the store was unavailable at a time.
func (d *Discovery) StoreUnavailable(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.storeLostAt) {
		d.storeLostAt = at
	}
}

// Apply applies changed entries; it is a feed.Consumer.
func (d *Discovery) Apply(now time.Time, rows []feed.Row) {
	logEach := len(rows) <= maxLogLines
	taken, draining, refused := 0, 0, 0
	for _, r := range rows {
		if r.Deleted {
			d.entryDeleted(now, r.Key)
			continue
		}
		leaves, err := d.applyEntry(now, r, logEach)
		if err != nil {
			refused++
			d.rejectEntry(r.Key, err, refused <= maxLogLines)
			continue
		}
		taken++
		if leaves {
			draining++
		}
	}
	if !logEach {
		d.log.Info("engines", "taken", taken, "draining", draining, "refused", refused, "rows", len(rows))
	}
}

// applyEntry applies one entry and reports whether the engine is draining.
func (d *Discovery) applyEntry(now time.Time, r feed.Row, log bool) (draining bool, err error) {
	e, err := d.decode(now, r)
	if err != nil {
		return false, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current, known := d.known[e.ID]
	if known && current.born != 0 && e.Incarnation == 0 {
		return false, errStartMissing
	}
	if known && current.born != e.Incarnation {
		d.log.Info("engine restarted", "engine", e.ID, "born", e.Incarnation, "before", current.born, "version", r.Version)
	}
	if !known || current.born != e.Incarnation {
		current = incarnation{born: e.Incarnation, first: r.Position()}
		d.leaving.Remove(e.ID)
	}
	if e.Draining {
		d.noteDraining(now, r, e, &current)
	}
	d.known[e.ID] = current
	if !current.learnedAt.IsZero() {
		d.leaving.Add(e.ID)
	}
	e.Draining, e.Since = current.draining, current.first
	e.LeavesAt, e.LastSend, e.ServesUntil = current.leavesAt, current.lastSend, current.servesUntil
	delete(d.dropAt, e.ID)
	if log {
		d.log.Info("engine", "engine", e.ID, "pool", e.Pool, "address", e.Address, "hall", e.Hall, "draining", e.Draining, "last_send_ms", max(0, e.LastSend.Sub(now).Milliseconds()), "version", r.Version)
	}
	d.engines.Set(e)
	return e.Draining, nil
}

// rejectEntry removes an engine that has an invalid entry, so that it gets no work.
func (d *Discovery) rejectEntry(id string, cause error, log bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused++
	delete(d.dropAt, id)
	d.engines.Remove(id)
	if log {
		d.log.Error("entry not understood; the engine gets no work", "engine", id, "error", cause.Error())
	}
}

// Refused returns the number of updates rejected because the entry was invalid.
func (d *Discovery) Refused() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// entryDeleted removes an engine whose entry was deleted: at once, or after a grace period if the store
// was unavailable shortly before.
func (d *Discovery) entryDeleted(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	storeStable := d.storeLostAt.IsZero() || now.Sub(d.storeLostAt) > d.missingGrace
	if _, known := d.dropAt[id]; !storeStable && !known {
		d.dropAt[id] = now.Add(d.missingGrace)
		time.AfterFunc(d.missingGrace, func() { d.Expire(clock.Now()) })
	}
	if storeStable {
		d.remove(id, "its entry is gone")
	}
}

// Expire removes the engines whose entries did not come back within the grace period.
func (d *Discovery) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.dropAt {
		if !now.Before(at) {
			delete(d.dropAt, id)
			d.remove(id, "its entry did not come back after the store was away")
		}
	}
}

// remove removes an engine. The caller holds the lock, so that an entry which comes
// back meanwhile is applied after it.
func (d *Discovery) remove(id, reason string) {
	d.log.Info("engine removed", "engine", id, "reason", reason)
	d.leaving.Remove(id)
	d.engines.Remove(id)
}
