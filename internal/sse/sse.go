// Package sse splits a stream of server-sent events into whole events without changing a byte.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEvent is the maximum length of an event, in bytes.
const maxEvent = 1 << 20

// ErrTooLong means that an event exceeds the maximum length.
var ErrTooLong = errors.New("sse: event too long")

type (
	// Event is one whole event.
	Event struct {
		Raw []byte // Raw is the event including the empty line that ends it; it is valid until the next call of Next.
		ID  string // ID is the event ID, empty if it has none.
	}

	// Reader reads events.
	Reader struct {
		lines *bufio.Reader
		raw   []byte
	}
)

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{lines: bufio.NewReaderSize(r, 1<<10)} }

// Next returns the next event. It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF
// if the last event is truncated.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	e := Event{}
	for {
		start := len(r.raw)
		err := r.line()
		if errors.Is(err, io.EOF) {
			return r.last(start)
		}
		if err != nil {
			return Event{}, fmt.Errorf("read event: %w", err)
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
	}
}

// last returns what follows the last whole event, whose lines are complete up to start: nothing, or
// comments, or an error if it is a truncated event.
func (r *Reader) last(start int) (Event, error) {
	switch {
	case len(r.raw) == 0:
		return Event{}, io.EOF
	case len(r.raw) > start || !onlyComments(r.raw):
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{Raw: r.raw}, nil
}

// onlyComments reports whether all lines are comments.
func onlyComments(lines []byte) bool {
	for line := range bytes.Lines(lines) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}

// line appends the next line to the event.
func (r *Reader) line() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEvent {
			return ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
