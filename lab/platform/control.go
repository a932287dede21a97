package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
)

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
