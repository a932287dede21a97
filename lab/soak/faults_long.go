package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	faultLong = "requests run long at sound engines"

	// shortestPair and longestPair bound how long the requests of a pair run; the longest takes nine tenths of the deadline. Every
	// other pair is of the longest longPart of them: only there another run does not fit after twice the target.
	shortestPair = 30 * time.Millisecond
	longestPair  = requestTimeoutMs * 9 / 10 * time.Millisecond

	longPart = 5

	// pairCallers is how many callers send pairs at once, and pairsEach how many each sends.
	pairCallers = 10
	pairsEach   = 3

	// maxLostPairs is how many safe requests may get nothing though the unsafe ones were answered, as on a busy machine.
	maxLostPairs = 2
)

// longPair is a safe and an unsafe request that ran for the same time, sent to one node at the same moment.
type longPair struct {
	interval
	took         time.Duration
	safe, unsafe bool // safe and unsafe are set if the request was answered.
}

// sendLongPairs sends pairs of requests that run for up to nine tenths of their deadline.
func sendLongPairs(ctx context.Context, env *Environment, r *rand.Rand, _ time.Duration) error {
	if !env.pairsMu.TryLock() {
		return nil
	}
	defer env.pairsMu.Unlock()
	var wg sync.WaitGroup
	for i := range pairCallers {
		c := newCaller(env, fmt.Sprintf("long-%d-%d", time.Now().UnixMicro(), i), r.Uint64())
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for range pairsEach {
				c.sendPair(ctx)
			}
		})
	}
	wg.Wait()
	return nil
}

// sendPair sends one pair and records it.
func (c *caller) sendPair(ctx context.Context) {
	address := c.entryAddress()
	if address == "" || ctx.Err() != nil {
		return
	}
	shortest := shortestPair
	if c.sent++; c.sent%2 == 1 {
		shortest = longestPair - longestPair/longPart
	}
	p := longPair{interval: interval{from: time.Now()}, took: shortest + time.Duration(c.rand.Int64N(int64(longestPair-shortest)))}
	key, team := c.env.randomKey(c.rand)
	var wg sync.WaitGroup
	wg.Go(func() { p.safe = c.sendLong(ctx, address, routeSafe, key, team, p.took) })
	wg.Go(func() { p.unsafe = c.sendLong(ctx, address, routeUnsafe, key, team, p.took) })
	wg.Wait()
	p.to = time.Now()
	c.env.ledger.recordPair(p)
}

// sendLong sends a request that runs for some time and reports whether it was answered.
func (c *caller) sendLong(ctx context.Context, address, route, key, team string, took time.Duration) bool {
	id := fmt.Sprintf("%s-%s-%d", c.name, route, c.sent)
	c.env.ledger.recordSender(id, c.env.nodeAt(address), time.Now())
	e := result{route: route, key: key, team: team, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, (requestTimeoutMs+500)*time.Millisecond)
	defer cancel()
	req, err := newRequest(ctx, address, fmt.Sprintf("%s/%d", route, took.Milliseconds()), id, key, id+":400", "body of "+id)
	if err != nil {
		c.env.ledger.recordExit(err.Error())
		return false
	}
	if resp, err := c.client.Do(req); err == nil {
		body, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		e.status, e.body, e.complete = resp.StatusCode, string(body), readErr == nil
	}
	e.ended = time.Now()
	c.env.ledger.recordResult(id, e)
	return e.status == success && e.complete
}

// recordPair records a pair of requests.
func (l *Ledger) recordPair(p longPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs = append(l.pairs, p)
}

// longLost returns a violation if safe requests got nothing though unsafe ones that ran as long were answered, while there was
// no fault of another kind.
func (l *Ledger) longLost() []string {
	lost, sent := 0, 0
	var longest time.Duration
	for _, p := range l.pairs {
		if !p.unsafe || l.otherFault(faultLong, p.from, p.to) {
			continue
		}
		if sent++; !p.safe {
			lost, longest = lost+1, max(longest, p.took)
		}
	}
	if lost <= maxLostPairs {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d safe requests got nothing though unsafe ones that ran as long were answered, the longest %v", lost, sent, longest)}
}
