package broker

import "github.com/croftturn/croftturn/internal/wire"

// nodeAsks is what a node reported of its asks. The zero value is that of a node that has not
// reported, or that does not number its asks.
type nodeAsks struct {
	process int
	last    int          // last is the number of the newest ask; 0 if none is known.
	open    map[int]bool // open holds the asks whose answer the node still waits for.
}

// asksOf returns what a report says of its node's asks.
func asksOf(r wire.Report) nodeAsks {
	n := nodeAsks{process: r.Process, last: r.LastAsk, open: make(map[int]bool, len(r.Asking))}
	for _, ask := range r.Asking {
		n.open[ask] = true
	}
	return n
}

// numbers reports whether an ask is one of the numbered asks of the process that reported.
func (n nodeAsks) numbers(process, ask int) bool {
	return n.last > 0 && ask > 0 && process == n.process
}

// ended reports whether the node has had the answer to an ask or given it up.
func (n nodeAsks) ended(process, ask int) bool {
	return n.numbers(process, ask) && ask <= n.last && !n.open[ask]
}

// after reports whether the asks were reported after another report of the same process.
func (n nodeAsks) after(r wire.Report) bool {
	return n.numbers(r.Process, r.LastAsk) && r.LastAsk < n.last
}

// removeEndedWaits removes the waiting asks that a node has ended; the caller holds the lock.
func (p *Pool) removeEndedWaits(node string, asks nodeAsks) {
	for _, w := range p.waiting {
		if w.req.Node == node && asks.ended(w.req.Process, w.req.Ask) {
			p.queue.Remove(w.item)
			p.removeWaiter(w)
			w.refuse(ReasonStale, 0, "the node has given up this ask")
		}
	}
}
