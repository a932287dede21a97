package edge

import (
	"github.com/croftturn/croftturn/internal/cachewatch"
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/platform"
)

// engineSink applies changes of engines that discovery reports.
type engineSink struct {
	placement *placement.Placement
	egress    *platform.Egress
	limits    *limit.Limits
	watcher   *cachewatch.Watcher
	versions  *pinning.History
	gone      func(id string, restarted bool) // gone is called when an engine's entry is gone or tells of another start.
}

// Set adds or updates an engine. If the engine has restarted, idle connections belong to its
// former incarnation, and a request that may not be repeated would be lost on them.
func (s engineSink) Set(e placement.Engine) {
	restarted := s.placement.Set(e)
	s.versions.Observe(e.Pool, e.Version)
	if restarted || e.Draining {
		s.watcher.Stop(e.ID) // A restarted engine is watched anew.
	}
	if restarted {
		s.egress.CloseIdle(e.Address)
		s.limits.Forget(e.ID)
		s.gone(e.ID, true)
	}
}

// Drain stops new requests to an engine.
func (s engineSink) Drain(id string) {
	s.placement.Drain(id)
	s.watcher.Stop(id)
}

// Remove removes an engine.
func (s engineSink) Remove(id string) {
	s.placement.Remove(id)
	s.watcher.Stop(id)
	s.gone(id, false)
}
