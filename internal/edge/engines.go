package edge

import (
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/platform"
)

// engineSink applies changes of engines that discovery reports.
type engineSink struct {
	placement *placement.Placement
	egress    *platform.Egress
	limits    *limit.Limits
}

// Set adds or updates an engine. If the engine has restarted, idle connections belong to its
// former incarnation, and a request that may not be repeated would be lost on them.
func (s engineSink) Set(e placement.Engine) {
	if s.placement.Set(e) {
		s.egress.CloseIdle(e.Address)
		s.limits.Forget(e.ID)
	}
}

// Drain stops new requests to an engine.
func (s engineSink) Drain(id string) { s.placement.Drain(id) }

// Remove removes an engine.
func (s engineSink) Remove(id string) { s.placement.Remove(id) }
