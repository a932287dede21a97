package config

import (
	"fmt"
	"sync"

	"github.com/croftturn/croftturn/internal/wire"
	"github.com/gravitational/trace"
)

// maxRecentChanges is how many changes a node keeps for peers that are behind.
const maxRecentChanges = 256

// Store holds the configuration in effect at this node. Its version never decreases.
type Store struct {
	mu      sync.Mutex
	view    *View
	recent  []wire.Change
	changed chan struct{}
}

// NewStore returns a store without a configuration.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// View returns the configuration in effect, or nil before the first is loaded.
func (s *Store) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Version returns the version in effect, or 0 before the first is loaded.
func (s *Store) Version() int {
	v := s.View()
	if v == nil {
		return 0
	}
	return v.Config.Version
}

// Changed returns a channel that is closed when a newer version takes effect.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Replace installs a whole configuration if it is newer than the one in effect,
// and reports whether it did.
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
	s.putInEffect(v)
	return true, nil
}

// install installs a whole configuration that has the version in effect or a newer one, whatever is in effect.
func (s *Store) install(c *Config) error {
	v, err := NewView(c)
	if err != nil {
		return fmt.Errorf("install configuration: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && c.Version < s.view.Config.Version {
		return nil
	}
	s.recent = nil
	s.putInEffect(v)
	return nil
}

// Apply applies changes in order and skips those already in effect. It fails
// if there is a gap in the versions.
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
		s.putInEffect(v)
	}
	return nil
}

// putInEffect makes a view the one in effect; the caller must hold s.mu.
func (s *Store) putInEffect(v *View) {
	s.view = v
	close(s.changed)
	s.changed = make(chan struct{})
}

// ChangesAfter returns the changes after a version, or false if not all of
// them are kept.
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
