package edge

import (
	"time"

	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/platform"
)

// loadNode exchanges the changes of load at the engines of interactive pools with peers.
type loadNode struct{ e *Edge }

// LoadChanged implements gossip.LoadNode.
func (n loadNode) LoadChanged() <-chan struct{} { return n.e.placement.LoadChanged() }

// TakeLoadChanges implements gossip.LoadNode.
func (n loadNode) TakeLoadChanges(now time.Time) gossip.LoadChanges {
	at := n.e.follower.Announcement().Position(platform.TableEngines) // Read before the loads, which may be of later entries but not of earlier ones.
	loads, uses, slowdowns, broken := n.e.placement.TakeLoadChanges(now)
	return gossip.LoadChanges{EngineVersion: at.Version, EngineEra: at.Era, Loads: loads, Uses: uses, Slowdowns: slowdowns, Broken: broken}
}

// HandleLoadChanges implements gossip.LoadNode.
func (n loadNode) HandleLoadChanges(now time.Time, peer string, c gossip.LoadChanges) {
	known := history.Position{Era: c.EngineEra, Version: c.EngineVersion}
	n.e.placement.UpdatePeerLoads(now, peer, known, c.Loads, c.Uses)
	n.e.placement.UpdateSlowdowns(now, known, c.Slowdowns)
	n.e.placement.UpdateBroken(now, known, c.Broken)
}
