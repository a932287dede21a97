//go:build review

package fleet2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	maxRows     = 500 // maxRows is the most rows of an answer.
	maxEntries  = 100 // maxEntries is the most entries of a transaction.
	keptChanges = 1 << 14
)

type (
	// storeRow is a row as the store tells it.
	storeRow struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"tls_key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Deleted bool   `json:"tombstone,omitempty"`
	}

	rowName struct{ table, part, key string }

	// store is the platform's metadata store, as far as the system uses it.
	store struct {
		mu      sync.Mutex
		begin   time.Time
		rows    map[rowName]storeRow
		changes []storeRow
		floor   int64
		version int64
		changed chan struct{}
	}
)

func newStore() *store {
	return &store{begin: time.Now(), rows: map[rowName]storeRow{}, changed: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /-/rows-get":
		s.get(w, r)
	case "GET /-/rows-feed":
		s.feed(w, r)
	case "POST /-/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) nowMs() int64 { return time.Since(s.begin).Milliseconds() }

func tell(w http.ResponseWriter, status int, doc map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc) // The caller may have left.
}

// get reads rows as of one moment.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storeRow{}
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("target_version") == "" || name.key < q.Get("target_version")) {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	tell(w, http.StatusOK, map[string]any{"rows": out, "has_more": more, "ver": s.version, "now_ms": s.nowMs()})
}

// feed answers what has changed in a table, as soon as there is something.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseInt(q.Get("since_revision"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		out, gone, changed := []storeRow{}, since < s.floor, s.changed
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.Version > since {
				out = append(out, c)
			}
		}
		doc := map[string]any{"rows": out, "ver": s.version, "now_ms": s.nowMs()}
		s.mu.Unlock()
		switch {
		case gone:
			http.Error(w, "that history is gone", http.StatusGone)
			return
		case over || len(out) > 0:
			tell(w, http.StatusOK, doc)
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

// transact does all or nothing.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect  []storeRow `json:"expected_revision"`
		Puts    []storeRow `json:"puts"`
		Removes []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Expect)+len(tx.Puts)+len(tx.Removes) > maxEntries {
		http.Error(w, "bad transaction", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var differ []storeRow
	for _, e := range tx.Expect {
		if have := s.rows[rowName{e.Table, e.Part, e.Key}]; have.Version != e.Version {
			differ = append(differ, storeRow{Table: e.Table, Part: e.Part, Key: e.Key, Value: have.Value, Version: have.Version})
		}
	}
	if len(differ) > 0 {
		tell(w, http.StatusPreconditionFailed, map[string]any{"rows": differ, "ver": s.version, "now_ms": s.nowMs()})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.rows[rowName{p.Table, p.Part, p.Key}] = p
		s.changes = append(s.changes, p)
	}
	for _, d := range tx.Removes {
		name := rowName{d.Table, d.Part, d.Key}
		if _, ok := s.rows[name]; ok {
			delete(s.rows, name)
			s.changes = append(s.changes, storeRow{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
		}
	}
	if extra := len(s.changes) - keptChanges; extra > 0 {
		s.floor = s.changes[extra-1].Version
		s.changes = append([]storeRow(nil), s.changes[extra:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	tell(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.nowMs()})
}
