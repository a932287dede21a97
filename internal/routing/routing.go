// Package routing holds the configuration by which requests are routed: which route matches a host
// and path, which pools serve it, and which team owns a key. A Table is immutable; each new
// version of the configuration is a new Table.
package routing

import (
	"maps"
	"math"
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

	// Stream requests are answered with a stream of events. They run at most once unless they are
	// resumable.
	Stream
)

const (
	// routeTiers is how many route tiers are distinguished within one team tier.
	routeTiers = 3

	// maxUrgency is the least urgent value that engines distinguish.
	maxUrgency = 9
)

type (
	// Kind says whether the requests of a route may be repeated, and whether they are streams.
	Kind int

	// Route says how requests for a host and path prefix are served.
	Route struct {
		Name       string
		Host       string
		PathPrefix string
		Kind       Kind
		Timeout    time.Duration // Timeout is the longest that a request may be held.
		Target     time.Duration // Target is the time to the answer, or to a stream's first event, that counts as on time.
		MaxGap     time.Duration // MaxGap is the longest pause between a stream's events that counts as on time; 0 if not set.
		Tier       int           // Tier is the route's priority; 0 is the highest.
		MaxEngines int           // MaxEngines is the most engines that one request may be sent to.
		Public     bool          // Public routes require no key.
		Resumable  bool          // Resumable streams may continue on another engine.
		Shares     []Share       // Shares are the pools that serve the route.
		Regions    *[]string     // Regions is where requests may be served; nil means anywhere.
	}

	// Share is the weight of one pool in a route's traffic split.
	Share struct {
		Pool   string
		Weight int
	}

	// Pool is a group of engines or backend servers that do the same work.
	Pool struct {
		Name     string
		MaxConns int             // MaxConns is the most connections that one engine accepts from all nodes together.
		Model    *Model          // Model is nil for plain backend servers.
		ColdRate float64         // ColdRate is how many requests a second a cold engine can take; 0 for no limit.
		Scaling  *scaling.Limits // Scaling is nil where engines can't be ordered.
	}

	// Model describes the model engines of a pool.
	Model struct {
		Slots          int // Slots is how many requests an engine runs at once.
		CacheTokens    int // CacheTokens is an engine's capacity for running requests and cached prompt parts.
		TokensPerEvent int // TokensPerEvent is how many tokens one stream event holds.

		Transfers     bool    // Transfers is set if engines copy cached prompt parts from each other.
		BytesPerToken float64 // BytesPerToken is the size of one cached prompt token; 0 if unknown.
		LinkMbps      float64 // LinkMbps is the bandwidth of an engine's link for transfers, in Mbit/s; 0 if unknown.
		MaxEventCalls int     // MaxEventCalls is how many calls for its cache events an engine holds at once.
	}

	// Team is a customer.
	Team struct {
		Name string
		Keys []string
		Tier *int // Tier overrides the route's tier if set.

		Regions *[]string // Regions is where its requests may be served; nil means anywhere.
	}

	// Limits bounds what a caller may send.
	Limits struct {
		MaxBodyBytes int64
	}

	// Table is one version of the configuration.
	Table struct {
		Version int
		Limits  Limits

		hosts       map[string][]*Route // routes by host, longest prefix first
		pools       map[string]*Pool
		teams       map[string]*Team         // by key
		lowestTier  map[string]int           // lowest tier of the routes served by each pool
		lastUrgency map[string]int           // last urgency of requests for each pool
		maxTarget   map[string]time.Duration // longest target of the streams served by each pool
		resumable   []string                 // pools that serve resumable streams
		requiresKey bool
	}
)

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// NewTable builds the Table of one version of the configuration. teams is nil if requests need no key; with an
// empty list they need one and none is good.
func NewTable(version int, routes []*Route, pools []*Pool, teams []*Team, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, requiresKey: teams != nil,
		hosts: map[string][]*Route{}, pools: map[string]*Pool{}, teams: map[string]*Team{}, lowestTier: map[string]int{}, lastUrgency: map[string]int{}, maxTarget: map[string]time.Duration{},
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
			t.lowestTier[s.Pool] = max(t.lowestTier[s.Pool], r.Tier)
			t.lastUrgency[s.Pool] = max(t.lastUrgency[s.Pool], urgency(max(r.Tier, lowest), r))
			if r.Kind == Stream && r.Resumable && !slices.Contains(t.resumable, s.Pool) {
				t.resumable = append(t.resumable, s.Pool)
			}
			if r.Kind == Stream {
				t.maxTarget[s.Pool] = max(t.maxTarget[s.Pool], r.streamTarget())
			}
		}
	}
	return t
}

// Route returns the route with the longest matching path prefix, or nil.
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

// Team returns the team that owns a key, or nil. A request without a key has an empty one, which no team owns.
func (t *Table) Team(key string) *Team {
	if key == "" {
		return nil
	}
	return t.teams[key]
}

// Tier returns the tier of a request: the team's if it is set, else the route's.
func Tier(r *Route, t *Team) int {
	if t != nil && t.Tier != nil {
		return *t.Tier
	}
	return r.Tier
}

// Urgency returns the rank of a request among all requests, 0 first. Requests are ranked by tier
// and, within a tier, by the tier of the route, so that the requests of a team with a tier of its
// own keep the order of their routes.
func Urgency(r *Route, t *Team) int { return urgency(Tier(r, t), r) }

// LastUrgency returns the last rank of requests for a pool: that of its lowest route for the
// lowest team.
func (t *Table) LastUrgency(pool string) int { return t.lastUrgency[pool] }

// LowestTier returns the lowest tier of the routes that a pool serves.
func (t *Table) LowestTier(pool string) int { return t.lowestTier[pool] }

// urgency returns the rank of a route's requests within a tier.
func urgency(tier int, r *Route) int {
	return min(max(tier*routeTiers+min(max(r.Tier, 0), routeTiers-1), 0), maxUrgency)
}

// Interactive reports whether a pool is interactive: it has model engines and serves streams, and
// none of these has a target above the limit. Work that can wait does not exist there, so overload
// cannot be absorbed by delaying some of it. No pool is interactive if the limit is 0.
func (t *Table) Interactive(pool string, limit time.Duration) bool {
	p := t.pools[pool]
	longest := t.maxTarget[pool]
	return p != nil && p.Model != nil && longest > 0 && longest <= limit
}

// streamTarget returns the target of a stream's route; a route without one tolerates any delay.
func (r *Route) streamTarget() time.Duration {
	if r.Target <= 0 {
		return math.MaxInt64
	}
	return r.Target
}

// TransferRate returns how many cached prompt tokens an engine copies from another in a millisecond;
// 0 if engines do not copy any.
func (m *Model) TransferRate() float64 {
	const bytesPerMsPerMbps = 1e6 / 8 / 1000
	if !m.Transfers || m.BytesPerToken <= 0 || m.LinkMbps <= 0 {
		return 0
	}
	return m.LinkMbps * bytesPerMsPerMbps / m.BytesPerToken
}

// RequiresKey reports whether the configuration has a list of teams, maybe an empty one, so that requests need a
// key unless their route is public.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Pools returns all pools in no particular order.
func (t *Table) Pools() []*Pool { return slices.Collect(maps.Values(t.pools)) }

// ResumablePools returns the names of the pools that serve resumable streams.
func (t *Table) ResumablePools() []string { return t.resumable }

// HasPool reports whether a pool serves the route.
func (r *Route) HasPool(name string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Pool == name && s.Weight > 0 })
}

// Pool returns a pool by name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// ChoosePool returns the pool that serves a request, by weight; the same request ID always maps to
// the same pool.
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
