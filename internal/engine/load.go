// Package engine meets model engines and backend servers: it reads their load
// reports, runs requests on them and gives them fenced orders. It is the only
// package that knows their protocol.
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
)

const (
	// loadEvery is how often each watched engine's report is read.
	loadEvery = 500 * time.Millisecond

	// loadTimeout bounds one reading.
	loadTimeout = time.Second

	// maxLoadBytes bounds a report.
	maxLoadBytes = 1 << 16
)

type (
	// Load is what an engine reports of itself; it lags behind.
	Load struct {
		Running int  `json:"running"`
		Waiting int  `json:"waiting"`
		Leaving bool `json:"leaving"`
	}

	// Watcher reads the load reports of some engines.
	Watcher struct {
		http *http.Client

		mu      sync.Mutex
		engines []*config.Engine
		loads   map[string]Load
	}
)

// NewWatcher returns a watcher of no engines.
func NewWatcher() *Watcher {
	return &Watcher{
		http:  &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		loads: map[string]Load{},
	}
}

// Watch sets the engines whose reports are read.
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

// Load returns an engine's last report, or zero where there is none.
func (w *Watcher) Load(engine string) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads[engine]
}

// Leaving reports whether an engine says that it is leaving.
func (w *Watcher) Leaving(engine string) bool { return w.Load(engine).Leaving }

// Run reads reports until the context ends, and waits for readings in flight.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer w.http.CloseIdleConnections()
	defer wg.Wait()
	tick := time.NewTicker(loadEvery)
	defer tick.Stop()
	for {
		w.mu.Lock()
		engines := w.engines
		w.mu.Unlock()
		for _, e := range engines {
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.read(ctx, e)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// read takes one engine's report; one that can't be read changes nothing.
func (w *Watcher) read(ctx context.Context, e *config.Engine) {
	load, err := w.fetch(ctx, e.Address)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads[e.Name] = load
}

// fetch gets the report at an address.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load); err != nil {
		return load, fmt.Errorf("decode load: %w", err)
	}
	return load, nil
}
