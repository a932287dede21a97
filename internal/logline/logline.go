// Package logline writes log lines without blocking the logging goroutine. Lines are
// queued in a bounded queue; those that don't fit are dropped and counted.
package logline

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines is the capacity of the queue; at 400 bytes per line it takes about
// 200 KB.
const queueLines = 512

// Writer is an io.Writer that never blocks. Close flushes the queue.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never fails or blocks.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close flushes the queue and stops; lines written afterwards are dropped. It returns the error of the context if nobody
// takes the lines in time.
func (w *Writer) Close(ctx context.Context) error {
	select {
	case w.lines <- nil:
	case <-w.done:
	case <-ctx.Done():
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("flush log: %w", ctx.Err())
	}
}

// run writes queued lines until Close and reports the number of dropped lines.
func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		if line == nil {
			return
		}
		if dropped := w.Dropped(); dropped > reported {
			fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped-reported)
			reported = dropped
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(line)
	}
}
