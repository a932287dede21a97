package front_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestHopByHopHeadersAreDropped checks that hop-by-hop headers and the team's token
// don't reach a backend server.
func TestHopByHopHeadersAreDropped(t *testing.T) {
	var got http.Header
	r := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		got = req.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
		fmt.Fprint(w, "x")
	})
	resp, _ := r.send(t, "/services/bids/x", "b", "Proxy-Authorization", "p", "Connection", "X-Private", "X-Private", "1", "X-Kept", "1")
	for _, name := range []string{"Proxy-Authorization", "X-Private", "Authorization"} {
		if got.Get(name) != "" {
			t.Errorf("%s reached the backend server", name)
		}
	}
	if got.Get("X-Kept") != "1" || resp.Header.Get("Keep-Alive") != "" {
		t.Errorf("request %v, answer %v", got, resp.Header)
	}
}
