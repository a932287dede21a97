// Package engine is the client for model engines and backend servers: it polls
// their load reports, sends requests and sends orders with fencing tokens. It is
// the only package that implements their protocol.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/dial"
)

const (
	// loadInterval is the interval between polls of an engine's load report.
	loadInterval = 500 * time.Millisecond

	// loadTimeout bounds one poll.
	loadTimeout = time.Second

	// maxLoadBytes is the maximum size of a report.
	maxLoadBytes = 1 << 16
)

type (
	// Load is the load that an engine last reported; it may be outdated.
	Load struct {
		Running int  `json:"running"`
		Waiting int  `json:"waiting"`
		Leaving bool `json:"leaving"`
	}

	// Watcher polls the load reports of a set of engines.
	Watcher struct {
		http *http.Client

		mu      sync.Mutex
		engines []*config.Engine
		loads   map[string]Load
	}
)

// NewWatcher returns a Watcher without engines.
func NewWatcher() *Watcher {
	return &Watcher{
		http:  &http.Client{Timeout: loadTimeout, Transport: dial.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: dial.MaxHeadBytes})},
		loads: map[string]Load{},
	}
}

// Watch sets the engines to poll.
func (w *Watcher) Watch(engines []*config.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines = engines
	kept := make(map[string]Load, len(engines))
	for _, e := range engines {
		if l, ok := w.loads[e.Name]; ok {
			kept[e.Name] = l
		}
	}
	w.loads = kept
}

// Load returns an engine's last report, or zero if there is none.
func (w *Watcher) Load(engine string) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads[engine]
}

// Leaving reports whether an engine's last report says that it is leaving.
func (w *Watcher) Leaving(engine string) bool { return w.Load(engine).Leaving }

// Run polls until the context ends, then waits for polls in flight.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer w.http.CloseIdleConnections()
	defer wg.Wait()
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		w.mu.Lock()
		engines := w.engines
		w.mu.Unlock()
		for _, e := range engines {
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.poll(ctx, e)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// poll reads one engine's report; on error the last report is kept.
func (w *Watcher) poll(ctx context.Context, e *config.Engine) {
	load, err := w.fetch(ctx, e.Address)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads[e.Name] = load
}

// fetch requests the report from an address.
func (w *Watcher) fetch(ctx context.Context, address string) (Load, error) {
	var load Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return load, fmt.Errorf("build load request: %w", err)
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return load, fmt.Errorf("read load: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return load, fmt.Errorf("status %d: %w", resp.StatusCode, ErrBroken)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load); err != nil {
		return load, fmt.Errorf("decode load: %w", err)
	}
	return load, nil
}
