// Package platform is a small stand-in of the users' platform: a transactional
// store of tables with a feed of changes, and objects, with outages, slowness,
// lost acknowledgements, deaf feeds, lost history and rate limits on command.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// tableInstances holds the list of instances that a run sets.
	tableInstances = "croftturn-instances"

	// keptChanges is how many changes the feed remembers.
	keptChanges = 4096

	// keptUndo is how many of the newest changes can be lost when the store comes back from a copy.
	keptUndo = 1 << 15
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
		PageMs   int  `json:"page_ms"`   // PageMs delays every page of rows but the first.
		LoseAcks int  `json:"lose_acks"` // LoseAcks is how many of the next writes take effect without an answer.
		LagMs    int  `json:"lag_ms"`    // LagMs is how far the list of instances lags behind.
		Deaf     bool `json:"deaf"`      // Deaf lets feeds hear nothing until their calls end.
		Forget   bool `json:"forget"`    // Forget drops the history of changes, once.
		OddRow   bool `json:"odd_row"`   // OddRow adds a row to each list of the engines whose value is no text but nested deeply.
		ClockMs  int  `json:"clock_ms"`  // ClockMs is added to the steady clock, which then is not steady.
	}

	// Return makes the store come back from a copy, an era later.
	Return struct {
		LoseMs int `json:"lose_ms"` // LoseMs is how old the copy is: transactions since are lost.
	}

	// undo is what a change replaced.
	undo struct {
		at      time.Time
		version int64 // version is that before the transaction.
		name    rowName
		before  row // before has version 0 if there was no row.
	}

	// Counts tells what the platform was asked.
	Counts struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
	}

	// Platform serves the stand-in.
	Platform struct {
		PageRows int // PageRows is the most rows of an answer; 0 for as many as asked for. It is set before the first call.

		mu       sync.Mutex
		rows     map[rowName]row
		changes  []row
		version  int64         // version counts transactions
		floor    int64         // floor is the version up to which changes are forgotten
		eraShown atomic.Int64  // eraShown counts the returns
		undo     []undo        // undo holds what the newest changes replaced, the newest last
		changed  chan struct{} // changed is closed and replaced at each transaction
		objects  map[string][]byte
		shown    []row // shown is the list of instances as it is told
		shownAt  time.Time
		faults   Faults
		counts   Counts
		duties   []DutyCall
		reads    *rate.Limiter
		writes   *rate.Limiter
		started  time.Time
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
	mux.HandleFunc("POST /usage", p.handleUsage)
	mux.HandleFunc("POST /control/faults", p.handleFaults)
	mux.HandleFunc("POST /control/return", p.handleReturn)
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
		w = &eraWriter{ResponseWriter: w, platform: p}
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

// nowMs returns the steady clock that answers tell; the caller holds the lock.
func (p *Platform) nowMs() int64 {
	return time.Since(p.started).Milliseconds() + int64(p.faults.ClockMs)
}

// answer writes a document.
func answer(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(doc)
}
