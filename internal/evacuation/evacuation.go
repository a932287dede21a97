// Package evacuation tracks the halls that operators have evacuated. The engines of an evacuated hall get no new
// requests until the operators end the evacuation; running requests continue.
package evacuation

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"
)

type (
	// Change starts or ends the evacuation of a hall.
	Change struct {
		Hall    string
		Ends    bool
		Version int64 // Version is the version of the operators' row.
	}

	// Evacuation is an evacuated hall.
	Evacuation struct {
		Hall    string
		Version int64     // Version is the version of the operators' row.
		Since   time.Time // Since is when this node learned of it.
	}

	// Placer decides which engines get requests.
	Placer interface {
		// SetEvacuated sets whether the engines of a hall get no new requests.
		SetEvacuated(hall string, evacuated bool)
	}

	// Evacuations holds the evacuated halls. It is safe for concurrent use.
	Evacuations struct {
		placer Placer
		log    *slog.Logger

		mu    sync.Mutex
		halls map[string]Evacuation
	}
)

// New returns Evacuations without halls that reports to a placer.
func New(placer Placer, log *slog.Logger) *Evacuations {
	return &Evacuations{placer: placer, log: log, halls: map[string]Evacuation{}}
}

// Apply applies changes in the order of their versions.
func (e *Evacuations) Apply(now time.Time, changes []Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range changes {
		before, evacuated := e.halls[c.Hall]
		switch {
		case c.Ends && evacuated:
			delete(e.halls, c.Hall)
			e.log.Info("evacuation ended", "hall", c.Hall, "version", c.Version, "begun_with", before.Version, "after_ms", now.Sub(before.Since).Milliseconds())
		case !c.Ends && !evacuated:
			e.halls[c.Hall] = Evacuation{Hall: c.Hall, Version: c.Version, Since: now}
			e.log.Info("hall evacuated", "hall", c.Hall, "version", c.Version)
		}
		e.placer.SetEvacuated(c.Hall, !c.Ends)
	}
}

// List returns the evacuated halls, sorted by name.
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
