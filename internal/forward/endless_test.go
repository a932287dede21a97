package forward_test

import (
	"context"
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
