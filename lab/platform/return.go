package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eraWriter adds the era at the time of the answer to its headers. The handler may hold the platform's lock.
type eraWriter struct {
	http.ResponseWriter
	platform *Platform
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.Header().Set("Store-Era", strconv.FormatInt(w.platform.eraShown.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// handleReturn makes the store come back from a copy.
func (p *Platform) handleReturn(w http.ResponseWriter, r *http.Request) {
	var back Return
	if err := json.NewDecoder(r.Body).Decode(&back); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.GoBack(time.Now().Add(-time.Duration(back.LoseMs) * time.Millisecond))
}

// GoBack makes the store come back from a copy of a time: transactions since are lost, their versions are given out
// again, and a new era begins.
func (p *Platform) GoBack(to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range slices.Backward(p.undo) {
		if u.at.Before(to) {
			break
		}
		p.undo = p.undo[:len(p.undo)-1]
		p.version = u.version
		if u.before.Version == 0 {
			delete(p.rows, u.name)
		} else {
			p.rows[u.name] = u.before
		}
	}
	p.changes = slices.DeleteFunc(p.changes, func(c row) bool { return c.Version > p.version })
	p.floor = min(p.floor, p.version)
	p.eraShown.Add(1)
	close(p.changed)
	p.changed = make(chan struct{})
}

// recordUndo records what a transaction will replace; the caller holds the lock.
func (p *Platform) recordUndo(now time.Time, lists ...[]row) {
	for _, list := range lists {
		for _, r := range list {
			p.undo = append(p.undo, undo{at: now, version: p.version, name: name(r), before: p.rows[name(r)]})
		}
	}
	p.undo = p.undo[max(0, len(p.undo)-keptUndo):]
}
