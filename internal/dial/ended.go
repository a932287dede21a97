package dial

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Ended reports whether nothing listens at an address, which is the case if its machine refuses a
// connection, maybe after one that was closed within endingTime. A machine that does not respond may be
// unreachable or without power, which says nothing about the process.
func Ended(ctx context.Context, d *net.Dialer, address string, endingTime time.Duration) bool {
	refused, closed := tryConnect(ctx, d, address, endingTime)
	if closed {
		refused, _ = tryConnect(ctx, d, address, endingTime)
	}
	return refused
}

// tryConnect reports whether an address refuses a connection, or closes it within endingTime: then the
// process may have ended after its machine had accepted the connection.
func tryConnect(ctx context.Context, d *net.Dialer, address string, endingTime time.Duration) (refused, closed bool) {
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(endingTime)); err != nil {
		return false, false
	}
	_, err = conn.Read(make([]byte, 1))
	return false, err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
