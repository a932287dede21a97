// Package discovery follows the entries of engines and decides which of them
// get new work. Entries also go while the platform's store is away, though the
// engines live, and come back soon after; an engine that said that it leaves
// gets no new work any more, whatever its entry says later, until it has started again.
// An entry that can't be understood names no engine to use.
package discovery

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/feed"
	"github.com/croftturn/croftturn/internal/news"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// maxMissingGrace bounds how long after the store's return an engine without entry
	// is still used: engines write their entries again within two seconds.
	maxMissingGrace = 1800 * time.Millisecond

	// maxLogLines is how many engines taken at once are logged one by one. At a start there are
	// some hundred, and as many nodes that take them.
	maxLogLines = 20

	// missingGraceShare of the time in which new work must stop is at most used for that.
	missingGraceShare = 0.9
)

type (
	// Decode returns the engine of a row.
	Decode func(now time.Time, row feed.Row) (placement.Engine, error)

	// Engines takes the engines that may get work.
	Engines interface {
		Set(e placement.Engine)
		Remove(id string)

		// Drain has an engine get no new work from now on.
		Drain(id string)
	}

	// Discovery follows entries.
	Discovery struct {
		decode  Decode
		engines Engines
		log     *slog.Logger

		missingGrace time.Duration // unsettledFor is how long an engine without entry is used after the store's return.

		mu          sync.Mutex
		storeLostAt time.Time              // lostAt is when the store last could not be called.
		dropAt      map[string]time.Time   // missing holds engines without entry, and when they are dropped.
		known       map[string]incarnation // known holds the present incarnation of all engines that were ever known.
		leaving     news.List              // said holds the engines with an entry that said in an answer that they leave.
		refused     int64                  // refused counts the changes by which an entry could not be understood.
	}

	// incarnation is one of an engine's, from its start.
	incarnation struct {
		born         int64 // born is what the engine says of its start; 0 if nothing.
		firstVersion int64 // since is the version of the entry by which it was known first.
		draining     bool  // draining says that it once said that it leaves.

		learnedAt time.Time // saidAt is when this node learned that an answer of it said so; zero if none did.
	}
)

// errStartMissing says that an entry lacks what the engine said before.
var errStartMissing = errors.New("the entry no longer tells of the engine's start")

// New returns a discovery that tells engines to a placement; new work at an engine
// that left must stop within drain.
func New(decode Decode, engines Engines, drain time.Duration, log *slog.Logger) *Discovery {
	grace := min(maxMissingGrace, time.Duration(missingGraceShare*float64(drain)))
	return &Discovery{decode: decode, engines: engines, log: log, missingGrace: grace, dropAt: map[string]time.Time{}, known: map[string]incarnation{}}
}

// Lost records that the store could not be called at a moment.
func (d *Discovery) StoreUnavailable(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.storeLostAt) {
		d.storeLostAt = at
	}
}

// Take takes changed entries; it is a feed.Consumer.
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

// applyEntry takes one entry and reports whether the engine leaves.
func (d *Discovery) applyEntry(now time.Time, r feed.Row, log bool) (draining bool, err error) {
	e, err := d.decode(now, r)
	if err != nil {
		return false, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current, known := d.known[e.ID]
	if known && current.born != 0 && e.Born == 0 {
		return false, errStartMissing
	}
	if known && current.born != e.Born {
		d.log.Info("engine started again", "engine", e.ID, "born", e.Born, "before", current.born, "version", r.Version)
	}
	if !known || current.born != e.Born {
		current = incarnation{born: e.Born, firstVersion: r.Version}
		d.leaving.Remove(e.ID)
	}
	current.draining = current.draining || e.Draining
	d.known[e.ID] = current
	if !current.learnedAt.IsZero() {
		d.leaving.Add(e.ID)
	}
	e.Draining, e.Since = current.draining, current.firstVersion
	delete(d.dropAt, e.ID)
	if log {
		d.log.Info("engine", "engine", e.ID, "pool", e.Pool, "address", e.Address, "hall", e.Hall, "draining", e.Draining, "version", r.Version)
	}
	d.engines.Set(e)
	return e.Draining, nil
}

// rejectEntry gives an engine no new work whose entry can't be understood.
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

// Refused returns how many changes of entries could not be understood so far.
func (d *Discovery) Refused() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// entryDeleted drops an engine without entry: at once, or after a while where the store
// was away.
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

// Expire drops engines whose entries did not come back.
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

// remove drops an engine; the caller holds the lock, so that an entry which comes
// back meanwhile is taken after it.
func (d *Discovery) remove(id, reason string) {
	d.log.Info("engine removed", "engine", id, "reason", reason)
	d.leaving.Remove(id)
	d.engines.Remove(id)
}
