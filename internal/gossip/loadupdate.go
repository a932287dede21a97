package gossip

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
)

// Where callers expect an answer to begin within some hundred milliseconds, a load report every 100 or
// 200 ms is too old: the nodes that send most requests all choose the engines that looked idle in it.
// These nodes therefore tell each other what has changed between two messages. Load updates are an
// addition: any of them may be lost, since the next message has the whole load.

const (
	// loadUpdateInterval is the shortest time between two load updates of a node. With 60 engines and
	// 1,000 requests per second, an engine gets less than one request in that time.
	loadUpdateInterval = 25 * time.Millisecond

	// largeShare is the share of the requests of all known hubs from which hubs exchange load updates
	// with each other at every interval. At most 50 hubs reach it, however many there are.
	largeShare = 0.02

	// smallShare is the share from which a hub exchanges updates with the hubs above. It gets theirs at
	// every smallRounds-th interval only: all of them would cost it more time than its few requests.
	smallShare  = 0.004
	smallRounds = 4

	// peersPerInterval is the number of peers that get updates at the shortest interval. With more, the
	// interval grows, so that a node sends at most 480 updates per second.
	peersPerInterval = 12

	// sendersPerInterval is the number of hubs with a small share that send at the shortest interval. With
	// more, their interval grows, so that a large one gets at most 960 updates per second from them.
	sendersPerInterval = 24

	// maxUpdateEngines, maxUpdateUses and maxUpdateSlowdowns bound an update to about 3 KB. What does not
	// fit is in the next message.
	maxUpdateEngines   = 64
	maxUpdateUses      = 32
	maxUpdateSlowdowns = 16

	// loadUpdateHeader is the first byte of an encoded loadUpdate, an array of five elements; that of a
	// message, which has ten, is 0x8a.
	loadUpdateHeader = 0x85
)

type (
	// LoadNode is a node that exchanges load updates.
	LoadNode interface {
		// LoadChanged returns a channel that receives when the node's own load at engines changes.
		LoadChanged() <-chan struct{}

		// TakeLoadChanges returns what has changed since the last call.
		TakeLoadChanges(now time.Time) LoadChanges

		// HandleLoadChanges handles the changes of a peer.
		HandleLoadChanges(now time.Time, peer string, c LoadChanges)
	}

	// LoadChanges is what has changed of a node's own load at engines. Fields are encoded by number, as
	// those of State.
	LoadChanges struct {
		EngineVersion int64                     `cbor:"1,keyasint,omitempty"` // EngineVersion is the newest version of the engines' entries that the node knew.
		Loads         map[string]placement.Load `cbor:"2,keyasint,omitempty"` // Loads is the present load by engine; zero if there is none any more.
		Uses          []placement.Use           `cbor:"3,keyasint,omitempty"` // Uses are the prompt parts sent to engines.
		Slowdowns     []placement.Slowdown      `cbor:"4,keyasint,omitempty"` // Slowdowns are those that engines reported to the node since.
		EngineEra     int64                     `cbor:"6,keyasint,omitempty"` // EngineEra is the era of EngineVersion.
		Broken        []string                  `cbor:"5,keyasint,omitempty"` // Broken are engines that broke a connection of the node and have not answered since.
	}

	// outgoingUpdate is an encoded update with its receivers.
	outgoingUpdate struct {
		packet []byte
		to     []Peer
	}

	// loadUpdate is one datagram.
	loadUpdate struct {
		_           struct{} `cbor:",toarray"`
		Name        string
		Incarnation int64
		After       uint32 // After is the sequence number of the sender's newest message.
		Seq         uint32 // Seq counts the sender's load updates.
		Changes     LoadChanges
	}
)

// empty reports whether nothing has changed.
func (c *LoadChanges) empty() bool {
	return len(c.Loads) == 0 && len(c.Uses) == 0 && len(c.Slowdowns) == 0 && len(c.Broken) == 0
}

// merge adds later loads and uses. Those of an earlier version of the engines' entries are dropped, since
// an engine may have restarted. Slowdowns and failures are not kept: they would be sent as if they were new.
func (c *LoadChanges) merge(later LoadChanges) {
	if c.Loads == nil || c.EngineVersion != later.EngineVersion {
		*c = LoadChanges{Loads: map[string]placement.Load{}, EngineVersion: later.EngineVersion}
	}
	maps.Copy(c.Loads, later.Loads)
	c.Uses = append(c.Uses, later.Uses...)
}

// limit drops what exceeds the bounds of an update.
func (c *LoadChanges) limit() {
	for id := range c.Loads {
		if len(c.Loads) <= maxUpdateEngines {
			break
		}
		delete(c.Loads, id)
	}
	c.Uses = c.Uses[max(0, len(c.Uses)-maxUpdateUses):]
	c.Slowdowns = c.Slowdowns[:min(len(c.Slowdowns), maxUpdateSlowdowns)]
	c.Broken = c.Broken[:min(len(c.Broken), maxUpdateEngines)]
}

// EnableLoadUpdates makes this node accept load updates, and announce it. It must be called before Run.
func (g *Gossip) EnableLoadUpdates(n LoadNode) { g.loadNode = n }

