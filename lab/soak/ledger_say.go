package soak

import (
	"fmt"
	"time"
)

const (
	// limitSettleTime is how long after an engine first advertised a limit it may get more, and
	// limitWindow is the window in which requests are counted. In it an engine may get
	// limitTolerance times what the limit allows, and limitBurst requests more.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 1.5
	limitBurst      = 5

	// signalDelay is the time after a response until its signals bind the node that forwarded it,
	// including what a loaded machine takes.
	signalDelay = 500 * time.Millisecond

	// maxDuringRetryAfter is how many requests an engine may get from a node within the
	// Retry-After that it sent to the node.
	maxDuringRetryAfter = 2
)

type (
	// arrival is a request that reached an engine, which may have rejected it.
	arrival struct {
		id string
		at time.Time
	}

	// sentSignals is what an engine reported to a node in the response to a request.
	sentSignals struct {
		engineSignals
		id string
		at time.Time
	}
)

// recordSender records the node that a caller sends a request to.
func (l *Ledger) recordSender(id, node string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.senders[id] = sender{node: node, at: at}
}

// recordArrival records that a request reached an engine.
func (l *Ledger) recordArrival(engine, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[engine] = append(l.arrivals[engine], arrival{id, at})
}

// recordSignals records the signals in the response to a request.
func (l *Ledger) recordSignals(engine, id string, s engineSignals, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signals[engine] = append(l.signals[engine], sentSignals{s, id, at})
}

// recordSignalsEnd records that an engine reports nothing from now on.
func (l *Ledger) recordSignalsEnd(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signals[engine] = append(l.signals[engine], sentSignals{at: time.Now()})
}

// beginOutage starts an outage of a node or of the connections to an engine; the returned
// function ends and records it.
func (l *Ledger) beginOutage(name string) (end func()) {
	from := time.Now()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.outages[name] = append(l.outages[name], interval{from, time.Now()})
	}
}

// hadOutage reports whether a node or the connections to an engine had an outage during an
// interval.
func (l *Ledger) hadOutage(name string, from, to time.Time) bool {
	return overlaps(l.outages[name], from, to)
}

// ignoredSignals returns violations in which engines got requests against their signals.
func (l *Ledger) ignoredSignals() []string {
	var out []string
	for engine, list := range l.signals {
		out = append(out, l.requestsAfterLeaving(engine, list)...)
		out = append(out, l.requestsDuringRetryAfter(engine, list)...)
		out = append(out, l.overLimit(engine, list)...)
	}
	return out
}

// requestsAfterLeaving returns requests that a node sent to an engine although their callers
// sent them later than drainWithin after a response told the node that the engine is leaving.
func (l *Ledger) requestsAfterLeaving(engine string, list []sentSignals) []string {
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
		if informedAt, ok := first[s.node]; ok && s.at.After(informedAt.Add(drainWithin)) && !l.hadOutage(s.node, informedAt, a.at) {
			out = append(out, fmt.Sprintf("%s reached %s %v after a response told %s that it is leaving", a.id, engine, s.at.Sub(informedAt), s.node))
		}
	}
	return out
}

// requestsDuringRetryAfter returns where an engine got more requests from a node than allowed
// within a Retry-After.
func (l *Ledger) requestsDuringRetryAfter(engine string, list []sentSignals) []string {
	var out []string
	for _, t := range list {
		node := l.senders[t.id].node
		end := t.at.Add(t.retryAfter)
		if t.retryAfter <= signalDelay || node == "" || l.hadOutage(node, t.at.Add(-recoveryTime), end) || l.hadOutage(engine, t.at.Add(-recoveryTime), end) {
			continue
		}
		n := 0
		for _, a := range l.arrivals[engine] {
			if l.senders[a.id].node == node && a.at.After(t.at.Add(signalDelay)) && a.at.Before(end) {
				n++
			}
		}
		if n > maxDuringRetryAfter {
			out = append(out, fmt.Sprintf("%s sent %s a Retry-After of %v and got %d requests from it", engine, node, t.retryAfter, n))
		}
	}
	return out
}

// overLimit returns a violation if an engine got more than its limit allows from nodes that
// knew the limit.
func (l *Ledger) overLimit(engine string, list []sentSignals) []string {
	informedAt := map[string]time.Time{}
	var limitedFrom, limitedTo time.Time
	limit := 0.0
	for _, t := range list {
		if t.limit == 0 {
			if !limitedFrom.IsZero() && limitedTo.IsZero() {
				limitedTo = t.at
			}
			continue
		}
		if !limitedTo.IsZero() {
			break // Only the first period with a limit counts for an engine.
		}
		if limitedFrom.IsZero() {
			limitedFrom = t.at
		}
		limit = max(limit, t.limit)
		if node := l.senders[t.id].node; informedAt[node].IsZero() {
			informedAt[node] = t.at
		}
	}
	if limit == 0 || limitedTo.IsZero() || l.hadOutage(engine, limitedFrom.Add(-recoveryTime), limitedTo) {
		return nil
	}
	var counted []time.Time
	for _, a := range l.arrivals[engine] {
		node := l.senders[a.id].node
		informed := informedAt[node]
		if node != "" && !informed.IsZero() && a.at.After(informed.Add(signalDelay)) && a.at.After(limitedFrom.Add(limitSettleTime)) && a.at.Before(limitedTo) && !l.hadOutage(node, informed.Add(-recoveryTime), a.at) {
			counted = append(counted, a.at)
		}
	}
	peak := 0
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		peak = max(peak, n)
	}
	if allowed := limitTolerance*limit*limitWindow.Seconds() + limitBurst; float64(peak) > allowed {
		return []string{fmt.Sprintf("%s had advertised a limit of %.2f requests per second and got %d requests in %v", engine, limit, peak, limitWindow)}
	}
	return nil
}
