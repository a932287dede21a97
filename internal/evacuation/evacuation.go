// Package evacuation keeps which halls operators have evacuated. The engines of such a hall get no new
// requests until the operators take the evacuation back; what runs there goes on.
package evacuation

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"
)

type (
	// Change begins the evacuation of a hall, or ends it.
	Change struct {
		Hall    string
		Ends    bool
		Version int64 // Version is that of the operators' row.
	}

	// Evacuation is a hall that is evacuated.
	Evacuation struct {
		Hall    string
		Version int64     // Version is that of the operators' row.
		Since   time.Time // Since is when this node learned of it.
	}

	// Placer decides which engines get requests.
	Placer interface {
		// SetEvacuated says whether the engines of a hall are to get no new requests.
		SetEvacuated(hall string, evacuated bool)
	}

	// Evacuations are the halls that are evacuated. Its methods may be called from many goroutines.
	Evacuations struct {
		placer Placer
		log    *slog.Logger

		mu    sync.Mutex
		halls map[string]Evacuation
	}
)

// New returns evacuations that are told to a placer; none has begun.
func New(placer Placer, log *slog.Logger) *Evacuations {
	return &Evacuations{placer: placer, log: log, halls: map[string]Evacuation{}}
}

// Take takes changes, in the order of their versions.
func (e *Evacuations) Apply(now time.Time, changes []Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		before, evacuated := e.halls[c.Hall]
		switch {
		case c.Ends && evacuated:
			delete(e.halls, c.Hall)
			e.log.Info("evacuation taken back", "hall", c.Hall, "version", c.Version, "begun_with", before.Version, "after_ms", now.Sub(before.Since).Milliseconds())
		case !c.Ends && !evacuated:
			e.halls[c.Hall] = Evacuation{Hall: c.Hall, Version: c.Version, Since: now}
			e.log.Info("hall evacuated", "hall", c.Hall, "version", c.Version)
		}
		e.placer.SetEvacuated(c.Hall, !c.Ends)
	}
}

// List returns the halls that are evacuated, in the order of their names.
func (e *Evacuations) List() []Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Evacuation, 0, len(e.halls))
	for _, each := range e.halls {
		out = append(out, each)
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Hall, b.Hall) })
	return out
}
