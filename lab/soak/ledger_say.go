package soak

import (
	"fmt"
	"time"
)

const (
	// limitSettles is how long after an engine first named a limit it may get more, and limitSpan over how long it is counted.
	// It may get limitOver times what the limit allows in that time, and limitMore requests.
	limitSettles = 3 * time.Second
	limitSpan    = 4 * time.Second
	limitOver    = 1.5
	limitMore    = 5

	// toldWithin is how long after an answer what it says counts for the node that passed it on, with what a loaded machine
	// takes.
	toldWithin = 500 * time.Millisecond

	// mostInRest is how many requests of a node an engine may get in the rest that it asked the node for.
	mostInRest = 2
)

type (
	// arrival is a request that reached an engine, also one that it turned away.
	arrival struct {
		id string
		at time.Time
	}

	// told is what an engine said to a node in the answer to a request.
	told struct {
		saying
		id string
		at time.Time
	}
)

// sentTo records which node a caller sends a request to.
func (l *Ledger) sentTo(id, node string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.senders[id] = sender{node: node, at: at}
}

// arrived records that a request has reached an engine.
func (l *Ledger) arrived(engine, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[engine] = append(l.arrivals[engine], arrival{id, at})
}

// said records what an engine says in the answer to a request.
func (l *Ledger) said(engine, id string, s saying, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[engine] = append(l.told[engine], told{s, id, at})
}

// saidNoMore records that an engine says nothing of itself from now on.
func (l *Ledger) saidNoMore(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[engine] = append(l.told[engine], told{at: time.Now()})
}

// away records that a node or the way to an engine is at fault from now on; the fault ends with a call of what it returns.
func (l *Ledger) away(name string) (back func()) {
	from := time.Now()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.aways[name] = append(l.aways[name], span{from, time.Now()})
	}
}

// wasAway reports whether a node or the way to an engine was at fault in a span.
func (l *Ledger) wasAway(name string, from, to time.Time) bool {
	return overlaps(l.aways[name], from, to)
}

// unheard returns where engines got what they had said that they don't take.
func (l *Ledger) unheard() []string {
	var out []string
	for engine, list := range l.told {
		out = append(out, l.lateToLeaving(engine, list)...)
		out = append(out, l.inRest(engine, list)...)
		out = append(out, l.overLimit(engine, list)...)
	}
	return out
}

// lateToLeaving returns requests that reached an engine from a node which had an answer that says that it leaves, too long before
// the caller sent them.
func (l *Ledger) lateToLeaving(engine string, list []told) []string {
	first := map[string]time.Time{}
	for _, t := range list {
		node := l.senders[t.id].node
		if _, ok := first[node]; t.leaving && !ok && node != "" {
			first[node] = t.at
		}
	}
	var out []string
	for _, a := range l.arrivals[engine] {
		s := l.senders[a.id]
		if said, ok := first[s.node]; ok && s.at.After(said.Add(drainWithin)) && !l.wasAway(s.node, said, a.at) {
			out = append(out, fmt.Sprintf("%s reached %s %v after an answer told %s that it leaves", a.id, engine, s.at.Sub(said), s.node))
		}
	}
	return out
}

// inRest returns rests in which an engine got more of a node than it may.
func (l *Ledger) inRest(engine string, list []told) []string {
	var out []string
	for _, t := range list {
		node := l.senders[t.id].node
		end := t.at.Add(t.rest)
		if t.rest <= toldWithin || node == "" || l.wasAway(node, t.at.Add(-settle), end) || l.wasAway(engine, t.at.Add(-settle), end) {
			continue
		}
		n := 0
		for _, a := range l.arrivals[engine] {
			if l.senders[a.id].node == node && a.at.After(t.at.Add(toldWithin)) && a.at.Before(end) {
				n++
			}
		}
		if n > mostInRest {
			out = append(out, fmt.Sprintf("%s had asked %s for %v of rest and got %d requests of it", engine, node, t.rest, n))
		}
	}
	return out
}

// overLimit returns the spans in which an engine got more than its limit allows of nodes that had passed on such an answer.
func (l *Ledger) overLimit(engine string, list []told) []string {
	knows := map[string]time.Time{}
	var named, ended time.Time
	limit := 0.0
	for _, t := range list {
		if t.limit == 0 {
			if !named.IsZero() && ended.IsZero() {
				ended = t.at
			}
			continue
		}
		if !ended.IsZero() {
			break // It is counted once an engine.
		}
		if named.IsZero() {
			named = t.at
		}
		limit = max(limit, t.limit)
		if node := l.senders[t.id].node; knows[node].IsZero() {
			knows[node] = t.at
		}
	}
	if limit == 0 || ended.IsZero() || l.wasAway(engine, named.Add(-settle), ended) {
		return nil
	}
	var counted []time.Time
	for _, a := range l.arrivals[engine] {
		node := l.senders[a.id].node
		told := knows[node]
		if node != "" && !told.IsZero() && a.at.After(told.Add(toldWithin)) && a.at.After(named.Add(limitSettles)) && a.at.Before(ended) && !l.wasAway(node, told.Add(-settle), a.at) {
			counted = append(counted, a.at)
		}
	}
	most := 0
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) < limitSpan {
				n++
			}
		}
		most = max(most, n)
	}
	if allowed := limitOver*limit*limitSpan.Seconds() + limitMore; float64(most) > allowed {
		return []string{fmt.Sprintf("%s had named a limit of %.2f a second and got %d requests in %v", engine, limit, most, limitSpan)}
	}
	return nil
}
