package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/claim"
	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/journal"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

const (
	// methodChanges is the RPC method that takes a ChangesRequest.
	methodChanges = "changes"

	// maxPeersAsked is the maximum number of peers asked for a newer configuration.
	maxPeersAsked = 3

	// askTimeout bounds one such RPC.
	askTimeout = time.Second
)

// seeds returns the peer addresses to contact while no member is known: those of the
// settings and those of the platform's instance list, which may be outdated.
func (n *Node) seeds(ctx context.Context) []string {
	out := append([]string(nil), n.settings.SeedPeers...)
	list, err := n.platform.Instances(ctx)
	if err != nil {
		n.tele.Log.Debug("failed to list instances", "error", err.Error())
		return out
	}
	for _, i := range list {
		if !i.Leaving && i.Name != n.settings.Instance {
			out = append(out, i.PeerAddress)
		}
	}
	return out
}

// Changes asks a few random peers for the configuration changes after a version. It
// fails if none answers.
func (n *Node) Changes(ctx context.Context, after int) ([]*wire.ChangesReply, error) {
	self := n.table.Self().Name
	var others []wire.Member
	for _, m := range n.table.Live() {
		if m.Name != self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []*wire.ChangesReply
	for _, m := range others[:min(len(others), maxPeersAsked)] {
		reply, err := n.askChanges(ctx, m, after)
		if err != nil {
			n.tele.Log.Debug("failed to ask a peer for changes", "peer", m.Name, "error", err.Error())
			continue
		}
		out = append(out, reply)
	}
	if len(out) == 0 {
		return nil, trace.ConnectionProblem(nil, "no peer answers")
	}
	return out, nil
}

// askChanges asks one peer for changes.
func (n *Node) askChanges(ctx context.Context, m wire.Member, after int) (*wire.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply := &wire.ChangesReply{}
	err := n.client.Call(ctx, m.PeerAddress, methodChanges, &wire.ChangesRequest{After: after}, reply)
	return reply, err
}

// claimGatherer returns the node that batches this node's claims.
func (n *Node) claimGatherer() (wire.Member, bool) {
	return n.table.Owner(claim.AggregatorKey(n.settings.Instance, n.table.Len()))
}

// ShouldForward reports whether another node batches this node's claims.
func (n *Node) ShouldForward() bool {
	owner, ok := n.claimGatherer()
	return ok && owner.Name != n.settings.Instance
}

// Forward sends claims to the node that batches them.
func (n *Node) Forward(ctx context.Context, batch *wire.ClaimBatch) (*wire.ClaimReply, error) {
	owner, ok := n.claimGatherer()
	if !ok {
		return nil, trace.NotFound("no node gathers claims")
	}
	reply := &wire.ClaimReply{}
	err := n.client.Call(ctx, owner.PeerAddress, claim.MethodClaims, batch, reply)
	return reply, err
}

// isClaimSweeper reports whether this node removes old claims.
func (n *Node) isClaimSweeper() bool {
	owner, ok := n.table.Owner(claim.SweepKey)
	return ok && owner.Name == n.settings.Instance
}

// Watch sets the engines whose load is polled: the given ones, of pools that this node
// is the broker of, and those of pools with the direct scheduler.
func (n *Node) Watch(engines []*config.Engine) {
	view := n.store.View()
	for i := range view.Config.Pools {
		p := &view.Config.Pools[i]
		if p.Scheduler == config.PoolSchedulerDirect {
			engines = append(engines, view.Engines(p.Name)...)
		}
	}
	n.watcher.Watch(engines)
}

// Leaving reports whether an engine's last load report says that it is leaving.
func (n *Node) Leaving(engine string) bool { return n.watcher.Leaving(engine) }

// Rows returns this node's rows of a query's table.
func (n *Node) Rows(now time.Time, q *wire.QueryRequest) []wire.Row {
	switch q.Table {
	case "engines":
		return n.brokers.Engines()
	case "orders":
		return n.orders.Rows()
	case "members":
		return n.memberRows()
	case "held":
		return n.heldRows(now)
	case "request":
		return n.journal.Explain(now, q.Request)
	case journal.Queued, journal.Running, journal.Refused, journal.Completed, journal.Unknown, journal.Cancelled:
		return n.journal.Rows(now, q.Table, ms(q.SinceMs))
	}
	return nil
}

// memberRows returns this node's view of the members.
func (n *Node) memberRows() []wire.Row {
	names := map[wire.MemberState]string{
		wire.MemberStateA: "alive", wire.MemberStateL: "leaving", wire.MemberStateS: "suspect", wire.MemberStateD: "dead",
	}
	var out []wire.Row
	for _, m := range n.table.All() {
		out = append(out, wire.Row{Node: m.Name, Name: m.Name, State: names[m.State], Reason: m.Hall + " " + m.PeerAddress})
	}
	return out
}

// registerGauges registers the gauges that are read at each scrape.
func (n *Node) registerGauges() error {
	return n.tele.RegisterGauges(
		telemetry.Gauge{Name: "croftturn.control.bytes.out", Help: "Control bytes sent to peers.", Read: n.traffic.BytesOut.Load},
		telemetry.Gauge{Name: "croftturn.control.bytes.in", Help: "Control bytes received from peers.", Read: n.traffic.BytesIn.Load},
		telemetry.Gauge{Name: "croftturn.control.calls", Help: "Control calls sent and received.", Read: n.traffic.Calls.Load},
		telemetry.Gauge{Name: "croftturn.platform.reads", Help: "Read calls to the platform.", Read: n.platform.Reads.Load},
		telemetry.Gauge{Name: "croftturn.platform.writes", Help: "Transactions sent to the platform.", Read: n.platform.Writes.Load},
		telemetry.Gauge{Name: "croftturn.config.version", Help: "Configuration version in force.", Read: func() int64 { return int64(n.store.Version()) }},
		telemetry.Gauge{Name: "croftturn.requests.held", Help: "Requests that get no engine, since engines crashed under them.", Read: n.quarantine.Len},
		telemetry.Gauge{Name: "croftturn.prompt_parts.held", Help: "Prompt parts that get no engine, since engines crashed under them.", Read: n.parts.Len},
		telemetry.Gauge{Name: "croftturn.handler_panics", Help: "Requests whose handler panicked.", Read: n.serverStats.Panics.Load},
		telemetry.Gauge{Name: "croftturn.connections.aborted", Help: "Requests whose connection was closed without a whole answer.", Read: n.serverStats.Aborts.Load},
		telemetry.Gauge{Name: "croftturn.connections.closed_unread", Help: "Callers' connections closed by this node though bytes lay unread in them.", Read: n.serverStats.ClosedUnread.Load},
		telemetry.Gauge{Name: "croftturn.connections.closed_waiting", Help: "Callers' connections closed at the end of this node though they had not got a whole answer.", Read: n.serverStats.ClosedWaiting.Load},
		telemetry.Gauge{Name: "croftturn.connections.closed_untaken", Help: "Connections that a listener held when it was closed.", Read: n.serverStats.ClosedUntaken.Load},
		telemetry.Gauge{Name: "croftturn.requests.crossed", Help: "Idle connections that this node closed as a request came.", Read: n.serverStats.Crossed.Load},
		telemetry.Gauge{Name: "croftturn.answers_ended_by_stop", Help: "Answers that had begun and were ended by the stop of this node.", Read: func() int64 { n, _ := n.front.EndedByStop(); return n }},
		telemetry.Gauge{Name: "croftturn.requests_ended_by_stop", Help: "Requests without an answer that had begun, ended by the stop of this node.", Read: func() int64 { _, n := n.front.EndedByStop(); return n }},
		telemetry.Gauge{Name: "croftturn.requests.live", Help: "Requests that have not ended.", Read: func() int64 { return int64(n.journal.Live()) }},
		telemetry.Gauge{Name: "croftturn.cpu.microseconds", Help: "Processor time used by this process.", Read: cpuMicros},
		telemetry.Gauge{Name: "croftturn.heap.live.bytes", Help: "Heap that the last collection found in use.", Read: func() int64 { return runtimeMetric("/gc/heap/live:bytes") }},
		telemetry.Gauge{Name: "croftturn.memory.bytes", Help: "Memory that the process has from the system.", Read: func() int64 {
			return runtimeMetric("/memory/classes/total:bytes") - runtimeMetric("/memory/classes/heap/released:bytes")
		}},
	)
}
