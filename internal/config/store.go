package config

import (
	"fmt"
	"sync"

	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

// maxRecentChanges is how many changes a node keeps to hand on to peers.
const maxRecentChanges = 256

// Store holds the configuration in force at this node. Its version only grows.
type Store struct {
	mu      sync.Mutex
	view    *View
	recent  []wire.Change
	changed chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// View returns the configuration in force, or nil before the first is known.
func (s *Store) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Version returns the version in force, or 0 before the first is known.
func (s *Store) Version() int {
	v := s.View()
	if v == nil {
		return 0
	}
	return v.Config.Version
}

// Changed returns a channel that is closed when a newer version comes into force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Replace takes a whole configuration if it is newer than the one in force.
func (s *Store) Replace(c *Config) (bool, error) {
	v, err := NewView(c)
	if err != nil {
		return false, fmt.Errorf("replace configuration: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && c.Version <= s.view.Config.Version {
		return false, nil
	}
	s.recent = nil
	s.install(v)
	return true, nil
}

// Apply takes changes in order; those already in force are passed over. It
// fails where a change between is missing.
func (s *Store) Apply(changes []wire.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return trace.NotFound("no configuration to apply changes to")
	}
	for _, ch := range changes {
		if ch.Version <= s.view.Config.Version {
			continue
		}
		next, err := s.view.Config.Apply(ch)
		if err != nil {
			return fmt.Errorf("apply change: %w", err)
		}
		v, err := NewView(next)
		if err != nil {
			return fmt.Errorf("apply change %s: %w", ch.ID, err)
		}
		s.recent = append(s.recent, ch)
		if len(s.recent) > maxRecentChanges {
			s.recent = s.recent[1:]
		}
		s.install(v)
	}
	return nil
}

// install puts a view into force; the caller holds the lock.
func (s *Store) install(v *View) {
	s.view = v
	close(s.changed)
	s.changed = make(chan struct{})
}

// ChangesAfter returns the changes after a version, or false where not all are known.
func (s *Store) ChangesAfter(version int) ([]wire.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil || version >= s.view.Config.Version {
		return nil, true
	}
	if len(s.recent) == 0 || s.recent[0].Version > version+1 {
		return nil, false
	}
	skip := version + 1 - s.recent[0].Version
	return append([]wire.Change(nil), s.recent[skip:]...), true
}
