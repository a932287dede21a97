package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/croftturn/croftturn/internal/sse"
)

// TestEventsAreWholeAndUnchanged reads a stream one byte at a time and checks that its events are
// whole and unchanged.
func TestEventsAreWholeAndUnchanged(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\ndata: " + "long" + "\n\n"
	r := sse.NewReader(iotest.OneByteReader(strings.NewReader(text)))
	var all strings.Builder
	var ids []string
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		all.Write(e.Raw)
		ids = append(ids, e.ID)
	}
	if all.String() != text || strings.Join(ids, ",") != "1,2," {
		t.Errorf("got %q with ids %q", all.String(), ids)
	}
}

// TestTruncatedEvent checks that a truncated event is not returned.
func TestTruncatedEvent(t *testing.T) {
	r := sse.NewReader(strings.NewReader("id: 1\n\nid: 2\ndata:"))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want io.ErrUnexpectedEOF", err)
	}
	long := sse.NewReader(strings.NewReader("data: " + strings.Repeat("x", 2<<20) + "\n\n"))
	if _, err := long.Next(); !errors.Is(err, sse.ErrTooLong) {
		t.Errorf("got %v, want ErrTooLong", err)
	}
}
