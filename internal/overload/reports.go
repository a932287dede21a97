package overload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/croftturn/croftturn/internal/recent"
)

const (
	// reportTTL is how long the report of a peer counts.
	reportTTL = 1200 * time.Millisecond

	// clusterTTL is how long the sums over all nodes are reused.
	clusterTTL = 50 * time.Millisecond

	// maxTeams is how many teams a node reports, those with most work first.
	maxTeams = 32

	// teamActive is how long a team counts after its last request.
	teamActive = 5 * time.Second

	// excessRatio is how far a team exceeds its part of the pool before it is bounded, and excessShare
	// what it then gets of its part, both shares of one. What it leaves keeps the waits of other teams
	// short; idle engines nevertheless serve its other requests.
	excessRatio = 1.25
	excessShare = 0.5
)

type (
	// TeamWork is the engine time that the new requests of a team need, refused ones included.
	// Without these the share of a team that sends little would shrink with each refusal.
	TeamWork struct {
		_      struct{} `cbor:",toarray"`
		Team   string
		WorkMs int // WorkMs is the engine time of the last two seconds, in milliseconds.
	}

	// peerReport is what a peer reported, and when.
	peerReport struct {
		teams []TeamWork
		at    time.Time
	}

	// team holds the work of a team at this node, in microseconds.
	team struct {
		work   *recent.Counter
		lastAt time.Time
		credit float64 // credit is the unused part of the team's share, in requests.
	}

	// cluster holds sums over this node and its peers.
	cluster struct {
		at          time.Time
		nodes       int
		contended   bool               // contended is set if a peer has refused new callers recently.
		admitsLower bool               // admitsLower is set if a peer admits lower tiers.
		level       float64            // level is the most work of a team that is covered, in ms; 0 for any.
		capacity    float64            // capacity is the engine time of the pool in the same period, in ms.
		work        map[string]float64 // work is the work by team, in ms.
		// local is the work of this node's callers. Peers report theirs only while callers are refused, so
		// that usual shares are learned and compared with this node's work alone.
		local map[string]float64
	}
)

// SetPeerTeams stores a peer's report about teams, which replaces its previous one. A peer reports
// none while its part of the pool refuses nobody.
func (c *Controller) SetPeerTeams(now time.Time, peer string, teams []TeamWork) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(teams) == 0 {
		delete(c.peers, peer)
		return
	}
	c.peers[peer] = peerReport{teams: teams, at: now}
}

// SetPeerLower stores a peer's report whether it admits requests below the highest tier.
func (c *Controller) SetPeerLower(now time.Time, peer string, admits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !admits {
		delete(c.peerLower, peer)
		return
	}
	c.peerLower[peer], c.cluster.admitsLower = now, true
}

// AdmitsLower reports whether this node has admitted a request below the highest tier within the last
// second.
func (c *Controller) AdmitsLower(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admitsLower(now)
}

// admitsLower implements AdmitsLower. The caller holds the lock.
func (c *Controller) admitsLower(now time.Time) bool {
	return !c.lowerAt.IsZero() && now.Sub(c.lowerAt) < lowerWindow
}

// Teams returns this node's report of the teams with most work. It is empty unless this node has
// refused new callers within contentionWindow, since shares matter only then.
func (c *Controller) Teams(now time.Time) []TeamWork {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusedAt.IsZero() || now.Sub(c.refusedAt) > contentionWindow {
		return nil
	}
	out := c.localTeams(now)
	slices.SortFunc(out, func(a, b TeamWork) int {
		return cmp.Or(cmp.Compare(b.WorkMs, a.WorkMs), cmp.Compare(a.Team, b.Team))
	})
	return out[:min(len(out), maxTeams)]
}

// localTeams returns the work of all teams at this node and forgets those that are not active.
func (c *Controller) localTeams(now time.Time) []TeamWork {
	var out []TeamWork
	for name, t := range c.teams {
		if now.Sub(t.lastAt) > teamActive {
			delete(c.teams, name)
			continue
		}
		if work := t.work.Sum(now); work > 0 {
			out = append(out, TeamWork{Team: name, WorkMs: max(1, work/1000)})
		}
	}
	return out
}

// team returns the state of a team that sends a request.
func (c *Controller) team(now time.Time, name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{work: recent.New(now, teamWindow, windowSlices)}
		c.teams[name] = t
	}
	t.lastAt = now
	return t
}

// refresh computes the sums over all nodes unless they are recent. The caller holds the lock.
func (c *Controller) refresh(now time.Time, engines int) {
	if age := now.Sub(c.cluster.at); age >= 0 && age < clusterTTL {
		return
	}
	sums := cluster{at: now, nodes: 1, work: c.cluster.work}
	if sums.work == nil {
		sums.work = map[string]float64{}
	}
	clear(sums.work)
	for _, w := range c.localTeams(now) {
		sums.work[w.Team] += float64(w.WorkMs)
	}
	sums.local = maps.Clone(sums.work)
	c.usual.observe(now, sums.local)
	for name, p := range c.peers {
		if now.Sub(p.at) > reportTTL {
			delete(c.peers, name)
			continue
		}
		sums.nodes++
		sums.contended = true
		for _, w := range p.teams {
			sums.work[w.Team] += float64(max(0, w.WorkMs))
		}
	}
	for name, at := range c.peerLower {
		if now.Sub(at) > reportTTL {
			delete(c.peerLower, name)
			continue
		}
		sums.admitsLower = true
	}
	capacity := float64(max(1, engines)) * float64(teamWindow.Milliseconds())
	sums.level, sums.capacity = fairLevel(sums.work, capacity), capacity
	c.cluster = sums
}

// fairLevel returns the most work of a team that is covered if some capacity is divided evenly and
// what teams leave of their parts is divided among the others; 0 if all work is covered.
func fairLevel(work map[string]float64, capacity float64) float64 {
	all := make([]float64, 0, len(work))
	for _, w := range work {
		all = append(all, w)
	}
	slices.Sort(all)
	for i, w := range all {
		part := capacity / float64(len(all)-i)
		if w > part {
			return part
		}
		capacity -= w
	}
	return 0
}

// takeTeamShare returns the share of a team's requests that its part of the pool covers, and whether
// it covers this one. The caller holds the lock.
func (c *Controller) takeTeamShare(now time.Time, name string) (share float64, covered bool) {
	work := c.cluster.work[name]
	if len(c.cluster.work) < 2 || c.cluster.level == 0 || work <= excessRatio*c.cluster.level || !c.usual.exceeds(now, name, c.cluster.local) {
		return 1, true
	}
	t := c.team(now, name)
	share = excessShare * max(c.cluster.level, c.usual.shares[name]*c.cluster.capacity) / work
	t.credit = min(t.credit+share, 2)
	if t.credit < 1 {
		return share, false
	}
	t.credit--
	return share, true
}
