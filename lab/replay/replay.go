// Package replay plays a recorded trace through a pool's broker in time of its
// own, with engines that take a time worked out from their load. Nothing in it
// hangs on the machine, so that the outcome is the same every time.
package replay

import (
	"container/heap"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/croftturn/croftturn/internal/broker"
	"github.com/croftturn/croftturn/internal/queue"
	"github.com/croftturn/croftturn/internal/wire"
	"github.com/croftturn/croftturn/lab/load"
)

const (
	// stepBase and stepEach give the time of a token on an engine: that of an
	// empty batch, and what each running request adds.
	stepBase = 18 * time.Millisecond
	stepEach = 1200 * time.Microsecond

	// sweepEvery is how often the broker looks over what waits.
	sweepEvery = 20 * time.Millisecond
)

type (
	// Options size the pool.
	Options struct {
		Engines, Slots int
		Slow           map[int]float64 // Slow multiplies the token time of some engines.
		Pool           broker.Options
		Classes        []queue.Class
	}

	// Outcome is what happened to one request.
	Outcome struct {
		load.Arrival
		Engine  string
		Refusal string
		Waited  time.Duration // Waited is from arrival to place or refusal.
		Retry   time.Duration // Retry is when a refused caller was told to come back.
		First   time.Duration // First is from arrival to the first token.
		Total   time.Duration // Total is from arrival to the last token.
	}

	// player is the state of one replay.
	player struct {
		opts    Options
		pool    *broker.Pool
		now     time.Time
		start   time.Time
		events  eventHeap
		seq     int
		running map[string]int // running counts requests by engine.
		waiting []*pending
		out     []Outcome
	}

	// pending is a request without a place.
	pending struct {
		arrival load.Arrival
		reply   <-chan wire.Grant
	}

	// event is something that happens at a time.
	event struct {
		at  time.Time
		seq int
		do  func()
	}

	// eventHeap orders events by time, then by when they were planned.
	eventHeap []event
)

// Play plays a trace and returns what happened, in the order of arrival.
func Play(trace []load.Arrival, opts Options) []Outcome {
	start := time.Unix(0, 0)
	p := &player{opts: opts, start: start, now: start, running: map[string]int{}}
	p.pool = broker.NewPool(start, "llm", func(string) broker.Team { return broker.Team{Weight: 1} }, nil)
	var engines []broker.Engine
	for i := range opts.Engines {
		engines = append(engines, broker.Engine{Name: fmt.Sprintf("e%02d", i+1), Slots: opts.Slots})
	}
	p.pool.Configure(start, opts.Pool, opts.Classes, engines)
	for _, a := range trace {
		if a.Class.Model != "" {
			p.plan(start.Add(a.At), func() { p.arrive(a) })
		}
	}
	p.plan(start.Add(sweepEvery), p.sweep)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
		p.collect()
	}
	sort.SliceStable(p.out, func(i, j int) bool { return p.out[i].At < p.out[j].At })
	return p.out
}

// plan plans an event.
func (p *player) plan(at time.Time, do func()) {
	p.seq++
	heap.Push(&p.events, event{at, p.seq, do})
}

// arrive asks for a place.
func (p *player) arrive(a load.Arrival) {
	reply := p.pool.Acquire(p.now, wire.Acquire{
		Pool: "llm", Request: a.Mark, Node: "n1", Class: a.Class.Class, Team: a.Team.Name, PromptTokens: a.Class.PromptWords,
	})
	p.waiting = append(p.waiting, &pending{a, reply})
}

// sweep looks over the queue, as long as anything is left to happen.
func (p *player) sweep() {
	p.pool.Sweep(p.now)
	if len(p.events) > 0 || len(p.waiting) > 0 {
		p.plan(p.now.Add(sweepEvery), p.sweep)
	}
}

