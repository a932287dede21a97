package header_test

import (
	"net/http"
	"testing"

	"github.com/croftturn/croftturn/internal/header"
)

// TestEndToEnd checks which headers are kept, and that the original message is not modified.
func TestEndToEnd(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Own", " x-other"}, "X-Own": {"1"}, "X-Other": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "Expect": {"100-continue"}, "X-Kept": {"a", "b"}, "Cookie": {"c"},
	}
	before := len(h)
	got := header.EndToEnd(h)
	if len(got) != 2 || len(got["X-Kept"]) != 2 || got.Get("Cookie") != "c" {
		t.Errorf("got %v", got)
	}
	if len(h) != before {
		t.Error("the original message was modified")
	}
}
