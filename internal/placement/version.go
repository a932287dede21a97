package placement

import "time"

// boundEngines are the figures of those engines of a pool that a version-bound request may go to.
type boundEngines struct {
	engines   int     // number of engines that take such requests
	usable    int     // number of these that are neither limited nor in backoff
	occupancy float64 // known share of the usable ones' slots in use
}

// versionAllowed reports whether a request may be served by an engine's software version.
func (r *Request) versionAllowed(e *engine) bool { return !r.VersionBound || e.Version == r.Version }

// boundEngines returns the figures of the engines for a request; nil unless it is version-bound. The
// caller must hold the lock.
func (p *Placement) boundEngines(now time.Time, known *pool, r Request) *boundEngines {
	if !r.VersionBound {
		return nil
	}
	b, requests, slots := &boundEngines{}, 0, 0
	for _, e := range known.candidates(r) {
		if !r.versionAllowed(e) || e.Draining && !p.usesLeaving(now, e) {
			continue
		}
		b.engines++
		if p.throttled(now, e) {
			continue
		}
		b.usable++
		if e.Slots > 0 {
			requests += e.load(now).InFlight
			slots += e.Slots
		}
	}
	b.occupancy = float64(requests) / float64(max(1, slots))
	return b
}

// HasVersion reports whether a pool has an engine with a software version, draining ones included.
func (p *Placement) HasVersion(pool, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		if e.Pool == pool && e.Version == version {
			return true
		}
	}
	return false
}
