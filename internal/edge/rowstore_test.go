package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// rowStore is the part of a fake store that keeps the rows which nodes write to tables of their own.
type rowStore struct {
	mu   sync.Mutex
	ver  int64
	rows map[string]storedRow // rows holds the rows by table and key.

	readOnly atomic.Bool // readOnly makes all writes fail.
}

// storedRow is a row as it goes over the wire.
type storedRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tls_key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
}

// serve answers a call that concerns rows of the nodes, and reports whether it did.
func (s *rowStore) serve(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows == nil {
		s.rows, s.ver = map[string]storedRow{}, 1000
	}
	table := r.URL.Query().Get("table")
	switch {
	case r.URL.Path == "/-/rows-tx" && s.readOnly.Load():
		http.Error(w, "read only", http.StatusServiceUnavailable)
	case r.URL.Path == "/-/rows-tx":
		s.transact(w, r)
	case r.URL.Path == "/-/rows-get" && strings.HasPrefix(table, "croftturn-"):
		var rows []storedRow
		for _, row := range s.rows {
			if row.Table == table {
				rows = append(rows, row)
			}
		}
		s.reply(w, http.StatusOK, rows)
	default:
		return false
	}
	return true
}

// has reports whether there is a row with a table and key.
func (s *rowStore) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.rows[name]
	return ok
}

// transact applies a transaction if the rows have the expected versions.
func (s *rowStore) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storedRow `json:"expected_revision"`
		Puts     []storedRow `json:"puts"`
		Remove   []storedRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range tx.Expected {
		if known := s.rows[row.Table+"/"+row.Key]; known.Ver != row.Ver {
			s.reply(w, http.StatusPreconditionFailed, []storedRow{known})
			return
		}
	}
	s.ver++
	for _, row := range tx.Puts {
		row.Ver = s.ver
		s.rows[row.Table+"/"+row.Key] = row
	}
	for _, row := range tx.Remove {
		delete(s.rows, row.Table+"/"+row.Key)
	}
	s.reply(w, http.StatusOK, nil)
}

// reply writes rows with the store's version and clock.
func (s *rowStore) reply(w http.ResponseWriter, status int, rows []storedRow) {
	text, err := json.Marshal(rows)
	if err != nil || rows == nil {
		text = []byte("[]")
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"rows":%s,"ver":%d,"now_ms":%d}`, text, s.ver, time.Now().UnixMilli())
}
