package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/config"
	"github.com/croftturn/croftturn/internal/engine"
)

// newOddServer starts a server that sends each request the same text once it has the head of it, and resets the connection.
func newOddServer(t *testing.T, text string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := conn.Read(make([]byte, 4<<10)); err == nil {
				_, _ = io.WriteString(conn, text) // The client may have gone.
			}
			time.Sleep(time.Duration(i%6) * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	return l.Addr().String()
}

// TestAnswerResetWhileItsUploadIsWrittenIsNotWhole guards against a caller of a backend server that gets a part of an answer
// without a length as the whole of it, since the write of the upload took the error of the reset.
func TestAnswerResetWhileItsUploadIsWrittenIsNotWhole(t *testing.T) {
	address := newOddServer(t, "HTTP/1.1 200 OK\r\n\r\npart")
	c := engine.NewClient(stall)
	defer c.Close()
	const rounds = 60
	whole := 0
	for range rounds {
		resp, err := c.Do(context.Background(), http.MethodPost, "http://"+address+"/x", http.Header{}, make([]byte, 8<<20))
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			whole++
		}
		resp.Body.Close()
	}
	if whole > 0 {
		t.Errorf("%d of %d broken answers counted as whole", whole, rounds)
	}
}

// TestOddStatusIsNoAnswer guards against a caller that gets what a backend server sent under a status that is none, and
// against a load that is read out of an answer that is no report.
func TestOddStatusIsNoAnswer(t *testing.T) {
	const report = `{"running":7}`
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		address := newOddServer(t, fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(report), report))
		c := engine.NewClient(stall)
		if resp, err := c.Do(context.Background(), http.MethodGet, "http://"+address+"/x", http.Header{}, nil); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("status %s: got %+v, %v", status, resp, err)
		}
		c.Close()
	}
	for status, want := range map[string]int{"200": 7, "000": 0, "500": 0, "600": 0} {
		address := newOddServer(t, fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(report), report))
		w := engine.NewWatcher()
		w.Watch([]*config.Engine{{Name: "e", Address: address}})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		w.Run(ctx)
		cancel()
		if got := w.Load("e").Running; got != want {
			t.Errorf("status %s: %d requests run, want %d", status, got, want)
		}
	}
}

// TestOddFieldNameIsNoAnswer guards against a caller that gets a body of another length than the backend server meant.
func TestOddFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range []string{"X Trace: a", "X-Trace : a", "Content-Length : 2", " Content-Length: 2", "Transfer-Encoding : chunked"} {
		address := newOddServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"+line+"\r\n\r\nodd")
		c := engine.NewClient(stall)
		if resp, err := c.Do(context.Background(), http.MethodGet, "http://"+address+"/x", http.Header{}, nil); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("%q: got %+v, %v", line, resp, err)
		}
		c.Close()
	}
}
