package linger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// Shares of the descriptors for a server of callers, each of whose requests may need another one for its engine, and for
// one that few use. They leave room for what a node opens itself.
const (
	CallerShare = 3. / 8
	OtherShare  = 1. / 16
)

// freePart is the inverse of the share of the connections that a server may have which it keeps free, as long as it can
// by ending idle ones.
const freePart = 8

// WithShare bounds the connections of the server to a share of the descriptors that the process may have. When the bound
// comes near, those that have been idle the longest are ended; at the bound nothing more is accepted.
func WithShare(share float64) Option {
	return func(s *Server) { s.share = share }
}

// maxConns returns how many connections the server may have. The limit of descriptors can change while the process runs.
func (s *Server) maxConns() int {
	var limit unix.Rlimit
	if s.share == 0 || unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt
	}
	return max(freePart, int(s.share*float64(limit.Cur)))
}

// awaitRoom returns when the server may accept another connection, or when it ends.
func (s *Server) awaitRoom() {
	for !s.makeRoom(s.maxConns()) && !s.closed.Load() {
		time.Sleep(pollInterval)
	}
}

// makeRoom ends idle connections, the longest idle ones first, until a part of what the server may have is free. It
// reports whether the server may accept another one.
func (s *Server) makeRoom(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	excess := len(s.conns) - (most - most/freePart)
	if excess < 0 {
		return true
	}
	var idle []*conn
	for c := range s.conns {
		if c.isIdle() {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	for _, c := range idle[:min(len(idle), excess+1)] {
		c.end()
	}
	return len(s.conns) < most
}
