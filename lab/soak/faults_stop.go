package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/platform"
)

const (
	// stopCallers is how many callers send requests to a node while it stops, and stopLoadTime how long before.
	stopCallers  = 12
	stopLoadTime = time.Second

	// longestWork is how long engines run these requests at most; the shortest take a tenth of a second.
	longestWork = 2500 * time.Millisecond

	// usedShare is the share of its deadline from which on a request may end without an answer.
	usedShare = 0.9

	// pageTime is what each page of a table but the first takes while engines drain between them.
	pageTime = 250 * time.Millisecond
)

// stopUnderLoad stops a node, with several signals, while callers send it requests of all kinds and lengths over
// connections that they keep until it is gone.
func stopUnderLoad(ctx context.Context, env *Environment, n *node, d time.Duration) error {
	defer env.ledger.beginOutage(n.name)()
	env.expectExit(n)
	gone, name := make(chan struct{}), fmt.Sprintf("stop-%s-%d", n.name, time.Now().UnixMicro())
	var callers sync.WaitGroup
	var longFrom time.Time
	if env.late() {
		longFrom = time.Now().Add(stopLoadTime + drawLateLoad(rand.New(rand.NewPCG(uint64(d), 1))).after)
	}
	for i := range stopCallers {
		callers.Go(func() {
			newCaller(env, fmt.Sprint(name, "-", i), uint64(d)+uint64(i)).sendUntil(ctx, gone, n, longFrom)
		})
	}
	pause.For(ctx, stopLoadTime)
	again := time.AfterFunc(d, func() {
		_ = errors.Join(n.Signal(syscall.SIGHUP), n.Signal(syscall.SIGTERM)) // It may have ended.
	})
	if err := n.Stop(stopGrace); err != nil {
		env.ledger.recordExit(fmt.Sprintf("%s did not stop gracefully: %v", n.name, err))
		n.Kill()
	}
	again.Stop()
	close(gone)
	callers.Wait()
	pause.For(ctx, d)
	return env.launch(n)
}

// sendUntil sends requests to a node over one connection until it is gone. They are short until a time, unless it is zero.
func (c *caller) sendUntil(ctx context.Context, gone <-chan struct{}, n *node, longFrom time.Time) {
	defer c.client.CloseIdleConnections()
	for {
		select {
		case <-gone:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(c.rand.Int64N(int64(50 * time.Millisecond)))):
		}
		c.sent++
		id, work := fmt.Sprintf("%s-%d", c.name, c.sent), 100+c.rand.IntN(int(longestWork.Milliseconds())-100)
		if time.Now().Before(longFrom) {
			work = 10 + c.rand.IntN(int(longestShort.Milliseconds()))
		}
		e := result{route: routes[c.rand.IntN(len(routes))], first: "stop", sent: time.Now(), late: !longFrom.IsZero()}
		e.key, e.team = c.env.randomKey(c.rand)
		c.env.ledger.recordSender(id, n.name, e.sent)
		req, err := newRequest(ctx, n.callers.Address(), fmt.Sprintf("%s/%d", e.route, work), id, e.key, "stop:2500,"+id+":400", "body of "+id)
		if err != nil {
			return
		}
		if resp, err := c.client.Do(req); err == nil {
			body, readErr := io.ReadAll(resp.Body)
			resp.Body.Close()
			e.status, e.body, e.complete = resp.StatusCode, string(body), readErr == nil
		}
		e.ended = time.Now()
		c.env.ledger.recordResult(id, e)
		c.env.ledger.recordStopped(id)
	}
}

// drainWhileRead kills all nodes and drains engines while the started ones read the table of engines in pages.
func drainWhileRead(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	if err := killAllNodes(ctx, env, r, 0); err != nil {
		return err
	}
	if err := env.post("/control/faults", platform.Faults{PageMs: int(pageTime.Milliseconds())}); err != nil {
		return err
	}
	var drained []*engine
	for range 2 {
		pause.For(ctx, d/4)
		e, _ := env.randomEngine(r)
		if err := env.replace(e); err != nil {
			return err
		}
		e.lifecycleMu.Lock() // Prevents restarts while it drains.
		if err := env.putEngine(e, "draining"); err != nil {
			return err
		}
		env.ledger.recordDrainedUnread(e.id, time.Now())
		drained = append(drained, e)
	}
	pause.For(ctx, pageTime)
	if err := env.post("/control/faults", platform.Faults{}); err != nil {
		return err
	}
	pause.For(ctx, drainWithin+recoveryTime)
	var errs []error
	for _, e := range drained {
		e.close()
		errs = append(errs, env.write(row{"servers", e.id, nil}))
	}
	return errors.Join(errs...)
}

// recordStopped records that a request was sent to a node that stops.
func (l *Ledger) recordStopped(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = append(l.stopped, id)
}

// recordDrainedUnread records that an engine began to drain while nodes read the table in which it says so.
func (l *Ledger) recordDrainedUnread(engine string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainedUnread[engine] = at
}

// recordInjected records a fault of any kind.
func (l *Ledger) recordInjected(name string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.injected[name] = append(l.injected[name], interval{from, to})
}

// otherFault reports whether a fault of another kind than the named one was injected during an interval, or shortly before.
func (l *Ledger) otherFault(than string, from, to time.Time) bool {
	for name, list := range l.injected {
		if name != than && overlaps(list, from.Add(-recoveryTime), to) {
			return true
		}
	}
	return false
}

// cutByStops returns the requests that a stopping node had passed on and that ended without an answer, or with one that
// says that it could not finish them.
func (l *Ledger) cutByStops() []string {
	var out []string
	for _, id := range l.stopped {
		e := l.results[id]
		given := e.status == http.StatusBadGateway && strings.Contains(e.body, "cut_off_by_stop")
		spent := e.ended.Sub(e.sent).Seconds() * 1000 / requestTimeoutMs
		told := given && e.late && e.route == routeSafe // Its caller may send it again.
		if len(l.runs[id]) > 0 && (!e.complete || given && !told) && spent < usedShare && !l.otherFault(faultStop, e.sent, e.ended) {
			out = append(out, fmt.Sprintf("%s %s was cut off by a stop after %v, status %d", e.route, id, e.ended.Sub(e.sent), e.status))
		}
	}
	return out
}

// startsAfterUnreadDrains returns starts at engines that began to drain while nodes read of them.
func (l *Ledger) startsAfterUnreadDrains() []string {
	var out []string
	for engine, at := range l.drainedUnread {
		for id, runs := range l.runs {
			for _, r := range runs {
				if r.engine == engine && r.at.After(at.Add(drainWithin+recoveryTime/2)) && !l.otherFault(faultUnreadDrain, at, r.at) {
					out = append(out, fmt.Sprintf("%s started at %s %v after it began to drain between two pages", id, engine, r.at.Sub(at)))
				}
			}
		}
	}
	return out
}
