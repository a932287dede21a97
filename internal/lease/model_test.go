package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/history"
)

// The model runs random sequences of steps of two or three nodes and the store, by seed: a node reads the row or
// sends a write; the write is applied now, later or never; its answer arrives or is lost; a node stalls while time
// passes for the others; the store comes back from a copy. At most one node may act at any time, and each term has
// a token above those of all terms before, also of those that the store lost. The model must also detect each of
// five mutations of the protocol.

const (
	tick        = 500 * time.Millisecond // tick is the unit of time in the model.
	modelRuns   = 15_000                 // modelRuns is how many sequences are run.
	modelSteps  = 60                     // modelSteps is the number of steps per sequence.
	maxReturns  = 3                      // maxReturns is how often the store comes back from a copy.
	maxInFlight = 2                      // maxInFlight is how many writes of a node may be in transit at once.
)

// modelTiming makes a lease two ticks long, with a margin of one tick.
var modelTiming = Timing{TTL: 2 * tick, Margin: tick, ReturnDelay: 3 * tick}

// mutation is a fault built into the protocol.
type mutation int

const (
	noMutation      mutation = iota
	skipWait                 // skipWait acquires the lease without waiting for expiry.
	countFromAnswer          // countFromAnswer counts a lease from when the answer arrived.
	localToken               // localToken takes the token from the node, not from the row.
	trustCopy                // trustCopy takes what the row says for true after a return.
	rowToken                 // rowToken counts on from the token of the row, whatever the era.
)

type (
	// inFlightWrite is a write in transit to the store, or its answer.
	inFlightWrite struct {
		node   int
		record Record
		expect history.Position
		done   bool // done is set once the store handled it and the answer is in transit.
		ok     bool
		at     history.Position // at is the position that the answer names.
	}

	// model is a state of the nodes and the store.
	model struct {
		ticks        int
		store        store
		nodes        []Lease
		inFlight     []inFlightWrite
		highestToken int64
		holders      map[int64]string // holders holds the node of each token.
	}
)

// now returns the model's time.
func (w *model) now() time.Time { return start.Add(time.Duration(w.ticks) * tick) }

// steps returns the steps that are possible next.
func (w *model) steps(p mutation) []func() {
	var out []func()
	add := func(f func()) { out = append(out, f) }
	add(func() { w.ticks++ })
	if w.store.era < maxReturns {
		add(func() { w.store.goBack(1 + w.ticks%3) })
	}
	for i := range w.nodes {
		if l := &w.nodes[i]; !l.Known() || l.at != w.store.at() {
			add(func() { l.Observe(w.now(), w.seen(p), w.store.at()) })
		}
		if w.mayWrite(i, p) && countInFlight(w.inFlight, i) < maxInFlight {
			add(func() {
				r, expect := w.write(i, p)
				w.inFlight = append(w.inFlight, inFlightWrite{node: i, record: r, expect: expect})
			})
		}
	}
	for i, f := range w.inFlight {
		if !f.done {
			add(func() { w.apply(i) })
			continue
		}
		add(func() { w.deliverAnswer(i, p) })
		add(func() { // The answer is lost.
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
			w.nodes[f.node].WriteUncertain()
		})
	}
	return out
}

// apply makes the store handle a write.
func (w *model) apply(i int) {
	f := &w.inFlight[i]
	f.done, f.ok = true, w.store.write(f.record, f.expect)
	f.at = w.store.at()
}

// seen returns the row as a node reads it.
func (w *model) seen(p mutation) Record {
	r := w.store.record
	if p == trustCopy {
		r.Era = w.store.era
	}
	return r
}

// deliverAnswer delivers the answer to a write.
func (w *model) deliverAnswer(i int, p mutation) {
	f := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	l := &w.nodes[f.node]
	newest := len(l.pending) - 1
	switch {
	case !f.ok:
		l.WriteConflicted()
	case newest >= 0 && l.pending[newest].record.WriteID == f.record.WriteID:
		if p == countFromAnswer {
			l.pending[newest].sent = w.now()
		}
		l.WriteSucceeded(w.now(), f.at)
	}
}

// countInFlight counts the writes of a node that are in transit.
func countInFlight(flights []inFlightWrite, node int) int {
	n := 0
	for _, f := range flights {
		if f.node == node {
			n++
		}
	}
	return n
}

// mayWrite reports whether a node may send a write according to its view.
func (w *model) mayWrite(i int, p mutation) bool {
	l := &w.nodes[i]
	at, known := l.AcquirableAt()
	_, holds := l.Holds(w.now())
	return known && (holds || l.CanResume() || p == skipWait || !w.now().Before(at))
}

// write makes a node send a write.
func (w *model) write(i int, p mutation) (r Record, expect history.Position) {
	l := &w.nodes[i]
	if _, holds := l.Holds(w.now()); holds || l.CanResume() {
		return l.Renew(w.now())
	}
	r, expect = l.Acquire(w.now())
	if p == rowToken {
		r.Token = l.record.Token + 1
		l.pending[len(l.pending)-1].record = r
	}
	if p == localToken {
		r.Token = int64(1 + i%2)
		l.pending[len(l.pending)-1].record = r
	}
	return r, expect
}

// violation returns the invariant that the state violates, or nothing.
func (w *model) violation() string {
	holders := 0
	for i := range w.nodes {
		if _, ok := w.nodes[i].Holds(w.now()); ok {
			holders++
		}
	}
	if holders > 1 {
		return "two nodes may act"
	}
	for i := range w.nodes {
		term, ok := w.nodes[i].Holds(w.now())
		if !ok {
			continue
		}
		name, known := w.holders[term.Token]
		if known && name != w.nodes[i].self {
			return "a token was given out twice"
		}
		if !known && term.Token < w.highestToken {
			return "a token decreased"
		}
		w.holders[term.Token], w.highestToken = w.nodes[i].self, max(w.highestToken, term.Token)
	}
	return ""
}

// search runs sequences of steps and returns the first violation, and the number of sequences run before it.
func search(nodes int, p mutation) (violation string, runs int) {
	for run := range modelRuns {
		rnd := rand.New(rand.NewPCG(uint64(run), uint64(nodes)))
		w := &model{holders: map[int64]string{}}
		for i := range nodes {
			w.nodes = append(w.nodes, *New(fmt.Sprint("n", i), "", modelTiming))
		}
		for range modelSteps {
			steps := w.steps(p)
			steps[rnd.IntN(len(steps))]()
			if f := w.violation(); f != "" {
				return f, run
			}
		}
	}
	return "", modelRuns
}

// TestAtMostOneHolder checks that in no sequence of steps two nodes may act at the same time.
func TestAtMostOneHolder(t *testing.T) {
	for _, nodes := range []int{2, 3} {
		violation, runs := search(nodes, noMutation)
		if violation != "" {
			t.Errorf("%d nodes, after %d sequences: %s", nodes, runs, violation)
		}
		t.Logf("%d nodes: %d sequences", nodes, runs)
	}
}

// TestModelDetectsMutations checks that the model detects faults of the protocol.
func TestModelDetectsMutations(t *testing.T) {
	for name, p := range map[string]mutation{"no wait before a takeover": skipWait, "lease counted from the answer": countFromAnswer, "token not from the row": localToken, "copy believed": trustCopy, "token of the row, whatever the era": rowToken} {
		if violation, runs := search(2, p); violation == "" {
			t.Errorf("%s: not found in %d sequences", name, runs)
		} else {
			t.Logf("%s: %s, after %d sequences", name, violation, runs)
		}
	}
}
