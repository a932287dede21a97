// Package reach detects that this node can reach no engine of a pool, as in a network partition, from
// the outcome of its requests and from probes.
package reach

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/internal/placement"
)

const (
	// Silence is how long a request may get no response from any engine of its pool until the pool is
	// suspected to be unreachable.
	Silence = 500 * time.Millisecond

	// enoughFailures is how many engines of a pool must fail one after another, with none heard
	// between, for the pool to count as unreachable; in smaller pools it is all of them.
	enoughFailures = 3

	// settleTime is how long a suspicion waits for another engine of the pool to be heard.
	settleTime = 100 * time.Millisecond

	// probeInterval is the time between two probes of a pool that counts as unreachable.
	probeInterval = 250 * time.Millisecond

	// probeTimeout bounds one probe. It leaves an answer the time of one that waits for another step.
	probeTimeout = 400 * time.Millisecond

	// askedTTL is how long an answer is kept; longer than any call takes.
	askedTTL = 2 * time.Second

	// acceptTimeout bounds the check whether an engine accepts connections.
	acceptTimeout = 250 * time.Millisecond
)

type (
	// Engines lists engines.
	Engines interface {
		// Sample returns up to n random engines of a pool that take new work and are not to be avoided,
		// and how many engines the pool has.
		Sample(pool string, n int, avoid func(id string) bool) (sample []placement.Engine, total int)
	}

	// Prober checks engines over connections of their own.
	Prober interface {
		// Probe reports whether an engine's address accepts a connection, and whether it answers.
		Probe(ctx context.Context, address string) (connected, answered bool)

		// Accepts reports whether an address accepts a connection.
		Accepts(ctx context.Context, address string) bool
	}

	// Monitor watches the pools of a node. It is safe for concurrent use.
	Monitor struct {
		engines  Engines
		prober   Prober
		onChange func(pool string)
		log      *slog.Logger
		ctx      context.Context
		cancel   context.CancelFunc
		wg       sync.WaitGroup

		mu    sync.Mutex
		pools map[string]*Pool
	}

	// ask is one engine being asked whether it responds. answers is set before done is closed.
	ask struct {
		at      time.Time
		done    chan struct{}
		answers bool
	}

	// Pool is the connectivity of this node to the engines of one pool.
	Pool struct {
		m    *Monitor
		name string

		mu            sync.Mutex
		heardAt       time.Time       // heardAt is when any engine was last heard.
		failed        map[string]bool // failed holds the engines that failed since then.
		refused       map[string]bool // refused holds the engines that accepted no connection since one did.
		unreachable   bool            // unreachable is set if enough engines have failed.
		unconnectable bool            // unconnectable is set if enough engines accept no connection.
		probing       bool            // probing is set while the pool is being probed.
		asked         map[string]*ask // asked holds the newest answers of engines that were asked whether they respond, by address.
	}
)

// New returns a Monitor without pools. It calls onChange whenever a pool becomes unreachable or
// reachable.
func New(engines Engines, prober Prober, onChange func(pool string), log *slog.Logger) *Monitor {
	ctx, cancel := context.WithCancel(context.Background())
	return &Monitor{engines: engines, prober: prober, onChange: onChange, log: log, ctx: ctx, cancel: cancel, pools: map[string]*Pool{}}
}

// Close ends all probes and waits for them.
func (m *Monitor) Close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.wg.Wait()
}

// start runs a function in a goroutine that Close waits for; it returns false after Close.
func (m *Monitor) start(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	m.wg.Go(f)
	return true
}

// Pool returns a pool by its name.
func (m *Monitor) Pool(name string) *Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[name]
	if p == nil {
		p = &Pool{m: m, name: name, failed: map[string]bool{}, refused: map[string]bool{}}
		m.pools[name] = p
	}
	return p
}

// Unreachable returns the names of the pools that are unreachable, sorted.
func (m *Monitor) Unreachable() []string {
	m.mu.Lock()
	pools := make([]*Pool, 0, len(m.pools))
	for _, p := range m.pools {
		pools = append(pools, p)
	}
	m.mu.Unlock()
	var out []string
	for _, p := range pools {
		if p.Unreachable() {
			out = append(out, p.name)
		}
	}
	slices.Sort(out)
	return out
}

// Unreachable reports whether no engine of the pool seems to be reachable from this node.
func (p *Pool) Unreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable
}

// Unconnectable reports whether engines of the pool seem to accept no new connections from this node;
// open ones may still serve.
func (p *Pool) Unconnectable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unconnectable
}

// Heard records that an engine of the pool sent something.
func (p *Pool) Heard(now time.Time) {
	p.mu.Lock()
	p.heardAt = now
	if len(p.failed) == 0 {
		p.mu.Unlock()
		return
	}
	clear(p.failed)
	p.updateAndUnlock(now)
}

// Connected records that an engine of the pool accepted a connection.
func (p *Pool) Connected(now time.Time) {
	p.mu.Lock()
	clear(p.refused)
	p.updateAndUnlock(now)
}

// ConnectFailed records that a connection to an engine could not be opened.
func (p *Pool) ConnectFailed(now time.Time, engine string) {
	p.mu.Lock()
	p.failed[engine], p.refused[engine] = true, true
	p.updateAndUnlock(now)
	p.Suspect(now)
}

// noteNoAnswer records that an engine accepted a connection and did not answer.
func (p *Pool) noteNoAnswer(now time.Time, engine string) {
	p.mu.Lock()
	p.failed[engine] = true
	p.updateAndUnlock(now)
}

