// Package engine is a small stand-in of a model engine: chat completions with
// server-sent events, continuous batching whose step time grows with the batch,
// a bounded room for tokens, priorities, cancelling, going on with a partial
// answer, a load report that lags, draining and fenced orders.
package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/croftturn/croftturn/lab/record"
)

type (
	// Options are an engine's sizes and times.
	Options struct {
		Name         string
		Slots        int           // Slots is the largest batch.
		KVTokens     int           // KVTokens is the room for tokens.
		QueueLimit   int           // QueueLimit is how many may wait before it refuses.
		StepBase     time.Duration // StepBase is the time of a step with an empty batch.
		StepEach     time.Duration // StepEach is what each running request adds to a step.
		PrefillToken time.Duration // PrefillToken is the time for one token of a prompt that is not cached.
		LoadLag      time.Duration // LoadLag is how old the load report is.
		ChecksFence  bool          // ChecksFence makes it refuse orders with an old fence.
	}

	// Faults are what the control port sets.
	Faults struct {
		Slow       float64 `json:"slow"`         // Slow multiplies the step time; 0 means 1.
		Leaving    bool    `json:"leaving"`      // Leaving says so in the load report; new work is taken all the same.
		BreakAfter int     `json:"break_after"`  // BreakAfter cuts each stream after so many tokens; 0 for never.
		Malformed  int     `json:"malformed"`    // Malformed sends a broken event after so many tokens; 0 for never.
		StallAfter int     `json:"stall_after"`  // StallAfter sends nothing more after so many tokens; 0 for never.
		BreakAtEnd bool    `json:"break_at_end"` // BreakAtEnd cuts each stream between its last token and its end.
		Crash      bool    `json:"crash"`        // Crash ends the process at once.
	}

	// Engine serves the stand-in.
	Engine struct {
		opts Options
		log  *record.Log

		mu       sync.Mutex
		faults   Faults
		waiting  jobHeap
		running  []*job
		tokens   int
		prefixes map[string]bool
		reports  []report
		orders   []order
		fence    int
		wake     chan struct{}
		order    int // order counts arrivals, for equal priorities.
	}

	// job is one request.
	job struct {
		priority, seq int
		prompt        int
		prefix        string
		room          int
		from, to      int // from and to bound the tokens to generate.
		out           chan int
		ctx           context.Context
	}

	// jobHeap orders waiting jobs by priority, then arrival.
	jobHeap []*job

	// report is a load report with its time.
	report struct {
		at   time.Time
		load load
	}

	// load is the published report.
	load struct {
		Running int  `json:"running"`
		Waiting int  `json:"waiting"`
		Leaving bool `json:"leaving"`
	}

	// order is one accepted order.
	order struct {
		Fence int    `json:"fence"`
		Text  string `json:"text"`
	}
)

// New returns an engine; Run makes it work.
func New(opts Options, log *record.Log) *Engine {
	return &Engine{opts: opts, log: log, prefixes: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Handler returns the HTTP handler, control port included.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /orders", e.handleOrders)
	mux.HandleFunc("POST /control/faults", e.handleFaults)
	return mux
}

// Run generates tokens, step by step, until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, idle := e.step()
		if idle {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-time.After(e.opts.LoadLag/4 + time.Millisecond):
			}
			continue
		}
		time.Sleep(pause)
		e.emit()
	}
}

// step admits what fits and returns how long the step takes.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		j := e.waiting[0]
		if e.opts.KVTokens > 0 && len(e.running) > 0 && e.tokens+j.room > e.opts.KVTokens {
			break
		}
		heap.Pop(&e.waiting)
		e.running = append(e.running, j)
		e.tokens += j.room
		if !e.prefixes[j.prefix] {
			prefill += j.prompt
		}
		e.prefixes[j.prefix] = j.prefix != ""
	}
	e.noteLoad()
	if len(e.running) == 0 {
		return 0, true
	}
	slow := e.faults.Slow
	if slow <= 0 {
		slow = 1
	}
	step := e.opts.StepBase + time.Duration(len(e.running))*e.opts.StepEach + time.Duration(prefill)*e.opts.PrefillToken
	return time.Duration(slow * float64(step)), false
}

