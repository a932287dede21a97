// Package settings reads a node's settings file. The schema in
// schema/settings.json defines the default and the bounds of each setting.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"

	"github.com/croftturn/croftturn/internal/check"
	"github.com/croftturn/croftturn/schema"
)

// settingsSchema returns the compiled schema; it is compiled on first use.
var settingsSchema = sync.OnceValue(func() *check.Schema { return check.MustCompile(schema.Settings) })

// Load reads and validates a settings file. An invalid file results in a
// *check.Error with the line of each problem.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse validates and decodes a settings file and fills in the defaults.
func Parse(name string, text []byte) (*Settings, error) {
	plain, err := settingsSchema().Read(name, text)
	if err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	s := &Settings{}
	if err := check.Decode(name, plain, s); err != nil {
		return nil, err
	}
	if problems := s.validate(text); len(problems) > 0 {
		return nil, &check.Error{Name: name, Problems: problems}
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerAddress
	}
	return s, nil
}

// validate checks what the schema cannot express: invalid IP addresses and settings
// that contradict each other.
func (s *Settings) validate(text []byte) []check.Problem {
	var out []check.Problem
	add := func(pointer, message string) {
		out = append(out, check.Problem{Line: check.Line(text, pointer), Path: pointer, Message: message})
	}
	addresses := []struct{ pointer, value string }{
		{"/caller_address", s.CallerAddress}, {"/peer_address", s.PeerAddress}, {"/admin_address", s.AdminAddress},
	}
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(strings.Trim(host, "[]")) == nil {
			add(a.pointer, "must be an IP address and a port")
		}
	}
	if s.SuspectMs < 3*s.HeartbeatMs {
		add("/suspect_ms", "must be at least three times heartbeat_ms")
	}
	if s.LeaveNoticeMs < s.EntryKeepMs {
		add("/leave_notice_ms", "must be at least entry_keep_ms, or callers keep an address that is gone")
	}
	return out
}
