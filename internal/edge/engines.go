package edge

import (
	"github.com/croftturn/croftturn/internal/limit"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/platform"
)

// engines takes the engines that may get work.
type engines struct {
	placement *placement.Placement
	egress    *platform.Egress
	limits    *limit.Limits
}

// Set takes an engine. Connections that rest are of the former incarnation of one that has started
// again, and a request which may not be repeated would be lost on them.
func (s engines) Set(e placement.Engine) {
	if s.placement.Set(e) {
		s.egress.Forget(e.Address)
		s.limits.Forget(e.ID)
	}
}

// Drain has an engine get no new requests.
func (s engines) Drain(id string) { s.placement.Drain(id) }

// Remove drops an engine.
func (s engines) Remove(id string) { s.placement.Remove(id) }
