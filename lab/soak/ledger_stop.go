package soak

import (
	"net/http"
	"time"
)

const (
	// endPart is the inverse of the share of a stop, at its end, in which a node may end requests that engines have, if they
	// were sent up to lateSent after the SIGTERM.
	endPart  = 6
	lateSent = 3 * time.Second

	// refuseWithin bounds how long after its last byte a request is refused, or told that an engine broke it off.
	refuseWithin = time.Second

	// deadlineSlack is how long before its deadline a request may be ended by it, by the clock of its caller.
	deadlineSlack = 100 * time.Millisecond
)

// recordSigterm records that a node gets a SIGTERM.
func (l *Ledger) recordSigterm(node string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sigterms[node] = append(l.sigterms[node], at)
}

// sigtermBefore returns the last SIGTERM of a node until a time, zero if there was none.
func (l *Ledger) sigtermBefore(node string, until time.Time) time.Time {
	var last time.Time
	for _, at := range l.sigterms[node] {
		if !at.After(until) {
			last = at
		}
	}
	return last
}

// beforeLastPart reports whether a request ended before the part of a stop in which a node may end what engines have.
func beforeLastPart(k keptRequest, sigterm time.Time) bool {
	return k.ended.Before(sigterm.Add(stopGrace - stopGrace/endPart))
}

// mayBeEnded reports whether a stopping node might end a request that engines had when it ended.
func mayBeEnded(k keptRequest, sigterm time.Time) bool {
	return !k.sent.After(sigterm.Add(lateSent)) && !beforeLastPart(k, sigterm)
}

// endedByStop reports whether a stopping node ended a request that an engine had, or an answer that had begun, earlier than
// it may, and in which part of its stop. From stopGrace after the SIGTERM on the node is killed.
func (l *Ledger) endedByStop(k keptRequest, sigterm time.Time) (early bool, when string) {
	begun := k.begun || len(l.runs[k.id]) > 0
	if when = "in its last part"; beforeLastPart(k, sigterm) {
		when = "before its last part"
	}
	return begun && (!k.answered || k.cutOff) && k.ended.Before(sigterm.Add(stopGrace)) && !mayBeEnded(k, sigterm), when
}

// endedInTime reports whether a request that a stopping node with all its time took has a whole answer, was refused at once as not
// run, was given as cut off if it may be sent again, in the last part of the stop unless its answer is too large to be held, or ended
// by its deadline. A node that reaches no engine may not know whether one has it.
func (l *Ledger) endedInTime(k keptRequest, sigterm time.Time) bool {
	runs := len(l.runs[k.id])
	switch {
	case k.cutOff:
		return k.route == routeSafe && (k.large || !beforeLastPart(k, sigterm))
	case k.answered && k.status == success, k.deadline-k.ended.Sub(k.sent) <= deadlineSlack:
		return true
	case k.answered && (k.status == unavailable || k.status == tooManyRequests || k.status == unauthorized) && runs == 0:
		return k.ended.Sub(k.written) < refuseWithin+k.rested
	}
	return k.answered && k.apart && k.status == http.StatusBadGateway
}

// brokenOff reports whether a request ended by what an engine did, and not by a stop.
func (l *Ledger) brokenOff(k keptRequest) bool {
	at, ok := l.broken[k.id]
	return ok && !k.cutOff && k.ended.Sub(at) < refuseWithin
}
