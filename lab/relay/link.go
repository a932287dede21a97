package relay

import (
	"sync"
	"time"
)

// timerDelay is how late a link may wake up without being counted as idle.
const timerDelay = 20 * time.Millisecond

// Link is the link of a source, which carries what all its connections send one after the other.
type Link struct {
	perByte time.Duration

	mu   sync.Mutex
	free time.Time // free is when all that was sent will have been carried.
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
	if now := time.Now(); now.Sub(l.free) > timerDelay {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * l.perByte)
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}
