package sched

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/wire"
)

const (
	// pulseEvery is how often a broker at which requests wait is called.
	pulseEvery = 250 * time.Millisecond

	// forgetAfter is how long a deaf broker at which nothing waits is called: by
	// then the membership knows that it is dead, or that it is another process.
	forgetAfter = 30 * time.Second

	// pulseTimeout is how long it has to answer.
	pulseTimeout = 700 * time.Millisecond
)

// errDeaf says that a broker takes calls and does not answer, as over a
// half-open connection that the membership can't see.
var errDeaf = errors.New("sched: the broker does not answer")

type (
	// pulse watches the brokers at which requests of this node wait.
	pulse struct {
		peers Peers

		mu    sync.Mutex
		lines map[string]*line
	}

	// line is what is known of the way to one process.
	line struct {
		owner  wire.Member
		asking int
		deaf   bool
		lostAt time.Time     // lostAt is when it turned deaf.
		broken chan struct{} // broken is closed when the process turns deaf.
	}
)

// newPulse returns a pulse that watches nobody.
func newPulse(peers Peers) *pulse { return &pulse{peers: peers, lines: map[string]*line{}} }

// begin notes that a request asks a broker, and returns a channel that is closed
// when the broker turns deaf. It fails where it is deaf already.
func (p *pulse) begin(owner wire.Member) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.line(owner)
	if l.deaf {
		return nil, errDeaf
	}
	l.asking++
	return l.broken, nil
}

// line returns what is known of the way to a process; the caller holds the lock.
func (p *pulse) line(owner wire.Member) *line {
	id := processID(owner)
	l := p.lines[id]
	if l == nil {
		l = &line{owner: owner, broken: make(chan struct{})}
		p.lines[id] = l
	}
	return l
}

// turnDeaf notes that a process that answered does not any more.
func (l *line) turnDeaf(now time.Time) {
	l.deaf, l.lostAt = true, now
	close(l.broken)
}

// end notes that a request asks no more.
func (p *pulse) end(owner wire.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines[processID(owner)].asking--
}

// lose notes that a broker could not be reached, so that it is called until it
// answers.
func (p *pulse) lose(owner wire.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.line(owner)
	if !l.deaf {
		l.turnDeaf(clock.Now())
	}
}

// lost reports whether a broker was lost and has not answered since.
func (p *pulse) lost(owner wire.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lines[processID(owner)]
	return l != nil && l.deaf
}

// processID names one incarnation of a node.
func processID(m wire.Member) string { return fmt.Sprint(m.Name, "/", m.Incarnation) }

// run calls the watched brokers until the context ends.
func (p *pulse) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(pulseEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, l := range p.watched(clock.Now()) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.set(l, p.answers(ctx, l.owner))
			}()
		}
	}
}

// watched returns the lines to call: those in use, and those that are deaf.
func (p *pulse) watched(now time.Time) []*line {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*line
	for id, l := range p.lines {
		if l.asking > 0 || (l.deaf && now.Sub(l.lostAt) < forgetAfter) {
			out = append(out, l)
			continue
		}
		delete(p.lines, id)
	}
	return out
}

// answers calls a broker and reports whether it answers.
func (p *pulse) answers(ctx context.Context, owner wire.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pulseTimeout)
	defer cancel()
	return p.peers.Call(ctx, owner.PeerAddress, broker.MethodPing, struct{}{}, nil) == nil
}

// set notes whether a broker answers. A connection that has turned deaf is
// dropped, so that the next call opens another.
func (p *pulse) set(l *line, answers bool) {
	p.mu.Lock()
	turned := l.deaf == answers
	if turned && answers {
		l.deaf, l.broken = false, make(chan struct{})
	}
	if turned && !answers {
		l.turnDeaf(clock.Now())
	}
	p.mu.Unlock()
	if !answers {
		p.peers.Drop(l.owner.PeerAddress)
	}
}
