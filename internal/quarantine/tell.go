package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostTold is how many records are told in one message: about 5 KB.
	mostTold = 64

	// sameAnswer is how far apart two whole answers are told of that may be one: each message on its way makes it seem
	// later, and what is told again and again would grow as young as the ends after it.
	sameAnswer = time.Second
)

type (
	// Told is what a node tells its peers of one request.
	Told struct {
		_             struct{} `cbor:",toarray"`
		Fingerprint   uint64
		Team, Route   string
		Ends          []ToldEnd
		AnsweredAgeMs int64         // AnsweredAgeMs is how long ago it was answered whole; -1 if that is not known.
		Age           time.Duration `cbor:"-"` // Age is how long ago the sender learned the newest of it; it is not sent.
	}

	// ToldEnd is an engine's end under a request.
	ToldEnd struct {
		_      struct{} `cbor:",toarray"`
		Engine string
		AgeMs  int64
	}
)

// Tell returns what peers should know: what was learned within a time, and all requests that are
// held. The newest come first.
func (q *Quarantine) Tell(now time.Time, news time.Duration) []Told {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forgetOld(now)
	var out []Told
	for f, r := range q.records {
		if age := now.Sub(r.changed); age <= news || r.isHeld() {
			out = append(out, r.told(now, f, age))
		}
	}
	slices.SortFunc(out, func(a, b Told) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), mostTold)]
}

// told returns what is told of a record.
func (r *record) told(now time.Time, f Fingerprint, age time.Duration) Told {
	t := Told{Fingerprint: uint64(f), Team: r.Team, Route: r.Route, AnsweredAgeMs: -1, Age: age}
	for _, e := range r.ends {
		t.Ends = append(t.Ends, ToldEnd{Engine: e.Engine, AgeMs: now.Sub(e.At).Milliseconds()})
	}
	if !r.answered.IsZero() {
		t.AnsweredAgeMs = now.Sub(r.answered).Milliseconds()
	}
	return t
}

// Hear takes what a peer tells. What it has not known itself it tells on.
func (q *Quarantine) Hear(now time.Time, list []Told) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range list {
		f, s := Fingerprint(t.Fingerprint), Subject{Team: t.Team, Route: t.Route}
		if r, at := q.records[f], now.Add(-millis(t.AnsweredAgeMs)); r != nil && t.AnsweredAgeMs >= 0 && at.Sub(r.answered) > sameAnswer {
			q.clear(now, at, f, r)
		}
		for _, e := range t.Ends {
			at := now.Add(-millis(e.AgeMs))
			if !q.end(now, f, s, End{Engine: e.Engine, At: at}) {
				q.object(now, f, s, at)
			}
		}
	}
}

// object tells the peers of a whole answer that this node knows of and by which an end at a moment, of
// which one of them told, does not count. The caller holds the lock.
func (q *Quarantine) object(now time.Time, f Fingerprint, s Subject, end time.Time) {
	r := q.records[f]
	last := q.lastAnswer(f, s, r)
	if last.IsZero() || end.Sub(last) > spared || r != nil && !last.After(r.answered) {
		return
	}
	if r == nil {
		r = q.add(now, f, s)
	}
	r.answered, r.changed = last, now
}

// millis turns milliseconds into a duration.
func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
