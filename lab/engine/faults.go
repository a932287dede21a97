package engine

import (
	"encoding/json"
	"net/http"
	"os"
)

// Faults are what the control port sets.
type Faults struct {
	Slow       float64 `json:"slow"`         // Slow multiplies the step time; 0 means 1.
	Leaving    bool    `json:"leaving"`      // Leaving says so in the load report; new work is taken all the same.
	BreakAfter int     `json:"break_after"`  // BreakAfter cuts each stream after so many tokens; 0 for never.
	Malformed  int     `json:"malformed"`    // Malformed sends a broken event after so many tokens; 0 for never.
	StallAfter int     `json:"stall_after"`  // StallAfter sends nothing more after so many tokens; 0 for never.
	BreakAtEnd bool    `json:"break_at_end"` // BreakAtEnd cuts each stream between its last token and its end.
	Crash      bool    `json:"crash"`        // Crash ends the process at once.
}

// handleFaults sets the faults.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Crash {
		os.Exit(1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}