// collect takes the answers that have come.
func (p *player) collect() {
	left := p.waiting[:0]
	for _, w := range p.waiting {
		select {
		case g := <-w.reply:
			p.answer(w, g)
		default:
			left = append(left, w)
		}
	}
	p.waiting = left
}

// answer notes a refusal, or starts the request on its engine.
func (p *player) answer(w *pending, g wire.Grant) {
	waited := p.now.Sub(p.start.Add(w.arrival.At))
	o := Outcome{Arrival: w.arrival, Engine: g.Engine, Refusal: g.Refusal, Waited: waited, Retry: time.Duration(g.RetryAfterMs) * time.Millisecond}
	if g.Refusal == "" {
		p.running[g.Engine]++
		step := p.step(g.Engine)
		o.First = waited + step
		o.Total = waited + time.Duration(w.arrival.Tokens)*step
		begun := p.now
		p.plan(p.now.Add(time.Duration(w.arrival.Tokens)*step), func() { p.finish(w.arrival, g.Engine, begun, step) })
	}
	p.out = append(p.out, o)
}

// step returns the time of a token on an engine at its present load.
func (p *player) step(engine string) time.Duration {
	step := stepBase + time.Duration(p.running[engine])*stepEach
	var n int
	if _, err := fmt.Sscanf(engine, "e%d", &n); err == nil && p.opts.Slow[n] > 0 {
		step = time.Duration(float64(step) * p.opts.Slow[n])
	}
	return step
}

// finish gives a place back.
func (p *player) finish(a load.Arrival, engine string, begun time.Time, step time.Duration) {
	p.running[engine]--
	p.pool.Release(p.now, wire.Release{
		Pool: "llm", Request: a.Mark, Engine: engine, Status: broker.StatusOK, OutputTokens: a.Tokens,
		DurationMs: int(p.now.Sub(begun).Milliseconds()), FirstTokenMs: int(step.Milliseconds()),
	})
}

// Inversions counts requests that were shed for want of room while more than
// one of a class of a lower tier, which had arrived before, went on waiting.
func Inversions(out []Outcome) int {
	n := 0
	for _, s := range out {
		if s.Refusal != broker.ReasonQueueFull {
			continue
		}
		shed := s.At + s.Waited
		kept := map[string]int{}
		for _, o := range out {
			if o.Class.Tier > s.Class.Tier && o.At < shed && o.At+o.Waited > shed {
				kept[o.Class.Class]++
			}
		}
		for _, k := range kept {
			if k > 1 {
				n++
				break
			}
		}
	}
	return n
}

// Print writes what happened by class.
func Print(w io.Writer, out []Outcome) {
	type sums struct {
		requests, onTime, refused, tokens int
		longest, slowest                  time.Duration
	}
	classes := map[string]*sums{}
	total := 0
	for _, o := range out {
		s := classes[o.Class.Class]
		if s == nil {
			s = &sums{}
			classes[o.Class.Class] = s
		}
		s.requests++
		if o.Refusal != "" {
			s.refused++
			continue
		}
		s.tokens += o.Tokens
		total += o.Tokens
		s.longest, s.slowest = max(s.longest, o.Waited), max(s.slowest, o.Total)
		if float64(o.First.Milliseconds()) <= o.Class.TargetFirstMs {
			s.onTime++
		}
	}
	var names []string
	for n := range classes {
		names = append(names, n)
	}
	sort.Strings(names)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tREQUESTS\tATTAINMENT\tREFUSED\tSHARE OF TOKENS\tLONGEST WAIT SERVED\tLONGEST ANSWER")
	for _, n := range names {
		s := classes[n]
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%d\t%.3f\t%d ms\t%d ms\n", n, s.requests, float64(s.onTime)/float64(s.requests), s.refused, float64(s.tokens)/float64(total), s.longest.Milliseconds(), s.slowest.Milliseconds())
	}
	t.Flush()
	fmt.Fprintf(w, "shed against the tiers: %d\n", Inversions(out))
}

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
