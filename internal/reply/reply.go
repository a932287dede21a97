// Package reply passes an engine's answer on to a caller, piece by piece, so that
// one which is not whole never looks whole.
package reply

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/header"
)

// Writer writes one answer to a caller. It is not safe for use by several goroutines.
type Writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration // limit bounds each write.
	stream  bool          // stream says that each piece goes out at once.
	aborted bool
}

// New returns a writer; limit bounds how long one write to the caller may block.
func New(w http.ResponseWriter, limit time.Duration) *Writer {
	return &Writer{w: w, control: http.NewResponseController(w), limit: limit}
}

// Begin begins an engine's answer.
func (w *Writer) Begin(resp *dispatch.Response) {
	h := w.w.Header()
	for name, values := range header.EndToEnd(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // The engine named none, and none is guessed.
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
		return fmt.Errorf("bound write: %w", err)
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

// Abort marks an answer that is not whole.
func (w *Writer) Abort() { w.aborted = true }

// Finish ends the answer. One that is not whole ends with its connection, so that
// the caller can see that; the caller of Finish does nothing after it.
func (w *Writer) Finish() {
	if w.aborted {
		panic(http.ErrAbortHandler)
	}
}
