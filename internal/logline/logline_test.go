package logline_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/croftturn/croftturn/internal/logline"
)

// blocked is a writer that blocks until open is closed.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestBlockedOutputDropsLines checks that lines are dropped and counted instead of
// blocking, and that the count is logged once the output accepts lines again.
func TestBlockedOutputDropsLines(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	w := logline.New(out)
	for range 5000 {
		if _, err := w.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped")
	}
	close(out.open)
	if err := w.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.text.String(), `"log lines dropped","count":`) {
		t.Error("the count of dropped lines is not told")
	}
	if got := int64(strings.Count(out.text.String(), "{}\n")) + w.Dropped(); got != 5000 {
		t.Errorf("%d lines written or dropped, want 5000", got)
	}
}
