package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
	"github.com/croftturn/croftturn/lab/relay"
)

const (
	// crashingBody is the body prefix of requests that crash every engine that runs them.
	crashingBody = "crash "

	// maxLateCrashes is how many more runs of such a request may start once the nodes have had
	// time to learn of it.
	maxLateCrashes = 3

	// crashInterval is the time between two sends of such a request, and restartDelay is how long
	// a crashed engine stays down.
	crashInterval = 250 * time.Millisecond
	restartDelay  = time.Second
)

// crash stops an engine as a process crash does and restarts it later, unless it is already
// stopping or restarting. record is called with the time.
func (env *Environment) crash(e *engine, record func(at time.Time)) {
	if !e.lifecycleMu.TryLock() {
		return
	}
	defer e.lifecycleMu.Unlock()
	record(time.Now())
	env.mu.Lock()
	link := env.relays[e.id]
	env.mu.Unlock()
	link.Set(relay.Refuse)
	err := e.restart(context.Background(), restartDelay)
	if err == nil {
		link.Set(relay.Pass)
		err = env.putEngine(e, "ready")
	}
	if err != nil {
		env.ledger.recordExit(fmt.Sprintf("engine %s did not restart: %v", e.id, err))
	}
}

// crashingRequest sends one request that crashes engines repeatedly, on one random route and
// to varying nodes.
func crashingRequest(ctx context.Context, env *Environment, r *rand.Rand, d time.Duration) error {
	name := fmt.Sprint(crashingBody, r.Uint64())
	c := newCaller(env, name, r.Uint64())
	defer c.client.CloseIdleConnections()
	route := routes[r.IntN(len(routes))]
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.resolvedAt = time.Time{} // Forces a new resolution, so that another node may get it.
		if address := c.entryAddress(); address != "" {
			go c.send(ctx, address, route, fmt.Sprint("crashing-", r.Uint64()), name, "a:2500,b:400")
		}
		pause.For(ctx, crashInterval)
	}
	return nil
}

// send sends a request that crashes engines; its result is ignored because no guarantee covers
// it.
func (c *caller) send(ctx context.Context, address, route, id, body, prompt string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutMs*time.Millisecond)
	defer cancel()
	req, err := newRequest(ctx, address, route, id, crashingKey, prompt, body)
	if err != nil {
		c.env.ledger.recordExit(err.Error())
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}
