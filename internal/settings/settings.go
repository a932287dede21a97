// Package settings reads a node's settings file. The schema in
// schema/settings.json holds each setting's default and its bounds.
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

// compiled returns the schema's compiled form, made when it is first needed.
var compiled = sync.OnceValue(func() *check.Schema { return check.MustCompile(schema.Settings) })

// Load reads and checks a settings file. A fault in the file comes as a
// *check.Error that names each line.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file and fills in the defaults.
func Parse(name string, text []byte) (*Settings, error) {
	plain, err := compiled().Read(name, text)
	if err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	s := &Settings{}
	if err := check.Decode(name, plain, s); err != nil {
		return nil, err
	}
	if problems := s.problems(text); len(problems) > 0 {
		return nil, &check.Error{Name: name, Problems: problems}
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerAddress
	}
	return s, nil
}

// problems finds what a schema can't say: bad IP addresses and settings that
// contradict each other.
func (s *Settings) problems(text []byte) []check.Problem {
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
