package cachewatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/croftturn/croftturn/internal/cachewatch"
	"github.com/croftturn/croftturn/internal/history"
	"github.com/croftturn/croftturn/internal/placement"
)

// engine is an engine whose answers a test sets. It holds at most one call, like an engine that
// allows one.
type engine struct {
	mu      sync.Mutex
	answers []cachewatch.Answer // answers are given one by one; without any, calls are held for a second.
	broken  bool                // broken makes it refuse calls.
	held    int
	calls   []time.Time
	refused int

	addresses map[string][]time.Time // addresses holds the calls by address unless it is nil.
}

// CacheEvents implements cachewatch.Source.
func (e *engine) CacheEvents(ctx context.Context, address string, since int64) (cachewatch.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, time.Now())
	if e.addresses != nil {
		e.addresses[address] = append(e.addresses[address], time.Now())
	}
	if e.broken || e.held > 0 {
		e.refused++
		return cachewatch.Answer{}, errors.New("status 429")
	}
	if len(e.answers) > 0 {
		a := e.answers[0]
		e.answers = e.answers[1:]
		return a, nil
	}
	e.held++
	e.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	e.mu.Lock()
	e.held--
	return cachewatch.Answer{Epoch: "1", Next: since}, ctx.Err()
}

// set changes the engine.
func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// counts counts what a watcher reports.
type counts struct {
	mu                                 sync.Mutex
	watched, events, forgotten, failed int
}

func (c *counts) add(watched, events, forgotten, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched, c.events, c.forgotten, c.failed = c.watched+watched, c.events+events, c.forgotten+forgotten, c.failed+failed
}

func (c *counts) CacheWatched(_ string, change int)           { c.add(change, 0, 0, 0) }
func (c *counts) CacheEvents(_ string, events, forgotten int) { c.add(0, events, forgotten, 0) }
func (c *counts) CacheEventsFailed(string)                    { c.add(0, 0, 0, 1) }

// target is the engine of the tests as a node knows it, and part a part of its prompts.
var (
	target = placement.Engine{ID: "e", Pool: "p", Hall: "h", Address: "e:1", Slots: 8}
	part   = placement.NewPart("part", 4000)
	prompt = placement.Prompt{Tokens: 5000, Shared: []placement.Part{part}}
)

// newNode returns a placement that knows the engine, the length of the part from a request that ended
// early, and uses of the part that a peer reports.
func newNode(uses ...placement.Use) *placement.Placement {
	p := placement.New("h")
	p.Set(target)
	r := placement.Request{Pool: "p", Prompt: prompt, Interactive: true}
	if c, ok := p.Choose(time.Now(), r); ok {
		p.Start(time.Now(), c, r).End(time.Now(), placement.Aborted)
		p.TakeUses()
	}
	p.UpdatePeer(time.Now(), "sender", history.Position{}, nil, uses)
	return p
}

// cached reports whether a node believes that the engine holds the part.
func cached(p *placement.Placement) bool {
	c, _ := p.Choose(time.Now(), placement.Request{Pool: "p", Prompt: prompt})
	return c.PrefillTokens < prompt.Tokens
}

// newWatcher returns a watcher of the engine.
func newWatcher(e *engine, p *placement.Placement, log io.Writer) (*cachewatch.Watcher, *counts) {
	c := &counts{}
	return cachewatch.New(e, p, c, slog.New(slog.NewTextHandler(log, nil)), cachewatch.WithClock(time.Now)), c
}

// TestEvictionReachesThisNodeAndPeers checks that an eviction and the restart of an engine change what
// the watching node and its peers expect to be cached, and that a part that is back is told, too.
func TestEvictionReachesThisNodeAndPeers(t *testing.T) {
	use := placement.Use{Engine: target.ID, Part: part.ID}
	evicted := cachewatch.Answer{Epoch: "1", Next: 8, Events: []cachewatch.Event{{Part: part.ID}, {Part: 7}}}
	for name, answer := range map[string]cachewatch.Answer{"evicted": evicted, "restarted": {Epoch: "2", Next: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{answers: []cachewatch.Answer{{Epoch: "1", Next: 6}}}
				node, peer := newNode(use), newNode(use)
				w, count := newWatcher(e, node, io.Discard)
				defer w.Close()
				w.Sync([]placement.Engine{target})
				time.Sleep(3 * time.Second)
				if !cached(node) {
					t.Fatal("the part is forgotten before any event")
				}
				e.set(func() { e.answers = []cachewatch.Answer{answer} })
				time.Sleep(2 * time.Second)
				synctest.Wait()
				told := w.TakeEvicted()
				peer.EvictFromPeer(time.Now(), history.Position{}, told)
				if cached(node) || cached(peer) || len(told) != 1 || count.forgotten != 1 {
					t.Errorf("the node still expects the part: %v, its peer: %v; told %v, counted %d", cached(node), cached(peer), told, count.forgotten)
				}
				e.set(func() {
					e.answers = []cachewatch.Answer{{Epoch: answer.Epoch, Next: 9, Events: []cachewatch.Event{{Part: part.ID, Kept: 4000}}}}
				})
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if back := node.TakeUses(); !cached(node) || len(back) != 1 || back[0] != use {
					t.Errorf("the part is back, expected: %v, told: %v", cached(node), back)
				}
			})
		})
	}
}

