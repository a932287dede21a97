package peer

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

func TestDeadPeersAreNoticedOnOpenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := NewClient(&Traffic{})
	defer c.Close()
	_, conn, err := c.connect(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || ms <= 0 || ms > 3000 {
			t.Errorf("a silent peer is given up after %d ms (%v), want 3,000 at most", ms, err)
		}
	}); err != nil {
		t.Fatal(err)
	}
}