// emit gives each running request its next token, and drops those that ended.
func (e *Engine) emit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, j := range e.running {
		if j.ctx.Err() == nil && j.from < j.to {
			j.out <- j.from // The channel has room for all tokens.
			j.from++
		}
		if j.ctx.Err() == nil && j.from < j.to {
			kept = append(kept, j)
			continue
		}
		e.tokens -= j.room
		close(j.out)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// noteLoad keeps load reports for as long as the lag; the caller holds the lock.
func (e *Engine) noteLoad() {
	now := time.Now()
	e.reports = append(e.reports, report{now, load{len(e.running), len(e.waiting), e.faults.Leaving}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.opts.LoadLag {
		e.reports = e.reports[1:]
	}
}

// handleLoad tells the load as it was a while ago.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLoad()
	l := e.reports[0].load
	l.Leaving = e.faults.Leaving
	json.NewEncoder(w).Encode(l)
}

// submit queues a job, or refuses it.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.opts.QueueLimit && len(e.running) >= e.opts.Slots {
		return false
	}
	e.order++
	j.seq = e.order
	heap.Push(&e.waiting, j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// withdraw drops a job that still waits.
func (e *Engine) withdraw(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == j {
			heap.Remove(&e.waiting, i)
			return
		}
	}
}

// chatRequest is what the engine reads of a chat completion.
type chatRequest struct {
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Priority  int  `json:"priority"`
	Continue  bool `json:"continue_final_message"`
}

// handleChat generates an answer.
func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, `{"error":{"message":"bad request"}}`, http.StatusBadRequest)
		return
	}
	mark, j := e.newJob(r.Context(), &req)
	if j.from == j.to {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEnd(w, j, 0) // The partial answer was whole already.
		return
	}
	if !e.submit(j) {
		http.Error(w, `{"error":{"message":"full"}}`, http.StatusTooManyRequests)
		return
	}
	defer e.withdraw(j)
	line := record.Execution{Backend: e.opts.Name, Request: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Mark: mark, Event: "start", AtMs: record.NowMs()}
	first := true
	sent := 0
	line.Tokens = j.from
	e.log.Write(line)
	for {
		select {
		case i, ok := <-j.out:
			if !ok {
				e.finish(w, r, &line, j, sent, first)
				return
			}
			if first {
				w.Header().Set("Content-Type", "text/event-stream")
				first = false
			}
			if !e.stall(r.Context(), sent) || !e.writeToken(w, record.Word(mark, i), sent) {
				line.Event, line.Tokens, line.AtMs = "cancel", sent, record.NowMs()
				e.log.Write(line)
				panic(http.ErrAbortHandler)
			}
			sent++
		case <-r.Context().Done():
			line.Event, line.Tokens, line.AtMs = "cancel", sent, record.NowMs()
			e.log.Write(line)
			return
		}
	}
}

// newJob reads mark and length out of a request, and how far a partial answer
// has come already.
func (e *Engine) newJob(ctx context.Context, req *chatRequest) (string, *job) {
	last := len(req.Messages) - 1
	from := 0
	if req.Continue {
		from = words(req.Messages[last].Content)
		last--
	}
	mark, tokens := record.ParsePrompt(req.Messages[last].Content)
	if req.MaxTokens > 0 {
		tokens = min(tokens, from+req.MaxTokens)
	}
	const bytesPerToken = 4
	prompt := 0
	for _, m := range req.Messages {
		prompt += len(m.Content) / bytesPerToken
	}
	j := &job{priority: req.Priority, prompt: prompt, room: prompt + tokens, from: from, to: max(tokens, from), ctx: ctx}
	if len(req.Messages) > 1 && !req.Continue {
		j.prefix = req.Messages[0].Content
	}
	j.out = make(chan int, j.to-j.from)
	return mark, j
}

// words counts the tokens of a partial answer.
func words(text string) int {
	n := 0
	for _, c := range text {
		if c == ' ' {
			n++
		}
	}
	return n
}

// stall holds a token back for as long as the faults say, and reports whether the
// caller is still there. No token is left out: a stream that goes on has no hole.
func (e *Engine) stall(ctx context.Context, sent int) bool {
	const look = 5 * time.Millisecond
	for {
		e.mu.Lock()
		stalled := e.faults.StallAfter > 0 && sent >= e.faults.StallAfter
		e.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(look):
		}
	}
}

// writeToken sends one event, or fails as the faults say.
func (e *Engine) writeToken(w http.ResponseWriter, word string, sent int) bool {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	switch {
	case f.BreakAfter > 0 && sent >= f.BreakAfter:
		return false
	case f.Malformed > 0 && sent >= f.Malformed:
		fmt.Fprint(w, "data: {\"choices\": [\n\n")
	default:
		fmt.Fprintf(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	return http.NewResponseController(w).Flush() == nil
}

// finish ends a whole answer.
func (e *Engine) finish(w http.ResponseWriter, r *http.Request, line *record.Execution, j *job, sent int, empty bool) {
	line.Event, line.Tokens, line.AtMs = "end", sent, record.NowMs()
	if r.Context().Err() != nil || empty {
		line.Event = "cancel"
	}
	e.log.Write(*line)
	if line.Event == "cancel" {
		return
	}
	e.mu.Lock()
	cut := e.faults.BreakAtEnd
	e.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	writeEnd(w, j, sent)
}

// writeEnd sends what follows the last token.
func writeEnd(w http.ResponseWriter, j *job, sent int) {
	fmt.Fprintf(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", j.prompt, sent, j.prompt+sent)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// handleOrder takes a fenced order.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && o.Fence < e.fence {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	if e.opts.ChecksFence && o.Fence == e.fence {
		return // The same order again.
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
}

// handleOrders lists the accepted orders.
func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(e.orders)
}

// handleFaults sets the faults.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Crash {
		os.Exit(1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface; a smaller number is a higher priority.
func (h jobHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}
