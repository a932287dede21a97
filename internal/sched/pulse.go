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
	// pingInterval is how often a broker at which requests wait is pinged.
	pingInterval = 250 * time.Millisecond

	// forgetAfterLoss is how long an unresponsive broker at which nothing waits is
	// pinged: by then the membership knows that it is dead or was restarted.
	forgetAfterLoss = 30 * time.Second

	// pingTimeout bounds one ping.
	pingTimeout = 700 * time.Millisecond
)

// errUnresponsive means that a broker does not answer, for example over a
// half-open connection that the membership can't detect.
var errUnresponsive = errors.New("sched: the broker does not answer")

type (
	// brokerMonitor pings the brokers at which requests of this node wait.
	brokerMonitor struct {
		peers    Peers
		returned func(owner wire.Member) // returned is called when an unresponsive broker answers again.

		mu    sync.Mutex
		conns map[string]*brokerConn
	}

	// brokerConn is the state of the connection to one broker process.
	brokerConn struct {
		owner        wire.Member
		pendingAsks  int
		unresponsive bool
		lostAt       time.Time     // lostAt is when it became unresponsive.
		lost         chan struct{} // lost is closed when the broker becomes unresponsive.
	}
)

// newBrokerMonitor returns a monitor without brokers.
func newBrokerMonitor(peers Peers, returned func(owner wire.Member)) *brokerMonitor {
	return &brokerMonitor{peers: peers, returned: returned, conns: map[string]*brokerConn{}}
}

// beginAsk records that a request asks a broker, and returns a channel that is closed
// when the broker becomes unresponsive. It fails if the broker is unresponsive already.
func (m *brokerMonitor) beginAsk(owner wire.Member) (<-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.conn(owner)
	if c.unresponsive {
		return nil, errUnresponsive
	}
	c.pendingAsks++
	return c.lost, nil
}

// conn returns the state of a broker process, creating it if needed; the caller holds the lock.
func (m *brokerMonitor) conn(owner wire.Member) *brokerConn {
	id := processID(owner)
	c := m.conns[id]
	if c == nil {
		c = &brokerConn{owner: owner, lost: make(chan struct{})}
		m.conns[id] = c
	}
	return c
}

// markUnresponsive records that a broker has stopped answering.
func (c *brokerConn) markUnresponsive(now time.Time) {
	c.unresponsive, c.lostAt = true, now
	close(c.lost)
}

// endAsk records that a request no longer asks a broker.
func (m *brokerMonitor) endAsk(owner wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[processID(owner)].pendingAsks--
}

// markUnreachable records that a broker could not be reached, so that it is pinged until it
// answers.
func (m *brokerMonitor) markUnreachable(owner wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.conn(owner)
	if !c.unresponsive {
		c.markUnresponsive(clock.Now())
	}
}

// isUnresponsive reports whether a broker was lost and has not answered since.
func (m *brokerMonitor) isUnresponsive(owner wire.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.conns[processID(owner)]
	return c != nil && c.unresponsive
}

// processID returns an id of one incarnation of a node.
func processID(m wire.Member) string { return fmt.Sprint(m.Name, "/", m.Incarnation) }

// run pings the brokers until the context ends.
func (m *brokerMonitor) run(ctx context.Context) {
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
		for _, c := range m.connsToPing(clock.Now()) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m.recordPing(c, m.ping(ctx, c.owner))
			}()
		}
	}
}

// connsToPing returns the connections in use and the unresponsive ones, and forgets the others.
func (m *brokerMonitor) connsToPing(now time.Time) []*brokerConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*brokerConn
	for id, c := range m.conns {
		if c.pendingAsks > 0 || (c.unresponsive && now.Sub(c.lostAt) < forgetAfterLoss) {
			out = append(out, c)
			continue
		}
		delete(m.conns, id)
	}
	return out
}

// ping calls a broker and reports whether it answers.
func (m *brokerMonitor) ping(ctx context.Context, owner wire.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return m.peers.Call(ctx, owner.PeerAddress, broker.MethodPing, struct{}{}, nil) == nil
}

// recordPing records whether a broker answered. An unresponsive connection is
// dropped, so that the next call opens another.
func (m *brokerMonitor) recordPing(c *brokerConn, answers bool) {
	m.mu.Lock()
	turned := c.unresponsive == answers
	if turned && answers {
		c.unresponsive, c.lost = false, make(chan struct{})
	}
	if turned && !answers {
		c.markUnresponsive(clock.Now())
	}
	m.mu.Unlock()
	switch {
	case !answers:
		m.peers.Drop(c.owner.PeerAddress)
	case turned:
		m.returned(c.owner)
	}
}
