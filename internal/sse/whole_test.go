package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/croftturn/croftturn/internal/sse"
)

// TestEveryCutInsideAnEventIsFound cuts streams at every byte, for each kind of line end.
func TestEveryCutInsideAnEventIsFound(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		var text strings.Builder
		whole := map[int]bool{}
		write := func(lines ...string) {
			for _, line := range lines {
				text.WriteString(line + end)
			}
		}
		write(": first", "")
		for range 3 {
			write("id: 1", "data: x", ": inside", "data: y", "")
			whole[text.Len()] = true
			write(": after")
			whole[text.Len()] = true
		}
		for cut := range text.Len() + 1 {
			cutText := text.String()[:cut]
			for _, r := range []io.Reader{strings.NewReader(cutText), iotest.OneByteReader(strings.NewReader(cutText))} {
				got, err := io.ReadAll(sse.NewWholeReader(r))
				if found := errors.Is(err, io.ErrUnexpectedEOF); found == whole[cut] || string(got) != cutText {
					t.Errorf("%q: cut found %v, want %v", cutText, found, !whole[cut])
				}
			}
		}
	}
}

func BenchmarkWholeReader(b *testing.B) {
	text := strings.Repeat("id: 17\ndata: "+strings.Repeat("x", 100)+"\n\n", 40)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := io.Copy(io.Discard, struct{ io.Reader }{sse.NewWholeReader(strings.NewReader(text))}); err != nil {
			b.Fatal(err)
		}
	}
}
