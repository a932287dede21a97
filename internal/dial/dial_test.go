package dial_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/croftturn/croftturn/internal/dial"
)

// TestConnectionsNoticeADeadPeer checks that keep-alive probes and unacknowledged data give a peer up
// after the same few seconds: the time-out of the latter also ends the probes.
func TestConnectionsNoticeADeadPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := dial.New(time.Second).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) (value int) {
		if err := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil {
			t.Fatal(err)
		}
		return value
	}
	unacked := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	probes := time.Duration(option(unix.TCP_KEEPIDLE)+option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)) * time.Second
	if unacked <= 0 || unacked > 3*time.Second || probes != unacked {
		t.Errorf("unacknowledged data gives a peer up after %v, probes alone would after %v", unacked, probes)
	}
}
