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
	// pingInterval is how often a broker at which requests wait is called.
	pingInterval = 250 * time.Millisecond

	// forgetAfterLoss is how long a deaf broker at which nothing waits is called: by
	// then the membership knows that it is dead, or that it is another process.
	forgetAfterLoss = 30 * time.Second

	// pingTimeout is how long it has to answer.
	pingTimeout = 700 * time.Millisecond
)

// errUnresponsive says that a broker takes calls and does not answer, as over a
// half-open connection that the membership can't see.
var errUnresponsive = errors.New("sched: the broker does not answer")

type (
	// brokerMonitor watches the brokers at which requests of this node wait.
	brokerMonitor struct {
		peers Peers

		mu    sync.Mutex
		conns map[string]*brokerConn
	}

	// brokerConn is what is known of the way to one process.
	brokerConn struct {
		owner        wire.Member
		pendingAsks  int
		unresponsive bool
		lostAt       time.Time     // lostAt is when it turned deaf.
		lost         chan struct{} // broken is closed when the process turns deaf.
	}
)

// newBrokerMonitor returns a pulse that watches nobody.
func newBrokerMonitor(peers Peers) *brokerMonitor {
	return &brokerMonitor{peers: peers, conns: map[string]*brokerConn{}}
}

// beginAsk notes that a request asks a broker, and returns a channel that is closed
// when the broker turns deaf. It fails where it is deaf already.
func (p *brokerMonitor) beginAsk(owner wire.Member) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.conn(owner)
	if l.unresponsive {
		return nil, errUnresponsive
	}
	l.pendingAsks++
	return l.lost, nil
}

// conn returns what is known of the way to a process; the caller holds the lock.
func (p *brokerMonitor) conn(owner wire.Member) *brokerConn {
	id := processID(owner)
	l := p.conns[id]
	if l == nil {
		l = &brokerConn{owner: owner, lost: make(chan struct{})}
		p.conns[id] = l
	}
	return l
}

// markUnresponsive notes that a process that answered does not any more.
func (l *brokerConn) markUnresponsive(now time.Time) {
	l.unresponsive, l.lostAt = true, now
	close(l.lost)
}

// endAsk notes that a request asks no more.
func (p *brokerMonitor) endAsk(owner wire.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[processID(owner)].pendingAsks--
}

// markUnreachable notes that a broker could not be reached, so that it is called until it
// answers.
func (p *brokerMonitor) markUnreachable(owner wire.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.conn(owner)
	if !l.unresponsive {
		l.markUnresponsive(clock.Now())
	}
}

// isUnresponsive reports whether a broker was isUnresponsive and has not answered since.
func (p *brokerMonitor) isUnresponsive(owner wire.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.conns[processID(owner)]
	return l != nil && l.unresponsive
}

// processID names one incarnation of a node.
func processID(m wire.Member) string { return fmt.Sprint(m.Name, "/", m.Incarnation) }

// run calls the watched brokers until the context ends.
func (p *brokerMonitor) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, l := range p.connsToPing(clock.Now()) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.recordPing(l, p.ping(ctx, l.owner))
			}()
		}
	}
}

// connsToPing returns the lines to call: those in use, and those that are deaf.
func (p *brokerMonitor) connsToPing(now time.Time) []*brokerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*brokerConn
	for id, l := range p.conns {
		if l.pendingAsks > 0 || (l.unresponsive && now.Sub(l.lostAt) < forgetAfterLoss) {
			out = append(out, l)
			continue
		}
		delete(p.conns, id)
	}
	return out
}

// ping calls a broker and reports whether it ping.
func (p *brokerMonitor) ping(ctx context.Context, owner wire.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return p.peers.Call(ctx, owner.PeerAddress, broker.MethodPing, struct{}{}, nil) == nil
}

// recordPing notes whether a broker answers. A connection that has turned deaf is
// dropped, so that the next call opens another.
func (p *brokerMonitor) recordPing(l *brokerConn, answers bool) {
	p.mu.Lock()
	turned := l.unresponsive == answers
	if turned && answers {
		l.unresponsive, l.lost = false, make(chan struct{})
	}
	if turned && !answers {
		l.markUnresponsive(clock.Now())
	}
	p.mu.Unlock()
	if !answers {
		p.peers.Drop(l.owner.PeerAddress)
	}
}
