package dispatch

import (
	"time"

	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/recent"
)

// Slots are short when callers bring more than the engines of a pool can work on: in bursts, after
// engines are lost, or all day. Priority of tiers is then kept across all nodes: each node counts
// the outcomes of the requests of each tier and reports them to its peers. A tier is shed while one
// above it is short of slots, it leaves that tier the last slots, and a higher tier waits longer
// for slots that a lower one took.

const (
	// shortageShare is the share of requests of the highest tier that must get no slot for a pool
	// to count as short of slots, and shortageMin their minimum number over all nodes, within
	// statsWindow. Lower tiers then get nothing, so that no higher one is refused because of them.
	// statsWindow is the period over which users check whether a tier got nothing while one below
	// it was served.
	shortageShare = 0.05
	shortageMin   = 4
	statsWindow   = 5 * time.Second
	statsSlices   = 10

	// shedFromShare and shedAllShare are the shares of requests of a middle tier without a slot
	// from which the tiers below it are shed partly and completely. When only the highest tier
	// counted, 145 of 178 requests of the second got nothing in five seconds in which requests of
	// the third started (12 slots per engine, load 1.56 of three tiers); users accept a twelfth.
	// When the third was shed completely from a twentieth on, it lost more than the second gained.
	shedFromShare = 0.03
	shedAllShare  = 0.08

	// minTierShare is the share of the recent requests of a pool from which a tier counts as served
	// by the pool. A pool whose routes are all of lower tiers has no higher tier to reserve slots
	// for: when it reserved some, 568 of 5,677 short requests of the third tier were refused in
	// eleven seconds, with 36 slots for them.
	minTierShare = 0.02

	// peerStatsTTL is how long the report of a peer counts.
	peerStatsTTL = time.Second
)

type (
	// TierStats counts the recent outcomes of requests of a tier in a pool. Peers of other releases
	// may know fewer or more fields.
	TierStats struct {
		Tier     int `cbor:"1,keyasint,omitempty"` // Tier is the tier of the routes.
		Requests int `cbor:"2,keyasint,omitempty"`
		NoSlot   int `cbor:"3,keyasint,omitempty"` // NoSlot is the number of requests that got no slot.
		Late     int `cbor:"4,keyasint,omitempty"` // Late is the number of requests that got a slot too late.

		// PrefillMicros is the engine time, in microseconds, to prefill the prompts that arrived
		// within prefillWindow, including those of refused requests.
		PrefillMicros int `cbor:"5,keyasint,omitempty"`
	}

	// tierCounter counts the outcomes of requests of a tier within statsWindow.
	tierCounter struct {
		requests, noSlot *recent.Counter
		late             *recent.Counter // late counts requests that got a slot too late.
		prefill          *recent.Counter // prefill sums the prefill time of the prompts that arrived within prefillWindow, in microseconds.
		lastPlaced       time.Time       // lastPlaced is when a request last got a slot.
	}

	// peerReport is what a peer reported by tier, and when.
	peerReport struct {
		stats []TierStats
		at    time.Time
	}
)

// newTierCounter returns an empty counter.
func newTierCounter(now time.Time) tierCounter {
	return tierCounter{
		requests: recent.New(now, statsWindow, statsSlices), noSlot: recent.New(now, statsWindow, statsSlices),
		late: recent.New(now, statsWindow, statsSlices), prefill: recent.New(now, prefillWindow, statsSlices),
	}
}

// queueTier clamps the tier of a route to the tiers of a queue.
func queueTier(tier int) int { return max(0, min(tier, queueTiers-1)) }

// countPrefill adds the prefill time of a request of a tier on its arrival.
func (q *queue) countPrefill(now time.Time, tier int, prefill time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tierCounters[queueTier(tier)].prefill.AddN(now, int(prefill/time.Microsecond))
}

// countOutcome counts a request by the tier of its route: whether it got a slot, and whether in
// time.
func (q *queue) countOutcome(now time.Time, tier int, placed, inTime bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &q.tierCounters[queueTier(tier)]
	t.requests.Add(now)
	if placed {
		t.lastPlaced = now
	}
	switch {
	case !placed:
		t.noSlot.Add(now)
	case !inTime:
		t.late.Add(now)
	}
}

