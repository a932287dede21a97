// Package config manages the system's configuration: the record stored by the
// platform, an indexed view of it, and the store and the sync loop that bring
// each accepted change into effect at this node.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sort"
	"sync"

	"github.com/croftturn/croftturn/internal/check"
	"github.com/croftturn/croftturn/schema"
)

const (
	// defaultQueueLimit is a pool's queue limit if none is configured.
	defaultQueueLimit = 1000

	// attainmentMargin and goodputMargin are the reserve margins of the profiles
	// attainment and goodput; a negative margin reserves nothing.
	attainmentMargin = 2
	goodputMargin    = -1

	// defaultMaxWaitMs is a class's maximum wait if none is configured.
	defaultMaxWaitMs = 60000
)

// configSchema returns the compiled schema; it is compiled on first use.
var configSchema = sync.OnceValue(func() *check.Schema { return check.MustCompile(schema.Config) })

// View is a configuration with its indexes. It is immutable, so that any
// goroutine may read it.
type View struct {
	Config *Config

	classes   map[string]*Class
	teams     map[string]*Team
	tokens    map[string]*Team
	pools     map[string]*Pool
	models    map[string]*Pool
	engines   map[string]*Engine
	byPool    map[string][]*Engine
	operators map[string]*Operator
}

// Parse validates and decodes a configuration in JSON with comments.
func Parse(name string, text []byte) (*Config, error) {
	plain, err := configSchema().Read(name, text)
	if err != nil {
		return nil, fmt.Errorf("check configuration: %w", err)
	}
	c := &Config{}
	if err := check.Decode(name, plain, c); err != nil {
		return nil, err
	}
	return c, nil
}

// NewView indexes a configuration and fails if its entities contradict each
// other. It fills in the defaults in place; the view owns the configuration from
// then on.
func NewView(c *Config) (*View, error) {
	v := &View{
		Config:    c,
		classes:   make(map[string]*Class, len(c.Classes)),
		teams:     make(map[string]*Team, len(c.Teams)),
		tokens:    make(map[string]*Team, len(c.Teams)),
		pools:     make(map[string]*Pool, len(c.Pools)),
		models:    map[string]*Pool{},
		engines:   make(map[string]*Engine, len(c.Engines)),
		byPool:    map[string][]*Engine{},
		operators: make(map[string]*Operator, len(c.Operators)),
	}
	steps := []func() error{v.indexClasses, v.indexTeams, v.indexPools, v.indexEngines, v.indexOperators}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, fmt.Errorf("check configuration: %w", err)
		}
	}
	return v, nil
}

// indexClasses indexes the classes and checks the sum of their shares.
func (v *View) indexClasses() error {
	var shares float64
	for i := range v.Config.Classes {
		c := &v.Config.Classes[i]
		if v.classes[c.Name] != nil {
			return &ContradictionError{Kind: "class", Name: c.Name, Message: "stands twice"}
		}
		if c.MaxWaitMs == 0 {
			c.MaxWaitMs = defaultMaxWaitMs
		}
		shares += c.MinShare
		v.classes[c.Name] = c
	}
	if shares > 1 {
		return &ContradictionError{Kind: "class", Name: "*", Message: fmt.Sprintf("smallest shares add up to %.2f; at most 1 is allowed", shares)}
	}
	return nil
}

// indexTeams indexes the teams and checks their default classes.
func (v *View) indexTeams() error {
	for i := range v.Config.Teams {
		t := &v.Config.Teams[i]
		if v.teams[t.Name] != nil || v.tokens[t.TokenSha256] != nil {
			return &ContradictionError{Kind: "team", Name: t.Name, Message: "its name or its token stands twice"}
		}
		if t.DefaultClass != "" && v.classes[t.DefaultClass] == nil {
			return &ContradictionError{Kind: "team", Name: t.Name, Message: "default_class " + t.DefaultClass + " is no class"}
		}
		if t.Weight == 0 {
			t.Weight = 1
		}
		v.teams[t.Name] = t
		v.tokens[t.TokenSha256] = t
	}
	return nil
}

