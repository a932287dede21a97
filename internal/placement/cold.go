package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minColdRatePerSender is for how many requests a second that a cold engine bears one node may send there. Few nodes do, so that
	// each may send more than one: a node may begin with one at any moment.
	minColdRatePerSender = 4.0

	// coldUtilization is the share of what a cold engine bears that is used. The rest is for nodes that don't agree on who may
	// send, as when some were killed or cut off.
	coldUtilization = 0.5

	// sendersTTL is for how long the nodes that may send are remembered.
	sendersTTL = 100 * time.Millisecond
)

// coldPacing is what coldEvery returned last, and what it was worked out from.
type coldPacing struct {
	limit      float64
	generation int
	interval   time.Duration
}

// senders are the nodes that send requests, by the hashes of their names.
type senders struct {
	self     string
	names    func(now time.Time) []string
	at       time.Time
	hashes   []uint64
	checksum uint64 // sum is of the hashes, in whatever order.
	change   int    // change counts how often the nodes have changed.
}

// WithSenders tells a placement of the nodes that send requests, by name, and which of them this one is. What cold engines
// bear is divided among some of them; without it this node counts as the only one.
func WithSenders(self string, names func(now time.Time) []string) Option {
	return func(p *Placement) { p.senders = senders{self: self, names: names} }
}

// SetColdLimit sets how many requests an engine of a pool bears in any second while it is cold, from all nodes together; 0
// for any number.
func (p *Placement) SetColdLimit(pool string, most float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolState(pool).coldLimit = most
}

// allowsCold reports whether an engine, where it is cold, may get one more request of this node.
func (p *Placement) allowsCold(now time.Time, known *pool, e *engine) bool {
	if known.coldLimit <= 0 || !now.Before(e.ColdUntil) {
		return true
	}
	return !now.Before(e.nextColdSend) && p.coldInterval(now, known, e) > 0
}

// noteCold records that a request is sent to an engine.
func (p *Placement) noteCold(now time.Time, known *pool, e *engine) {
	if known.coldLimit > 0 && now.Before(e.ColdUntil) {
		e.nextColdSend = now.Add(p.coldInterval(now, known, e))
	}
}

// coldInterval returns the least time between two requests of this node to a cold engine; 0 if it is to send none, since others
// are before it in the order of senders for that engine.
func (p *Placement) coldInterval(now time.Time, known *pool, e *engine) time.Duration {
	all := p.senders.current(now)
	if e.cold.limit != known.coldLimit || e.cold.generation != p.senders.change {
		e.cold = coldPacing{limit: known.coldLimit, generation: p.senders.change, interval: computeColdInterval(known.coldLimit, e.hash, all)}
	}
	return e.cold.interval
}

// computeColdInterval returns coldEvery for an engine, of a hash, and the nodes that send requests, by theirs; this one's is the first.
func computeColdInterval(limit float64, engine uint64, all []uint64) time.Duration {
	many := min(max(1, int(limit/minColdRatePerSender)), len(all))
	own := mix(engine ^ all[0])
	before := 0
	for _, other := range all[1:] {
		if mix(engine^other) < own {
			before++
		}
	}
	if before >= many {
		return 0
	}
	share := coldUtilization * limit / float64(many)
	return time.Duration(float64(time.Second) / max(share-1, share/2)) // One may go out at any moment, beside those of a second.
}

// current returns the hashes of the nodes that send requests, this one's first.
func (s *senders) current(now time.Time) []uint64 {
	if age := now.Sub(s.at); len(s.hashes) > 0 && age >= 0 && age < sendersTTL {
		return s.hashes
	}
	s.at, s.hashes = now, append(s.hashes[:0], xxhash.Sum64String(s.self))
	for _, name := range s.names(now) {
		if name != s.self {
			s.hashes = append(s.hashes, xxhash.Sum64String(name))
		}
	}
	sum := uint64(0)
	for _, hash := range s.hashes {
		sum += mix(hash)
	}
	if sum != s.checksum {
		s.checksum = sum
		s.change++
	}
	return s.hashes
}
