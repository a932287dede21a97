package discovery

import "time"

// maxGossipEntries bounds the engines in one message, at about 2 KB.
const maxGossipEntries = 64

// GossipEntry is the gossip about an engine that announced in an answer that it is leaving.
type GossipEntry struct {
	_      struct{} `cbor:",toarray"`
	Engine string
	Born   int64         // Born is the start time of the incarnation that announced it.
	Age    time.Duration `cbor:"-"` // Age is how long ago the sender learned of it; it is not sent.
}

// Leaves records that an incarnation of an engine announced in an answer that it is leaving. The engine gets no new work,
// whatever its entry says, until it has restarted.
func (d *Discovery) Leaves(now time.Time, id string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markLeaving(now, id, born, "answer")
}

// markLeaving marks an incarnation of an engine as leaving. The caller holds the lock.
func (d *Discovery) markLeaving(now time.Time, id string, born int64, from string) {
	known, ok := d.known[id]
	if !ok || known.born != born || !known.learnedAt.IsZero() {
		return
	}
	d.log.Info("engine is leaving", "engine", id, "born", born, "from", from, "entry_draining", known.draining)
	known.draining, known.learnedAt = true, now
	known.leavesAt, known.lastSend, known.servesUntil = time.Time{}, time.Time{}, time.Time{}
	d.known[id] = known
	d.leaving.Add(id)
	d.leaving.MarkChanged(id)
	d.engines.Drain(id)
}

// GossipEntries returns the next entries to gossip: the engines that were learned of within the window, and some of the others
// in rotation, as long as they have entries in the store.
func (d *Discovery) GossipEntries(now time.Time, window time.Duration) []GossipEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := func(id string) bool { return now.Sub(d.known[id].learnedAt) <= window }
	var out []GossipEntry
	for _, id := range d.leaving.Next(recent, maxGossipEntries) {
		known := d.known[id]
		out = append(out, GossipEntry{Engine: id, Born: known.born, Age: now.Sub(known.learnedAt)})
	}
	return out
}

// MergeGossip merges the entries of a peer.
func (d *Discovery) MergeGossip(now time.Time, list []GossipEntry) {
	if len(list) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range list {
		d.markLeaving(now, t.Engine, t.Born, "peer")
	}
}
