//go:build review

package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	historyKept  = 20 * time.Second
	answerTime   = 4 * time.Millisecond
	writeTime    = 8 * time.Millisecond
)

type (
	// Row is a row of the platform's store.
	Row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"tls_key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Deleted bool   `json:"tombstone,omitempty"`
	}

	rowName struct{ table, part, key string }

	change struct {
		Row
		at time.Time
	}

	// Store is a stand-in of the platform's store: rows, transactions and feeds, as the pages tell them.
	Store struct {
		Address string

		mu      sync.Mutex
		rows    map[rowName]Row
		changes []change
		floor   int64
		version int64
		changed chan struct{}
		started time.Time
		gets    map[string]int
	}
)

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), rows: map[rowName]Row{}, changed: make(chan struct{}), started: time.Now(), gets: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	go http.Serve(l, mux)
	return s, nil
}

// Put writes one row and returns its version and the time of the acknowledgement.
func (s *Store) Put(table, key string, doc any) (int64, time.Time) {
	value, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return s.write([]Row{{Table: table, Key: key, Value: value}}, nil)
}

// Remove removes one row.
func (s *Store) Remove(table, key string) (int64, time.Time) {
	return s.write(nil, []Row{{Table: table, Key: key}})
}

// write applies one transaction.
func (s *Store) write(puts, drops []Row) (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(puts, drops)
}

func (s *Store) writeLocked(puts, drops []Row) (int64, time.Time) {
	now := time.Now()
	s.version++
	for _, r := range puts {
		r.Version, r.Deleted = s.version, false
		s.rows[rowName{r.Table, r.Part, r.Key}] = r
		s.changes = append(s.changes, change{r, now})
	}
	for _, r := range drops {
		name := rowName{r.Table, r.Part, r.Key}
		if _, ok := s.rows[name]; !ok {
			continue
		}
		delete(s.rows, name)
		s.changes = append(s.changes, change{Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}, now})
	}
	old := 0
	for old < len(s.changes) && now.Sub(s.changes[old].at) > historyKept {
		s.floor = s.changes[old].Version
		old++
	}
	s.changes = s.changes[old:]
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, now
}

// Gets returns how many pages of a table were read.
func (s *Store) Gets(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gets[table]
}

func (s *Store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func reply(w http.ResponseWriter, status int, doc any) {
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// get answers rows as of one moment, with keys rising by bytes.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	s.gets[q.Get("table")]++
	var rows []Row
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("target_version") == "" || name.key < q.Get("target_version")) {
			rows = append(rows, row)
		}
	}
	doc := map[string]any{"ver": s.version, "now_ms": s.nowMs()}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= maxPageBytes) {
		size += len(rows[n].Value)
		n++
	}
	doc["rows"], doc["has_more"] = append([]Row{}, rows[:n]...), n < len(rows)
	reply(w, http.StatusOK, doc)
}

// feed answers what changed in a table after a version, as soon as there is something.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since_revision"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.floor {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"now_ms": s.nowMs()})
			return
		}
		rows := []Row{}
		newest := map[string]int{}
		for _, c := range s.changes {
			if c.Table != q.Get("table") || c.Version <= since {
				continue
			}
			if at, ok := newest[c.Part+"\x00"+c.Key]; ok {
				rows[at].Version = 0
			}
			newest[c.Part+"\x00"+c.Key] = len(rows)
			rows = append(rows, c.Row)
		}
		rows = slices.DeleteFunc(rows, func(r Row) bool { return r.Version == 0 })
		doc := map[string]any{"rows": rows, "ver": s.version, "now_ms": s.nowMs()}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, doc)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, doc)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transact does all or nothing.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []Row `json:"expected_revision"`
		Puts   []Row `json:"puts"`
		Remove []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(append([]Row{}, body.Puts...), body.Remove...) {
		if p.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	now := []Row{}
	conflict := false
	for _, e := range body.Expect {
		present := s.rows[rowName{e.Table, e.Part, e.Key}]
		if present.Version != e.Version {
			conflict = true
		}
		present.Table, present.Part, present.Key = e.Table, e.Part, e.Key
		now = append(now, present)
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": now, "ver": s.version, "now_ms": s.nowMs()})
		return
	}
	version, _ := s.writeLocked(body.Puts, body.Remove)
	reply(w, http.StatusOK, map[string]any{"ver": version, "now_ms": s.nowMs()})
}
