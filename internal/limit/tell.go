package limit

import "time"

// maxGossipEntries bounds the engines in one message, at about 2 KB.
const maxGossipEntries = 64

// GossipEntry is the gossip about an engine's limit.
type GossipEntry struct {
	_      struct{} `cbor:",toarray"`
	Engine string
	Rate   float64       // Rate is in requests per second; 0 if the limit has ended.
	AgeMs  int64         // AgeMs is how long ago the engine announced it.
	Age    time.Duration `cbor:"-"` // Age is how long ago the sender learned of it; it is not sent.
}

// GossipEntries returns the next entries to gossip: the changes within the window, newest first, then some of the others in
// rotation.
func (l *Limits) GossipEntries(now time.Time, window time.Duration) []GossipEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	recent := func(engine string) bool { return now.Sub(l.engines[engine].learnedAt) <= window }
	var out []GossipEntry
	for _, engine := range l.gossip.Next(recent, maxGossipEntries) {
		s := l.engines[engine]
		out = append(out, GossipEntry{Engine: engine, Rate: s.rate, AgeMs: now.Sub(s.reportedAt).Milliseconds(), Age: now.Sub(s.learnedAt)})
	}
	return out
}

// MergeGossip merges the entries of a peer.
func (l *Limits) MergeGossip(now time.Time, list []GossipEntry) {
	if len(list) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range list {
		if t.AgeMs < 0 || t.Rate < 0 {
			continue
		}
		l.update(now, now.Add(-time.Duration(t.AgeMs)*time.Millisecond), t.Engine, effectiveRate(t.Rate, t.Rate > 0), "peer")
	}
}
