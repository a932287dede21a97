package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestAnswersCutAtAnyByteNeverLookWhole guards against successes with an empty or short body, and against whole answers
// that are refused: a backend server stops at each byte of its answer, and closes or resets the connection.
func TestAnswersCutAtAnyByteNeverLookWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX: y\r\n"
	const unframed = head + "Connection: close\r\n\r\n"
	chat := strings.TrimSuffix(event("hi"), "\n") + "\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
	for _, test := range []struct{ name, path, body, text string }{
		{"length", "/services/bids/x", "hello", head + "Content-Length: 5\r\n\r\nhello"},
		{"length of 0", "/services/bids/x", "", head + "Content-Length: 0\r\n\r\n"},
		{"chunks", "/services/bids/x", "hello", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"HTTP/1.0", "/services/bids/x", "hello", "HTTP/1.0" + head[8:] + "Content-Length: 5\r\n\r\nhello"},
		{"no content", "/services/bids/x", "", strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n"},
		{"ends with its connection", "/services/bids/x", "hello", unframed + "hello"},
		{"chat", "/v1/chat/completions", chat, unframed + chat},
		{"chat in chunks", "/v1/chat/completions", chat, head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(chat), chat)},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", test.name, reset), func(t *testing.T) {
				t.Parallel()
				var at atomic.Int64
				r := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body) // The node may have closed the connection.
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, test.text[:at.Load()])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					conn.Close()
				})
				for i := range len(test.text) + 1 {
					at.Store(int64(i))
					status, body, whole := r.exchange(t, test.path)
					shown := whole && status < http.StatusMultipleChoices
					// What ends with its connection can't be told from a whole answer once its head is there; a chat is whole once
					// it says so.
					hidden := !reset && strings.HasPrefix(test.text, unframed) && i >= len(unframed) && (test.path[1] == 's' || strings.Contains(test.text[:i], "[DONE]"))
					done := test.path[1] == 'v' && strings.Contains(test.text[:i], "[DONE]\n")
					switch {
					case i == len(test.text) && !reset && (!shown || body != test.body):
						t.Errorf("whole: got status %d, %q", status, body)
					case i < len(test.text) && shown && !hidden && !done:
						t.Errorf("cut after %q: got status %d, %q as a whole answer", test.text[:i], status, body)
					}
				}
			})
		}
	}
}

// exchange sends a request that must not be repeated. whole is set if its answer is complete.
func (r *testServer) exchange(t *testing.T, path string) (status int, body string, whole bool) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.url+path, strings.NewReader(hello))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Croftturn-Not-Repeatable", "true")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err == nil
}

// TestSwitchOfProtocolsIsNoAnswer guards against a backend server's 101 that its caller gets as an answer.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	for _, path := range []string{"/services/bids/x", "/v1/chat/completions"} {
		r := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // The node may have closed the connection.
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nhello")
			conn.Close()
		})
		if status, body, whole := r.exchange(t, path); status != http.StatusBadGateway || !whole {
			t.Errorf("%s: got status %d, %q, whole %v, want 502", path, status, body, whole)
		}
	}
}
