package engine

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// writeEndless writes a beginning and then a piece again and again, until the connection is closed, and returns how
// many bytes went out.
func writeEndless(conn net.Conn, beginning, piece string) (written int) {
	chunk := bytes.Repeat([]byte(piece), 64<<10/len(piece))
	for out := []byte(beginning); ; out = chunk {
		n, err := conn.Write(out)
		if written += n; err != nil {
			return written
		}
	}
}

// TestEndlessBytesOfAnEngineAreNotRead guards against a head, line, comment or refusal without end.
func TestEndlessBytesOfAnEngineAreNotRead(t *testing.T) {
	const bytesBound, timeBound = 8 << 20, 5 * time.Second // The kernel buffers some megabytes of what is not read.
	client, watcher := NewClient(time.Second), NewWatcher()
	defer client.Close()
	readers := map[string]func(ctx context.Context, address string) error{
		"stream": func(ctx context.Context, address string) error {
			s, err := client.Start(ctx, address, http.Header{}, []byte("{}"))
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			return err
		},
		"service": func(ctx context.Context, address string) error {
			resp, err := client.Do(ctx, http.MethodGet, "http://"+address+"/", http.Header{}, nil)
			if err == nil {
				resp.Body.Close()
				return fmt.Errorf("its body is the caller's")
			}
			return err
		},
		"load": func(ctx context.Context, address string) error {
			_, err := watcher.fetch(ctx, address)
			return err
		},
	}
	for _, bytes := range [][2]string{
		{"", "x"}, {"HTTP/1.1 200 OK\r\nX: ", "x"}, {"HTTP/1.1 200 OK\r\n\r\ndata: ", "x"}, {"HTTP/1.1 200 OK\r\n\r\n", ": still here\n"}, {"HTTP/1.1 200 OK\r\n\r\n", "\n"}, {"HTTP/1.1 503 No\r\n\r\n", "x"},
	} {
		for name, read := range readers {
			t.Run(fmt.Sprintf("%s %q", name, bytes), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				wrote := make(chan int, 1)
				go func() {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					wrote <- writeEndless(conn, bytes[0], bytes[1])
				}()
				ctx, cancel := context.WithTimeout(context.Background(), 2*timeBound)
				defer cancel()
				begin := time.Now()
				if err := read(ctx, l.Addr().String()); err == nil {
					t.Error("endless bytes are accepted")
				}
				if took := time.Since(begin); took > timeBound {
					t.Errorf("ended after %v", took)
				}
				if n := <-wrote; n > bytesBound {
					t.Errorf("%d bytes were taken", n)
				}
			})
		}
	}
}
