package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/quarantine"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// methodHeld is the RPC method that takes and answers with what a node knows of requests and prompt parts under which
	// engines crashed.
	methodHeld = "held"

	// heldInterval is how often changes are sent to all nodes, besides after each crash, and heldSyncInterval how often one node is told and asked everything.
	heldInterval     = 100 * time.Millisecond
	heldSyncInterval = 5 * time.Second

	// heldTimeout bounds one such RPC.
	heldTimeout = time.Second
)

// heldState is what a node knows of requests and prompt parts under which engines crashed.
type heldState struct {
	Requests []quarantine.GossipEntry `json:"requests,omitempty"`
	Parts    quarantine.PartGossip    `json:"parts"`
	Ask      bool                     `json:"ask,omitempty"` // Ask is set if the receiver should answer with what it knows.
}

// maySendTrial reports whether this node sends the trial of a held request or prompt part first.
func (n *Node) maySendTrial(_ time.Time, name string) bool {
	owner, ok := n.table.Owner("held/" + name)
	return !ok || owner.Name == n.table.Self().Name
}

// heldRows returns the held requests and prompt parts as rows for operators.
func (n *Node) heldRows(now time.Time) []wire.Row {
	rows := quarantine.Rows(now, n.quarantine, n.parts)
	for i := range rows {
		rows[i].Node = n.settings.Instance
	}
	return rows
}

// release releases a held request or prompt part on all nodes, and reports whether it was held.
func (n *Node) release(now time.Time, id uint64) bool {
	return n.quarantine.Release(now, quarantine.Fingerprint(id)) || n.parts.Release(now, id)
}

// heldState returns what this node knows: all, or what it learned within a window.
func (n *Node) heldState(now time.Time, window time.Duration, all bool) heldState {
	s := heldState{Requests: n.quarantine.GossipEntries(now, window), Parts: n.parts.GossipEntries(now, window)}
	if all {
		return s
	}
	s.Parts = s.Parts.Recent(window)
	recent := s.Requests[:0]
	for _, e := range s.Requests {
		if e.Age <= window {
			recent = append(recent, e)
		}
	}
	s.Requests = recent
	return s
}

// mergeHeld merges what another node knows.
func (n *Node) mergeHeld(s *heldState) {
	now := clock.Now()
	n.quarantine.MergeGossip(now, s.Requests)
	n.parts.MergeGossip(now, s.Parts)
}

// handleHeld is the handler of methodHeld.
func (n *Node) handleHeld(_ context.Context, s *heldState) (any, error) {
	n.mergeHeld(s)
	if !s.Ask {
		return &heldState{}, nil
	}
	reply := n.heldState(clock.Now(), 2*heldInterval, true)
	return &reply, nil
}

// noteCrash makes this node tell the others at once.
func (n *Node) noteCrash() {
	select {
	case n.crashed <- struct{}{}:
	default: // It is about to.
	}
}

// shareHeld tells all nodes of changes, and now and then exchanges everything with one, at first as soon as there is one.
func (n *Node) shareHeld(ctx context.Context) {
	var syncAt time.Time
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.crashed:
		case <-time.After(heldInterval):
		}
		now := clock.Now()
		if s := n.heldState(now, 2*heldInterval, false); len(s.Requests) > 0 || !s.Parts.IsEmpty() {
			for _, m := range n.table.Live() {
				if m.Name != n.table.Self().Name {
					n.start(func() { _ = n.callHeld(ctx, m, s) }) // It is told again, and exchanges everything later.
				}
			}
		}
		if now.Before(syncAt) {
			continue
		}
		s := n.heldState(now, 2*heldInterval, true)
		s.Ask = true
		if others := n.otherMembers(); len(others) > 0 && n.callHeld(ctx, others[rand.IntN(len(others))], s) {
			syncAt = now.Add(heldSyncInterval)
		}
	}
}

// otherMembers returns the live nodes besides this one.
func (n *Node) otherMembers() []wire.Member {
	var out []wire.Member
	for _, m := range n.table.Live() {
		if m.Name != n.table.Self().Name {
			out = append(out, m)
		}
	}
	return out
}

// callHeld tells a node what this one knows, merges the answer, and reports whether one came.
func (n *Node) callHeld(ctx context.Context, m wire.Member, s heldState) bool {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	var reply heldState
	if err := n.client.Call(ctx, m.PeerAddress, methodHeld, s, &reply); err != nil {
		n.tele.Log.Debug("cannot exchange held requests with a node", "peer", m.Name, "error", err.Error())
		return false
	}
	n.mergeHeld(&reply)
	return true
}
