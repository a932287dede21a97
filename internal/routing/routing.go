// Package routing holds the configuration that requests are routed by: which
// route a host and path fall under, which pools serve it, and which team holds a
// key. A Table is immutable; a new version of the configuration is a new Table.
package routing

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftturn/croftturn/internal/scaling"
)

const (
	// Safe requests may run more than once.
	Safe Kind = iota

	// Unsafe requests run at most once.
	Unsafe

	// Stream answers with events; it runs at most once unless it may be resumed.
	Stream
)

const (
	// routeTiers is how many tiers of routes are told apart within a tier of teams.
	routeTiers = 3

	// maxUrgency is the least urgent place that engines tell apart.
	maxUrgency = 9
)

type (
	// Kind says how the requests of a route may be treated.
	Kind int

	// Route says how requests with a host and a path prefix are served.
	Route struct {
		Name       string
		Host       string
		PathPrefix string
		Kind       Kind
		Timeout    time.Duration // Timeout is the longest that a request may be held.
		Target     time.Duration // Target is the time to the answer, or to a stream's first event, that counts as on time.
		MaxGap     time.Duration // MaxGap is the longest pause between events at which a stream is on time; 0 if not given.
		Tier       int           // Tier orders routes; 0 is the highest.
		MaxEngines int           // MaxEngines is the most engines that one request may be sent to.
		Public     bool          // Public routes need no key.
		Resumable  bool          // Resumable streams may go on at another engine.
		Shares     []Share       // Shares are the pools that serve the route.
		Regions    []string      // Regions are where requests may be served; anywhere if there are none.
	}

	// Share is one pool's part of a route's requests.
	Share struct {
		Pool   string
		Weight int
	}

	// Pool is a group of engines, or of backend servers, that do the same work.
	Pool struct {
		Name     string
		MaxConns int             // MaxConns is the most connections one engine takes, from all nodes together.
		Model    *Model          // Model is nil for plain backend servers.
		ColdRate float64         // ColdRate is how many requests a second an engine bears while it is cold; 0 if any number.
		Scaling  *scaling.Limits // Scaling is nil where engines can't be ordered.
	}

	// Model says what is known of the model engines of a pool.
	Model struct {
		Slots          int // Slots is how many requests an engine works on at once.
		CacheTokens    int // CacheTokens is an engine's room for running requests and cached prompt parts.
		TokensPerEvent int // TokensPerEvent is how many tokens one event of a stream holds.
	}

	// Team is a customer.
	Team struct {
		Name string
		Keys []string
		Tier *int // Tier goes before that of the route where it is set.

		Regions []string // Regions are where its requests may be served; anywhere if there are none.
	}

	// Limits bound what a caller may send.
	Limits struct {
		MaxBodyBytes int64
	}

	// Table is one version of the configuration.
	Table struct {
		Version int
		Limits  Limits

		hosts map[string][]*Route // each host's routes, longest prefix first
		pools map[string]*Pool
		teams map[string]*Team // by key
		low   map[string]int   // low is, by pool, the lowest tier of the routes that it serves.
		last  map[string]int   // last is, by pool, the last place that a request for it has.
		keyed bool
	}
)

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// NewTable returns the table of one version of the configuration.
func NewTable(version int, routes []*Route, pools []*Pool, teams []*Team, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, keyed: len(teams) > 0,
		hosts: map[string][]*Route{}, pools: map[string]*Pool{}, teams: map[string]*Team{}, low: map[string]int{}, last: map[string]int{},
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, p := range pools {
		t.pools[p.Name] = p
	}
	lowest := 0
	for _, team := range teams {
		if team.Tier != nil {
			lowest = max(lowest, *team.Tier)
		}
		for _, key := range team.Keys {
			t.teams[key] = team
		}
	}
	for _, r := range routes {
		for _, s := range r.Shares {
			t.low[s.Pool] = max(t.low[s.Pool], r.Tier)
			t.last[s.Pool] = max(t.last[s.Pool], urgency(max(r.Tier, lowest), r))
		}
	}
	return t
}

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Tier returns a request's tier: the team's where it has one, else the route's.
func Tier(r *Route, t *Team) int {
	if t != nil && t.Tier != nil {
		return *t.Tier
	}
	return r.Tier
}

// Urgency returns a request's place in the order of all requests, 0 first: by
// tier, and within a tier by that of the route, so that a team's own requests
// keep the order of their routes where the team has a tier.
func Urgency(r *Route, t *Team) int { return urgency(Tier(r, t), r) }

// LastUrgency returns the last place that requests for a pool have: that of its lowest
// route for the lowest team.
func (t *Table) LastUrgency(pool string) int { return t.last[pool] }

// LowestTier returns the lowest tier of the routes that a pool serves.
func (t *Table) LowestTier(pool string) int { return t.low[pool] }

// urgency returns the place of a route's requests within a tier.
func urgency(tier int, r *Route) int {
	return min(max(tier*routeTiers+min(max(r.Tier, 0), routeTiers-1), 0), maxUrgency)
}

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return t.keyed }

// Pools returns all pools, in no order.
func (t *Table) Pools() []*Pool { return slices.Collect(maps.Values(t.pools)) }

// Pool returns a pool by name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// ChoosePool returns the pool that serves a request, by the route's weights; the
// same request id always gets the same pool.
func (r *Route) ChoosePool(requestID string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
	}
	return ""
}
