package placement

import (
	"maps"

	"github.com/croftturn/croftturn/internal/scaling"
)

// HallEngines counts a pool's engines by hall.
func (p *Placement) HallEngines(pool string) map[string]scaling.HallState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]scaling.HallState{}
	for _, e := range p.engines {
		if e.Pool != pool {
			continue
		}
		h := out[e.Hall]
		switch {
		case e.Spot && e.Draining:
			h.SpotDraining++
		case e.Spot:
			h.Spot++
		case !e.Draining:
			h.OnDemand++
		}
		out[e.Hall] = h
	}
	for hall := range p.evacuated {
		h := out[hall]
		h.Evacuated = true
		out[hall] = h
	}
	return out
}

// addWork adds the estimated prefill time of a request, in milliseconds. The caller must hold
// the lock.
func (p *Placement) addWork(r Request, ms float64) {
	w := p.work[r.Pool]
	w.All += ms
	if !r.LowestTier {
		w.Upper += ms
	}
	p.work[r.Pool] = w
}

// PrefillWork returns, by pool, the prefill time in milliseconds of all prompts that this node
// has sent since its start.
func (p *Placement) PrefillWork() map[string]scaling.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.work)
}
