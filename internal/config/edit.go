package config

import (
	"encoding/json"
	"fmt"

	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

// Field is a field of an entity and its new value as JSON.
type Field struct {
	Name  string
	Value json.RawMessage
}

// SetFields returns an edit that sets fields of one entity and creates it if it
// does not exist.
func SetFields(kind wire.EntityKind, name string, fields []Field) Edit {
	return func(c *Config) error {
		entities, _, err := c.entities()
		if err != nil {
			return err
		}
		body := map[string]json.RawMessage{"name": json.RawMessage(fmt.Sprintf("%q", name))}
		if have, ok := entities[string(kind)+"/"+name]; ok {
			if err := json.Unmarshal(*have.Body, &body); err != nil {
				return fmt.Errorf("decode %s %s: %w", kind, name, err)
			}
		}
		for _, f := range fields {
			body[f.Name] = f.Value
		}
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode %s %s: %w", kind, name, err)
		}
		raw := json.RawMessage(text)
		return c.setEntity(wire.Entity{Kind: kind, Name: name, Body: &raw})
	}
}

// Delete returns an edit that deletes one entity.
func Delete(kind wire.EntityKind, name string) Edit {
	return func(c *Config) error {
		entities, _, err := c.entities()
		if err != nil {
			return err
		}
		if _, ok := entities[string(kind)+"/"+name]; !ok {
			return trace.NotFound("no %s %s", kind, name)
		}
		return c.setEntity(wire.Entity{Kind: kind, Name: name})
	}
}

// SetEngineState returns an edit that drains an engine or reactivates it.
func SetEngineState(name string, state EngineState) Edit {
	return func(c *Config) error {
		e, err := c.engine(name)
		if err != nil {
			return err
		}
		e.State = state
		return nil
	}
}

// SetOrder returns an edit that sets an engine's order. The fencing token is the
// version that the change creates.
func SetOrder(name, text string) Edit {
	return func(c *Config) error {
		e, err := c.engine(name)
		if err != nil {
			return err
		}
		e.Order, e.OrderFence = text, c.Version+1
		return nil
	}
}

// engine finds an engine by name.
func (c *Config) engine(name string) (*Engine, error) {
	for i := range c.Engines {
		if c.Engines[i].Name == name {
			return &c.Engines[i], nil
		}
	}
	return nil, trace.NotFound("no engine %s", name)
}

// ReplaceAll returns an edit that replaces the whole configuration except its
// version.
func ReplaceAll(next *Config) Edit {
	return func(c *Config) error {
		version := c.Version
		*c = *next
		c.Version = version
		return nil
	}
}
