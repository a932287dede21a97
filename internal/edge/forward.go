package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/forward"
	"github.com/croftturn/croftturn/internal/gossip"
)

// forwarder sends requests to the other nodes that may reach their engines.
type forwarder struct {
	*forward.Client
	e *Edge
}

// forwarding returns the dispatcher's option to forward requests.
func (e *Edge) forwarding() dispatch.Option {
	return dispatch.WithForwarder(e.settings.Instance, forwarder{e.forwards, e})
}

// Choose chooses one of the nodes that take forwarded requests and can reach the engines of a pool: of
// two at random the one with the lower rate for its size. Nodes of other halls
// are chosen where none of this hall is left, or all of them serve more than they are planned for. A node of
// a release that would continue a resumable stream at any version gets none.
func (f forwarder) Choose(now time.Time, pool string, resumable bool, avoid []string) (node, address string, ok bool) {
	var near, far []gossip.Peer
	for _, p := range f.e.gossip.Peers(now) {
		s := p.State
		if !s.Ready || s.Stopping || s.ForwardPort == 0 || slices.Contains(s.Unreachable, pool) || slices.Contains(avoid, p.Name) || resumable && !s.PinsStreams {
			continue
		}
		if far = append(far, p); p.Hall == f.e.settings.Hall && !p.Entry().Busy() {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", "", false
	}
	chosen, other := near[rand.IntN(len(near))], near[rand.IntN(len(near))]
	if other.Entry().Load() < chosen.Entry().Load() {
		chosen = other
	}
	at, err := netip.ParseAddrPort(chosen.PeerAddress)
	if err != nil {
		return "", "", false
	}
	return chosen.Name, netip.AddrPortFrom(at.Addr(), chosen.State.ForwardPort).String(), true
}

// forwardPort returns the port at which this node takes forwarded requests: one of its own, or that for
// the calls of peers.
func (e *Edge) forwardPort() uint16 {
	_, text, err := net.SplitHostPort(cmp.Or(e.settings.ForwardAddress, e.settings.PeerAddress))
	if err != nil {
		return 0
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}
	return uint16(port)
}

// partitioned reports whether this node, which cannot reach some pools, reaches no engine at all.
func (e *Edge) partitioned(unreachable []string) bool {
	table := e.dispatcher.Table()
	if len(unreachable) == 0 || table == nil {
		return false
	}
	for _, p := range table.Pools() {
		if _, engines := e.placement.Sample(p.Name, 0, nil); engines > 0 && !slices.Contains(unreachable, p.Name) {
			return false
		}
	}
	return true
}

// reachabilityChanged handles that the engines of a pool became unreachable or reachable for this node.
func (e *Edge) reachabilityChanged(pool string) {
	e.placement.SetUnreachable(pool, e.reach.Pool(pool).Unreachable())
	e.metrics.reachability.Add(context.Background(), 1, byPool(pool))
}
