package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

type (
	// report is a load report with its time.
	report struct {
		at   time.Time
		load load
	}

	// load is the published report.
	load struct {
		Running int  `json:"running"`
		Waiting int  `json:"waiting"`
		Leaving bool `json:"leaving"`
	}
)

// noteLoad keeps load reports for as long as the lag; the caller holds the lock.
func (e *Engine) noteLoad() {
	now := time.Now()
	e.reports = append(e.reports, report{now, load{len(e.running), len(e.waiting), e.faults.Leaving}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.opts.LoadLag {
		e.reports = e.reports[1:]
	}
}

// handleLoad tells the load as it was a while ago.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLoad()
	l := e.reports[0].load
	l.Leaving = e.faults.Leaving
	json.NewEncoder(w).Encode(l)
}
