package placement

import (
	"slices"
	"time"
)

// restartTime is how long after an engine was seen down its entry may still be that of its former
// incarnation: the time that a new one takes from the store to all nodes, with a margin.
const restartTime = 2 * time.Second

// boundEngines are the figures of those engines of a pool that a version-bound request may go to.
type boundEngines struct {
	engines   int     // number of engines that take such requests
	usable    int     // number of these that are neither limited nor in backoff
	occupancy float64 // known share of the usable ones' slots in use
}

// versionAllowed reports whether a request may be served by an engine's software version.
func (r *Request) versionAllowed(e *engine) bool { return !r.VersionBound || e.Version == r.Version }

// mayHaveRestarted reports whether the engine was seen down since its entry was learned, and may have started
// again with software of another version.
func (e *engine) mayHaveRestarted(now time.Time) bool { return now.Sub(e.downAt) < restartTime }

// EngineDown records that nothing listened at the engine's address.
func (c *Call) EngineDown(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.engine.downAt = now
}

// reserves reports whether the free slots of an engine are left to other requests.
func (r *Request) reserves(e *engine) bool {
	return !r.VersionBound && slices.Contains(r.Reserved, e.Version)
}

// boundEngines returns the figures of the engines for a request; nil unless it is version-bound. The
// caller must hold the lock.
func (p *Placement) boundEngines(now time.Time, known *pool, r Request) *boundEngines {
	if !r.VersionBound {
		return nil
	}
	b, requests, slots := &boundEngines{}, 0, 0
	for _, e := range known.withLeaving {
		if e.Draining && !r.Interactive && !r.MayLeave || !r.versionAllowed(e) || e.Draining && !p.usesLeaving(now, e) {
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

// Versions returns the software versions of a pool's engines, draining ones included.
func (p *Placement) Versions(pool string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, e := range p.engines {
		if e.Pool == pool && !slices.Contains(out, e.Version) {
			out = append(out, e.Version)
		}
	}
	return out
}

// VersionGone reports whether a pool has no engine with a software version any more. While changes in the
// platform's store do not reach this node, that is not known.
func (p *Placement) VersionGone(now time.Time, pool, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		if e.Pool == pool && e.Version == version {
			return false
		}
	}
	return p.storeKnown(now)
}