// indexPools indexes the pools and their models.
func (v *View) indexPools() error {
	for i := range v.Config.Pools {
		p := &v.Config.Pools[i]
		if v.pools[p.Name] != nil {
			return &ContradictionError{Kind: "pool", Name: p.Name, Message: "stands twice"}
		}
		if p.QueueLimit == 0 {
			p.QueueLimit = defaultQueueLimit
		}
		if p.Profile == "" {
			p.Profile = PoolProfileAttainment
		}
		if p.ReserveMargin == 0 {
			p.ReserveMargin = map[PoolProfile]float64{PoolProfileAttainment: attainmentMargin, PoolProfileGoodput: goodputMargin}[p.Profile]
		}
		if p.Scheduler == "" {
			p.Scheduler = PoolSchedulerBroker
		}
		v.pools[p.Name] = p
		for _, m := range p.Models {
			if v.models[m] != nil {
				return &ContradictionError{Kind: "pool", Name: p.Name, Message: "model " + m + " is served by pool " + v.models[m].Name + " too"}
			}
			v.models[m] = p
		}
	}
	return nil
}

// indexEngines indexes the engines and checks their pools.
func (v *View) indexEngines() error {
	for i := range v.Config.Engines {
		e := &v.Config.Engines[i]
		if v.engines[e.Name] != nil {
			return &ContradictionError{Kind: "engine", Name: e.Name, Message: "stands twice"}
		}
		if v.pools[e.Pool] == nil {
			return &ContradictionError{Kind: "engine", Name: e.Name, Message: "pool " + e.Pool + " is no pool"}
		}
		if e.State == "" {
			e.State = EngineStateActive
		}
		v.engines[e.Name] = e
		v.byPool[e.Pool] = append(v.byPool[e.Pool], e)
	}
	return nil
}

// indexOperators indexes the operators by token hash.
func (v *View) indexOperators() error {
	for i := range v.Config.Operators {
		o := &v.Config.Operators[i]
		if v.operators[o.TokenSha256] != nil {
			return &ContradictionError{Kind: "operator", Name: o.Name, Message: "its token stands twice"}
		}
		v.operators[o.TokenSha256] = o
	}
	return nil
}

// ContradictionError names an entity that contradicts another.
type ContradictionError struct {
	Kind, Name, Message string
}

// Error describes the contradiction.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("%s %s: %s", e.Kind, e.Name, e.Message)
}

// HashToken returns the hex SHA-256 of a bearer token, as stored in configurations.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TokenMatches reports whether a token has the given hash; no token matches an empty hash.
func TokenMatches(token, hash string) bool {
	return hash != "" && subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(hash)) == 1
}

// TeamByToken returns the team authenticated by a bearer token, or nil.
func (v *View) TeamByToken(token string) *Team { return v.tokens[HashToken(token)] }

// OperatorByToken returns the operator authenticated by a bearer token, or nil.
func (v *View) OperatorByToken(token string) *Operator { return v.operators[HashToken(token)] }

// Class returns a class by name, or nil.
func (v *View) Class(name string) *Class { return v.classes[name] }

// Team returns a team by name, or nil.
func (v *View) Team(name string) *Team { return v.teams[name] }

// Pool returns a pool by name, or nil.
func (v *View) Pool(name string) *Pool { return v.pools[name] }

// PoolForModel returns the pool that serves a model, or nil.
func (v *View) PoolForModel(model string) *Pool { return v.models[model] }

// Engine returns an engine by name, or nil.
func (v *View) Engine(name string) *Engine { return v.engines[name] }

// Engines returns a pool's engines; the caller must not change the slice.
func (v *View) Engines(pool string) []*Engine { return v.byPool[pool] }

// Models returns the names of all models, sorted.
func (v *View) Models() []string {
	out := make([]string, 0, len(v.models))
	for m := range v.models {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}
