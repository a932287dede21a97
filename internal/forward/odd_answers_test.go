package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/forward"
)

// newOddNode starts what is called as a node and answers each forwarded request that it has read with a text.
func newOddNode(t *testing.T, text string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n") // The client may have gone.
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// recordedAnswer returns a forwarded answer with a head, without its framing.
func recordedAnswer(t *testing.T, head *forward.ResponseHead, body string) string {
	t.Helper()
	raw, err := forward.WriteHead(head)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw) + body
}

// TestUnframedAnswerOfANodeIsNotWhole guards against a part of a forwarded answer that counts as the whole of it, since the
// node that sent it ended.
func TestUnframedAnswerOfANodeIsNotWhole(t *testing.T) {
	address := newOddNode(t, "HTTP/1.1 200 OK\r\n\r\n"+recordedAnswer(t, &forward.ResponseHead{Status: 200, Length: -1}, "part"))
	if body, err := forwardOnce(t, address); err == nil {
		t.Errorf("got %q as the whole answer", body)
	}
}

// forwardOnce forwards a request and returns the body of the answer.
func forwardOnce(t *testing.T, address string) (string, error) {
	t.Helper()
	c := forward.NewClient()
	defer c.Close()
	r := &dispatch.Request{ID: "a", Host: "h", Path: "/x", Method: http.MethodPost, Target: "/x", Body: []byte(strings.Repeat("u", 100))}
	resp, refusal, err := c.Forward(context.Background(), address, r, dispatch.Forwarded{}, dial.Hooks{})
	if err != nil {
		return "", err
	}
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestOddStatusOfANodeIsNoAnswer guards against a request that is sent again though it may have run, since a status that is
// none counted as a refusal, and against a client that gets such a status out of the head of a forwarded answer.
func TestOddStatusOfANodeIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 7, 99, 600, 999} {
		for name, text := range map[string]string{
			"of the node":   fmt.Sprintf("HTTP/1.1 %03d Odd\r\nContent-Length: 0\r\n\r\n", status),
			"of the answer": chunked(recordedAnswer(t, &forward.ResponseHead{Status: status, Length: 3}, "odd")),
		} {
			if body, err := forwardOnce(t, newOddNode(t, text)); err == nil || errors.Is(err, dispatch.ErrNotSent) {
				t.Errorf("status %03d %s: got %q, %v, want an error of a request that may have run", status, name, body, err)
			}
		}
	}
}

// chunked returns an answer in one chunk.
func chunked(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestOddFieldOfANodeIsNoAnswer guards against a client that gets fields with odd names, which came from another node.
func TestOddFieldOfANodeIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"of the node":   strings.Replace(chunked(recordedAnswer(t, &forward.ResponseHead{Status: 200, Length: 4}, "body")), "\r\n", "\r\nX-Trace : a\r\n", 1),
		"of the answer": chunked(recordedAnswer(t, &forward.ResponseHead{Status: 200, Length: 4, Header: http.Header{"X Trace": {"a"}}}, "body")),
	} {
		if body, err := forwardOnce(t, newOddNode(t, text)); !errors.Is(err, dial.ErrMalformed) || errors.Is(err, dispatch.ErrNotSent) {
			t.Errorf("%s: got %q, %v", name, body, err)
		}
	}
	if body, err := forwardOnce(t, newOddNode(t, chunked(recordedAnswer(t, &forward.ResponseHead{Status: 200, Length: 4, Header: http.Header{"X-Trace": {"a"}}}, "body")))); body != "body" || err != nil {
		t.Errorf("a proper answer: got %q, %v", body, err)
	}
}
