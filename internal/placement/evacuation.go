package placement

import "time"

// SetEvacuated sets whether the engines of a hall are excluded from new requests.
func (p *Placement) SetEvacuated(hall string, evacuated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if evacuated {
		p.evacuated[hall] = true
	} else {
		delete(p.evacuated, hall)
	}
	p.changed = true
}

// InFlight returns how many requests of this node and its peers are at the engines of a hall.
func (p *Placement) InFlight(now time.Time, hall string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.engines {
		if e.Hall == hall {
			n += e.load(now).InFlight
		}
	}
	return n
}
