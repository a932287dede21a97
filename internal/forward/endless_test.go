package forward_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/forward"
	"github.com/croftturn/croftturn/internal/testendless"
)

// TestEndlessBytesOfANodeAreNotRead guards against an answer without end from another node's address.
func TestEndlessBytesOfANodeAreNotRead(t *testing.T) {
	const wroteBound, heldBound = 8 << 20, 8 << 20 // The kernel buffers some megabytes of what is not read; a head has up to 2 MB.
	head := testendless.Bytes{Name: "long head", Beginning: "HTTP/1.1 200 OK\r\n\r\n\xff\xff\xff\xff", Piece: "x"}
	odd := testendless.Bytes{Name: "head that is none", Beginning: "HTTP/1.1 200 OK\r\n\r\n\x00\x1f\xff\xff", Piece: "\x9f"}
	for _, b := range append(append(testendless.Heads(), testendless.Bodies("")...), head, odd) {
		t.Run(b.Name, func(t *testing.T) {
			address, wrote := b.Serve(t)
			c := forward.NewClient()
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			begin := time.Now()
			held := testendless.Held(func() {
				_, refusal, err := c.Forward(ctx, address, &dispatch.Request{ID: "a"}, dispatch.Forwarded{}, dial.Hooks{})
				if err == nil || refusal != nil || time.Since(begin) > 5*time.Second {
					t.Errorf("%v after %v", err, time.Since(begin))
				}
			})
			if n := wrote(); n > wroteBound || held > heldBound {
				t.Errorf("%d bytes were taken and %d held", n, held)
			}
		})
	}
}

// TestRequestThatNamesAHugeLengthIsRefused guards against a length that is allocated before it has come.
func TestRequestThatNamesAHugeLengthIsRefused(t *testing.T) {
	server := httptest.NewServer(forward.NewHandler(newNode(t, "n1", &sender{serve: unreachable}, table(1, "k"), nil), forward.Limits{Read: 5 * time.Second, Write: time.Second}, slog.New(slog.DiscardHandler)))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go io.WriteString(conn, "POST "+forward.Path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n"+strings.Repeat("x", 128<<10))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("got %v, %v", resp, err)
	}
}
