package placement

import "maps"

// Present counts the engines of a pool that a hall has.
type Present struct {
	Staying int // Staying engines are ordinary ones that take new work.
	Spot    int // Spot engines take new work and may be taken away.
	Leaving int // Leaving engines may be taken away and take no new work.
}

// Present returns what each hall has of a pool.
func (p *Placement) Present(pool string) map[string]Present {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Present{}
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
	return out
}

// Work returns, by pool, how many milliseconds of an engine the prompts take that this node has sent since its start.
func (p *Placement) Work() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.work)
}
