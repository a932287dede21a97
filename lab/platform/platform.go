// Package platform is a small stand-in of the platform: a transactional table,
// an object store and a lagging list of instances, with outages, slowness, lost
// acknowledgements and rate limits on command.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

type (
	// row is one row of the table.
	row struct {
		Key     string          `json:"key"`
		Value   json.RawMessage `json:"value,omitempty"`
		Version int             `json:"version"`
	}

	// Faults are what the control port sets.
	Faults struct {
		Down     bool `json:"down"`      // Down answers everything with 503.
		SlowMs   int  `json:"slow_ms"`   // SlowMs delays every answer.
		LoseAcks int  `json:"lose_acks"` // LoseAcks is how many of the next writes take effect without an answer.
		LagMs    int  `json:"lag_ms"`    // LagMs is how far the list of instances lags behind.
	}

	// Counts tells what the platform was asked.
	Counts struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
	}

	// Platform serves the stand-in.
	Platform struct {
		mu        sync.Mutex
		rows      map[string]row
		objects   map[string][]byte
		instances json.RawMessage
		shownAt   time.Time
		shown     json.RawMessage
		faults    Faults
		counts    Counts
		reads     *rate.Limiter
		writes    *rate.Limiter
	}
)

// New returns a platform with limits in reads and writes a second.
func New(readsPerSecond, writesPerSecond float64) *Platform {
	return &Platform{
		rows: map[string]row{}, objects: map[string][]byte{}, instances: json.RawMessage("[]"), shown: json.RawMessage("[]"),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), int(readsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond)),
	}
}

// Handler returns the HTTP handler, control port included.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows", p.faulty(p.handleRows))
	mux.HandleFunc("POST /v1/transact", p.faulty(p.handleTransact))
	mux.HandleFunc("GET /v1/instances", p.faulty(p.handleInstances))
	mux.HandleFunc("GET /v1/objects/{name...}", p.faulty(p.handleGetObject))
	mux.HandleFunc("PUT /v1/objects/{name...}", p.faulty(p.handlePutObject))
	mux.HandleFunc("POST /control/faults", p.handleFaults)
	mux.HandleFunc("POST /control/instances", p.handleSetInstances)
	mux.HandleFunc("GET /control/counts", p.handleCounts)
	return mux
}

// faulty wraps a handler in the faults that are set.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		limiter := p.reads
		if r.Method == http.MethodGet {
			p.counts.Reads++
		} else {
			p.counts.Writes++
			limiter = p.writes
		}
		p.mu.Unlock()
		if f.SlowMs > 0 {
			time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		}
		switch {
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case !limiter.Allow():
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		default:
			next(w, r)
		}
	}
}

// handleRows reads one row by key, or rows by prefix.
func (p *Platform) handleRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []row{}
	if key := q.Get("key"); key != "" {
		if found, ok := p.rows[key]; ok {
			out = append(out, found)
		}
		answer(w, http.StatusOK, out)
		return
	}
	for key, found := range p.rows {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			out = append(out, found)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil && len(out) > limit {
		out = out[:limit]
	}
	answer(w, http.StatusOK, out)
}

// handleTransact checks and writes rows, all or none.
func (p *Platform) handleTransact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Checks []row `json:"checks"`
		Puts   []row `json:"puts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var conflicts []row
	for _, c := range txn.Checks {
		if have := p.rows[c.Key]; have.Version != c.Version {
			have.Key = c.Key
			conflicts = append(conflicts, have)
		}
	}
	if len(conflicts) > 0 {
		answer(w, http.StatusConflict, conflicts)
		return
	}
	for _, put := range txn.Puts {
		if put.Value == nil {
			delete(p.rows, put.Key)
			continue
		}
		p.rows[put.Key] = row{Key: put.Key, Value: put.Value, Version: p.rows[put.Key].Version + 1}
	}
	if p.faults.LoseAcks > 0 {
		p.faults.LoseAcks--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// handleInstances shows the list of instances as it was a while ago.
func (p *Platform) handleInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.shownAt) >= time.Duration(p.faults.LagMs)*time.Millisecond {
		p.shown, p.shownAt = p.instances, time.Now()
	}
	answer(w, http.StatusOK, p.shown)
}

// handleSetInstances sets the list of instances.
func (p *Platform) handleSetInstances(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(body) {
		http.Error(w, "not JSON", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = body
}

// handleGetObject reads an object.
func (p *Platform) handleGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Write(body)
}

// handlePutObject writes an object.
func (p *Platform) handlePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = body
}

// handleFaults sets the faults.
func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// handleCounts tells what was asked.
func (p *Platform) handleCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer(w, http.StatusOK, p.counts)
}

// answer writes a document.
func answer(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(doc)
}
