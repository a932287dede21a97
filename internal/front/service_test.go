package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/front"
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

// TestServicePathsArriveUnchanged guards against a backend server that runs a call with another path or query than its caller sent.
func TestServicePathsArriveUnchanged(t *testing.T) {
	var got string
	r := newTestServer(t, func(_ http.ResponseWriter, req *http.Request) { got = req.RequestURI })
	for _, path := range []string{"/x", "/a%3Fb", "/a%2Fb?c=%3F", "/a%20b", "/a%25b", "/%2F/x", "/"} {
		if resp, body := r.send(t, "/services/bids"+path, "x"); resp.StatusCode != http.StatusOK || got != path {
			t.Errorf("%q reached the backend server as %q (status %d, %s)", path, got, resp.StatusCode, body)
		}
	}
}

func TestUnframedServiceStreamCutInsideAnEventNeverLooksComplete(t *testing.T) {
	for body, whole := range map[string]bool{"data: x\n\n": true, "data: x\n\ndata: y\n": false, "": false} {
		r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", body)
		})
		req, err := http.NewRequest(http.MethodPost, r.url+"/services/bids/x", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+token)
		got := []byte(nil)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			got, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		if complete := err == nil && resp.StatusCode == http.StatusOK; complete != whole || whole && string(got) != body {
			t.Errorf("%q: complete %v (%q, %v)", body, complete, got, err)
		}
	}
}

// TestServiceStreamIsPassedOnAsItArrives guards against events that lie in a buffer until their stream ends, whether or not it
// names its length, and whether or not the answer is kept for a key.
func TestServiceStreamIsPassedOnAsItArrives(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for _, headers := range [][]string{{}, {"Content-Length", fmt.Sprint(2 * len(event))}} {
		for _, key := range []string{"", "ticket"} {
			next := make(chan struct{})
			r := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for i := 0; i+1 < len(headers); i += 2 {
					w.Header().Set(headers[i], headers[i+1])
				}
				fmt.Fprint(w, event)
				if err := http.NewResponseController(w).Flush(); err != nil {
					t.Error(err)
				}
				<-next
				fmt.Fprint(w, event)
			})
			if key != "" {
				key = r.ticket(t)
			}
			req, err := http.NewRequest(http.MethodPost, r.url+"/services/bids/x", strings.NewReader("b"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+token)
			req.Header.Set(front.HeaderKey, key)
			late := time.AfterFunc(2*time.Second, func() { close(next) })
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadFull(resp.Body, make([]byte, len(event)))
			if !late.Stop() {
				t.Errorf("%v, key %q: the first event arrives with the second", headers, key)
			} else {
				close(next)
			}
			rest, restErr := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || restErr != nil || string(rest) != event {
				t.Errorf("%v, key %q: got %v, then %q, %v", headers, key, err, rest, restErr)
			}
		}
	}
}
