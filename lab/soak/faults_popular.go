package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/pause"
)

const (
	faultPopular = "engines are lost under a popular request"

	// popularRun is how long the request runs, so that no answer to it is whole before the loss, and popularInterval is the time
	// between two sends.
	popularRun      = 2 * time.Second
	popularInterval = 50 * time.Millisecond

	// popularBefore and popularAfter are how long it is sent before and after the loss.
	popularBefore = time.Second
	popularAfter  = 600 * time.Millisecond

	// popularLost is how many engines are lost at one moment.
	popularLost = 3
)

// popularSeries is a series of equal requests, during which several engines were lost at one moment.
type popularSeries struct {
	interval
	refused, lost int // refused is how many requests nodes refused for good, and lost how many engines were lost.
}

// losePopular sends one request again and again, and crashes several engines of its pool at one moment.
func losePopular(ctx context.Context, env *Environment, r *rand.Rand, _ time.Duration) error {
	if !env.popularMu.TryLock() {
		return nil
	}
	defer env.popularMu.Unlock()
	body := fmt.Sprint("popular ", r.Uint64())
	key, _ := env.randomKey(r)
	s := popularSeries{interval: interval{from: time.Now()}}
	c := newCaller(env, body, r.Uint64())
	defer c.client.CloseIdleConnections()
	var refused, lost atomic.Int64
	var wg sync.WaitGroup
	send := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); pause.For(ctx, popularInterval) {
			c.resolvedAt = time.Time{} // Forces a new resolution, so that another node may get it.
			if address := c.entryAddress(); address != "" {
				id := fmt.Sprint("popular-", r.Uint64())
				wg.Go(func() {
					if c.sendPopular(ctx, address, id, key, body) == http.StatusBadRequest {
						refused.Add(1)
					}
				})
			}
		}
	}
	send(popularBefore)
	for _, e := range env.someEngines(r, deskPool, popularLost) {
		wg.Go(func() { env.crash(e, func(time.Time) { lost.Add(1) }) })
	}
	send(popularAfter)
	wg.Wait()
	s.to, s.refused, s.lost = time.Now(), int(refused.Load()), int(lost.Load())
	env.ledger.recordPopular(s)
	return nil
}

// sendPopular sends the request once and returns the status, 0 if there is none.
func (c *caller) sendPopular(ctx context.Context, address, id, key, body string) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutMs*time.Millisecond)
	defer cancel()
	req, err := newRequest(ctx, address, fmt.Sprintf("%s/%d", routeUnsafe, popularRun.Milliseconds()), id, key, id+":400", body)
	if err != nil {
		c.env.ledger.recordExit(err.Error())
		return 0
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// someEngines returns up to n random engines of a pool.
func (env *Environment) someEngines(r *rand.Rand, pool string, n int) []*engine {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []*engine
	for _, i := range r.Perm(len(env.engines)) {
		if e := env.engines[i]; e.pool == pool && len(out) < n {
			out = append(out, e)
		}
	}
	return out
}

// recordPopular records a series after its end.
func (l *Ledger) recordPopular(s popularSeries) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.popular = append(l.popular, s)
}

// popularRefused returns the series of which requests were refused for good, though no engine was lost at another moment.
func (l *Ledger) popularRefused() []string {
	var out []string
	for _, s := range l.popular {
		if s.refused > 0 && !l.otherFault(faultPopular, s.from, s.to) {
			out = append(out, fmt.Sprintf("%d requests were refused for good after %d engines were lost at one moment", s.refused, s.lost))
		}
	}
	return out
}
