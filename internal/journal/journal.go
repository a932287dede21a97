// Package journal records a node's live requests and the most recently ended ones.
// Queries and explain statements are answered from it.
package journal

import (
	"sync"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/wire"
)

// maxEnded is the number of ended requests that are kept.
const maxEnded = 4096

// States of a request.
const (
	Queued    = "queued"
	Running   = "running"
	Completed = "completed"
	Refused   = "refused"
	Unknown   = "unknown"
	Cancelled = "cancelled"
)

type (
	// Journal records requests. It is safe for concurrent use.
	Journal struct {
		mu    sync.Mutex
		live  map[string]*Entry
		ended []*Entry // ended is a ring buffer of the latest ended requests.
		next  int
		index map[string]*Entry
	}

	// Entry is the record of one request.
	Entry struct {
		ID, Class, Team, Pool string
		Tier                  int
		State                 string
		Engine                string
		Reason                string
		Began, Ended          time.Time
		Steps                 []Step
	}

	// Step is one decision about a request.
	Step struct {
		At   time.Time
		Text string
	}
)

// New returns an empty journal.
func New() *Journal {
	return &Journal{live: map[string]*Entry{}, ended: make([]*Entry, maxEnded), index: map[string]*Entry{}}
}

// Begin records a new request as queued.
func (j *Journal) Begin(now time.Time, e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.State, e.Began = Queued, now
	j.live[e.ID] = &e
	j.index[e.ID] = &e
}

// Note records a step of a request and updates state and engine unless empty.
func (j *Journal) Note(now time.Time, id, state, engine, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.live[id]
	if e == nil {
		return
	}
	if state != "" {
		e.State = state
	}
	if engine != "" {
		e.Engine = engine
	}
	e.Steps = append(e.Steps, Step{At: now, Text: text})
}

// End moves a request to the ended ones with its final state and reason.
func (j *Journal) End(now time.Time, id, state, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.live[id]
	if e == nil {
		return
	}
	delete(j.live, id)
	e.State, e.Reason, e.Ended = state, reason, now
	if old := j.ended[j.next]; old != nil {
		delete(j.index, old.ID)
	}
	j.ended[j.next] = e
	j.next = (j.next + 1) % maxEnded
}

// Live returns the number of requests that have not ended.
func (j *Journal) Live() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.live)
}

// Rows returns the requests in a state. If since is above 0, ended requests are limited
// to those that ended within it.
func (j *Journal) Rows(now time.Time, state string, since time.Duration) []wire.Row {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []wire.Row
	for _, e := range j.live {
		if e.State == state {
			out = append(out, e.row(now))
		}
	}
	for _, e := range j.ended {
		if e != nil && e.State == state && (since <= 0 || now.Sub(e.Ended) <= since) {
			out = append(out, e.row(now))
		}
	}
	return out
}

// row converts an entry to a row.
func (e *Entry) row(now time.Time) wire.Row {
	return wire.Row{
		Name: e.ID, State: e.State, Class: e.Class, Tier: e.Tier, Team: e.Team, Pool: e.Pool, Engine: e.Engine,
		Reason: e.Reason, AtMs: int(clock.Wall(e.Began).UnixMilli()), AgeMs: int(now.Sub(e.Began).Milliseconds()),
	}
}

// Explain returns the steps of one request as rows, oldest first.
func (j *Journal) Explain(now time.Time, id string) []wire.Row {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.index[id]
	if e == nil {
		return nil
	}
	out := []wire.Row{}
	for _, s := range e.Steps {
		row := e.row(now)
		row.State, row.Reason = "", s.Text
		row.AtMs = int(s.At.Sub(e.Began).Milliseconds())
		out = append(out, row)
	}
	last := e.row(now)
	last.AtMs = last.AgeMs
	if !e.Ended.IsZero() {
		last.AtMs = int(e.Ended.Sub(e.Began).Milliseconds())
	}
	return append(out, last)
}
