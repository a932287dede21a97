package caller

import (
	"sync"
	"time"
)

type (
	// BodyReads are the bodies of requests that are being read. A nil BodyReads interrupts none.
	BodyReads struct {
		mu      sync.Mutex
		conns   map[deadliner]struct{}
		stopped bool
	}

	// deadliner is a connection whose reads can be bounded.
	deadliner interface{ SetReadDeadline(t time.Time) error }
)

// Begin adds a body that is read from a connection. end removes it, and reports whether Interrupt was called before.
func (r *BodyReads) Begin(c deadliner) (end func() (interrupted bool)) {
	if r == nil {
		return func() bool { return false }
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		r.conns = map[deadliner]struct{}{}
	}
	r.conns[c] = struct{}{}
	if r.stopped {
		expire(c)
	}
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
		return r.stopped
	}
}

// Interrupt ends all reads, and each one that begins later, with os.ErrDeadlineExceeded.
func (r *BodyReads) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for c := range r.conns {
		expire(c)
	}
}

// Len returns how many bodies are being read.
func (r *BodyReads) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// expire sets a read deadline that has passed. An error means that the connection is closed, which ends the read too.
func expire(c deadliner) { _ = c.SetReadDeadline(time.Unix(1, 0)) }
