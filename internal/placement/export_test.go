package placement

// Engine returns an engine by its id.
func (p *Placement) Engine(id string) (Engine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.engines[id]
	if !ok {
		return Engine{}, false
	}
	return e.Engine, true
}

// Engines returns all engines.
func (p *Placement) Engines() []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Engine, 0, len(p.engines))
	for _, e := range p.engines {
		out = append(out, e.Engine)
	}
	return out
}

// PeersAt returns how many peers are known to have work at an engine.
func (p *Placement) PeersAt(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.engines[id].peers)
}
