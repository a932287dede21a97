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
	// crashingBody begins the bodies of requests that crash each engine which runs them.
	crashingBody = "crash "

	// crashesLater is how many more runs of such a request may begin once nodes have had time to hear of it.
	crashesLater = 3

	// crashEvery is the usual time from one sending of such a request to the next, and backAfter how long
	// after its end an engine starts again.
	crashEvery = 250 * time.Millisecond
	backAfter  = time.Second
)

// crash ends an engine as a process that crashes does, and starts it again a while later, unless that is under way.
func (w *World) crash(e *engine, body string) {
	if !e.ending.TryLock() {
		return
	}
	defer e.ending.Unlock()
	w.ledger.crashed(body, time.Now())
	w.mu.Lock()
	way := w.relays[e.id]
	w.mu.Unlock()
	way.Set(relay.Refuse)
	err := e.restart(context.Background(), backAfter)
	if err == nil {
		way.Set(relay.Pass)
		err = w.putEngine(e, "ready")
	}
	if err != nil {
		w.ledger.exited(fmt.Sprintf("engine %s not started again: %v", e.id, err))
	}
}

// crashingRequest sends one request that crashes engines, to one node after another and by one of the routes.
func crashingRequest(ctx context.Context, w *World, r *rand.Rand, d time.Duration) error {
	name := fmt.Sprint(crashingBody, r.Uint64())
	c := newCaller(w, name, r.Uint64())
	defer c.client.CloseIdleConnections()
	route := routes[r.IntN(len(routes))]
	for end := time.Now().Add(d); time.Now().Before(end); {
		c.asked = time.Time{} // Another node gets it.
		if address := c.entry(); address != "" {
			go c.send(ctx, address, route, fmt.Sprint("crashing-", r.Uint64()), name)
		}
		pause.For(ctx, crashEvery)
	}
	return nil
}

// send sends a request that crashes engines; how it ends tells its caller nothing that was promised.
func (c *caller) send(ctx context.Context, address, route, id, body string) {
	ctx, cancel := context.WithTimeout(ctx, patience*time.Millisecond)
	defer cancel()
	req, err := newRequest(ctx, address, route, id, "key-0", "a:300,b:400", body)
	if err != nil {
		c.world.ledger.exited(err.Error())
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
}
