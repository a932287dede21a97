package soak

import (
	"fmt"
	"time"
)

const (
	// contactTime is how long after it was cut off from all engines a node may need to get by without
	// them, and cutObservation the least time for which it is observed then.
	contactTime    = 3 * time.Second
	cutObservation = time.Second

	// cutServedShare is the least share of requests that a node which is cut off serves, relative to
	// the others; fewer failures than cutSlack and one in cutSlackPart of its requests do not count.
	cutServedShare = 2.0 / 3
	cutSlack       = 10
	cutSlackPart   = 50
)

// cut is a time in which a node reached no engine.
type cut struct {
	node string
	interval
}

// recordCut records that a node was cut off from all engines.
func (l *Ledger) recordCut(node string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = append(l.cuts, cut{node, interval{from, to}})
}

// unservedWhileCut returns a violation if a node served far less than the others while it was cut off,
// without another fault of that node.
func (l *Ledger) unservedWhileCut(c cut) []string {
	from := c.from.Add(contactTime)
	if l.hadOutage(c.node, c.from.Add(-recoveryTime), c.to) || !l.faultFree(c.from.Add(-recoveryTime), c.to) {
		return nil
	}
	var served, asked [2]int // The first is of the node that is cut off.
	for id, e := range l.results {
		if e.sent.Before(from) || e.ended.After(c.to) || e.status == unauthorized {
			continue
		}
		kind := 1
		if l.senders[id].node == c.node {
			kind = 0
		}
		asked[kind]++
		if e.status == success && e.complete {
			served[kind]++
		}
	}
	failed := asked[0] - served[0]
	if asked[0] == 0 || asked[1] == 0 || failed <= cutSlack+asked[0]/cutSlackPart ||
		float64(served[0])/float64(asked[0]) >= cutServedShare*float64(served[1])/float64(asked[1]) {
		return nil
	}
	return []string{fmt.Sprintf("%s served %d of %d requests while it was cut off from all engines, the others %d of %d", c.node, served[0], asked[0], served[1], asked[1])}
}
