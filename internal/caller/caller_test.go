package caller_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/croftturn/croftturn/internal/caller"
)

// connect returns both ends of a connection.
func connect(t testing.TB, network string) (client, server net.Conn) {
	t.Helper()
	address := "127.0.0.1:0"
	if network == "unix" {
		dir, err := os.MkdirTemp("", "caller")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { os.RemoveAll(dir) })
		address = dir + "/socket"
	}
	l, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial(network, l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// TestCloseIsKnownBehindUnreadData checks that the state of a connection does not depend on what was read of it.
func TestCloseIsKnownBehindUnreadData(t *testing.T) {
	tests := map[string]struct {
		network string
		wrap    func(net.Conn) net.Conn
		end     func(c net.Conn) error
		want    bool
	}{
		"open":             {end: func(net.Conn) error { return nil }},
		"closed":           {end: net.Conn.Close, want: true},
		"half-closed":      {end: func(c net.Conn) error { return c.(*net.TCPConn).CloseWrite() }, want: true},
		"behind TLS":       {wrap: func(c net.Conn) net.Conn { return tls.Server(c, &tls.Config{}) }, end: net.Conn.Close, want: true},
		"not TCP":          {network: "unix", end: net.Conn.Close},
		"without a socket": {wrap: func(net.Conn) net.Conn { c, _ := net.Pipe(); return c }, end: net.Conn.Close},
	}
	for name, test := range tests {
		network := test.network
		if network == "" {
			network = "tcp"
		}
		client, server := connect(t, network)
		known := server
		if test.wrap != nil {
			known = test.wrap(server)
		}
		conn := caller.ConnOf(caller.WithConn(context.Background(), known))
		if _, err := io.WriteString(client, "a request and the beginning of another"); err != nil {
			t.Fatal(err)
		}
		if err := test.end(client); err != nil {
			t.Fatal(err)
		}
		if left := conn.Left(); left != test.want {
			t.Errorf("%s: left: %v", name, left)
		}
		server.Close()
		if left := conn.Left(); conn != nil && !left {
			t.Errorf("%s: not left after this process has closed the connection", name)
		}
	}
}

// TestArrivalIsWhenDataCame checks that the time for which data lies unread counts.
func TestArrivalIsWhenDataCame(t *testing.T) {
	client, server := connect(t, "tcp")
	conn := caller.ConnOf(caller.WithConn(context.Background(), server))
	before := time.Now()
	if _, err := io.WriteString(client, "a request"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(40 * time.Millisecond)
	if at, left := conn.Arrival(time.Now()); at.Sub(before).Abs() > 20*time.Millisecond || left {
		t.Errorf("arrived %v after it was sent, left: %v", at.Sub(before), left)
	}
}

// TestStandstillBeforeTheKernelIsAskedCountsOnce guards against requests that look older than they are, since the process
// stood still after it had read the clock.
func TestStandstillBeforeTheKernelIsAskedCountsOnce(t *testing.T) {
	const stood = 300 * time.Millisecond
	client, server := connect(t, "tcp")
	conn := caller.ConnOf(caller.WithConn(context.Background(), server))
	if _, err := io.WriteString(client, "a request"); err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	time.Sleep(stood)
	if at, left := conn.Arrival(sent); at.Sub(sent).Abs() > stood/3 || left {
		t.Errorf("arrived %v after it was sent, left: %v", at.Sub(sent), left)
	}
}

// BenchmarkState measures what a look at a connection costs.
func BenchmarkState(b *testing.B) {
	_, server := connect(b, "tcp")
	conn := caller.ConnOf(caller.WithConn(context.Background(), server))
	b.ReportAllocs()
	for b.Loop() {
		conn.Left()
	}
}
