package forward_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	connection "github.com/croftturn/croftturn/internal/caller"
	"github.com/croftturn/croftturn/internal/dial"
	"github.com/croftturn/croftturn/internal/forward"
	"github.com/croftturn/croftturn/internal/linger"
	"github.com/croftturn/croftturn/internal/placement"
	"github.com/croftturn/croftturn/internal/retry"
)

// dropFIN makes the kernel of a connection's other end send its close again and again, as over a link that loses it. It fails if the
// connection is closed.
func dropFIN(t *testing.T, conn net.Conn) error {
	t.Helper()
	if request, ok := conn.(*dial.RequestConn); ok {
		conn = request.Conn
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const flags, fin = 13, 0x01 // The byte of the flags in a TCP header, and one of them.
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: fin, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffff},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil {
		t.Fatal(err)
	}
	return controlErr
}

type (
	// watchedListener keeps the last connection that it accepted.
	watchedListener struct {
		net.Listener
		last atomic.Pointer[watchedConn]
	}

	// watchedConn is a connection that can be ended in place of the next read.
	watchedConn struct {
		*net.TCPConn
		end atomic.Pointer[func(c *net.TCPConn)]
	}
)

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{TCPConn: c.(*net.TCPConn)}
	l.last.Store(watched)
	return watched, nil
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if end := c.end.Load(); end != nil && n > 0 {
		(*end)(c.TCPConn)
		return 0, net.ErrClosed
	}
	return n, err
}

// awaitClose waits until a connection is closed, unless that is to come with the next read.
func awaitClose(t *testing.T, c *watchedConn) {
	t.Helper()
	state := connection.ConnOf(connection.WithConn(t.Context(), c))
	for end := time.Now().Add(5 * time.Second); c.end.Load() == nil && !state.Left(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is not closed")
		}
	}
}

// TestRequestThatCrossesTheCloseOfItsNodeIsSentToAnother guards against forwarded requests that fail, or wait for their
// deadline, since the node closed the connection under them without having read them.
func TestRequestThatCrossesTheCloseOfItsNodeIsSentToAnother(t *testing.T) {
	quiet, noRetries := slog.New(slog.DiscardHandler), retry.Limits{Window: 10 * time.Second}
	underNextRead := func(end func(c *net.TCPConn)) func(*linger.Server, *watchedConn) {
		return func(_ *linger.Server, c *watchedConn) { c.end.Store(&end) }
	}
	for name, test := range map[string]struct {
		end    func(s *linger.Server, c *watchedConn)
		silent bool // silent is set if nothing tells of the end, as long as the link loses it.
	}{
		"server ends":           {func(s *linger.Server, _ *watchedConn) { go func() { _ = s.Shutdown(t.Context()) }() }, true}, // It is closed in the end.
		"closed before":         {func(_ *linger.Server, c *watchedConn) { c.TCPConn.Close() }, false},
		"reset under the head":  {underNextRead(func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }), false}, // An error shows as another end.
		"closed under the head": {underNextRead(func(c *net.TCPConn) { c.Close() }), true},
		"silent under the head": {underNextRead(func(*net.TCPConn) { <-t.Context().Done() }), true},
	} {
		for _, route := range []string{"safe", "unsafe", "stream", "resumable"} {
			t.Run(name+", "+route, func(t *testing.T) {
				t.Parallel()
				l, err := linger.Listen(t.Context(), "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				watched := &watchedListener{Listener: l}
				ending := answering(200, -1, func(context.Context) io.Reader { return strings.NewReader("id: 1\n\n") })
				handler := forward.NewHandler(newNode(t, "n1", ending, table(2, "k"), nil), forward.Limits{Read: time.Second, Write: time.Second}, quiet)
				server := linger.New(&http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ConnContext: connection.WithConn}, &linger.Stats{}, quiet)
				go server.Add(watched)()
				t.Cleanup(func() { _ = server.Close() })
				p := placement.New("hall")
				p.Set(placement.Engine{ID: "e", Pool: "p", Hall: "hall", Slots: 8})
				other := answering(200, -1, func(context.Context) io.Reader { return strings.NewReader("id: 2\n\n") })
				_, _, last, _ := newPairOf(t, newNodeWithBudget(t, "n2", other, table(2, "k"), nil, p, noRetries))
				c := &chain{link: last, addresses: []string{l.Addr().String(), last.address}}
				var kept net.Conn
				forward.OnDial(last.Client, func(conn net.Conn) {
					if conn.RemoteAddr().String() == l.Addr().String() {
						kept = conn
					}
				})
				first := newNodeWithBudget(t, "n0", &sender{serve: unreachable}, table(2, "k"), c, p, noRetries)
				for tries := 0; ; tries++ { // An answer whose end comes late closes its connection.
					c.next.Store(0)
					if got := ask(t.Context(), t, first, "safe"); got.got() != "id: 1\n\n" {
						t.Fatalf("the first request got %+v", got)
					}
					time.Sleep(time.Millisecond)
					if err := dropFIN(t, kept); err == nil {
						break
					} else if tries == 20 {
						t.Fatal(err)
					}
				}
				ran := ending.count()
				test.end(server, watched.last.Load())
				awaitClose(t, watched.last.Load())
				c.next.Store(0)
				if !test.silent {
					forward.SetTakeTimeout(last.Client, time.Minute)
				}
				if got := ask(t.Context(), t, first, route); got.aborted || got.got() != "id: 2\n\n" || ending.count() != ran {
					t.Errorf("got %+v, sent to %d engines of the ending node", got, ending.count()-ran)
				}
			})
		}
	}
}