// updateAndUnlock recomputes the state of the pool, releases its lock and announces a change.
func (p *Pool) updateAndUnlock(now time.Time) {
	unreachable, unconnectable, total := false, false, 0
	if len(p.failed)+len(p.refused) > 0 {
		_, total = p.m.engines.Sample(p.name, 0, nil)
		enough := max(1, min(enoughFailures, total))
		unreachable, unconnectable = total > 0 && len(p.failed) >= enough, total > 0 && len(p.refused) >= enough
	}
	changed := unreachable != p.unreachable
	logged := changed || unconnectable != p.unconnectable
	p.unreachable, p.unconnectable = unreachable, unconnectable
	failed, heardAgo := len(p.failed), now.Sub(p.heardAt)
	p.mu.Unlock()
	if logged {
		p.m.log.Warn("engine connectivity changed", "pool", p.name, "reachable", !unreachable, "connectable", !unconnectable, "failed", failed, "engines", total, "heard_ago_ms", heardAgo.Milliseconds())
	}
	if changed {
		p.m.onChange(p.name)
	}
}

// CheckSilence suspects the pool if none of its engines was heard since a time.
func (p *Pool) CheckSilence(now, since time.Time) {
	p.mu.Lock()
	heard := p.heardAt.After(since)
	p.mu.Unlock()
	if !heard {
		p.Suspect(now)
	}
}

// Suspect starts probes of the pool unless one of its engines is heard soon. It is called when a
// connection broke or a request got no answer.
func (p *Pool) Suspect(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.probing {
		p.probing = p.m.start(func() { p.investigate(now) })
	}
}

// investigate probes the pool: one engine, then as many as make it unreachable, and then one at a time
// for as long as it is unreachable or accepts no connections.
func (p *Pool) investigate(suspected time.Time) {
	m := p.m
	pause.For(m.ctx, settleTime)
	for round := 0; m.ctx.Err() == nil && !p.settled(suspected, round); round++ {
		switch round {
		case 0:
			p.probe(1)
		case 1:
			p.probe(enoughFailures - 1)
		default:
			p.probe(1)
			pause.For(m.ctx, probeInterval)
		}
	}
}

// settled reports whether probing may end, and records that it does.
func (p *Pool) settled(suspected time.Time, round int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachable || p.unconnectable || round < 2 && !p.heardAt.After(suspected) {
		return false
	}
	p.probing = false
	return true
}

// probe probes some engines at once, rather those that have not failed.
func (p *Pool) probe(n int) {
	p.mu.Lock()
	known := maps.Clone(p.failed)
	p.mu.Unlock()
	sample, total := p.m.engines.Sample(p.name, n, func(id string) bool { return known[id] })
	if len(sample) == 0 {
		sample, total = p.m.engines.Sample(p.name, n, nil)
	}
	if total == 0 {
		p.forget(clock.Now())
		return
	}
	var wg sync.WaitGroup
	for _, e := range sample {
		wg.Go(func() { p.probeEngine(e) })
	}
	wg.Wait()
}

// probeEngine probes one engine and records the result.
func (p *Pool) probeEngine(e placement.Engine) {
	ctx, cancel := context.WithTimeout(p.m.ctx, probeTimeout)
	defer cancel()
	connected, answered := p.m.prober.Probe(ctx, e.Address)
	now := clock.Now()
	switch {
	case p.m.ctx.Err() != nil:
	case answered:
		p.Connected(now)
		p.Heard(now)
	case connected:
		p.noteNoAnswer(now, e.ID)
	default:
		p.ConnectFailed(now, e.ID)
	}
}

// forget drops all failures: the pool has no engines.
func (p *Pool) forget(now time.Time) {
	p.mu.Lock()
	clear(p.failed)
	clear(p.refused)
	p.updateAndUnlock(now)
}

// Accepts reports whether an engine's address accepts a connection, as that of an engine does which is
// silent but not gone.
func (p *Pool) Accepts(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return p.m.prober.Accepts(ctx, address)
}

// Answers reports whether an engine answers a call that runs nothing within a time. All requests share an answer that is no
// older than that.
func (p *Pool) Answers(ctx context.Context, now time.Time, address string, within time.Duration) bool {
	p.mu.Lock()
	a := p.asked[address]
	if a == nil || now.Sub(a.at) > within {
		a = &ask{at: now, done: make(chan struct{})}
		p.forgetAsked(now)
		p.asked[address] = a
		started := p.m.start(func() {
			defer close(a.done)
			ctx, cancel := context.WithTimeout(p.m.ctx, within)
			defer cancel()
			_, a.answers = p.m.prober.Probe(ctx, address)
		})
		if !started {
			close(a.done)
		}
	}
	p.mu.Unlock()
	select {
	case <-a.done:
		return a.answers
	case <-ctx.Done():
		return false
	}
}

// forgetAsked forgets old answers. The caller must hold the lock.
func (p *Pool) forgetAsked(now time.Time) {
	if p.asked == nil {
		p.asked = map[string]*ask{}
	}
	for address, a := range p.asked {
		if now.Sub(a.at) > askedTTL {
			delete(p.asked, address)
		}
	}
}

// OthersAccept reports whether an engine of the pool other than a given one accepts a connection now, or
// there is no other. An answer would show no more of the way there, and busy engines take their time.
func (p *Pool) OthersAccept(ctx context.Context, engine string) bool {
	sample, _ := p.m.engines.Sample(p.name, enoughFailures, func(id string) bool { return id == engine })
	if len(sample) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	defer context.AfterFunc(p.m.ctx, cancel)() // Close waits for the checks, and the context may be that of no request.
	answers := make(chan bool, len(sample))
	for _, e := range sample {
		started := p.m.start(func() {
			answers <- p.m.prober.Accepts(ctx, e.Address)
		})
		if !started {
			return false
		}
	}
	for range sample {
		if <-answers {
			return true
		}
	}
	return false
}
