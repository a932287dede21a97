package soak

import (
	"fmt"
	"time"
)

const (
	// allowedCrashes is how many engines a part may crash before nodes must withhold it, within recoveryTime, and soundTime is how
	// long after that sound requests beside it may be affected.
	allowedCrashes = 5
	soundTime      = 2 * recoveryTime

	// minSound is the least number of sound requests whose share is compared.
	minSound = 20
)

// partSeries is a series of requests with a part that crashes engines.
type partSeries struct {
	part, first, key string // first and key are those of sound requests, too.
	interval
}

// recordPartSeries records a series after its end.
func (l *Ledger) recordPartSeries(s partSeries) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partSeries = append(l.partSeries, s)
}

// recordPartArrival records that a request with a part that crashes engines reached one.
func (l *Ledger) recordPartArrival(part string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partArrivals[part] = append(l.partArrivals[part], at)
}

// recordPartCrash records that a part crashed an engine.
func (l *Ledger) recordPartCrash(part string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partCrashes[part] = append(l.partCrashes[part], at)
}

// partViolations checks that a part was withheld after its allowed crashes, and that sound requests were not. Only times count before which
// nodes and store were free of faults for as long as nodes may need to learn of crashes.
func (l *Ledger) partViolations(s partSeries) []string {
	crashes := l.partCrashes[s.part]
	if len(crashes) == 0 {
		return nil
	}
	var out []string
	last := crashes[min(len(crashes), allowedCrashes)-1]
	late := 0
	for _, at := range l.partArrivals[s.part] {
		if len(crashes) >= allowedCrashes && at.After(last.Add(recoveryTime)) && l.faultFree(at.Add(-recoveryTime), at) {
			late++
		}
	}
	if late > maxLateCrashes {
		out = append(out, fmt.Sprintf("part %s reached %d engines later than %v after the fifth crash, %d crashed", s.part, late, recoveryTime, len(crashes)))
	}
	var began, asked [2]int // The first is of requests with the same first part or key.
	for id, e := range l.results {
		if !e.sent.After(last.Add(soundTime)) || !e.sent.Before(s.to) || e.status == unauthorized || !l.faultFree(e.sent.Add(-recoveryTime), e.ended) {
			continue
		}
		kind := 1
		if e.key == s.key || e.first == s.first {
			kind = 0
		}
		asked[kind]++
		if len(l.runs[id]) > 0 {
			began[kind]++
		}
	}
	if asked[0] >= minSound && asked[1] >= minSound && 2*began[0]*asked[1] < began[1]*asked[0] {
		out = append(out, fmt.Sprintf("%d of %d sound requests beside part %s began, %d of %d others", began[0], asked[0], s.part, began[1], asked[1]))
	}
	return out
}
