package placement

import "time"

// SetUnreachable records whether this node can reach no engine of a pool. Meanwhile its load there is not
// reported to peers: its requests did not arrive at the engines, or their state is unknown.
func (p *Placement) SetUnreachable(pool string, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.poolState(pool)
	if known.unreachable == unreachable {
		return
	}
	known.unreachable = unreachable
	for _, e := range p.engines {
		if e.Pool == pool && e.own != (Load{}) {
			p.noteLoadChange(e)
		}
	}
}

// reportedLoad returns this node's load at an engine as peers are told. The caller must hold the lock.
func (p *Placement) reportedLoad(e *engine) Load {
	if known := p.pools[e.Pool]; known != nil && known.unreachable {
		return Load{}
	}
	return e.own
}

// ForwardedCall returns a call for a request that another node sends to an engine. It has no effect on the
// state of engines here.
func (p *Placement) ForwardedCall(now time.Time) *Call {
	return &Call{p: p, engine: newEngine(Engine{}), start: now, lastSign: now}
}
