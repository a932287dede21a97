package edge

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/gossip"
	"github.com/croftturn/croftturn/internal/peer"
	"github.com/croftturn/croftturn/internal/pinning"
	"github.com/croftturn/croftturn/internal/telemetry"
	"github.com/croftturn/croftturn/platform"
)

// handoverDelay is how long after it began to stop a node hands its records over: by then its peers know
// that it stops, and give it no more of them.
const handoverDelay = 300 * time.Millisecond

// pinMembers are the nodes that keep the records of streams: the hubs, which take the callers.
type pinMembers struct{ e *Edge }

// Keepers implements pinning.Members. Nodes of a release without records are left out.
func (m pinMembers) Keepers(now time.Time) (list []pinning.Node, direct bool) {
	for _, p := range m.e.gossip.Hubs(now) {
		if p.State.PinsStreams && !p.State.Stopping {
			list = append(list, pinning.Node{Name: p.Name, Address: p.PeerAddress, Hall: p.Hall})
		}
	}
	return list, m.e.gossip.IsHub()
}

// Complete implements pinning.Members.
func (m pinMembers) Complete(now time.Time) bool {
	if nodes, _ := m.e.gossip.TotalNodes(); nodes > 1 && m.e.gossip.Isolated(now) {
		return false
	}
	return m.e.register.Joined() && m.e.unheardPeers(now) == 0 && m.e.gossip.ReachableShare(now) == 1
}

// newPinning creates what records where streams begin.
func (e *Edge) newPinning() {
	e.pins = pinning.NewKeeper(pinMembers{e}, e.peerClient, e.log)
	e.versions = pinning.NewHistory(e.store, versionedEngines{e}, e.resumablePools, e.writesVersions, e.settings.FirstStart, e.log)
	e.peerServer.Handle(pinning.MethodRecord, peer.Typed(e.pins.HandleRecord))
	e.peerServer.Handle(pinning.MethodFind, peer.Typed(e.pins.HandleFind))
}

// resumablePools returns the pools with resumable streams.
func (e *Edge) resumablePools() []string {
	if t := e.dispatcher.Table(); t != nil {
		return t.ResumablePools()
	}
	return nil
}

// writesVersions reports whether this node is chosen to store at which versions the streams of a pool have
// begun. Nodes that hear different peers may choose different ones.
func (e *Edge) writesVersions(now time.Time, pool string) bool {
	selfEligible := e.gossip.IsHub() && e.dispatcher.Ready(now) != dispatch.Stopping
	_, self, _ := e.selectHub(now, pool, selfEligible, func(p gossip.Peer) bool { return p.State.PinsStreams && !p.State.Stopping })
	return self
}

// noteIncarnation gives a peer that has started again the records that it is to keep.
func (e *Edge) noteIncarnation(now time.Time, p gossip.NodeInfo) {
	e.incarnationsMu.Lock()
	before, known := e.incarnations[p.Name]
	e.incarnations[p.Name] = p.Incarnation
	e.incarnationsMu.Unlock()
	if known && before != p.Incarnation {
		e.pins.Restarted(now, p.Name)
	}
}

// handOverPins gives the records of this node, which stops, to others.
func (e *Edge) handOverPins(begin time.Time) {
	time.Sleep(handoverDelay - clock.Since(begin))
	e.pins.HandOver(clock.Now())
}

// pinGauges are the gauges of the records of streams.
func (e *Edge) pinGauges() []telemetry.Gauge {
	return []telemetry.Gauge{
		{Name: "croftturn.edge.stream_records", Help: "records of where streams began", Read: func() int64 { kept, _, _ := e.pins.Counts(); return kept }},
		{Name: "croftturn.edge.stream_records_dropped", Help: "records of streams dropped before their time", Read: func() int64 { _, dropped, _ := e.pins.Counts(); return dropped }},
		{Name: "croftturn.edge.stream_records_unconfirmed", Help: "first events passed on before another node had the record of their stream", Read: func() int64 { _, _, unconfirmed := e.pins.Counts(); return unconfirmed }},
	}
}

// Continued counts a stream that its caller took up, and what was decided on it.
func (m *metrics) Continued(pool, decision string) {
	m.continued.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.String("decision", decision)))
}

// versionedEngines are the engines of which this node knows the versions.
type versionedEngines struct{ *Edge }

// Versions implements pinning.Engines.
func (v versionedEngines) Versions(pool string) []string { return v.placement.Versions(pool) }

// Unheard implements pinning.Engines.
func (v versionedEngines) Unheard(ctx context.Context, pool, version string) (bool, error) {
	at, ok := v.engineTable.Position()
	if !ok {
		return true, nil
	}
	changes, err := v.store.Changes(ctx, platform.TableEngines, at.Version, 0)
	if err != nil {
		return false, fmt.Errorf("read engines: %w", err)
	}
	unheard := changes.Era != at.Era || changes.Unreadable > 0
	for _, row := range changes.Rows {
		engine, err := platform.DecodeEngine(clock.Now(), row)
		unheard = unheard || err == nil && engine.Pool == pool && engine.Version != version
	}
	return unheard, nil
}
