package dial_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/croftturn/croftturn/internal/dial"
)

// answers starts a server that sends each request the same text and closes the connection.
func answers(t *testing.T, text string) (url string) {
	t.Helper()
	return serve(t, func(conn *net.TCPConn, rest *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, rest, 3)
		_, _ = io.WriteString(conn, text) // The client may have gone.
	})
}

// TestOddHeadIsNoAnswer guards against an answer whose fields are not those that its server meant: a name with a blank stands
// for another field, so that a body gets another length, and a line that begins with a blank is added to the field before it.
func TestOddHeadIsNoAnswer(t *testing.T) {
	client := &http.Client{Transport: dial.NewTransport(&http.Transport{})}
	for _, line := range []string{
		"X Trace: a", "X-Trace : a", " X-Trace: a", "\tX-Trace: a", "X-Trace\t: a", "X\x01Trace: a", "X\x7fTrace: a", "X\x80Trace: a", "X(Trace): a", ": a", "X-Trace",
		"X-Trace: a\x00b", "X-Trace: a\rb", "X-Tr\race: a", "Content-Length : 2", " Content-Length: 2", "Content-Length\t: 3", "Transfer-Encoding : chunked",
	} {
		for position, text := range map[string]string{
			"first":        "HTTP/1.1 200 OK\r\n" + line + "\r\nX-A: a\r\n\r\nwhole",
			"last":         "HTTP/1.1 200 OK\r\nX-A: a\r\n" + line + "\r\n\r\nwhole",
			"lines end LF": "HTTP/1.1 200 OK\nX-A: a\n" + line + "\n\nwhole",
			"interim":      "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
			"after one":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: a\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwhole",
		} {
			if got, err := post(client, answers(t, text), 3); err == nil {
				t.Errorf("%q, %s: got %q as an answer", line, position, got)
			}
		}
	}
	for _, line := range []string{"X Trace: a", "X-Trace : a"} {
		if got, err := post(client, answers(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"+line+"\r\n\r\n"), 3); err == nil {
			t.Errorf("%q in the trailer: got %q as a whole answer", line, got)
		}
	}
}

// TestProperHeadsAreTaken guards against answers that are refused though their heads are valid, or as old servers write them.
func TestProperHeadsAreTaken(t *testing.T) {
	client := &http.Client{Transport: dial.NewTransport(&http.Transport{})}
	const length = "Content-Length: 5\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + length, "HTTP/1.1 200\r\n" + length, "HTTP/1.1 200 \r\n" + length, "HTTP/1.0 200 OK\r\n" + length, "HTTP/1.1 200 OK: well, \xfcber\r\n" + length,
		"HTTP/1.1 200 OK\r\nX-A:\r\n" + length, "HTTP/1.1 200 OK\r\nX-A:b:c \t \r\n" + length, "HTTP/1.1 200 OK\r\nX-A: \xe4\t\xff\r\n" + length,
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a\r\n" + length, "HTTP/1.1 200 OK\n" + length, "HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: a\r\n", 2000) + length,
	} {
		if got, err := post(client, answers(t, head+"\r\nwhole"), 3); got != "whole" || err != nil {
			t.Errorf("%.60q: got %q, %v", head, got, err)
		}
	}
	if got, err := post(client, answers(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-B\r\n\r\n5\r\nwhole\r\n0\r\nX-B: b\r\n\r\n"), 3); got != "whole" || err != nil {
		t.Errorf("trailer: got %q, %v", got, err)
	}
}
