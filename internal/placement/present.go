package placement

import (
	"maps"

	"github.com/croftturn/croftturn/internal/scaling"
)

// HallEngines returns what each hall has of a pool.
func (p *Placement) HallEngines(pool string) map[string]scaling.Seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]scaling.Seen{}
	for _, e := range p.engines {
		if e.Pool != pool {
			continue
		}
		h := out[e.Hall]
		switch {
		case e.Spot && e.Draining:
			h.Leaving++
		case e.Spot:
			h.Spot++
		case !e.Draining:
			h.Staying++
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

// addWork counts how long an engine takes to read the prompt of a request that is sent, in milliseconds. The caller holds the
// lock.
func (p *Placement) addWork(r Request, ms float64) {
	w := p.work[r.Pool]
	w.All += ms
	if !r.LowestTier {
		w.Upper += ms
	}
	p.work[r.Pool] = w
}

// PrefillWork returns, by pool, how many milliseconds of an engine the prompts take that this node has sent since its start.
func (p *Placement) PrefillWork() map[string]scaling.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.work)
}
