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
	// methodChanges is the peers' method that takes a ChangesRequest.
	methodChanges = "changes"

	// askedPeers is how many peers are asked for a newer configuration.
	askedPeers = 3

	// askTimeout bounds one such question.
	askTimeout = time.Second
)

// seeds lists the addresses of peers to ask while no member is known: those of
// the settings and those of the platform's list, which lags behind.
func (n *Node) seeds(ctx context.Context) []string {
	out := append([]string(nil), n.settings.SeedPeers...)
	list, err := n.platform.Instances(ctx)
	if err != nil {
		n.tele.Log.Debug("instances not listed", "error", err.Error())
		return out
	}
	for _, i := range list {
		if !i.Leaving && i.Name != n.settings.Instance {
			out = append(out, i.PeerAddress)
		}
	}
	return out
}

// Changes asks a few peers for configuration changes after a version. It fails
// where peers are known and none answers.
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
	for _, m := range others[:min(len(others), askedPeers)] {
		reply, err := n.askChanges(ctx, m, after)
		if err != nil {
			n.tele.Log.Debug("peer not asked for changes", "peer", m.Name, "error", err.Error())
			continue
		}
		out = append(out, reply)
	}
	if len(out) == 0 {
		return nil, trace.ConnectionProblem(nil, "no peer answers")
	}
	return out, nil
}

// askChanges asks one peer.
func (n *Node) askChanges(ctx context.Context, m wire.Member, after int) (*wire.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply := &wire.ChangesReply{}
	err := n.client.Call(ctx, m.PeerAddress, methodChanges, &wire.ChangesRequest{After: after}, reply)
	return reply, err
}

// gatherer returns the node that gathers this node's claims.
func (n *Node) gatherer() (wire.Member, bool) {
	return n.table.Owner(claim.GatherKey(n.settings.Instance, n.table.Len()))
}

// Elsewhere reports whether another node gathers this node's claims.
func (n *Node) Elsewhere() bool {
	owner, ok := n.gatherer()
	return ok && owner.Name != n.settings.Instance
}

// Forward hands claims to the node that gathers them.
func (n *Node) Forward(ctx context.Context, batch *wire.ClaimBatch) (*wire.ClaimReply, error) {
	owner, ok := n.gatherer()
	if !ok {
		return nil, trace.NotFound("no node gathers claims")
	}
	reply := &wire.ClaimReply{}
	err := n.client.Call(ctx, owner.PeerAddress, claim.MethodClaims, batch, reply)
	return reply, err
}

// sweeps reports whether this node is the one that removes old claims.
func (n *Node) sweeps() bool {
	owner, ok := n.table.Owner(claim.SweepKey)
	return ok && owner.Name == n.settings.Instance
}

// Watch sets the engines whose load is read: those of the pools that this node
// is the broker of, and those of pools on which it decides alone.
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

// Leaving reports whether an engine says that it is leaving.
func (n *Node) Leaving(engine string) bool { return n.watcher.Leaving(engine) }

// Rows returns this node's rows of a table.
func (n *Node) Rows(now time.Time, q *wire.QueryRequest) []wire.Row {
	switch q.Table {
	case "engines":
		return n.brokers.Engines()
	case "orders":
		return n.orders.Rows()
	case "members":
		return n.memberRows()
	case "request":
		return n.journal.Explain(now, q.Request)
	case journal.Queued, journal.Running, journal.Refused, journal.Completed, journal.Unknown, journal.Cancelled:
		return n.journal.Rows(now, q.Table, ms(q.SinceMs))
	}
	return nil
}

// memberRows returns the members as this node sees them.
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

// observe adds the numbers that are read at each scrape.
func (n *Node) observe() error {
	return n.tele.RegisterGauges(
		telemetry.Gauge{Name: "croftturn.control.bytes.out", Help: "Control bytes sent to peers.", Read: n.traffic.BytesOut.Load},
		telemetry.Gauge{Name: "croftturn.control.bytes.in", Help: "Control bytes received from peers.", Read: n.traffic.BytesIn.Load},
		telemetry.Gauge{Name: "croftturn.control.calls", Help: "Control calls sent and received.", Read: n.traffic.Calls.Load},
		telemetry.Gauge{Name: "croftturn.platform.reads", Help: "Read calls to the platform.", Read: n.platform.Reads.Load},
		telemetry.Gauge{Name: "croftturn.platform.writes", Help: "Transactions sent to the platform.", Read: n.platform.Writes.Load},
		telemetry.Gauge{Name: "croftturn.config.version", Help: "Configuration version in force.", Read: func() int64 { return int64(n.store.Version()) }},
		telemetry.Gauge{Name: "croftturn.requests.live", Help: "Requests that have not ended.", Read: func() int64 { return int64(n.journal.Live()) }},
		telemetry.Gauge{Name: "croftturn.cpu.microseconds", Help: "Processor time used by this process.", Read: cpuMicros},
		telemetry.Gauge{Name: "croftturn.heap.live.bytes", Help: "Heap that the last collection found in use.", Read: func() int64 { return memory("/gc/heap/live:bytes") }},
		telemetry.Gauge{Name: "croftturn.memory.bytes", Help: "Memory that the process has from the system.", Read: func() int64 {
			return memory("/memory/classes/total:bytes") - memory("/memory/classes/heap/released:bytes")
		}},
	)
}
