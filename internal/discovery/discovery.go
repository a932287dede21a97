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
	// unsettledMost bounds how long after the store's return an engine without entry
	// is still used: engines write their entries again within two seconds.
	unsettledMost = 1800 * time.Millisecond

	// linesMost is how many engines taken at once are logged one by one. At a start there are
	// some hundred, and as many nodes that take them.
	linesMost = 20

	// unsettledShare of the time in which new work must stop is at most used for that.
	unsettledShare = 0.9
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

		unsettledFor time.Duration // unsettledFor is how long an engine without entry is used after the store's return.

		mu      sync.Mutex
		lostAt  time.Time              // lostAt is when the store last could not be called.
		missing map[string]time.Time   // missing holds engines without entry, and when they are dropped.
		known   map[string]incarnation // known holds the present incarnation of all engines that were ever known.
		said    news.List              // said holds the engines with an entry that said in an answer that they leave.
		refused int64                  // refused counts the changes by which an entry could not be understood.
	}

	// incarnation is one of an engine's, from its start.
	incarnation struct {
		born     int64 // born is what the engine says of its start; 0 if nothing.
		since    int64 // since is the version of the entry by which it was known first.
		draining bool  // draining says that it once said that it leaves.

		saidAt time.Time // saidAt is when this node learned that an answer of it said so; zero if none did.
	}
)

// errNotBorn says that an entry lacks what the engine said before.
var errNotBorn = errors.New("the entry no longer tells of the engine's start")

// New returns a discovery that tells engines to a placement; new work at an engine
// that left must stop within drain.
func New(decode Decode, engines Engines, drain time.Duration, log *slog.Logger) *Discovery {
	unsettled := min(unsettledMost, time.Duration(unsettledShare*float64(drain)))
	return &Discovery{decode: decode, engines: engines, log: log, unsettledFor: unsettled, missing: map[string]time.Time{}, known: map[string]incarnation{}}
}

// Lost records that the store could not be called at a moment.
func (d *Discovery) Lost(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.lostAt) {
		d.lostAt = at
	}
}

// Take takes changed entries; it is a feed.Consumer.
func (d *Discovery) Take(now time.Time, rows []feed.Row) {
	each := len(rows) <= linesMost
	taken, draining, refused := 0, 0, 0
	for _, r := range rows {
		if r.Deleted {
			d.miss(now, r.Key)
			continue
		}
		leaves, err := d.takeEntry(now, r, each)
		if err != nil {
			refused++
			d.refuse(r.Key, err, refused <= linesMost)
			continue
		}
		taken++
		if leaves {
			draining++
		}
	}
	if !each {
		d.log.Info("engines", "taken", taken, "draining", draining, "refused", refused, "rows", len(rows))
	}
}

// takeEntry takes one entry and reports whether the engine leaves.
func (d *Discovery) takeEntry(now time.Time, r feed.Row, log bool) (draining bool, err error) {
	e, err := d.decode(now, r)
	if err != nil {
		return false, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	present, known := d.known[e.ID]
	if known && present.born != 0 && e.Incarnation == 0 {
		return false, errNotBorn
	}
	if known && present.born != e.Incarnation {
		d.log.Info("engine started again", "engine", e.ID, "born", e.Incarnation, "before", present.born, "version", r.Version)
	}
	if !known || present.born != e.Incarnation {
		present = incarnation{born: e.Incarnation, since: r.Version}
		d.said.Remove(e.ID)
	}
	present.draining = present.draining || e.Draining
	d.known[e.ID] = present
	if !present.saidAt.IsZero() {
		d.said.Add(e.ID)
	}
	e.Draining, e.SinceVersion = present.draining, present.since
	delete(d.missing, e.ID)
	if log {
		d.log.Info("engine", "engine", e.ID, "pool", e.Pool, "address", e.Address, "hall", e.Hall, "draining", e.Draining, "version", r.Version)
	}
	d.engines.Set(e)
	return e.Draining, nil
}

// refuse gives an engine no new work whose entry can't be understood.
func (d *Discovery) refuse(id string, cause error, log bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused++
	delete(d.missing, id)
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

// miss drops an engine without entry: at once, or after a while where the store
// was away.
func (d *Discovery) miss(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	settled := d.lostAt.IsZero() || now.Sub(d.lostAt) > d.unsettledFor
	if _, known := d.missing[id]; !settled && !known {
		d.missing[id] = now.Add(d.unsettledFor)
		time.AfterFunc(d.unsettledFor, func() { d.Expire(clock.Now()) })
	}
	if settled {
		d.remove(id, "its entry is gone")
	}
}

// Expire drops engines whose entries did not come back.
func (d *Discovery) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.missing {
		if !now.Before(at) {
			delete(d.missing, id)
			d.remove(id, "its entry did not come back after the store was away")
		}
	}
}

// remove drops an engine; the caller holds the lock, so that an entry which comes
// back meanwhile is taken after it.
func (d *Discovery) remove(id, reason string) {
	d.log.Info("engine removed", "engine", id, "reason", reason)
	d.said.Remove(id)
	d.engines.Remove(id)
}
