package relay

import (
	"sync"
	"time"
)

// Link is the link of a source, which carries what all its connections send one after the other.
type Link struct {
	perByte time.Duration

	mu      sync.Mutex
	free    time.Time // free is when all that was sent will have been carried.
	pending int       // pending counts the pieces that were sent and not carried yet.
}

// NewLink returns a link of a bandwidth in megabits a second.
func NewLink(mbps float64) *Link { return &Link{perByte: time.Duration(8e3 / mbps)} }

// SetLink makes all that a source sends to the target pass a link; nil takes it back.
func (r *Relay) SetLink(source string, l *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[source] = l
}

// linkOf returns the link of a source, or nil.
func (r *Relay) linkOf(source string) *Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[source]
}

// carry waits until some bytes have passed the link.
func (l *Link) carry(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.pending == 0 && l.free.Before(now) {
		l.free = now
	}
	l.pending++
	l.free = l.free.Add(time.Duration(bytes) * l.perByte)
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
	l.mu.Lock()
	l.pending--
	l.mu.Unlock()
}
