package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// tableEngines holds the entries of engines.
const tableEngines = "servers"

// handleRows reads the rows of a part of a table by key.
func (p *Platform) handleRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target_version")
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait := time.Duration(p.faults.PageMs) * time.Millisecond; from != "" && wait > 0 {
		p.mu.Unlock()
		time.Sleep(wait)
		p.mu.Lock()
	}
	list := p.list(table, part)
	out := []row{}
	for _, found := range list {
		if found.Key >= from && (to == "" || found.Key < to) {
			out = append(out, found)
		}
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	if p.PageRows > 0 && (err != nil || limit > p.PageRows) {
		limit, err = p.PageRows, nil
	}
	more := err == nil && len(out) > limit
	if more {
		out = out[:limit]
	}
	doc := map[string]any{"rows": out, "has_more": more, "ver": p.version, "now_ms": p.nowMs()}
	if p.faults.OddRow && table == tableEngines {
		answerWithOddRow(w, doc)
		return
	}
	answer(w, http.StatusOK, doc)
}

// answerWithOddRow answers with a list whose first row is odd.
func answerWithOddRow(w http.ResponseWriter, doc map[string]any) {
	const depth = 20_000
	odd := fmt.Sprintf(`"rows":[{"table":%q,"part":"","tls_key":"!odd","ver":1,"value":%s%s},`, tableEngines, strings.Repeat("[", depth), strings.Repeat("]", depth))
	var text strings.Builder
	_ = json.NewEncoder(&text).Encode(doc) // A builder takes everything.
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, strings.Replace(text.String(), `"rows":[{`, odd+"{", 1))
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
	if after < p.floor || after > p.version {
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
	p.recordUndo(time.Now(), puts, deletes)
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