// TestCallsAreSpacedAndStopAtOnce checks that a busy engine gets no more calls than one every 300 ms,
// and none once it leaves or the watcher is closed.
func TestCallsAreSpacedAndStopAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{answers: make([]cachewatch.Answer, 1000)}
		w, count := newWatcher(e, newNode(), io.Discard)
		w.Sync([]placement.Engine{target})
		time.Sleep(9 * time.Second)
		w.Sync([]placement.Engine{target}) // The same engine is not watched anew.
		time.Sleep(time.Second)
		synctest.Wait()
		if n := len(e.calls); n < 20 || n > 34 {
			t.Errorf("%d calls in 10 s, want at most one in 300 ms", n)
		}
		for i, at := range e.calls[1:] {
			if at.Sub(e.calls[i]) < 300*time.Millisecond {
				t.Errorf("%v between two calls", at.Sub(e.calls[i]))
			}
		}
		e.set(func() { e.answers = nil })
		time.Sleep(2 * time.Second)
		w.Stop(target.ID)
		synctest.Wait()
		n := len(e.calls)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if len(e.calls) != n || e.held != 0 || count.watched != 0 {
			t.Errorf("%d calls after the engine left, %d held, %d watched", len(e.calls)-n, e.held, count.watched)
		}
		w.Sync([]placement.Engine{target})
		w.Close()
		w.Sync([]placement.Engine{target})
		if count.watched != 0 {
			t.Error("a closed watcher still watches")
		}
	})
}

// TestManyEnginesShareTheCalls guards against a node that calls the engines of its hall more than 60
// times a second at the design size, and against engines that it leaves out. The one with a part in use
// comes first.
func TestManyEnginesShareTheCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{answers: make([]cachewatch.Answer, 10_000), addresses: map[string][]time.Time{}}
		node := newNode()
		w, count := newWatcher(e, node, io.Discard)
		var engines []placement.Engine
		for i := range 270 {
			each := target
			each.ID, each.Address = fmt.Sprint("e", i), fmt.Sprint("e:", i)
			node.Set(each)
			engines = append(engines, each)
		}
		used := engines[len(engines)-1]
		node.UpdatePeer(time.Now(), "sender", history.Position{}, nil, []placement.Use{{Engine: used.ID, Part: part.ID}})
		began := time.Now()
		for range 80 {
			w.Sync(engines)
			time.Sleep(250 * time.Millisecond)
		}
		w.Close()
		for i := 60; i < len(e.calls); i++ {
			if apart := e.calls[i].Sub(e.calls[i-60]); apart < time.Second {
				t.Fatalf("61 calls within %v", apart)
			}
		}
		for _, each := range engines {
			if n := len(e.addresses[each.Address]); n < 3 {
				t.Fatalf("%s got %d calls in 20 s, want one in 5 s", each.ID, n)
			}
		}
		if first := e.addresses[used.Address][0].Sub(began); first > 400*time.Millisecond {
			t.Errorf("the engine with a part in use is first called after %v", first)
		}
		if count.watched != 0 {
			t.Errorf("%d engines are still watched", count.watched)
		}
	})
}

// TestWatcherIsReplacedWithinASecond checks that the engine is called again within a second after
// another node has noticed that the one which watched it is gone, also if both watched for a while:
// the engine then refuses one of them.
func TestWatcherIsReplacedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		a, _ := newWatcher(e, newNode(), io.Discard)
		b, _ := newWatcher(e, newNode(), io.Discard)
		a.Sync([]placement.Engine{target})
		time.Sleep(5 * time.Second)
		b.Sync([]placement.Engine{target}) // b no longer hears a.
		time.Sleep(100 * time.Millisecond)
		a.Close()
		gone := time.Now()
		time.Sleep(4 * time.Second)
		defer b.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, at := range e.calls {
			if at.After(gone) {
				if at.Sub(gone) > time.Second {
					t.Errorf("no call for %v", at.Sub(gone))
				}
				return
			}
		}
		t.Error("no call after the first watcher was gone")
	})
}

// TestFailuresAreLoggedOnce checks that operators see when watching fails and when it works again, in
// few lines however many calls fail, and that the guess stays.
func TestFailuresAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		node := newNode()
		var log bytes.Buffer
		w, count := newWatcher(e, node, &log)
		var engines []placement.Engine
		for i := range 60 {
			each := target
			each.ID += strings.Repeat("x", i)
			engines = append(engines, each)
			node.Set(each)
		}
		e.set(func() { e.broken = true })
		w.Sync(engines)
		time.Sleep(25 * time.Second)
		node.UpdatePeer(time.Now(), "sender", history.Position{}, nil, []placement.Use{{Engine: target.ID, Part: part.ID}})
		time.Sleep(5 * time.Second)
		if !cached(node) {
			t.Error("failures change what is expected to be cached")
		}
		failed := 0
		e.set(func() { failed, e.broken, e.answers = e.refused, false, make([]cachewatch.Answer, 1000) })
		time.Sleep(6 * time.Second)
		w.Close()
		lost, again := strings.Count(log.String(), "cannot read cache events"), strings.Count(log.String(), "are read again")
		if lost == 0 || lost > 10+3 || again != lost {
			t.Errorf("%d lines of %d failures and %d lines that they are over, want at most 10 and one in 10 s", lost, failed, again)
		}
		if count.failed < failed || failed > 60*12 {
			t.Errorf("%d of %d failures counted, want at most 12 from each engine in 30 s", count.failed, failed)
		}
	})
}
