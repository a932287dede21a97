package dial

import (
	"fmt"
	"strings"
)

// MaxHeadBytes limits the head of a response. A server in trouble may send bytes without end that are none; the
// transport's own limit is 10 MB for each connection.
const MaxHeadBytes = 64 << 10

// statusAt is where the status begins in the first line of an answer, after the version; statusEnd is where it ends.
const (
	statusAt  = len("HTTP/1.1 ")
	statusEnd = statusAt + len("200")
)

// headCheck checks the head of one answer, and those of interim answers before it, as they arrive. net/http takes names of
// fields with blanks, which then stand for other fields, and adds a line that begins with a blank to the field before it.
// The zero value awaits the first byte.
type headCheck struct {
	lines  int             // lines is how many lines of the present head are complete.
	column int             // column is how many bytes of the present line have come.
	first  [statusEnd]byte // first holds the beginning of the first line.
	named  bool            // named is set once the present line has a name.
	cr     bool            // cr is set if the last byte was CR.
	done   bool            // done is set once the head of the final answer is complete.
}

// read checks the next bytes of a connection; those of the body are of no interest.
func (h *headCheck) read(p []byte) error {
	for _, b := range p {
		if h.done {
			return nil
		}
		if err := h.readByte(b); err != nil {
			return err
		}
	}
	return nil
}

// readByte checks one byte of a head.
func (h *headCheck) readByte(b byte) error {
	switch {
	case b == '\n':
		return h.endLine()
	case h.cr:
		return fmt.Errorf("CR inside a line of the head: %w", ErrMalformed)
	case b == '\r':
		h.cr = true
		return nil
	case b == 0:
		return fmt.Errorf("NUL in the head: %w", ErrMalformed)
	case h.lines == 0:
		if h.column < len(h.first) {
			h.first[h.column] = b
		}
	case h.named:
	case b == ':' && h.column > 0:
		h.named = true
	case !nameByte(b):
		return fmt.Errorf("byte %q in the name of a field: %w", b, ErrMalformed)
	}
	h.column++
	return nil
}

// endLine ends a line, and the head if the line is empty.
func (h *headCheck) endLine() error {
	switch {
	case h.lines > 0 && h.column == 0:
		status := string(h.first[statusAt:])
		if interim := status[0] == '1' && status != "101"; interim {
			*h = headCheck{}
			return nil
		}
		h.done = true
	case h.lines > 0 && !h.named:
		return fmt.Errorf("line without a name in the head: %w", ErrMalformed)
	}
	h.lines, h.column, h.named, h.cr = h.lines+1, 0, false, false
	return nil
}

// nameByte reports whether a byte may stand in the name of a field.
func nameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// ValidName reports whether a text may be the name of a field.
func ValidName(name string) bool {
	for i := range len(name) {
		if !nameByte(name[i]) {
			return false
		}
	}
	return name != ""
}
