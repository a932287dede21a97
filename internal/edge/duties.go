package edge

import (
	"fmt"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/duty"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/peer"
	"github.com/croftturn/croftturn/internal/scaling"
	"github.com/croftturn/croftturn/internal/settings"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/croftturn/croftturn/platform"
)

const (
	// holderMaxAge is for how long this node passes on what a duty holder last announced.
	holderMaxAge = 3 * time.Second

	// firstDutiesDelay is for how long after the first start of the whole system no node takes the
	// duties: until all nodes have registered, small ones don't know that there are larger ones.
	firstDutiesDelay = firstReadDelay + 300*time.Millisecond

	// maxDutyCandidates is how many nodes are candidates to take over the duties.
	maxDutyCandidates = 4
)

// newDuties returns this node's duties, or nil where the settings name none.
func (e *Edge) newDuties(now time.Time) *duty.Duties {
	s := e.settings
	if s.DutiesAddress == "" || len(s.Duties) == 0 {
		return nil
	}
	e.dutyClient = platform.NewDutyClient(s.DutiesAddress)
	d := duty.New(now, duty.Settings{
		Name: s.Instance, ProcessID: fmt.Sprintf("%s/%x", s.Instance, clock.Wall(now).UnixNano()), PeerAddress: s.PeerAddress,
		ReturnDelay: ms(s.LeaseMs), Window: ms(s.UsageWindowMs), DueAfter: ms(s.UsageLateMs),
		FirstStart: s.FirstStart, Usage: slices.Contains(s.Duties, settings.SettingsDutiesElemUsage), Scaling: slices.Contains(s.Duties, settings.SettingsDutiesElemScaling),
	}, e.store, e.dutyClient, e.peerClient, dutyNode{e}, e.log)
	e.peerServer.Handle(duty.MethodUsage, peer.Typed(d.HandleCounts))
	e.metrics.usage = d.Counter
	return d
}

// dutyNode is the view of a node that the duty package uses.
type dutyNode struct{ e *Edge }

// Rank returns how many nodes come before this one as holder of the duties. Candidates are hubs
// that can read the store, the largest first.
func (n dutyNode) Rank(now time.Time) (rank int, ok bool) {
	e := n.e
	if e.settings.FirstStart && now.Sub(e.startedAt) < firstDutiesDelay || !e.register.Joined() || !e.gossip.IsHub() || e.dispatcher.Ready(now) == dispatch.Stopping || e.readFailing(now) {
		return 0, false
	}
	var others []candidate
	for _, p := range e.gossip.Hubs(now) {
		others = append(others, newCandidate(p.Name, p.Cores, p.State.CannotReadStore || p.State.Stopping))
	}
	rank = newCandidate(e.settings.Instance, cores(e.settings), false).rank(others)
	return rank, rank < maxDutyCandidates
}

// Pools returns the engines that this node knows of in each pool whose engines can be ordered.
func (n dutyNode) Pools(time.Time) []duty.Pool {
	table := n.e.dispatcher.Table()
	if table == nil {
		return nil
	}
	var out []duty.Pool
	for _, p := range table.Pools() {
		if p.Scaling == nil {
			continue
		}
		halls := n.e.placement.HallEngines(p.Name)
		for hall := range p.Scaling.HallPrices {
			if _, ok := halls[hall]; !ok {
				halls[hall] = scaling.HallState{} // Engines may be ordered in a hall that has none yet.
			}
		}
		limits := *p.Scaling
		limits.Interactive = table.Interactive(p.Name, ms(n.e.settings.InteractiveTargetMs))
		out = append(out, duty.Pool{Name: p.Name, Limits: limits, Halls: halls})
	}
	return out
}

// Work returns, by pool, the prefill work that this node has sent to engines so far, in
// milliseconds of an engine.
func (n dutyNode) Work() map[string]scaling.Demand { return n.e.placement.PrefillWork() }

// announcedHolder returns the duty holder that this node announces to its peers.
func (e *Edge) announcedHolder(now time.Time) gossip.Holder {
	if e.duties == nil {
		return gossip.Holder{}
	}
	h := e.duties.Holder(now)
	if h.Released {
		return gossip.Holder{Token: h.Token, Address: h.Address, AgeMs: -1}
	}
	if age := now.Sub(h.RenewedAt); h.Token > 0 && age <= holderMaxAge {
		return gossip.Holder{Token: h.Token, Address: h.Address, AgeMs: age.Milliseconds()}
	}
	return gossip.Holder{}
}

// receiveHolder records the duty holder that a peer announced.
func (e *Edge) receiveHolder(now time.Time, h gossip.Holder) {
	if e.duties != nil && h.Token > 0 {
		e.duties.ObserveHolder(duty.Holder{Token: h.Token, Address: h.Address, RenewedAt: now.Add(-ms(int(max(h.AgeMs, 0)))), Released: h.AgeMs < 0})
	}
}

// spotReplacements returns, by pool, how many on-demand engines this node has ordered in place of
// spot engines as the duty holder.
func (e *Edge) spotReplacements(now time.Time) map[string]int {
	if e.duties == nil {
		return nil
	}
	return e.duties.Replacements(now)
}

// dutyRows returns, as rows for operators, the duty holder and the duties that this node
// performed.
func (e *Edge) dutyRows(now time.Time) []wire.Row {
	if e.duties == nil {
		return nil
	}
	s := e.duties.Status(now)
	rows := []wire.Row{{
		Name: "holder", Node: s.Holder.Address, Count: int(s.Holder.Token), AgeMs: int(now.Sub(s.Holder.RenewedAt).Milliseconds()),
		Reason: fmt.Sprintf("term %d; holders before: %v", s.Holder.Token, s.PreviousHolders), State: map[bool]string{true: "given up", false: "held"}[s.Holder.Released],
	}}
	for _, w := range s.Windows {
		state := "open"
		switch {
		case w.Sent:
			state = "reported"
		case w.Settled:
			state = "settled"
		}
		rows = append(rows, wire.Row{Name: fmt.Sprint("window ", w.Number), State: state, Count: w.Requests(), Reason: fmt.Sprintf("by team: %v", w.Counts)})
	}
	for _, o := range s.Orders {
		rows = append(rows, wire.Row{Name: "engines in " + o.Hall, Pool: o.Pool, Count: o.Count, State: map[bool]string{true: "may be taken away", false: "ordinary"}[o.Spot], Reason: fmt.Sprintf("the load needs %d in all", s.Need[o.Pool])})
	}
	return rows
}
