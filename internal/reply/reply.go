// Package reply writes the answer of an engine to a caller as it arrives, and makes sure that an
// incomplete answer never looks complete.
package reply

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/header"
)

// errInterrupted means that a write was interrupted.
var errInterrupted = errors.New("reply: write interrupted")

// Writer writes one answer to a caller. It is not safe for concurrent use, except that
// Interrupt, Extend and Abort may be called during a Write.
type Writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration // limit is the timeout of each write.
	stream  bool          // stream is set if each piece is flushed at once.
	aborted bool

	interrupted atomic.Bool
}

// New returns a writer; limit is the timeout of one write to the caller.
func New(w http.ResponseWriter, limit time.Duration) *Writer {
	return &Writer{w: w, control: http.NewResponseController(w), limit: limit}
}

// Begin writes the head of an answer.
func (w *Writer) Begin(resp *dispatch.Response) {
	h := w.w.Header()
	for name, values := range header.EndToEnd(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // The engine sent none; nil keeps net/http from guessing one.
	}
	if resp.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	w.stream = resp.Length < 0 || header.EventStream(resp.Header)
	w.w.WriteHeader(resp.Status)
}

// Write writes a piece of the body.
func (w *Writer) Write(p []byte) error {
	if err := w.control.SetWriteDeadline(time.Now().Add(w.limit)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if w.interrupted.Load() {
		w.expire() // The deadline above must not delay the end of the connection.
		return errInterrupted
	}
	if _, err := w.w.Write(p); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if !w.stream {
		return nil
	}
	if err := w.control.Flush(); err != nil {
		return fmt.Errorf("flush to caller: %w", err)
	}
	return nil
}

// Interrupt makes a blocked write and all later ones fail at once.
func (w *Writer) Interrupt() {
	w.interrupted.Store(true)
	w.expire()
}

// Extend gives a blocked write the timeout again. An error means that the connection is closed, which
// ends the write too.
func (w *Writer) Extend() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.limit))
	if w.interrupted.Load() {
		w.expire()
	}
}

// expire sets a write deadline that has passed. An error means that the connection is closed, which ends
// a blocked write too.
func (w *Writer) expire() { _ = w.control.SetWriteDeadline(time.Unix(1, 0)) }

// Abort marks the answer as incomplete.
func (w *Writer) Abort() { w.aborted = true }

// Finish ends the answer. If it is incomplete, Finish panics with http.ErrAbortHandler to close the
// connection, so that the caller notices; the handler does nothing after it.
func (w *Writer) Finish() {
	if w.aborted {
		panic(http.ErrAbortHandler)
	}
}