// RunLoadUpdates sends load updates until the context ends. Nothing is sent, and nothing wakes up, while
// the node's load does not change.
func (g *Gossip) RunLoadUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.loadNode.LoadChanged():
		}
		out, interval := g.composeLoadUpdates(clock.Now())
		for _, o := range out {
			g.sendLoadUpdate(o)
		}
		pause.For(ctx, interval)
	}
}

// updateInterval returns the time between two updates of a node where some peers have a large and some a
// small share of the requests.
func updateInterval(large, small int, selfLarge bool) time.Duration {
	if !selfLarge {
		return loadUpdateInterval * time.Duration(max(1, (small+sendersPerInterval-1)/sendersPerInterval))
	}
	peers := large + (small+smallRounds-1)/smallRounds
	return loadUpdateInterval * time.Duration(max(1, (peers+peersPerInterval-1)/peersPerInterval))
}

// sendLoadUpdate sends an update to its peers.
func (g *Gossip) sendLoadUpdate(o outgoingUpdate) {
	for _, p := range o.to {
		g.link.Sent(clock.Now(), len(o.packet))
		if _, err := g.conn.WriteToUDP(o.packet, p.addr); err != nil {
			g.log.Debug("sending load update to peer failed", "peer", p.Name, "error", err.Error())
		}
	}
	g.updates.sent.Add(int64(len(o.to)))
}

// composeLoadUpdates returns the updates that are due and the time until the next ones. The changes are
// taken also if nobody gets them, so that they do not pile up.
func (g *Gossip) composeLoadUpdates(now time.Time) (out []outgoingUpdate, interval time.Duration) {
	after := g.newestSeq() // A message that is composed meanwhile has the changes and is newer.
	changes := g.loadNode.TakeLoadChanges(now)
	large, small, selfLarge := g.updatePeers(now)
	u := &g.updates
	u.forSmall.merge(changes)
	u.forSmall.limit()
	if u.round++; u.round%smallRounds == 0 && selfLarge {
		out = g.appendUpdate(out, after, u.forSmall, small)
		u.forSmall = LoadChanges{}
	}
	changes.limit()
	return g.appendUpdate(out, after, changes, large), updateInterval(len(large), len(small), selfLarge)
}

// newestSeq returns the sequence number of the newest message.
func (g *Gossip) newestSeq() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seq
}

// appendUpdate appends an update of some changes, unless there are none or no peers.
func (g *Gossip) appendUpdate(out []outgoingUpdate, after uint32, c LoadChanges, to []Peer) []outgoingUpdate {
	if len(to) == 0 || c.empty() {
		return out
	}
	g.updates.seq++
	u := loadUpdate{Name: g.self.Name, Incarnation: g.self.Incarnation, After: after, Seq: g.updates.seq, Changes: c}
	packet, err := cbor.Marshal(u)
	if err != nil {
		g.log.Error("encoding load update failed", "error", err.Error())
		return out
	}
	return append(out, outgoingUpdate{packet: packet, to: to})
}

// updatePeers returns the peers with a large share of the requests, which get load updates from this node
// at every interval, and those with a small one, which get them at every smallRounds-th if this node has a
// large share itself. selfLarge reports whether it has. A node with less than a small share has no peers.
func (g *Gossip) updatePeers(now time.Time) (large, small []Peer, selfLarge bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isHub && !g.fullMesh() {
		return nil, nil, false
	}
	own := g.lastState.Rate
	sum := own
	var all []Peer
	for name, p := range g.peers {
		if g.alive(now, p) && (g.fullMesh() || g.hubs[name]) {
			sum += p.State.Rate
			all = append(all, *p)
		}
	}
	if sum == 0 || own < smallShare*sum {
		return nil, nil, false
	}
	selfLarge = own >= largeShare*sum
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	for _, p := range all {
		switch {
		case !p.State.TakesLoadUpdates || p.addr == nil:
		case p.State.Rate >= largeShare*sum:
			large = append(large, p)
		case p.State.Rate >= smallShare*sum:
			small = append(small, p)
		}
	}
	return large, small, selfLarge
}

// handleLoadUpdate passes an update on, unless it is older than what is known of its sender.
func (g *Gossip) handleLoadUpdate(now time.Time, u loadUpdate) {
	g.mu.Lock()
	p := g.peers[u.Name]
	// A peer that has sent no message since its start is unknown: its updates change a load that
	// nobody would correct.
	known := p != nil && p.Incarnation == u.Incarnation && g.heardRecently(now, p)
	current := known && u.After >= p.lastSeq && (u.Seq > p.lastUpdate || p.lastUpdate == 0)
	if current {
		p.lastUpdate = u.Seq
	}
	g.mu.Unlock()
	if current {
		g.updates.received.Add(1)
		g.loadNode.HandleLoadChanges(now, u.Name, u.Changes)
	}
}

// LoadUpdates returns how many load updates were sent and received.
func (g *Gossip) LoadUpdates() (sent, received int64) {
	return g.updates.sent.Load(), g.updates.received.Load()
}
