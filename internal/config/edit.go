package config

import (
	"encoding/json"
	"fmt"

	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

// Field is one field to set, and its new value as JSON.
type Field struct {
	Name  string
	Value json.RawMessage
}

// SetFields returns the edit that sets fields of one part, which is made if it
// does not exist.
func SetFields(kind wire.EntityKind, name string, fields []Field) Edit {
	return func(c *Config) error {
		parts, _, err := c.entities()
		if err != nil {
			return err
		}
		body := map[string]json.RawMessage{"name": json.RawMessage(fmt.Sprintf("%q", name))}
		if have, ok := parts[string(kind)+"/"+name]; ok {
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

// Delete returns the edit that deletes one part.
func Delete(kind wire.EntityKind, name string) Edit {
	return func(c *Config) error {
		parts, _, err := c.entities()
		if err != nil {
			return err
		}
		if _, ok := parts[string(kind)+"/"+name]; !ok {
			return trace.NotFound("no %s %s", kind, name)
		}
		return c.setEntity(wire.Entity{Kind: kind, Name: name})
	}
}

// SetEngineState returns the edit that drains an engine or takes it back.
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

// SetOrder returns the edit that gives an engine an order. Its fence is the
// version that the change makes.
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

// ReplaceAll returns the edit that puts another configuration in the place of
// the present one.
func ReplaceAll(next *Config) Edit {
	return func(c *Config) error {
		version := c.Version
		*c = *next
		c.Version = version
		return nil
	}
}
