package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	cacheEventsPath = "/-/kv-events"

	// cacheEventsHold is how long a call for cache events is held.
	cacheEventsHold = 300 * time.Millisecond
)

// serveCacheEvents answers a call for cache events: by turns that nothing happened, that a part was
// evicted, that events were lost, and a failure. Each start of the engine has its own epoch.
func (e *engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
		return
	case <-time.After(cacheEventsHold):
	}
	turn := e.cacheCalls.Add(1)
	answer := struct {
		Epoch  int64   `json:"epoch"`
		Next   int64   `json:"next_token"`
		Lost   bool    `json:"lost"`
		Events [][]any `json:"events"`
	}{Epoch: e.startedAt.Load(), Next: turn, Lost: turn%7 == 0}
	switch turn % 5 {
	case 1:
		answer.Events = [][]any{{turn, "-", "", fmt.Sprint("a", turn%9), 0, "m"}}
	case 2:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeSlowdown reports a load with the slowdown of the engine, which changes with each request.
func (e *engine) writeSlowdown(w http.ResponseWriter) {
	w.Header().Set("Server-Load", "1,0,8,"+strconv.FormatInt(100+150*(e.received.Load()%3/2), 10))
}

// checkTransfer checks where a request copies cached parts from: it records a violation if a request is to copy cached parts although the pool is not
// interactive, or from the engine that it was sent to.
func (e *engine) checkTransfer(r *http.Request, id string) {
	source := r.Header.Get("Kv-Fetch")
	if source != "" && (!e.interactive || source == e.listener.Addr().String()) {
		e.ledger.recordViolation(fmt.Sprintf("request %s at engine %s copies cached parts from %s", id, e.id, source))
	}
}
