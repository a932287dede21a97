package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A search, by seed, over orders of steps of two or three nodes and the store: a node reads the row, sends a write, the write is
// done now or later or never, its answer comes or is lost, a node stands still while time passes for the others. It holds
// that no two nodes ever may act at one moment, and that tokens rise; and it finds each of three planted faults.

const (
	tick        = 500 * time.Millisecond // tick is the least time that passes in the model.
	modelRuns   = 15_000                 // modelWalks is how many orders of steps are tried.
	modelSteps  = 60                     // modelSteps is how many steps each has.
	maxInFlight = 2                      // flightMost is how many writes of a node are on their way at once.
)

// modelTerms make a lease two ticks long, with one tick of margin.
var modelTiming = Timing{TTL: 2 * tick, Margin: tick, ReturnDelay: 3 * tick}

// plant is a fault built into the protocol.
type mutation int

const (
	noMutation      mutation = iota
	skipWait                 // noWait takes a lease over without waiting it out.
	countFromAnswer          // fromAnswer counts a lease from when the answer came.
	localToken               // tokenByItself draws the token at the node, not from the row.
)

type (
	// flight is a write on its way to the store.
	inFlightWrite struct {
		node   int
		record Record
		expect int64
		done   bool // done says that the store did it, and the answer is on its way.
		ok     bool
	}

	// world is a state of the model.
	model struct {
		ticks        int
		store        store
		nodes        []Lease
		inFlight     []inFlightWrite
		highestToken int64
	}
)

// at returns the model's time.
func (w *model) now() time.Time { return start.Add(time.Duration(w.ticks) * tick) }

// steps returns what can happen next.
func (w *model) steps(p mutation) []func() {
	var out []func()
	add := func(f func()) { out = append(out, f) }
	add(func() { w.ticks++ })
	for i := range w.nodes {
		if l := &w.nodes[i]; !l.Known() || l.version != w.store.version {
			add(func() { l.Observe(w.now(), w.store.record, w.store.version) })
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
			add(func() { w.inFlight[i].done, w.inFlight[i].ok = true, w.store.write(f.record, f.expect) })
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

// answer lets the answer to a write come.
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
		l.WriteSucceeded(w.now(), f.expect+1)
	}
}

// flying counts the writes of a node that are on their way.
func countInFlight(flights []inFlightWrite, node int) int {
	n := 0
	for _, f := range flights {
		if f.node == node {
			n++
		}
	}
	return n
}

// mayWrite reports whether a node's view allows it a write.
func (w *model) mayWrite(i int, p mutation) bool {
	l := &w.nodes[i]
	at, known := l.AcquirableAt()
	_, holds := l.Holds(w.now())
	return known && (holds || l.CanResume() || p == skipWait || !w.now().Before(at))
}

// write lets a node send a write.
func (w *model) write(i int, p mutation) (r Record, expect int64) {
	l := &w.nodes[i]
	if _, holds := l.Holds(w.now()); holds || l.CanResume() {
		return l.Renew(w.now())
	}
	r, expect = l.Acquire(w.now())
	if p == localToken {
		r.Token = int64(1 + i%2)
		l.pending[len(l.pending)-1].record = r
	}
	return r, expect
}

// fault returns what must never be in a state, or nothing.
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
	if w.store.record.Token < w.highestToken {
		return "a token went back"
	}
	w.highestToken = w.store.record.Token
	return ""
}

// search tries orders of steps and returns the first fault, and after how many orders it was found.
func search(nodes int, p mutation) (violation string, runs int) {
	for run := range modelRuns {
		rnd := rand.New(rand.NewPCG(uint64(run), uint64(nodes)))
		w := &model{}
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

// TestNoTwoNodesMayActAtOnce holds that in no order of steps two nodes may act at one moment.
func TestAtMostOneHolder(t *testing.T) {
	for _, nodes := range []int{2, 3} {
		violation, runs := search(nodes, noMutation)
		if violation != "" {
			t.Errorf("%d nodes, after %d orders: %s", nodes, runs, violation)
		}
		t.Logf("%d nodes: %d orders", nodes, runs)
	}
}

// TestTheModelFindsPlantedFaults holds that the search finds what a wrong protocol would do.
func TestModelDetectsMutations(t *testing.T) {
	for name, p := range map[string]mutation{"no wait at the take-over": skipWait, "a lease counted from the answer": countFromAnswer, "a token not from the row": localToken} {
		if violation, runs := search(2, p); violation == "" {
			t.Errorf("%s: not found in %d orders", name, runs)
		} else {
			t.Logf("%s: %s, after %d orders", name, violation, runs)
		}
	}
}
