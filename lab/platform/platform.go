// Package platform is a small stand-in of the users' platform: a transactional
// store of tables with a feed of changes, and objects, with outages, slowness,
// lost acknowledgements, deaf feeds, lost history and rate limits on command.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// tableInstances holds the list of instances that a run sets.
	tableInstances = "croftturn-instances"

	// keptChanges is how many changes the feed remembers.
	keptChanges = 4096
)

type (
	// row is a row of a table, or a condition on one.
	row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"tls_key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Deleted bool   `json:"tombstone,omitempty"`
	}

	// rowName tells rows apart.
	rowName struct{ table, part, key string }

	// Faults are what the control port sets.
	Faults struct {
		Down     bool `json:"down"`      // Down answers everything with 503.
		SlowMs   int  `json:"slow_ms"`   // SlowMs delays every answer.
		LoseAcks int  `json:"lose_acks"` // LoseAcks is how many of the next writes take effect without an answer.
		LagMs    int  `json:"lag_ms"`    // LagMs is how far the list of instances lags behind.
		Deaf     bool `json:"deaf"`      // Deaf lets feeds hear nothing until their calls end.
		Forget   bool `json:"forget"`    // Forget drops the history of changes, once.
	}

	// Counts tells what the platform was asked.
	Counts struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
	}

	// Platform serves the stand-in.
	Platform struct {
		mu      sync.Mutex
		rows    map[rowName]row
		changes []row
		version int64         // version counts transactions
		floor   int64         // floor is the version up to which changes are forgotten
		changed chan struct{} // changed is closed and replaced at each transaction
		objects map[string][]byte
		shown   []row // shown is the list of instances as it is told
		shownAt time.Time
		faults  Faults
		counts  Counts
		reads   *rate.Limiter
		writes  *rate.Limiter
		started time.Time
	}
)

// New returns a platform with limits in reads and writes a second.
func New(readsPerSecond, writesPerSecond float64) *Platform {
	return &Platform{
		rows: map[rowName]row{}, objects: map[string][]byte{}, changed: make(chan struct{}), started: time.Now(),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), int(readsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond)),
	}
}

// Handler returns the HTTP handler, control port included.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", p.faulty(p.handleRows))
	mux.HandleFunc("GET /-/rows-feed", p.faulty(p.handleFeed))
	mux.HandleFunc("POST /-/rows-tx", p.faulty(p.handleTransact))
	mux.HandleFunc("GET /-/blob-get/{name...}", p.faulty(p.handleGetObject))
	mux.HandleFunc("PUT /-/blob-put/{name...}", p.faulty(p.handlePutObject))
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

// nowMs returns the steady clock that answers tell.
func (p *Platform) nowMs() int64 { return time.Since(p.started).Milliseconds() }

// handleRows reads the rows of a part of a table by key.
func (p *Platform) handleRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target_version")
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.list(table, part)
	out := []row{}
	for _, found := range list {
		if found.Key >= from && (to == "" || found.Key < to) {
			out = append(out, found)
		}
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	more := err == nil && len(out) > limit
	if more {
		out = out[:limit]
	}
	answer(w, http.StatusOK, map[string]any{"rows": out, "has_more": more, "ver": p.version, "now_ms": p.nowMs()})
}

// list returns the rows of a part of a table in the order of their keys; the list
// of instances is shown as it was a while ago.
func (p *Platform) list(table, part string) []row {
	if table == tableInstances && time.Since(p.shownAt) < time.Duration(p.faults.LagMs)*time.Millisecond {
		return p.shown
	}
	var out []row
	for name, found := range p.rows {
		if name.table == table && name.part == part {
			out = append(out, found)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if table == tableInstances {
		p.shown, p.shownAt = out, time.Now()
	}
	return out
}

// handleFeed answers the changes of a table after a version, when there are some.
func (p *Platform) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("since_revision"), 10, 64)
	if err != nil {
		http.Error(w, "since_revision is not a number", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		p.mu.Lock()
		out, gone := p.since(q.Get("table"), after)
		version, now, changed, deaf := p.version, p.nowMs(), p.changed, p.faults.Deaf
		p.mu.Unlock()
		switch {
		case gone:
			http.Error(w, "history is gone", http.StatusGone)
			return
		case over || len(out) > 0 && !deaf:
			answer(w, http.StatusOK, map[string]any{"rows": out, "ver": version, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a table after a version, and whether these are forgotten.
func (p *Platform) since(table string, after int64) (out []row, gone bool) {
	if after < p.floor {
		return nil, true
	}
	out = []row{}
	for _, c := range p.changes {
		if c.Table == table && c.Version > after {
			out = append(out, c)
		}
	}
	return out, false
}

// handleTransact checks and writes rows, all or none.
func (p *Platform) handleTransact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []row `json:"expected_revision"`
		Put    []row `json:"puts"`
		Delete []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var conflicts []row
	for _, c := range txn.Expect {
		if have := p.rows[name(c)]; have.Version != c.Version {
			c.Version, c.Value = have.Version, have.Value
			conflicts = append(conflicts, c)
		}
	}
	if len(conflicts) > 0 {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": conflicts, "ver": p.version, "now_ms": p.nowMs()})
		return
	}
	p.write(txn.Put, txn.Delete)
	if p.faults.LoseAcks > 0 {
		p.faults.LoseAcks--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]any{"ver": p.version, "now_ms": p.nowMs()})
}

// name returns what tells a row apart.
func name(r row) rowName { return rowName{r.Table, r.Part, r.Key} }

// write writes and deletes rows as one transaction.
func (p *Platform) write(puts, deletes []row) {
	p.version++
	for _, r := range puts {
		r.Version = p.version
		p.rows[name(r)] = r
		p.changes = append(p.changes, r)
	}
	for _, r := range deletes {
		delete(p.rows, name(r))
		p.changes = append(p.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: p.version, Deleted: true})
	}
	if extra := len(p.changes) - keptChanges; extra > 0 {
		p.floor = p.changes[extra-1].Version
		p.changes = append([]row(nil), p.changes[extra:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// handleSetInstances sets the list of instances.
func (p *Platform) handleSetInstances(w http.ResponseWriter, r *http.Request) {
	var list []json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var puts, deletes []row
	for i, text := range list {
		puts = append(puts, row{Table: tableInstances, Key: fmt.Sprintf("%06d", i), Value: text})
	}
	for n, old := range p.rows {
		if n.table == tableInstances && n.key >= fmt.Sprintf("%06d", len(list)) {
			deletes = append(deletes, old)
		}
	}
	p.write(puts, deletes)
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
	if f.Forget {
		p.faults.Forget = false
		p.floor, p.changes = p.version, nil
	}
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
