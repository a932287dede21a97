package forward_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/forward"
)

// TestEndlessBytesOfANodeAreNotRead guards against an answer without end from another node's address.
func TestEndlessBytesOfANodeAreNotRead(t *testing.T) {
	const bound = 8 << 20 // The kernel buffers some megabytes of what is not read.
	for _, beginning := range []string{"", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n\xff\xff\xff\xff", "HTTP/1.1 500 No\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		wrote := make(chan int, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			written := 0
			for out := []byte(beginning); ; out = bytes.Repeat([]byte("x"), 64<<10) {
				n, err := conn.Write(out)
				if written += n; err != nil {
					wrote <- written
					return
				}
			}
		}()
		c := forward.NewClient()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		begin := time.Now()
		_, refusal, err := c.Forward(ctx, l.Addr().String(), &dispatch.Request{ID: "a"}, dispatch.Forwarded{}, dial.Hooks{})
		if err == nil || refusal != nil || time.Since(begin) > 5*time.Second {
			t.Errorf("%q: %v after %v", beginning, err, time.Since(begin))
		}
		if n := <-wrote; n > bound {
			t.Errorf("%q: %d bytes were taken", beginning, n)
		}
		cancel()
		c.Close()
		l.Close()
	}
}