// clusterStats returns the stats of all tiers, summed over this node and its peers. The caller
// holds the lock.
func (q *queue) clusterStats(now time.Time) (all [queueTiers]TierStats) {
	for _, p := range q.localStats(now) {
		all[p.Tier] = p
	}
	for peer, report := range q.peerStats {
		if now.Sub(report.at) > peerStatsTTL {
			delete(q.peerStats, peer)
			continue
		}
		for _, p := range report.stats {
			at := &all[queueTier(p.Tier)]
			at.Requests += p.Requests
			at.NoSlot += p.NoSlot
			at.Late += p.Late
			at.PrefillMicros += p.PrefillMicros
		}
	}
	return all
}

// tierInUse reports whether a tier has a relevant share of the requests of a pool.
func tierInUse(all [queueTiers]TierStats, tier int) bool {
	total := 0
	for _, p := range all {
		total += p.Requests
	}
	requests := all[tier].Requests
	return requests > 0 && float64(requests) >= minTierShare*float64(total)
}

// highestInUse reports whether the pool serves no tier above one.
func (q *queue) highestInUse(now time.Time, tier int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.clusterStats(now)
	for higher := range queueTier(tier) {
		if tierInUse(all, higher) {
			return false
		}
	}
	return true
}

// localStats returns the stats of each tier with recent requests at this node. The caller holds the
// lock.
func (q *queue) localStats(now time.Time) []TierStats {
	var out []TierStats
	for tier := range q.tierCounters {
		t := &q.tierCounters[tier]
		p := TierStats{Tier: tier, Requests: t.requests.Sum(now), NoSlot: t.noSlot.Sum(now), Late: t.late.Sum(now), PrefillMicros: t.prefill.Sum(now)}
		if p.Requests > 0 || p.PrefillMicros > 0 {
			out = append(out, p)
		}
	}
	return out
}

// lowerTierPlacedRecently reports whether a request of a lower tier got a slot so recently that no
// request of this tier should be refused for lack of one: it waits for those slots as long as it
// can still be answered. When 12 slots per engine were short all day, 27 of 208 short questions of
// the first five seconds were refused, while long reviews had started in those slots.
func (q *queue) lowerTierPlacedRecently(now time.Time, tier int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, lower := range q.tierCounters[queueTier(tier)+1:] {
		if !lower.lastPlaced.IsZero() && now.Sub(lower.lastPlaced) <= statsWindow {
			return true
		}
	}
	return false
}

// shedShare returns whether the pool serves no tier above that of a route, and the share of
// requests of the tier to shed. All are shed while the highest tier is short of slots over all
// nodes; a shortage of a tier between sheds a growing share, as does prefill demand beyond the
// capacity of the engines. The state of the engines is taken from the choice made for the request.
func (q *queue) shedShare(now time.Time, tier int, choice placement.Choice) (topTier bool, shed float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.clusterStats(now)
	topTier = true
	for higher, p := range all[:queueTier(tier)] {
		if !tierInUse(all, higher) {
			continue
		}
		short := p.shortOfSlots(choice.SlotsScarce)
		share := float64(short) / float64(p.Requests)
		switch {
		case short < shortageMin:
		case topTier && share > shortageShare:
			return false, 1
		case !topTier:
			shed = max(shed, min((share-shedFromShare)/(shedAllShare-shedFromShare), 1))
		}
		topTier = false
	}
	if !topTier {
		shed = max(shed, prefillExcess(all, queueTier(tier), choice.Usable))
	}
	return topTier, shed
}

// shortOfSlots returns how many requests of a tier count as short of a slot: those that got none
// and, while slots are scarce, those that got one too late. Once many slots are free again,
// counting late ones keeps lower tiers from idle engines: after all engines that can be taken away
// had left three halls within 0.7 s, it kept out 1,100 short requests of three seconds at waits of
// 0.02 to 0.07 s.
func (p TierStats) shortOfSlots(scarce bool) int {
	if scarce {
		return p.NoSlot + p.Late
	}
	return p.NoSlot
}

// TierStats returns the recent stats of the tiers at this node, by pool.
func (d *Dispatcher) TierStats(now time.Time) map[string][]TierStats {
	d.queues.mu.Lock()
	defer d.queues.mu.Unlock()
	out := map[string][]TierStats{}
	for name, q := range d.queues.pools {
		q.mu.Lock()
		if p := q.localStats(now); len(p) > 0 {
			out[name] = p
		}
		q.mu.Unlock()
	}
	return out
}

// SetPeerTierStats stores the stats that a peer reported.
func (d *Dispatcher) SetPeerTierStats(now time.Time, peer string, pools map[string][]TierStats) {
	for name, p := range pools {
		q := d.queues.of(now, name)
		q.mu.Lock()
		q.peerStats[peer] = peerReport{stats: p, at: now}
		q.mu.Unlock()
	}
}
