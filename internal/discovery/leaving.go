package discovery

import "time"

// maxGossipEntries is how many engines that leave are told of in one message: about 2 KB.
const maxGossipEntries = 64

// GossipEntry is what a node tells its peers of an engine that said in an answer that it leaves.
type GossipEntry struct {
	_      struct{} `cbor:",toarray"`
	Engine string
	Born   int64         // Born tells the incarnation that said so.
	Age    time.Duration `cbor:"-"` // Age is how long ago the sender learned it; it is not sent.
}

// Leaves takes that an incarnation of an engine said in an answer that it leaves: it gets no new work, whatever its entry says,
// until the engine has started again.
func (d *Discovery) Leaves(now time.Time, id string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markLeaving(now, id, born, "answer")
}

// markLeaving takes that an incarnation of an engine markLeaving. The caller holds the lock.
func (d *Discovery) markLeaving(now time.Time, id string, born int64, from string) {
	known, ok := d.known[id]
	if !ok || known.born != born || !known.learnedAt.IsZero() {
		return
	}
	d.log.Info("engine leaves", "engine", id, "born", born, "from", from, "entry_draining", known.draining)
	known.draining, known.learnedAt = true, now
	d.known[id] = known
	d.leaving.Add(id)
	d.leaving.Changed(id)
	d.engines.Drain(id)
}

// TellLeaving returns what peers should know of engines that said that they leave: what was learned within a time, and some of the rest
// by turns, as long as their entries are there.
func (d *Discovery) GossipEntries(now time.Time, span time.Duration) []GossipEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := func(id string) bool { return now.Sub(d.known[id].learnedAt) <= span }
	var out []GossipEntry
	for _, id := range d.leaving.Next(recent, maxGossipEntries) {
		known := d.known[id]
		out = append(out, GossipEntry{Engine: id, Born: known.born, Age: now.Sub(known.learnedAt)})
	}
	return out
}

// HearLeaving takes what a peer tells.
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
