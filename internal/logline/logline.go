// Package logline writes log lines without ever holding up who logs: lines wait
// in a bounded queue, and those that don't fit are dropped and counted.
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines may wait to be written; at 400 bytes a line
// they take about 200 KB.
const queueLines = 512

// Writer is an io.Writer that never blocks. Close writes what waits.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line; it never fails and never waits.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and stops; lines written afterwards are dropped.
func (w *Writer) Close() error {
	w.once.Do(func() {
		w.lines <- nil
		<-w.done
	})
	return nil
}

// run writes lines until Close; after dropped lines it says how many.
func (w *Writer) run() {
	defer close(w.done)
	told := int64(0)
	for line := range w.lines {
		if line == nil {
			return
		}
		if dropped := w.Dropped(); dropped > told {
			fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped-told)
			told = dropped
		}
		// A log that can't be written has nowhere to be reported.
		_, _ = w.out.Write(line)
	}
}
