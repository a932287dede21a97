package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// largeAnswer is from how many bytes on an answer has to wait for its turn, and answersMost
	// how many such are on their way at once: those that are begun end soon, whatever the link,
	// and one asker that takes nothing doesn't hold up the others.
	largeAnswer = 8 << 10
	answersMost = 3

	// turnWait is how long a call waits for its turn while there is nobody else to ask.
	turnWait = 250 * time.Millisecond

	// othersKept is how many of the nodes that were answered are remembered, and othersTold
	// how many of them an asker is told that gets no answer yet.
	othersKept = 32
	othersTold = 3
)

type (
	// tableVersion is a table up to a version, as a large answer holds it.
	tableVersion struct {
		table   string
		version int64
	}

	// turns lets a few large answers out at a time. Those that have to wait are told who was
	// answered, and ask there: so the nodes that can be asked double with each turn, and
	// what one of them has to send does not grow with their number. Forty nodes with
	// links of 10 Mbit/s that know three to ask had 0.59 MB in 1.8 s without that.
	turns struct {
		free chan struct{} // free has an entry for each answer that may begin.

		mu      sync.Mutex
		holders map[string]holders // holders is by table.
	}

	// holders are the nodes that were given a version of a table, the latest last.
	holders struct {
		version   int64
		addresses []string
	}

	// largeReply is a large answer; its turn ends when it is sent.
	largeReply struct {
		*TableReply
		sent func()
	}
)

// Sent is called once the answer was written, or could not be.
func (r *largeReply) Sent() { r.sent() }

// newTurns returns turns of which none is taken.
func newTurns() *turns {
	t := &turns{free: make(chan struct{}, answersMost), holders: map[string]holders{}}
	for range answersMost {
		t.free <- struct{}{}
	}
	return t
}

// take waits for a turn where nobody else can be asked, and reports whether it came. If it
// did not, others may have what is asked for.
func (t *turns) take(ctx context.Context, v tableVersion) (ok bool, others []string) {
	select {
	case <-t.free:
		return true, nil
	default:
	}
	if others := t.others(v); len(others) > 0 {
		return false, others
	}
	late := time.NewTimer(turnWait)
	defer late.Stop()
	select {
	case <-t.free:
		return true, nil
	case <-late.C:
	case <-ctx.Done():
	}
	return false, t.others(v)
}

// end ends the turn of an answer to an asker, who may be asked from now on.
func (t *turns) end(v tableVersion, asker string) {
	t.free <- struct{}{}
	if asker == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holders[v.table]
	switch {
	case h.version > v.version:
		return // Nobody asks for it any more.
	case h.version < v.version:
		h = holders{version: v.version}
	}
	h.addresses = append(h.addresses, asker)
	h.addresses = h.addresses[max(0, len(h.addresses)-othersKept):]
	t.holders[v.table] = h
}

// others returns some of the nodes that have what is asked for.
func (t *turns) others(v tableVersion) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holders[v.table]
	if h.version != v.version {
		return nil
	}
	var out []string
	for _, i := range rand.Perm(len(h.addresses))[:min(len(h.addresses), othersTold)] {
		out = append(out, h.addresses[i])
	}
	return out
}
