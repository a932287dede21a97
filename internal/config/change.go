package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

// Empty returns a configuration without entities. Its lists are empty rather than
// nil, because the schema requires them.
func Empty() *Config {
	return &Config{Classes: []Class{}, Teams: []Team{}, Pools: []Pool{}, Engines: []Engine{}, Operators: []Operator{}}
}

// Clone returns a deep copy of a configuration.
func (c *Config) Clone() (*Config, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("copy configuration: %w", err)
	}
	out := &Config{}
	if err := json.Unmarshal(text, out); err != nil {
		return nil, fmt.Errorf("copy configuration: %w", err)
	}
	return out, nil
}

// Apply returns a copy of the configuration with a change applied. The change
// must carry the next version.
func (c *Config) Apply(ch wire.Change) (*Config, error) {
	if ch.Version != c.Version+1 {
		return nil, trace.CompareFailed("change %s makes version %d, but version %d is in force", ch.ID, ch.Version, c.Version)
	}
	out, err := c.Clone()
	if err != nil {
		return nil, err
	}
	for _, e := range ch.Entities {
		if err := out.setEntity(e); err != nil {
			return nil, fmt.Errorf("apply change %s: %w", ch.ID, err)
		}
	}
	out.Version = ch.Version
	return out, nil
}

// setEntity sets one entity, or deletes it if the body is nil.
func (c *Config) setEntity(e wire.Entity) (err error) {
	switch e.Kind {
	case wire.EntityKindClass:
		c.Classes, err = replace(c.Classes, e, func(x *Class) string { return x.Name })
	case wire.EntityKindTeam:
		c.Teams, err = replace(c.Teams, e, func(x *Team) string { return x.Name })
	case wire.EntityKindPool:
		c.Pools, err = replace(c.Pools, e, func(x *Pool) string { return x.Name })
	case wire.EntityKindEngine:
		c.Engines, err = replace(c.Engines, e, func(x *Engine) string { return x.Name })
	case wire.EntityKindOperator:
		c.Operators, err = replace(c.Operators, e, func(x *Operator) string { return x.Name })
	default:
		err = trace.BadParameter("kind %q is none of class, team, pool, engine, operator", e.Kind)
	}
	return err
}

// replace sets or deletes the list item that has the entity's name.
func replace[T any](list []T, e wire.Entity, name func(*T) string) ([]T, error) {
	at := -1
	for i := range list {
		if name(&list[i]) == e.Name {
			at = i
		}
	}
	if e.Body == nil {
		if at < 0 {
			return list, nil
		}
		return append(list[:at], list[at+1:]...), nil
	}
	var x T
	dec := json.NewDecoder(bytes.NewReader(*e.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&x); err != nil {
		return nil, fmt.Errorf("decode %s %s: %w", e.Kind, e.Name, trace.BadParameter("%v", err))
	}
	if name(&x) != e.Name {
		return nil, trace.BadParameter("%s %s: its body names %q", e.Kind, e.Name, name(&x))
	}
	if at < 0 {
		return append(list, x), nil
	}
	list[at] = x
	return list, nil
}

// entities returns the entities of a configuration by kind and name, and their
// keys in order.
func (c *Config) entities() (map[string]wire.Entity, []string, error) {
	out := map[string]wire.Entity{}
	var order []string
	add := func(kind wire.EntityKind, name string, x any) error {
		text, err := json.Marshal(x)
		if err != nil {
			return fmt.Errorf("encode %s %s: %w", kind, name, err)
		}
		raw := json.RawMessage(text)
		key := string(kind) + "/" + name
		out[key] = wire.Entity{Kind: kind, Name: name, Body: &raw}
		order = append(order, key)
		return nil
	}
	var errs []error
	for i := range c.Classes {
		errs = append(errs, add(wire.EntityKindClass, c.Classes[i].Name, c.Classes[i]))
	}
	for i := range c.Teams {
		errs = append(errs, add(wire.EntityKindTeam, c.Teams[i].Name, c.Teams[i]))
	}
	for i := range c.Pools {
		errs = append(errs, add(wire.EntityKindPool, c.Pools[i].Name, c.Pools[i]))
	}
	for i := range c.Engines {
		errs = append(errs, add(wire.EntityKindEngine, c.Engines[i].Name, c.Engines[i]))
	}
	for i := range c.Operators {
		errs = append(errs, add(wire.EntityKindOperator, c.Operators[i].Name, c.Operators[i]))
	}
	return out, order, trace.NewAggregate(errs...)
}

// Diff returns the entities that turn one configuration into another, and their
// previous state.
func Diff(from, to *Config) (after, before []wire.Entity, err error) {
	old, oldOrder, err := from.entities()
	if err != nil {
		return nil, nil, err
	}
	now, nowOrder, err := to.entities()
	if err != nil {
		return nil, nil, err
	}
	for _, key := range nowOrder {
		was, existed := old[key]
		if existed && bytes.Equal(*was.Body, *now[key].Body) {
			continue
		}
		after = append(after, now[key])
		before = append(before, wire.Entity{Kind: now[key].Kind, Name: now[key].Name, Body: was.Body})
	}
	for _, key := range oldOrder {
		if _, stays := now[key]; !stays {
			after = append(after, wire.Entity{Kind: old[key].Kind, Name: old[key].Name})
			before = append(before, old[key])
		}
	}
	return after, before, nil
}
