// Package guard runs the goroutines of a process that serves requests. A panic in any goroutine ends a process, and with it all
// requests in progress, without an answer; a Group reports it instead, so that the process can stop in order.
package guard

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
)

// maxStack is how much of the stack of a panic is logged, in bytes.
const maxStack = 4 << 10

// Group is a group of goroutines. Those that panic end alone.
type Group struct {
	wg     sync.WaitGroup
	log    *slog.Logger
	failed chan error
}

// New returns a Group that logs panics.
func New(log *slog.Logger) *Group { return &Group{log: log, failed: make(chan error, 1)} }

// Go runs a function in a goroutine.
func (g *Group) Go(f func()) {
	g.wg.Go(func() {
		defer g.report()
		f()
	})
}

// Failed receives an error after the first panic. What the goroutine did is not done any more, and its locks may be held: the
// process should stop, within a bounded time.
func (g *Group) Failed() <-chan error { return g.failed }

// Wait waits until all goroutines have ended.
func (g *Group) Wait() { g.wg.Wait() }

// report recovers from a panic.
func (g *Group) report() {
	p := recover()
	if p == nil {
		return
	}
	stack := debug.Stack()
	g.log.Error("component panicked; the process stops", "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStack)]))
	select {
	case g.failed <- fmt.Errorf("component panicked: %v", p):
	default: // The process stops already.
	}
}
