package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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
