// Package reply writes the answer of an engine to a caller as it arrives, and makes sure that an
// incomplete answer never looks complete.
package reply

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/header"
)

// Writer writes one answer to a caller. It is not safe for concurrent use.
type Writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration // limit is the timeout of each write.
	stream  bool          // stream is set if each piece is flushed at once.
	aborted bool
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
	w.stream = resp.Length < 0
	w.w.WriteHeader(resp.Status)
}

// Write writes a piece of the body.
func (w *Writer) Write(p []byte) error {
	if err := w.control.SetWriteDeadline(time.Now().Add(w.limit)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
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

// Abort marks the answer as incomplete.
func (w *Writer) Abort() { w.aborted = true }

// Finish ends the answer. If it is incomplete, Finish panics with http.ErrAbortHandler to close the
// connection, so that the caller notices; the handler does nothing after it.
func (w *Writer) Finish() {
	if w.aborted {
		panic(http.ErrAbortHandler)
	}
}
