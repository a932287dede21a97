package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minColdRatePerSender is the request rate, out of a cold engine's limit, for which one node
	// may send to it. Few nodes send, so that each may send more than one request: a node may
	// send its first at any moment.
	minColdRatePerSender = 4.0

	// coldUtilization is the share of a cold engine's limit that is used. The rest covers nodes
	// that disagree on which of them may send, for example after some were killed or
	// partitioned.
	coldUtilization = 0.5

	// sendersTTL is how long the list of sending nodes is cached.
	sendersTTL = 100 * time.Millisecond

	// idleSenders is the share of the requests up to which the nodes that send least own no engines of
	// a stream set: none of them sends enough long prompts for one.
	idleSenders = 0.125
)

// coldPacing caches the last result of coldInterval with its inputs.
type coldPacing struct {
	limit      float64
	generation int
	interval   time.Duration
}

// senders holds the nodes that send requests, by the hashes of their names.
type senders struct {
	self       string
	rates      func(now time.Time) map[string]float64
	at         time.Time
	hashes     []uint64
	weights    []float64 // rates of the nodes in hashes, rounded
	leastOwner float64   // weight from which a node may own engines of a stream set
	checksum   uint64    // order-independent checksum of hashes and weights
	generation int       // number of changes of the node set or of the rounded rates
}

// WithSenders sets which node this is, and the nodes that send requests with their rates in requests
// per second; 0 means unknown. The limits of cold engines are divided among some of them, and each
// engine of a stream set gets long prompts from one of them. Without this option the node counts as
// the only one.
func WithSenders(self string, rates func(now time.Time) map[string]float64) Option {
	return func(p *Placement) { p.senders = senders{self: self, rates: rates} }
}

// SetColdLimit sets how many requests a cold engine of a pool may get in any second from all
// nodes together; 0 means no limit.
func (p *Placement) SetColdLimit(pool string, limit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolState(pool).coldLimit = limit
}

// allowsCold reports whether this node may send one more request to an engine; always true for
// an engine that is not cold.
func (p *Placement) allowsCold(now time.Time, known *pool, e *engine) bool {
	if known.coldLimit <= 0 || !now.Before(e.ColdUntil) {
		return true
	}
	return !now.Before(e.nextColdSend) && p.coldInterval(now, known, e) > 0
}

// noteCold records that a request is sent to a cold engine.
func (p *Placement) noteCold(now time.Time, known *pool, e *engine) {
	if known.coldLimit > 0 && now.Before(e.ColdUntil) {
		e.nextColdSend = now.Add(p.coldInterval(now, known, e))
	}
}

// coldInterval returns the minimum time between two requests of this node to a cold engine; 0 if
// it must not send any, because other nodes rank before it for that engine.
func (p *Placement) coldInterval(now time.Time, known *pool, e *engine) time.Duration {
	all := p.senders.current(now)
	if e.cold.limit != known.coldLimit || e.cold.generation != p.senders.generation {
		e.cold = coldPacing{limit: known.coldLimit, generation: p.senders.generation, interval: computeColdInterval(known.coldLimit, e.hash, all)}
	}
	return e.cold.interval
}

// computeColdInterval computes coldInterval from the hash of an engine and those of the sending
// nodes, this node's first.
func computeColdInterval(limit float64, engine uint64, all []uint64) time.Duration {
	maxSenders := min(max(1, int(limit/minColdRatePerSender)), len(all))
	own := mix(engine ^ all[0])
	before := 0
	for _, other := range all[1:] {
		if mix(engine^other) < own {
			before++
		}
	}
	if before >= maxSenders {
		return 0
	}
	share := coldUtilization * limit / float64(maxSenders)
	return time.Duration(float64(time.Second) / max(share-1, share/2)) // One more request may go out at any moment, besides those of a second.
}

// current returns the hashes of the nodes that send requests, this node's first.
func (s *senders) current(now time.Time) []uint64 {
	if age := now.Sub(s.at); len(s.hashes) > 0 && age >= 0 && age < sendersTTL {
		return s.hashes
	}
	rates := s.rates(now)
	s.at = now
	s.hashes, s.weights = append(s.hashes[:0], xxhash.Sum64String(s.self)), append(s.weights[:0], roundedRate(rates[s.self]))
	for name, rate := range rates {
		if name != s.self {
			s.hashes, s.weights = append(s.hashes, xxhash.Sum64String(name)), append(s.weights, roundedRate(rate))
		}
	}
	sum := uint64(0)
	for i, hash := range s.hashes {
		sum += mix(hash ^ math.Float64bits(s.weights[i]))
	}
	if sum != s.checksum {
		s.checksum, s.leastOwner = sum, leastOwner(s.weights)
		s.generation++
	}
	return s.hashes
}

// roundedRate rounds a rate in requests per second to a power of two, so that it rarely changes. Lower
// and unknown rates count as one request per second.
func roundedRate(rate float64) float64 {
	if !(rate > 1) || math.IsInf(rate, 0) {
		return 1
	}
	return math.Exp2(math.Round(math.Log2(rate)))
}

// leastOwner returns the lowest weight of the nodes that may own engines of a stream set: all but the
// many that together send less than idleSenders of the requests.
func leastOwner(weights []float64) float64 {
	sorted := slices.Sorted(slices.Values(weights))
	left := 0.0
	for _, weight := range sorted {
		left += idleSenders * weight
	}
	for _, weight := range sorted {
		if left -= weight; left < 0 {
			return weight
		}
	}
	return 0
}
