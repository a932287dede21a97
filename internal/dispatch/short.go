package dispatch

import "time"

const (
	// shortShare is the share of the highest tier's requests that must lack places for a pool
	// to count as short of places, and shortLeast their least number over all nodes, in the
	// newest shortSpan: lower tiers then get none, so that no higher one is refused for them.
	// Over so long the users ask whether a tier got nothing while one below it was served.
	shortShare  = 0.05
	shortLeast  = 4
	shortSpan   = 5 * time.Second
	shortSlices = 10

	// shortLife is how long a peer's word that a pool is short of places counts.
	shortLife = time.Second
)

type (
	// Places tells how the requests of a pool's highest tier fared lately.
	Places struct {
		_      struct{} `cbor:",toarray"`
		Asked  int
		Lacked int // Lacked is how many of them got no place.
	}

	// told is what a peer told, and when.
	told struct {
		Places
		at time.Time
	}
)

// count counts a request of the highest tier that got a place, or none.
func (l *line) count(now time.Time, placed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked.Add(now)
	if !placed {
		l.lacked.Add(now)
	}
}

// places returns how many requests of the highest tier asked here lately, and how many
// of them got none.
func (l *line) places(now time.Time) Places {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Places{Asked: l.asked.Sum(now), Lacked: l.lacked.Sum(now)}
}

// short reports whether requests of the highest tier lack places, over all nodes.
func (l *line) short(now time.Time) bool {
	total := l.places(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for peer, told := range l.peers {
		if now.Sub(told.at) > shortLife {
			delete(l.peers, peer)
			continue
		}
		total.Asked += told.Asked
		total.Lacked += told.Lacked
	}
	return total.Lacked >= shortLeast && float64(total.Lacked) > shortShare*float64(total.Asked)
}

// Places returns how the highest tier fared here lately, by pool.
func (d *Dispatcher) Places(now time.Time) map[string]Places {
	d.lines.mu.Lock()
	defer d.lines.mu.Unlock()
	out := map[string]Places{}
	for name, l := range d.lines.pools {
		if p := l.places(now); p.Asked > 0 {
			out[name] = p
		}
	}
	return out
}

// HeardPlaces takes what a peer tells of how the highest tier fares there.
func (d *Dispatcher) HeardPlaces(now time.Time, peer string, pools map[string]Places) {
	for name, p := range pools {
		l := d.lines.of(now, name)
		l.mu.Lock()
		l.peers[peer] = told{Places: p, at: now}
		l.mu.Unlock()
	}
}
