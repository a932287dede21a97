package sse

import (
	"bytes"
	"errors"
	"io"
)

// WholeReader reads a stream whose end is only the end of its connection, and returns
// io.ErrUnexpectedEOF instead of io.EOF if the stream was cut off: inside an event, inside a line, or
// before its first event. It holds nothing back.
type WholeReader struct {
	r io.Reader

	partial bool // partial is set inside a line.
	comment bool // comment is set if that line is a comment.
	open    bool // open is set while an event has lines but not the empty line that ends it.
	begun   bool // begun is set once an event has ended.
	cr      bool // cr is set if the last byte was a carriage return.
	crlf    bool // crlf is set if the last whole line ended in a carriage return and a line feed.
}

// NewWholeReader returns a reader of the stream in r.
func NewWholeReader(r io.Reader) *WholeReader { return &WholeReader{r: r} }

// Read reads from the stream. The error is io.ErrUnexpectedEOF if the stream was cut off.
func (w *WholeReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	w.scan(p[:n])
	if errors.Is(err, io.EOF) && !w.whole() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// whole reports whether the stream may end here. A carriage return alone ends a line only in streams
// whose other lines end so.
func (w *WholeReader) whole() bool {
	return w.begun && !w.open && !w.partial && !(w.cr && w.crlf)
}

// scan follows the lines of a piece of the stream.
func (w *WholeReader) scan(p []byte) {
	for len(p) > 0 {
		if w.cr && p[0] == '\n' {
			w.cr, w.crlf = false, true
			p = p[1:]
			continue
		}
		if w.cr {
			w.cr, w.crlf = false, false
		}
		end := bytes.IndexAny(p, "\r\n")
		if end < 0 {
			w.part(p)
			return
		}
		w.part(p[:end])
		w.endLine()
		if w.cr = p[end] == '\r'; !w.cr {
			w.crlf = false
		}
		p = p[end+1:]
	}
}

// part follows a part of a line.
func (w *WholeReader) part(p []byte) {
	if len(p) == 0 {
		return
	}
	if !w.partial {
		w.partial, w.comment = true, p[0] == ':'
	}
}

// endLine follows the end of a line; an empty one ends the event.
func (w *WholeReader) endLine() {
	switch {
	case !w.partial:
		w.begun = w.begun || w.open
		w.open = false
	case !w.comment:
		w.open = true
	}
	w.partial = false
}
