package placement

import "time"

type (
	// Limits tells which engines have named a limit of requests.
	Limits interface {
		// Opens reports whether an engine has, and when a permit to send a request there is expected to be free.
		Opens(engine string) (at time.Time, limited bool)

		// Len returns how many have.
		Len() int64
	}

	// noLimits are the limits of no engine.
	noLimits struct{}
)

// Opens returns none.
func (noLimits) Opens(string) (time.Time, bool) { return time.Time{}, false }

// Len returns 0.
func (noLimits) Len() int64 { return 0 }

// WithLimits tells a placement of the limits of engines.
func WithLimits(l Limits) Option {
	return func(p *Placement) { p.limits = l }
}

// ChooseLimited returns, where Choose finds none, the engine at which a permit is expected to be free first; ok is false
// where the pool has none that may be used.
func (p *Placement) ChooseLimited(now time.Time, r Request) (choice Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pool(r.Pool)
	var first *engine
	var opens time.Time
	for _, e := range known.engines {
		at, limited := p.limits.Opens(e.ID)
		if !limited || now.Before(p.backoffUntil(now, e.ID)) || r.Avoid[e.ID] || !p.regionAllowed(r, e) || !p.allowsCold(now, known, e) || first != nil && !at.Before(opens) {
			continue
		}
		first, opens = e, at
	}
	if first == nil {
		return Choice{}, false
	}
	choice = p.evaluate(now, known, first, r, max(0, first.poolIndex-known.streamEngines), 0)
	choice.Limited, choice.AvailableAt, choice.Engines, choice.Usable = true, opens, len(known.engines), known.usable
	return choice, true
}

// throttled reports whether an engine takes few requests or none, since it has named a limit or asked for rest. The caller holds
// the lock.
func (p *Placement) throttled(now time.Time, e *engine) bool {
	if len(p.backoffs) == 0 && p.limits.Len() == 0 {
		return false
	}
	_, limited := p.limits.Opens(e.ID)
	return limited || now.Before(p.backoffUntil(now, e.ID))
}
