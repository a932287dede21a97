package engine

import (
	"container/heap"
	"context"
)

type (
	// job is one request.
	job struct {
		priority, seq int
		prompt        int
		prefix        string
		room          int
		from, to      int // from and to bound the tokens to generate.
		crashes       bool
		out           chan int
		ctx           context.Context
	}

	// jobHeap orders waiting jobs by priority, then arrival.
	jobHeap []*job
)

// submit queues a job, or refuses it.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.opts.QueueLimit && len(e.running) >= e.opts.Slots {
		return false
	}
	e.arrivals++
	j.seq = e.arrivals
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
