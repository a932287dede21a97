package placement

import "time"

type (
	// Limits tells which engines have named a limit of requests.
	Limits interface {
		// Opens returns these engines, and for each when a permit to send a request there is expected to be free.
		Opens() map[string]time.Time
	}

	// noLimits are the limits of no engine.
	noLimits struct{}
)

// Opens returns none.
func (noLimits) Opens() map[string]time.Time { return nil }

// WithLimits tells a placement of the limits of engines.
func WithLimits(l Limits) Option {
	return func(p *Placement) { p.limits = l }
}

// ChooseLimited returns, where Choose finds none, the engine at which a permit is expected to be free first; ok is false
// where the pool has none that may be used.
func (p *Placement) ChooseLimited(now time.Time, r Request) (choice Choice, ok bool) {
	opens := p.limits.Opens()
	if opens == nil {
		return Choice{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pool(r.Pool)
	var first *engine
	for _, e := range known.engines {
		at, limited := opens[e.ID]
		if !limited || now.Before(p.rested(now, e.ID)) || r.Avoid[e.ID] || !p.allows(r, e) || !p.bears(now, known, e) || first != nil && !at.Before(opens[first.ID]) {
			continue
		}
		first = e
	}
	if first == nil {
		return Choice{}, false
	}
	choice = p.weigh(now, known, first, r, max(0, first.order-known.gather), 0)
	choice.Limited, choice.Opens, choice.Engines = true, opens[first.ID], len(known.engines)
	return choice, true
}
