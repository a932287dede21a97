// Package dial opens TCP connections that notice within seconds that nothing arrives at the other end
// any more.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout closes a connection whose peer acknowledges nothing. A machine without power
	// sends nothing, and the kernel's default is to retry for minutes. It is TCP_USER_TIMEOUT, which
	// also decides when keep-alive probes give up, whatever their count.
	unackedTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval

	// keepAliveIdle, keepAliveInterval and keepAliveProbes find an idle connection whose peer is gone;
	// one probe may be lost. The kernel takes whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Option configures a dialer.
type Option func(*net.Dialer)

// WithSource makes connections come from an IP address of this machine; an empty one leaves the choice
// to the kernel.
func WithSource(ip string) Option {
	return func(d *net.Dialer) {
		if parsed := net.ParseIP(ip); parsed != nil {
			d.LocalAddr = &net.TCPAddr{IP: parsed}
		}
	}
}

// New returns a dialer whose connections detect a dead peer; timeout bounds the time to connect.
func New(timeout time.Duration, options ...Option) *net.Dialer {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
	for _, option := range options {
		option(d)
	}
	return d
}
