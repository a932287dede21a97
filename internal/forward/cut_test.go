package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/dispatch"
	"github.com/croftturn/croftturn/internal/forward"
)

// cutter passes connections on to another address and ends each after some bytes of the answer.
type cutter struct {
	listener net.Listener
	to       string
	after    atomic.Int64
	reset    bool
	passed   atomic.Int64 // passed is how many bytes were passed on by the connection that ended last.
}

// newCutter starts a cutter.
func newCutter(t *testing.T, to string, reset bool) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: l, to: to, reset: reset}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.pass(conn)
		}
	}()
	return c
}

// pass passes one connection on.
func (c *cutter) pass(from net.Conn) {
	to, err := net.Dial("tcp", c.to)
	if err != nil {
		from.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() {
		_, _ = io.Copy(to, from) // Either direction ends both.
		to.Close()
	})
	n, _ := io.Copy(from, io.LimitReader(to, c.after.Load()))
	c.passed.Store(n)
	if c.reset {
		_ = from.(*net.TCPConn).SetLinger(0)
	}
	from.Close()
	to.Close()
	both.Wait()
}

// TestForwardedAnswersCutAtAnyByteNeverLookWhole guards against answers that look whole though the node that they come
// from ended, or its connection, and against requests that run twice.
func TestForwardedAnswersCutAtAnyByteNeverLookWhole(t *testing.T) {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	for _, test := range []struct {
		route, body string
		length      int64
	}{{"unsafe", "well", 4}, {"unsafe", "well", -1}, {"stream", events, -1}} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s of length %d, reset %v", test.route, test.length, reset), func(t *testing.T) {
				t.Parallel()
				second := answering(200, test.length, func(context.Context) io.Reader { return strings.NewReader(test.body) })
				d := newNode(t, "n1", second, table(2, "k"), nil)
				_, _, l, server := newPairOf(t, d)
				c := newCutter(t, l.address, reset)
				refused := map[string]dispatch.Reason{}
				whole := func(after int64) bool {
					c.after.Store(after)
					link := &link{Client: forward.NewClient(), address: c.listener.Addr().String()}
					defer link.Close()
					first := newNode(t, "n0", &sender{serve: unreachable}, table(2, "k"), link)
					id := fmt.Sprint("cut after ", after)
					got := askAs(context.Background(), t, first, test.route, id)
					refused[id] = got.refusal
					return !got.aborted && got.refusal == "" && got.status == 200
				}
				if !whole(1 << 20) {
					t.Fatal("the whole answer is refused")
				}
				for c.passed.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				for i := range c.passed.Load() {
					if whole(i) {
						t.Errorf("an answer cut after %d bytes looks whole", i)
					}
				}
				server.Close() // What was sent runs until then, also after the connection was cut.
				second.mu.Lock()
				defer second.mu.Unlock()
				for id, refusal := range refused {
					if ran := second.runs[id]; ran > 1 || refusal != "" && !refusal.MayHaveRun() && ran > 0 {
						t.Errorf("%s: ran %d times, refused with %q", id, ran, refusal)
					}
				}
			})
		}
	}
}
