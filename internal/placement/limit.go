package placement

import "time"

type (
	// Limits provides the request limits that engines have announced.
	Limits interface {
		// Opens reports whether an engine has a limit, and when a permit to send a request there
		// is expected to be available.
		Opens(engine string) (at time.Time, limited bool)

		// Len returns the number of engines with a limit.
		Len() int64
	}

	// noLimits is used when no engine has a limit.
	noLimits struct{}
)

func (noLimits) Opens(string) (time.Time, bool) { return time.Time{}, false }

func (noLimits) Len() int64 { return 0 }

// WithLimits sets the source of the engines' request limits.
func WithLimits(l Limits) Option {
	return func(p *Placement) { p.limits = l }
}

// ChooseLimited returns, when Choose finds no engine, the one at which a permit is expected to
// be available first; ok is false if the pool has no engine that may be used.
func (p *Placement) ChooseLimited(now time.Time, r Request) (choice Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pool(r.Pool)
	var first *engine
	var availableAt time.Time
	for _, e := range known.engines {
		at, limited := p.limits.Opens(e.ID)
		if !limited || now.Before(p.backoffUntil(now, e.ID)) || r.Avoid[e.ID] || !p.regionAllowed(r, e) || !r.versionAllowed(e) || !p.allowsCold(now, known, e) || first != nil && !at.Before(availableAt) {
			continue
		}
		first, availableAt = e, at
	}
	if first == nil {
		return Choice{}, false
	}
	r.bound = p.boundEngines(now, known, r)
	if r.Interactive {
		known.separate(now, &r)
	}
	if r.TransferRate > 0 {
		r.sources = p.transferSources(now, r)
	}
	choice = p.evaluate(now, known, first, r, known.beyond(r, first), 0)
	choice.Limited, choice.AvailableAt = true, availableAt
	choice.Engines, choice.Usable = p.counts(now, known, r)
	return choice, true
}

// Reevaluate returns a choice with the figures of its engine as of now; ok is false if the engine is gone.
func (p *Placement) Reevaluate(now time.Time, r Request, c Choice) (choice Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[c.Engine.ID]
	if e == nil {
		return Choice{}, false
	}
	known := p.pool(r.Pool)
	r.bound = p.boundEngines(now, known, r)
	if r.TransferRate > 0 {
		r.sources = p.transferSources(now, r)
	}
	choice = p.evaluate(now, known, e, r, known.beyond(r, e), 0)
	choice.GapSensitive, choice.Limited, choice.AvailableAt = c.GapSensitive, c.Limited, c.AvailableAt
	choice.Engines, choice.Usable = p.counts(now, known, r)
	return choice, true
}

// throttled reports whether an engine accepts few requests or none, because it announced a limit
// or asked for a backoff. The caller must hold the lock.
func (p *Placement) throttled(now time.Time, e *engine) bool {
	if len(p.backoffs) == 0 && p.limits.Len() == 0 {
		return false
	}
	_, limited := p.limits.Opens(e.ID)
	return limited || now.Before(p.backoffUntil(now, e.ID))
}
